//! Links between hosts: WebSocket connections that carry CBOR messages.
//!
//! A host opens a link when it has something to send. A link carries messages in one direction; the
//! other host opens a link of its own for the other direction. Messages are lost when a link breaks
//! or a queue is full, which the core's protocols tolerate. The messages of groups in all queues share
//! a budget of bytes, and so do the others; when one is used up, its small messages still pass. No
//! messages are kept for a host that can't be reached.

mod inbound;
mod outbound;
mod queue;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use anyhow::Context;
use chestnutdrift_core::HostId;
use chestnutdrift_core::message::Envelope;
use chestnutdrift_wire::frame::{Encoder, MAX_MESSAGE_BYTES};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use self::queue::{LinkBudgets, LinkQueue, QueueError};
use crate::drop_meter::DropMeter;

/// The share of the memory limit, in percent, that one received message may take, as received and
/// when inflated. A snapshot is sent in parts, so the largest message is the entry of a job, and a job
/// of that size would not be accepted.
const RECEIVED_PERCENT: u64 = 25;

/// The size of the read buffer of a link.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Counters of what a process has sent and received over its links.
#[derive(Debug)]
pub struct LinkCounters {
    /// The bytes of the messages, without the frames around them.
    pub sent_bytes: AtomicU64,
    /// The number of messages.
    pub sent_messages: AtomicU64,
    /// The number of messages that were dropped because their queue was full or their bytes were not
    /// left.
    pub dropped_messages: AtomicU64,
    /// The time spent on encoding messages, in microseconds.
    pub encode_us: AtomicU64,
    /// The number of received messages that were dropped because too many inputs wait.
    pub unhandled_messages: AtomicU64,
    /// The bytes that were compressed.
    pub deflated_bytes: AtomicU64,
    /// The time spent on decoding messages, in microseconds.
    pub decode_us: AtomicU64,
}

/// The counters of this process.
pub static LINK_COUNTERS: LinkCounters = LinkCounters {
    sent_bytes: AtomicU64::new(0),
    sent_messages: AtomicU64::new(0),
    dropped_messages: AtomicU64::new(0),
    unhandled_messages: AtomicU64::new(0),
    encode_us: AtomicU64::new(0),
    deflated_bytes: AtomicU64::new(0),
    decode_us: AtomicU64::new(0),
};

/// Runs `work` and adds the time that it took to a counter, in microseconds.
fn timed<T>(counter: &AtomicU64, work: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let done = work();
    let took = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    counter.fetch_add(took, Ordering::Relaxed);
    done
}

/// Resolves hosts to the addresses at which they accept links.
pub trait AddressResolver: Debug + Send {
    /// Returns the address of a host; `None` if it is unknown.
    fn resolve(&self, host: HostId) -> Option<SocketAddr>;
}

/// The addresses of hosts that the settings list.
impl AddressResolver for BTreeMap<HostId, SocketAddr> {
    fn resolve(&self, host: HostId) -> Option<SocketAddr> {
        self.get(&host).copied()
    }
}

/// The addresses of hosts whose IDs are their IPv4 addresses and that all use one port.
#[derive(Debug, Clone, Copy)]
pub struct SharedPort(pub u16);

impl AddressResolver for SharedPort {
    fn resolve(&self, host: HostId) -> Option<SocketAddr> {
        Some(SocketAddr::new(IpAddr::V4(Ipv4Addr::from(host.0)), self.0))
    }
}

/// Handles a received message; returns `false` if there is no room for it, and it is dropped.
pub type MessageHandler = Arc<dyn Fn(Envelope) -> bool + Send + Sync>;

/// The header by which a WebSocket handshake asks for a relayed connection to the upstream that it names.
pub const RELAY_HEADER: &str = "chestnutdrift-relay-to";

/// Relays connections to upstreams for other hosts.
pub trait RelayService: Debug + Send + Sync {
    /// Serves a WebSocket on which another host asks for a connection to an upstream.
    fn serve(&self, socket: WebSocketStream<TcpStream>, upstream_id: Box<str>);
}

