//! Links that other hosts have made to this one.

use std::time::Duration;

use chestnutdrift_core::Event;
use chestnutdrift_wire::frame;
use crossbeam::channel::Sender;
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::Message;

use crate::control::Input;

/// How long the listener rests after a failed accept.
const AFTER_FAILED_ACCEPT: Duration = Duration::from_millis(50);

/// How long a new link may take to be set up.
const HANDSHAKE: Duration = Duration::from_secs(5);

/// Takes links and reads them.
pub(super) async fn accept(listener: TcpListener, inputs: Sender<Input>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read(stream, inputs.clone()));
            }
            Err(error) => {
                log::warn!(event = "accept-failed"; "{error}");
                tokio::time::sleep(AFTER_FAILED_ACCEPT).await;
            }
        }
    }
}

async fn read(stream: TcpStream, inputs: Sender<Input>) {
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
        if inputs.try_send(Input::Event(Event::Received(envelope))).is_err() {
            log::debug!(event = "message-dropped"; "too many events wait");
        }
    }
}
