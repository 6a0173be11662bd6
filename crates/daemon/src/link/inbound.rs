//! Links that other hosts open to this one.

use std::sync::Arc;
use std::time::Duration;

use chestnutdrift_wire::frame;
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::Message;

use super::MessageHandler;

/// How long the listener pauses after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long the WebSocket handshake of a new link may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts links and reads their messages.
pub(super) async fn accept(listener: TcpListener, deliver: MessageHandler) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read(stream, Arc::clone(&deliver)));
            }
            Err(error) => {
                log::warn!(event = "accept-failed"; "{error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn read(stream: TcpStream, deliver: MessageHandler) {
    let handshake =
        tokio_tungstenite::accept_async_with_config(stream, Some(super::websocket_config()));
    let Ok(Ok(mut link)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await else { return };
    while let Some(Ok(message)) = link.next().await {
        let Message::Binary(bytes) = message else { continue };
        let decoded = super::timed(&super::LINK_COUNTERS.decode_us, || frame::decode(&bytes));
        let envelope = match decoded {
            Ok(envelope) => envelope,
            Err(error) => {
                log::warn!(event = "message-unreadable"; "{error}");
                continue;
            }
        };
        if !deliver(envelope) {
            log::debug!(event = "message-dropped"; "too many events are waiting");
        }
    }
}