/// What a host does with the links and relayed connections that others open to it.
#[derive(Clone)]
pub struct LinkHandlers {
    deliver: MessageHandler,
    relays: Option<Arc<dyn RelayService>>,
}

impl<F: Fn(Envelope) -> bool + Send + Sync + 'static> From<Arc<F>> for LinkHandlers {
    fn from(deliver: Arc<F>) -> Self {
        Self { deliver, relays: None }
    }
}

impl LinkHandlers {
    /// Sets the service that relays connections; the default is none.
    #[must_use]
    pub fn relays(mut self, relays: impl Into<Option<Arc<dyn RelayService>>>) -> Self {
        self.relays = relays.into();
        self
    }
}

/// The links of a host.
#[derive(Debug)]
pub struct Links {
    runtime: Arc<Runtime>,
    addresses: Box<dyn AddressResolver>,
    encoder: Arc<Mutex<Encoder>>,
    queues: BTreeMap<HostId, LinkQueue>,
    budgets: LinkBudgets,
    dropped: DropMeter,
}

impl Links {
    /// Starts to accept links; links to other hosts are opened when messages are sent.
    ///
    /// `memory_limit` is the memory of the process in bytes, if it is limited; the waiting messages
    /// take a share of it.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(
        runtime: Arc<Runtime>,
        address: SocketAddr,
        addresses: Box<dyn AddressResolver>,
        handlers: impl Into<LinkHandlers>,
        memory_limit: Option<u64>,
    ) -> anyhow::Result<Self> {
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .with_context(|| format!("{address} can't be bound"))?;
        let max_bytes = max_received_bytes(memory_limit);
        runtime.spawn(inbound::accept(listener, handlers.into(), max_bytes));
        Ok(Self {
            runtime,
            addresses,
            encoder: Arc::default(),
            queues: BTreeMap::new(),
            budgets: LinkBudgets::new(memory_limit),
            dropped: DropMeter::default(),
        })
    }

    /// Returns the approximate size of the messages that wait for their links, in bytes.
    #[must_use]
    pub fn queued_bytes(&self) -> usize {
        self.budgets.used()
    }

    /// Sends a message; drops it if the address is unknown, the queue of the link is full, or its
    /// bytes are not left.
    pub fn send(&mut self, to: HostId, envelope: Envelope) {
        let Some(address) = self.addresses.resolve(to) else { return };
        let (runtime, encoder) = (&self.runtime, &self.encoder);
        let queue = self.queues.entry(to).or_insert_with(|| {
            let (queue, queued) = queue::queue();
            runtime.spawn(outbound::run(address, queued, Arc::clone(encoder)));
            queue
        });
        let bytes = envelope.bytes();
        let Err(error) = queue.try_send(envelope, bytes, &self.budgets) else { return };
        LINK_COUNTERS.dropped_messages.fetch_add(1, Ordering::Relaxed);
        let Some(dropped) = self.dropped.record() else { return };
        let reason = match error {
            QueueError::Full => "the queue of the link is full",
            QueueError::NoMemory => "the messages for other hosts take too much memory",
        };
        let queued_bytes = self.budgets.used() as u64;
        log::warn!(
            event = "message-dropped",
            host = to.0,
            bytes = bytes as u64,
            queued_bytes = queued_bytes,
            dropped = dropped;
            "{reason}"
        );
    }

    /// Closes the links to other hosts.
    pub fn close(self) {
        drop(self.queues);
    }
}

/// Starts a runtime with one thread, which owns sockets.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn socket_runtime(name: &str) -> anyhow::Result<Arc<Runtime>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name(name)
        .enable_all()
        .build()
        .context("can't start the socket thread")?;
    Ok(Arc::new(runtime))
}

fn max_received_bytes(memory_limit: Option<u64>) -> usize {
    let share = memory_limit.map(|limit| limit / 100 * RECEIVED_PERCENT);
    let share = share.and_then(|share| usize::try_from(share).ok());
    share.map_or(MAX_MESSAGE_BYTES, |share| share.min(MAX_MESSAGE_BYTES))
}

pub(crate) fn websocket_config(max_message_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(max_message_bytes))
        .max_frame_size(Some(max_message_bytes))
}
