//! Links that other hosts open to this one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chestnutdrift_wire::frame;
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::handshake::server::{
    Callback, ErrorResponse, Request, Response,
};
use tokio_tungstenite::tungstenite::{self, Message};

use super::{LINK_COUNTERS, LinkHandlers, MessageHandler, RELAY_HEADER};
use crate::drop_meter::DropMeter;

/// How long the listener pauses after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long the WebSocket handshake of a new link may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts links and reads their messages.
pub(super) async fn accept(listener: TcpListener, handlers: LinkHandlers, max_bytes: usize) {
    let dropped = Arc::new(DropMeter::default());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, handlers.clone(), Arc::clone(&dropped), max_bytes));
            }
            Err(error) => {
                log::warn!(event = "accept-failed"; "{error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Takes over the upstream to which a handshake asks for a relayed connection.
struct RelayTarget<'a>(&'a mut Option<Box<str>>);

impl Callback for RelayTarget<'_> {
    fn on_request(self, request: &Request, response: Response) -> Result<Response, ErrorResponse> {
        let name = request.headers().get(RELAY_HEADER);
        *self.0 = name.and_then(|name| name.to_str().ok()).map(Into::into);
        Ok(response)
    }
}

async fn serve(
    stream: TcpStream,
    handlers: LinkHandlers,
    dropped: Arc<DropMeter>,
    max_bytes: usize,
) {
    let config = Some(super::websocket_config(max_bytes));
    let mut relay_to: Option<Box<str>> = None;
    let target = RelayTarget(&mut relay_to);
    let handshake = tokio_tungstenite::accept_hdr_async_with_config(stream, target, config);
    let Ok(Ok(link)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await else { return };
    let LinkHandlers { deliver, relays } = handlers;
    match (relay_to, relays) {
        (None, _) => read(link, deliver, dropped, max_bytes).await,
        (Some(upstream_id), Some(relays)) => relays.serve(link, upstream_id),
        (Some(_), None) => {}
    }
}

async fn read(
    mut link: WebSocketStream<TcpStream>,
    deliver: MessageHandler,
    dropped: Arc<DropMeter>,
    max_bytes: usize,
) {
    while let Some(received) = link.next().await {
        let message = match received {
            Ok(message) => message,
            Err(tungstenite::Error::Capacity(error)) => {
                log::warn!(event = "message-refused", max_bytes = max_bytes as u64; "{error}");
                return;
            }
            Err(_) => return,
        };
        let Message::Binary(bytes) = message else { continue };
        let decoded =
            super::timed(&LINK_COUNTERS.decode_us, || frame::decode_within(&bytes, max_bytes));
        let envelope = match decoded {
            Ok(envelope) => envelope,
            Err(error) => {
                log::warn!(event = "message-unreadable"; "{error}");
                continue;
            }
        };
        let from = envelope.from;
        if deliver(envelope) {
            continue;
        }
        LINK_COUNTERS.unhandled_messages.fetch_add(1, Ordering::Relaxed);
        if let Some(dropped) = dropped.record() {
            let bytes = bytes.len() as u64;
            log::warn!(
                event = "message-unhandled",
                host = from.0,
                bytes = bytes,
                dropped = dropped;
                "too many inputs are waiting"
            );
        }
    }
}
