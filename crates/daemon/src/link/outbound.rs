//! Links that this host opens to others.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutdrift_core::message::Envelope;
use chestnutdrift_wire::frame::{Encoder, FrameError, MAX_MESSAGE_BYTES};
use futures_util::{FutureExt, SinkExt, StreamExt};
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::queue::QueuedEnvelope;

/// How long opening a link may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long writing a message may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait after a failed attempt to open a link.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The shortest time between two pings on a link; they are sent along with messages.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How long a ping may stay unanswered: enough for two round trips between regions and a slow host.
const PONG_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long the kernel keeps resending bytes that are not acknowledged.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2_000;

/// Sends the messages of a queue, and opens a link whenever there is none.
///
/// If a link can't be opened, its message is dropped, and so are those queued by the end of the
/// delay.
pub(super) async fn run(
    address: SocketAddr,
    mut queue: Receiver<QueuedEnvelope>,
    encoder: Arc<Mutex<Encoder>>,
) {
    let mut link = None;
    while let Some(QueuedEnvelope { envelope, reserved }) = queue.recv().await {
        let encoded = encode(&encoder, &envelope);
        // Only the encoded message is held while it is written, and the reservation is for it.
        drop(envelope);
        let bytes = match encoded {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(event = "message-dropped"; "{error}");
                continue;
            }
        };
        let opened = match link.take() {
            Some(link) => Some(link),
            None => OutboundLink::connect(address).await,
        };
        let Some(mut opened) = opened else {
            tokio::time::sleep(RETRY_DELAY).await;
            while queue.try_recv().is_ok() {}
            continue;
        };
        let length = bytes.len() as u64;
        let written = tokio::time::timeout(WRITE_TIMEOUT, opened.write(bytes)).await;
        drop(reserved);
        if written == Ok(true) {
            super::LINK_COUNTERS.sent_bytes.fetch_add(length, Ordering::Relaxed);
            super::LINK_COUNTERS.sent_messages.fetch_add(1, Ordering::Relaxed);
            link = Some(opened);
        }
    }
}

/// Encodes a message with the encoder that all links share, and counts the work.
fn encode(encoder: &Mutex<Encoder>, envelope: &Envelope) -> Result<Bytes, FrameError> {
    let counters = &super::LINK_COUNTERS;
    // An encoder whose user panicked stays valid: it starts each message anew.
    let mut encoder = encoder.lock().unwrap_or_else(PoisonError::into_inner);
    let encoded = super::timed(&counters.encode_us, || encoder.encode(envelope));
    counters.deflated_bytes.store(encoder.deflated_bytes(), Ordering::Relaxed);
    encoded
}

/// An open link with the state of its last ping.
struct OutboundLink {
    socket: WebSocketStream<TcpStream>,
    last_ping: Instant,
    /// Whether the last ping was answered; `true` before the first one.
    answered: bool,
}

impl OutboundLink {
    async fn connect(address: SocketAddr) -> Option<Self> {
        let url = format!("ws://{address}/");
        let connecting = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            set_tcp_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT_MS).ok()?;
            let config = Some(super::websocket_config(MAX_MESSAGE_BYTES));
            let handshake = tokio_tungstenite::client_async_with_config(url, stream, config).await;
            let (socket, _) = handshake.ok()?;
            Some(Self { socket, last_ping: Instant::now(), answered: true })
        };
        tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok().flatten()
    }

    /// Writes a message; returns `false` if the link is closed or a ping was not answered in time.
    async fn write(&mut self, bytes: Bytes) -> bool {
        if !self.read_available() || (!self.answered && self.last_ping.elapsed() > PONG_TIMEOUT) {
            return false;
        }
        if self.answered && self.last_ping.elapsed() > PING_INTERVAL {
            (self.last_ping, self.answered) = (Instant::now(), false);
            if self.socket.feed(Message::Ping(Bytes::new())).await.is_err() {
                return false;
            }
        }
        self.socket.send(Message::Binary(bytes)).await.is_ok()
    }

    /// Reads what has arrived, without waiting; returns `false` if the link is closed.
    fn read_available(&mut self) -> bool {
        while let Some(read) = self.socket.next().now_or_never() {
            match read {
                Some(Ok(Message::Pong(_))) => self.answered = true,
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return false,
            }
        }
        true
    }
}
