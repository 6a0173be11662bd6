//! Connections to upstreams, kept open between requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutdrift_core::gateway::UpstreamAddress;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long a connection is kept idle where the upstream does not say.
const IDLE: Duration = Duration::from_secs(4);

/// How much sooner than the upstream a connection is given up, for requests on their way.
const IDLE_SLACK: Duration = Duration::from_millis(700);

/// The most idle connections to one upstream.
const MOST_IDLE: usize = 32;

/// How long the system keeps sending bytes that are not acknowledged.
const UNACKNOWLEDGED_MS: u32 = 2_000;

/// Why there is no answer.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of the request was sent.
    NotSent(Box<str>),
    /// The request may have been read.
    Broken(Box<str>),
}

/// One connection; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The idle connections to every upstream, by the name of its life.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<BTreeMap<Box<str>, Vec<Idle>>>>,
    opened: Arc<AtomicU64>,
}

impl Pool {
    /// Returns the number of connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Sends a request over an idle connection or a new one.
    ///
    /// A connection that turns out to be closed before anything was sent on it is replaced by a new
    /// one.
    ///
    /// # Errors
    ///
    /// Returns whether anything may have been sent.
    pub async fn send(
        &self,
        upstream: &UpstreamAddress,
        request: &Request<Bytes>,
        connect: Duration,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        while let Some(mut connection) = self.take(&upstream.id) {
            match connection.sender.send_request(copy(request)).await {
                Ok(response) => return Ok((response, connection)),
                Err(error) if error.is_canceled() => {}
                Err(error) => return Err(SendError::Broken(error.to_string().into())),
            }
        }
        let mut connection = self.open(upstream, connect).await?;
        match connection.sender.send_request(copy(request)).await {
            Ok(response) => Ok((response, connection)),
            Err(error) => Err(SendError::Broken(error.to_string().into())),
        }
    }

    /// Keeps a connection whose answer has been read to its end; `keep_alive` is how long the
    /// upstream keeps it, in seconds, where it says so.
    pub fn keep(
        &self,
        upstream: &UpstreamAddress,
        connection: Connection,
        keep_alive: Option<u64>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let idle = keep_alive.map_or(IDLE, Duration::from_secs).saturating_sub(IDLE_SLACK);
        let until = Instant::now() + idle;
        let Ok(mut all) = self.idle.lock() else { return };
        let list = all.entry(upstream.id.clone()).or_default();
        if list.len() < MOST_IDLE {
            list.push(Idle { connection, until });
        }
    }

    /// Closes the connections that have been idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let Ok(mut all) = self.idle.lock() else { return };
        for list in all.values_mut() {
            list.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        }
        all.retain(|_, list| !list.is_empty());
    }

    fn take(&self, id: &str) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.idle.lock().ok()?;
        let list = all.get_mut(id)?;
        while let Some(idle) = list.pop() {
            let usable = idle.until > now && idle.connection.sender.is_ready();
            if usable {
                return Some(idle.connection);
            }
        }
        None
    }

    async fn open(
        &self,
        upstream: &UpstreamAddress,
        connect: Duration,
    ) -> Result<Connection, SendError> {
        let not_sent = |detail: String| SendError::NotSent(detail.into());
        let address: SocketAddr = upstream
            .address
            .parse()
            .map_err(|_| not_sent(format!("{} is no address", upstream.address)))?;
        let stream = match tokio::time::timeout(connect, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(not_sent(error.to_string())),
            Err(_) => return Err(not_sent(format!("no connection within {connect:?}"))),
        };
        let options = stream.set_nodelay(true).and_then(|()| {
            set_tcp_user_timeout(&stream, UNACKNOWLEDGED_MS).map_err(std::io::Error::from)
        });
        options.map_err(|error| not_sent(error.to_string()))?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        let made = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(|error| not_sent(error.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "upstream-connection"; "{error}");
            }
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }
}

fn copy(request: &Request<Bytes>) -> Request<Full<Bytes>> {
    request.clone().map(Full::new)
}
