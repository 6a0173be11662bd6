//! Asks another host for a relayed connection.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::http::HeaderValue;

use super::{MAX_MESSAGE_BYTES, RelayedStream, Signal};
use crate::link::{RELAY_HEADER, websocket_config};

/// Why a connection is not relayed.
#[derive(Debug)]
pub(in crate::gateway) enum RelayError {
    /// The host can't be reached or doesn't relay it; nothing is known of the upstream.
    Unavailable(Box<str>),
    /// The upstream did not accept the host's connection in time.
    Unreachable,
    /// The upstream's address refused the host's connection.
    Refused,
}

/// Opens a connection to an upstream that the host at `relay` relays.
///
/// # Errors
///
/// Returns an error if there is no connection within the time-out; nothing was sent on one then.
pub(in crate::gateway) async fn connect(
    relay: SocketAddr,
    upstream_id: &str,
    timeout: Duration,
) -> Result<RelayedStream, RelayError> {
    let unavailable = |detail: String| RelayError::Unavailable(detail.into());
    match tokio::time::timeout(timeout, open(relay, upstream_id)).await {
        Ok(opened) => opened,
        Err(_) => {
            Err(unavailable(format!("no relayed connection over {relay} within {timeout:?}")))
        }
    }
}

async fn open(relay: SocketAddr, upstream_id: &str) -> Result<RelayedStream, RelayError> {
    let unavailable = |error: &dyn std::fmt::Display| {
        RelayError::Unavailable(format!("no relay over {relay}: {error}").into())
    };
    let mut request =
        format!("ws://{relay}/").into_client_request().map_err(|error| unavailable(&error))?;
    let name = HeaderValue::from_str(upstream_id).map_err(|error| unavailable(&error))?;
    request.headers_mut().insert(RELAY_HEADER, name);
    let stream = TcpStream::connect(relay).await.map_err(|error| unavailable(&error))?;
    super::set_link_options(&stream).map_err(|error| unavailable(&error))?;
    let config = Some(websocket_config(MAX_MESSAGE_BYTES));
    let handshake = tokio_tungstenite::client_async_with_config(request, stream, config).await;
    let (mut socket, _) = handshake.map_err(|error| unavailable(&error))?;
    let signal = match socket.next().await {
        Some(Ok(Message::Text(text))) => Signal::parse(text.as_str()),
        Some(Err(error)) => return Err(unavailable(&error)),
        _ => None,
    };
    match signal {
        Some(Signal::Open) => Ok(RelayedStream::new(socket)),
        Some(Signal::Refused) => Err(RelayError::Refused),
        Some(Signal::Unreachable) => Err(RelayError::Unreachable),
        Some(Signal::Declined) => Err(unavailable(&"declined")),
        Some(Signal::Leaving) | None => Err(unavailable(&"unexpected message")),
    }
}
