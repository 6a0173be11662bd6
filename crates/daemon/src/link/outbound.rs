//! Links that this host makes to others.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutdrift_core::message::Envelope;
use chestnutdrift_wire::frame;
use futures_util::{SinkExt, StreamExt};
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

/// Sends what comes over the queue, making a link whenever there is none.
pub(super) async fn run(address: SocketAddr, mut queue: Receiver<Envelope>) {
    let mut link = None;
    while let Some(envelope) = queue.recv().await {
        let Ok(bytes) = frame::encode(&envelope) else { continue };
        let ready = match link.take() {
            Some(link) => Some(link),
            None => connect(address).await,
        };
        let Some(mut ready) = ready else {
            tokio::time::sleep(REST).await;
            while queue.try_recv().is_ok() {}
            continue;
        };
        let length = bytes.len() as u64;
        let written = tokio::time::timeout(WRITE, write(&mut ready, bytes)).await;
        if written == Ok(true) {
            super::SENT.bytes.fetch_add(length, Ordering::Relaxed);
            super::SENT.messages.fetch_add(1, Ordering::Relaxed);
            link = Some(ready);
        }
    }
}

async fn connect(address: SocketAddr) -> Option<WebSocketStream<TcpStream>> {
    let url = format!("ws://{address}/");
    let made = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let config = Some(super::config());
        let made = tokio_tungstenite::client_async_with_config(url, stream, config).await;
        made.ok().map(|(link, _)| link)
    };
    tokio::time::timeout(CONNECT, made).await.ok().flatten()
}

/// Writes a message; a link that the other side has closed is found out by reading without waiting.
async fn write(link: &mut WebSocketStream<TcpStream>, bytes: Vec<u8>) -> bool {
    let closed = tokio::select! {
        biased;
        message = link.next() => message.is_none_or(|message| message.is_err()),
        () = std::future::ready(()) => false,
    };
    !closed && link.send(Message::Binary(bytes.into())).await.is_ok()
}
