//! A stand-in for the weight store, with a rate limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::Response;
use tokio::sync::Semaphore;

use crate::client::Client;
use crate::server::{Body, IncomingRequest, Server, json};

/// How long a fetch may wait for the store.
const FETCH_TIMEOUT: Duration = Duration::from_secs(60);

/// A running weight store.
#[derive(Debug)]
pub struct Store {
    server: Server,
    served: Arc<AtomicU64>,
}

impl Store {
    /// Starts a store that serves `at_once` fetches at a time, each for `fetch`.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be bound.
    pub fn start(address: SocketAddr, at_once: usize, fetch: Duration) -> anyhow::Result<Self> {
        let served = Arc::new(AtomicU64::new(0));
        let (counted, limit) = (Arc::clone(&served), Arc::new(Semaphore::new(at_once)));
        let server = Server::start(address, move |request| {
            let (counted, limit) = (Arc::clone(&counted), Arc::clone(&limit));
            async move { serve(&counted, &limit, fetch, &request).await }
        })?;
        Ok(Self { server, served })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns how many fetches it has served.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Acquire)
    }

    /// Stops.
    pub fn close(self) {
        self.server.close();
    }
}

async fn serve(
    served: &AtomicU64,
    limit: &Semaphore,
    fetch: Duration,
    request: &IncomingRequest,
) -> Response<Body> {
    if !request.path.starts_with("/weights/") {
        return json(404, &"no such path");
    }
    let Ok(_permit) = limit.acquire().await else {
        return json(503, &"closed");
    };
    tokio::time::sleep(fetch).await;
    served.fetch_add(1, Ordering::AcqRel);
    json(200, &"weights")
}

/// Fetches a version.
///
/// # Errors
///
/// Returns an error where the store does not give it.
pub fn fetch(store: &str, version: u64) -> anyhow::Result<()> {
    let client = Client::new(FETCH_TIMEOUT);
    client.get(&format!("http://{store}/weights/{version}"))?.ok()?;
    Ok(())
}
