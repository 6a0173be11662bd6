//! A pool of connections to upstreams, which stay open between requests.

mod connect;

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutdrift_core::UpstreamKey;
use chestnutdrift_core::gateway::UpstreamAddress;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use tokio::task::AbortHandle;

pub(super) use self::connect::set_upstream_options;
use super::input::InputSender;
use crate::http::has_known_coding;
use crate::link::SharedPort;

/// The keep-alive time assumed for an upstream that announces none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// The longest time that a connection may stay idle, whatever its upstream announces.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(300);

/// How much earlier than the upstream the pool closes an idle connection, so that no request is
/// sent on a connection that the upstream closes at that moment.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// The maximum number of idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 32;

/// The number of ids that a connection remembers: more requests than it carries while an attempt of one of
/// them may follow.
const MAX_CARRIED_IDS: usize = 64;

/// The most bytes of a response's head, and of what is read ahead of a body.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// How long sent bytes may stay unacknowledged before the system closes the connection.
const TCP_USER_TIMEOUT_MS: u32 = 2_000;

/// How long connections to a closed upstream are not kept; the answers that run there end within
/// this time.
const CLOSED_RETENTION: Duration = Duration::from_secs(60);

/// The reason why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of the request was sent; the detail says why.
    NotSent(Box<str>),
    /// Nothing of the request was sent, as the upstream's address refused the connection.
    Refused(Box<str>),
    /// The connection failed, and the upstream may have read the request; the detail says how.
    Broken(Box<str>),
}

/// One connection, which is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    carried: CarriedIds,
    /// Whether the host that relays it stops; `None` over own links.
    relay_leaving: Option<Arc<AtomicBool>>,
}

impl Connection {
    fn is_relayed(&self) -> bool {
        self.relay_leaving.is_some()
    }

    /// Returns whether another request may follow.
    fn is_kept(&self) -> bool {
        let leaves = |leaving: &Arc<AtomicBool>| leaving.load(Ordering::Relaxed);
        !self.sender.is_closed() && !self.relay_leaving.as_ref().is_some_and(leaves)
    }
}

/// The ids of the last requests that a connection has carried.
///
/// All attempts of a request have its id, so a late copy of the answer to one of them passes for the
/// answer to the next one on the same connection.
#[derive(Debug, Default)]
struct CarriedIds(VecDeque<Box<str>>);

impl CarriedIds {
    fn push(&mut self, id: Option<&str>) {
        let Some(id) = id else { return };
        if self.0.len() == MAX_CARRIED_IDS {
            self.0.pop_front();
        }
        self.0.push_back(id.into());
    }

    fn contains(&self, id: Option<&str>) -> bool {
        id.is_some_and(|id| self.0.iter().any(|carried| **carried == *id))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections, by the instance id of their upstream.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<BTreeMap<Box<str>, Vec<IdleConnection>>>>,
    /// Until when connections to closed upstreams are not kept.
    closed: Arc<Mutex<BTreeMap<UpstreamKey, Instant>>>,
    opened: Arc<AtomicU64>,
    /// Where the ends of new connections are reported; `None` if nobody asks.
    reports: Option<InputSender>,
    /// The addresses of the hosts that relay connections; `None` without any.
    relays: Option<SharedPort>,
    /// Whether closing a connection drops the bytes that its upstream has not acknowledged.
    drops_unacknowledged: bool,
}

impl Pool {
    /// Sets where the ends of new connections are reported; the default is nowhere.
    #[must_use]
    pub fn reports(mut self, reports: impl Into<Option<InputSender>>) -> Self {
        self.reports = reports.into();
        self
    }

    /// Sets the addresses of the hosts that relay connections; the default is none.
    #[must_use]
    pub fn relays(mut self, relays: SharedPort) -> Self {
        self.relays = Some(relays);
        self
    }

    /// Sets whether the end of a connection, also by the end of the process, drops the bytes that the
    /// upstream has not acknowledged; the default is no.
    ///
    /// Otherwise the system could still retransmit an order of this process after one of its successor.
    #[must_use]
    pub fn drops_unacknowledged(mut self, drops: bool) -> Self {
        self.drops_unacknowledged = drops;
        self
    }

    /// Returns the number of connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.idle.lock().map_or(0, |idle| idle.values().map(Vec::len).sum())
    }

