//! Connections to upstreams that another host relays, for hosts that have lost their own links.
//!
//! A relay carries the bytes of one connection and reads none of them: what is sent, how often, and what
//! an answer means is decided by the host that asked for it. The host opens a WebSocket at the relaying
//! host's address for links and names the upstream in the handshake. [`Signal::Open`] or the reason
//! against it follows as a text message, then the bytes of both directions as binary messages. The close
//! handshake stands for the end of the upstream's bytes: if the WebSocket ends without it, the connection
//! is broken, whatever its bytes look like.

mod client;
mod server;
mod stream;

pub(super) use client::{RelayError, connect};
pub(super) use server::RelayServer;
pub(super) use stream::RelayedStream;

use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

use super::pool::set_upstream_options;

/// After which silence the system probes a connection between hosts, and the interval between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The largest message of a relay, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// What the relaying host says about a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Signal {
    /// It is open.
    Open,
    /// The upstream's address refused it.
    Refused,
    /// The upstream did not accept it in time.
    Unreachable,
    /// The host doesn't relay it.
    Declined,
    /// It stays open for the request in progress, as the host stops.
    Leaving,
}

impl Signal {
    const ALL: [Self; 5] =
        [Self::Open, Self::Refused, Self::Unreachable, Self::Declined, Self::Leaving];

    fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Declined => "declined",
            Self::Leaving => "leaving",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|signal| signal.name() == name)
    }
}

/// Sets the options of a connection between hosts, so that the end of one of them is noticed by the other.
///
/// The time-out for unacknowledged bytes also decides when keep-alive probes give up.
fn set_link_options(stream: &TcpStream) -> std::io::Result<()> {
    set_upstream_options(stream)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL)?;
    Ok(())
}
