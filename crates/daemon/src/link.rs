//! Links between hosts: WebSocket connections that carry CBOR messages.
//!
//! A link is made when there is something to send, and carries messages one way; the other way has
//! a link of its own. Messages may be lost, because a link breaks or a queue is full: the core's
//! protocols are made for that. Nothing is kept for a host that can't be reached.

mod inbound;
mod outbound;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use anyhow::Context;
use chestnutdrift_core::HostId;
use chestnutdrift_core::message::Envelope;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Messages that may wait for a link.
const MESSAGES_WAITING: usize = 4_096;

/// The size of the buffers of one link, in bytes.
const BUFFER: usize = 16 * 1024;

/// What this process has sent over its links.
#[derive(Debug)]
pub struct LinkCounters {
    /// Bytes of messages, without the frames round them.
    pub sent_bytes: AtomicU64,
    /// Messages.
    pub sent_messages: AtomicU64,
}

/// Counts of what this process has sent over its links.
pub static LINK_COUNTERS: LinkCounters =
    LinkCounters { sent_bytes: AtomicU64::new(0), sent_messages: AtomicU64::new(0) };

/// Tells where hosts take links.
pub trait AddressResolver: Debug + Send {
    /// Returns the address of a host, where it is known.
    fn resolve(&self, host: HostId) -> Option<SocketAddr>;
}

/// The addresses of hosts that are listed beforehand.
impl AddressResolver for BTreeMap<HostId, SocketAddr> {
    fn resolve(&self, host: HostId) -> Option<SocketAddr> {
        self.get(&host).copied()
    }
}

/// The addresses of hosts whose numbers are their IPv4 addresses, at one port for all.
#[derive(Debug, Clone, Copy)]
pub struct SharedPort(pub u16);

impl AddressResolver for SharedPort {
    fn resolve(&self, host: HostId) -> Option<SocketAddr> {
        Some(SocketAddr::new(IpAddr::V4(Ipv4Addr::from(host.0)), self.0))
    }
}

/// Takes a message that came in; false where there is no room for it.
pub type MessageHandler = Arc<dyn Fn(Envelope) -> bool + Send + Sync>;

/// The links of a host.
#[derive(Debug)]
pub struct Links {
    runtime: Arc<Runtime>,
    addresses: Box<dyn AddressResolver>,
    queues: BTreeMap<HostId, mpsc::Sender<Envelope>>,
}

impl Links {
    /// Starts taking messages, and being ready to send some.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be bound.
    pub fn start(
        runtime: Arc<Runtime>,
        address: SocketAddr,
        addresses: Box<dyn AddressResolver>,
        deliver: MessageHandler,
    ) -> anyhow::Result<Self> {
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .with_context(|| format!("{address} can't be bound"))?;
        runtime.spawn(inbound::accept(listener, deliver));
        Ok(Self { runtime, addresses, queues: BTreeMap::new() })
    }

    /// Sends a message, or drops it where the queue of its link is full.
    pub fn send(&mut self, to: HostId, envelope: Envelope) {
        let Some(address) = self.addresses.resolve(to) else { return };
        let runtime = &self.runtime;
        let queue = self.queues.entry(to).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(MESSAGES_WAITING);
            runtime.spawn(outbound::run(address, rx));
            tx
        });
        if queue.try_send(envelope).is_err() {
            log::debug!(event = "message-dropped", host = to.0; "the queue of its link is full");
        }
    }

    /// Breaks all links off.
    pub fn close(self) {
        drop(self.queues);
    }
}

/// Starts the runtime whose one thread owns sockets.
///
/// # Errors
///
/// Returns an error where the thread can't be started.
pub fn socket_runtime(name: &str) -> anyhow::Result<Arc<Runtime>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name(name)
        .enable_all()
        .build()
        .context("the thread for sockets can't be started")?;
    Ok(Arc::new(runtime))
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(0)
        .max_message_size(Some(chestnutdrift_wire::frame::MAX_MESSAGE_BYTES))
        .max_frame_size(Some(chestnutdrift_wire::frame::MAX_MESSAGE_BYTES))
}
