//! Links that this host makes to others.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutdrift_core::message::Envelope;
use chestnutdrift_wire::frame;
use futures_util::{FutureExt, SinkExt, StreamExt};
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// How long a link may take to be made.
const CONNECT: Duration = Duration::from_secs(1);

/// How long a message may take to be written.
const WRITE: Duration = Duration::from_secs(2);

/// How long a host is left alone after a link could not be made.
const REST: Duration = Duration::from_millis(100);

/// The time between two pings on a link in use.
const PING_EVERY: Duration = Duration::from_secs(1);

/// How long a ping may stay unanswered: two round trips between regions and a slow host.
const PONG_WITHIN: Duration = Duration::from_millis(1_500);

/// How long the system keeps sending bytes that are not acknowledged.
const UNACKNOWLEDGED_MS: u32 = 2_000;

/// Sends what comes over the queue, making a link whenever there is none.
pub(super) async fn run(address: SocketAddr, mut queue: Receiver<Envelope>) {
    let mut link = None;
    while let Some(envelope) = queue.recv().await {
        let bytes = match frame::encode(&envelope) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(event = "message-dropped"; "{error}");
                continue;
            }
        };
        let ready = match link.take() {
            Some(link) => Some(link),
            None => OutLink::connect(address).await,
        };
        let Some(mut ready) = ready else {
            tokio::time::sleep(REST).await;
            while queue.try_recv().is_ok() {}
            continue;
        };
        let length = bytes.len() as u64;
        let written = tokio::time::timeout(WRITE, ready.write(bytes)).await;
        if written == Ok(true) {
            super::LINK_COUNTERS.sent_bytes.fetch_add(length, Ordering::Relaxed);
            super::LINK_COUNTERS.sent_messages.fetch_add(1, Ordering::Relaxed);
            link = Some(ready);
        }
    }
}

/// A link with what is known of its other end.
struct OutLink {
    socket: WebSocketStream<TcpStream>,
    pinged: Instant,
    answered: bool,
}

impl OutLink {
    async fn connect(address: SocketAddr) -> Option<Self> {
        let url = format!("ws://{address}/");
        let made = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            set_tcp_user_timeout(&stream, UNACKNOWLEDGED_MS).ok()?;
            let config = Some(super::config());
            let made = tokio_tungstenite::client_async_with_config(url, stream, config).await;
            let (socket, _) = made.ok()?;
            Some(Self { socket, pinged: Instant::now(), answered: true })
        };
        tokio::time::timeout(CONNECT, made).await.ok().flatten()
    }

    /// Writes a message; false where the link is closed or its other end has fallen silent.
    async fn write(&mut self, bytes: Vec<u8>) -> bool {
        if !self.take_answers() || (!self.answered && self.pinged.elapsed() > PONG_WITHIN) {
            return false;
        }
        if self.answered && self.pinged.elapsed() > PING_EVERY {
            (self.pinged, self.answered) = (Instant::now(), false);
            if self.socket.feed(Message::Ping(Bytes::new())).await.is_err() {
                return false;
            }
        }
        self.socket.send(Message::Binary(bytes.into())).await.is_ok()
    }

    /// Reads what has come without waiting; false where the link is closed.
    fn take_answers(&mut self) -> bool {
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
