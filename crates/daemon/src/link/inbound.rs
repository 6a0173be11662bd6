//! Links that other hosts have made to this one.

use std::sync::Arc;
use std::time::Duration;

use chestnutdrift_wire::frame;
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::Message;

use super::MessageHandler;

/// How long the listener rests after a failed accept.
const AFTER_FAILED_ACCEPT: Duration = Duration::from_millis(50);

/// How long a new link may take to be set up.
const HANDSHAKE: Duration = Duration::from_secs(5);

/// Takes links and reads them.
pub(super) async fn accept(listener: TcpListener, deliver: MessageHandler) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read(stream, Arc::clone(&deliver)));
            }
            Err(error) => {
                log::warn!(event = "accept-failed"; "{error}");
                tokio::time::sleep(AFTER_FAILED_ACCEPT).await;
            }
        }
    }
}

async fn read(stream: TcpStream, deliver: MessageHandler) {
    let handshake = tokio_tungstenite::accept_async_with_config(stream, Some(super::config()));
    let Ok(Ok(mut link)) = tokio::time::timeout(HANDSHAKE, handshake).await else { return };
    while let Some(Ok(message)) = link.next().await {
        let Message::Binary(bytes) = message else { continue };
        let envelope = match frame::decode(&bytes) {
            Ok(envelope) => envelope,
            Err(error) => {
                log::warn!(event = "message-unreadable"; "{error}");
                continue;
            }
        };
        if !deliver(envelope) {
            log::debug!(event = "message-dropped"; "too many events wait");
        }
    }
}