    /// Sends a request over an idle connection or a new one.
    ///
    /// An idle connection that turns out to be closed before anything was sent on it is replaced by
    /// the next idle one, or by a new one. No connection carries two requests with the same id.
    ///
    /// # Errors
    ///
    /// Returns an error where no response came; it says whether anything may have been sent.
    pub async fn send(
        &self,
        upstream: &UpstreamAddress,
        request: &Request<Bytes>,
        request_id: Option<&str>,
        connect_timeout: Duration,
    ) -> Result<(Response<Incoming>, Connection), SendError> {
        while let Some(mut connection) = self.take_idle(upstream, request_id) {
            connection.carried.push(request_id);
            match connection.sender.send_request(with_full_body(request)).await {
                Ok(response) => return with_known_coding(response, connection),
                Err(error) if error.is_canceled() => {}
                Err(error) => return Err(SendError::Broken(error.to_string().into())),
            }
        }
        let mut connection = self.connect(upstream, connect_timeout).await?;
        connection.carried.push(request_id);
        match connection.sender.send_request(with_full_body(request)).await {
            Ok(response) => with_known_coding(response, connection),
            Err(error) => Err(SendError::Broken(error.to_string().into())),
        }
    }

    /// Returns a connection to the pool after its response has been read to the end.
    ///
    /// `keep_alive_secs` is how long the upstream keeps an idle connection, where it announces it.
    pub fn release(
        &self,
        upstream: &UpstreamAddress,
        connection: Connection,
        keep_alive_secs: Option<u64>,
    ) {
        if !connection.is_kept() || self.is_closed(upstream.key) {
            return;
        }
        let idle = keep_alive_secs
            .map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs)
            .min(MAX_KEEP_ALIVE)
            .saturating_sub(IDLE_MARGIN);
        let expires_at = Instant::now() + idle;
        let Ok(mut idle_by_upstream) = self.idle.lock() else { return };
        let list = idle_by_upstream.entry(upstream.id.clone()).or_default();
        if list.len() < MAX_IDLE_PER_UPSTREAM {
            list.push(IdleConnection { connection, expires_at });
        }
    }

    /// Closes the idle connections to an upstream, and keeps no connection to it from now on.
    pub fn close_upstream(&self, upstream: &UpstreamAddress) {
        if let Ok(mut closed) = self.closed.lock() {
            closed.insert(upstream.key, Instant::now() + CLOSED_RETENTION);
        }
        if let Ok(mut idle_by_upstream) = self.idle.lock() {
            idle_by_upstream.remove(&upstream.id);
        }
    }

    fn is_closed(&self, upstream: UpstreamKey) -> bool {
        self.closed.lock().is_ok_and(|closed| closed.contains_key(&upstream))
    }

    /// Closes the idle connections that have expired.
    pub fn sweep(&self) {
        let now = Instant::now();
        if let Ok(mut closed) = self.closed.lock() {
            closed.retain(|_, until| *until > now);
        }
        let Ok(mut idle_by_upstream) = self.idle.lock() else { return };
        for list in idle_by_upstream.values_mut() {
            list.retain(|idle| idle.expires_at > now && idle.connection.is_kept());
        }
        idle_by_upstream.retain(|_, list| !list.is_empty());
    }

    /// Takes the newest usable connection over the upstream's path that has not carried the request.
    fn take_idle(
        &self,
        upstream: &UpstreamAddress,
        request_id: Option<&str>,
    ) -> Option<Connection> {
        let now = Instant::now();
        let mut idle_by_upstream = self.idle.lock().ok()?;
        let list = idle_by_upstream.get_mut(&upstream.id)?;
        list.retain(|idle| {
            let connection = &idle.connection;
            idle.expires_at > now && connection.is_kept() && connection.sender.is_ready()
        });
        let newest = list.iter().rposition(|IdleConnection { connection, .. }| {
            connection.is_relayed() != upstream.path.direct
                && !connection.carried.contains(request_id)
        })?;
        Some(list.remove(newest).connection)
    }
}

/// Returns a response and its connection, or an error if its body has an unknown transfer coding.
fn with_known_coding(
    response: Response<Incoming>,
    connection: Connection,
) -> Result<(Response<Incoming>, Connection), SendError> {
    if has_known_coding(response.headers()) {
        return Ok((response, connection));
    }
    Err(SendError::Broken("the response has an unknown transfer coding".into()))
}

fn with_full_body(request: &Request<Bytes>) -> Request<Full<Bytes>> {
    request.clone().map(Full::new)
}
