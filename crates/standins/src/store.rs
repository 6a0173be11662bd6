//! An emulated weight store with a limit on concurrent fetches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::Response;
use tokio::sync::Semaphore;

use crate::client::Client;
use crate::server::{Body, IncomingRequest, Server, json};

/// The time limit of a fetch, including the wait for other fetches.
const FETCH_TIMEOUT: Duration = Duration::from_secs(60);

/// A running weight store.
#[derive(Debug)]
pub struct Store {
    server: Server,
    served: Arc<AtomicU64>,
}

impl Store {
    /// Starts a store that serves up to `max_concurrent` fetches at a time, each of which takes
    /// `fetch_time`.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be bound.
    pub fn start(
        address: SocketAddr,
        max_concurrent: usize,
        fetch_time: Duration,
    ) -> anyhow::Result<Self> {
        let served = Arc::new(AtomicU64::new(0));
        let (counter, limit) = (Arc::clone(&served), Arc::new(Semaphore::new(max_concurrent)));
        let server = Server::start(address, move |request| {
            let (counter, limit) = (Arc::clone(&counter), Arc::clone(&limit));
            async move { serve(&counter, &limit, fetch_time, &request).await }
        })?;
        Ok(Self { server, served })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of fetches that it has served.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Acquire)
    }

    /// Stops the store; open connections break.
    pub fn close(self) {
        self.server.close();
    }
}

async fn serve(
    served: &AtomicU64,
    limit: &Semaphore,
    fetch_time: Duration,
    request: &IncomingRequest,
) -> Response<Body> {
    if !request.path.starts_with("/weights/") {
        return json(404, &"path not found");
    }
    let Ok(_permit) = limit.acquire().await else {
        return json(503, &"closed");
    };
    tokio::time::sleep(fetch_time).await;
    served.fetch_add(1, Ordering::AcqRel);
    json(200, &"weights")
}

/// Fetches a version from the store at the address `store`.
///
/// # Errors
///
/// Returns an error where the store can't be reached or its status is not 200.
pub fn fetch(store: &str, version: u64) -> anyhow::Result<()> {
    let client = Client::new(FETCH_TIMEOUT);
    client.get(&format!("http://{store}/weights/{version}"))?.ok()?;
    Ok(())
}
