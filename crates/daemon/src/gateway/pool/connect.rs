//! New connections to upstreams: over this host's own links, or relayed by another host.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chestnutdrift_core::gateway::{Event, UpstreamAddress};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use super::{CarriedIds, Connection, MAX_HEAD_BYTES, Pool, SendError, TCP_USER_TIMEOUT_MS};
use crate::gateway::input::Input;
use crate::gateway::relay::{self, RelayError, RelayedStream};
use crate::link::AddressResolver;

/// The result of asking other hosts for a relayed connection.
enum Relayed {
    Connected(Box<RelayedStream>),
    /// The upstream did not accept a connection of another host either.
    Unreachable,
    /// The upstream's address refused a connection of another host.
    Refused,
    /// No other host could tell.
    Unavailable(Box<str>),
}

impl Pool {
    /// Returns whether an upstream's address refuses connections, as it does when no process listens
    /// there.
    ///
    /// Another host has the last word, where there is one: own links may refuse connections too.
    pub async fn is_refused(&self, upstream: &UpstreamAddress, timeout: Duration) -> bool {
        if !upstream.path.direct {
            return matches!(self.relay(upstream, timeout).await, Relayed::Refused);
        }
        match self.connect_directly(upstream, timeout).await {
            Ok(_) => {
                self.report(upstream, true);
                false
            }
            Err(SendError::Refused(_)) => match self.relay(upstream, timeout).await {
                Relayed::Refused | Relayed::Unavailable(_) => true,
                Relayed::Connected(_) | Relayed::Unreachable => {
                    self.report(upstream, false);
                    false
                }
            },
            Err(_) => {
                self.report(upstream, false);
                false
            }
        }
    }

    /// Opens a connection over this host's own links and keeps it for later requests.
    pub async fn probe(&self, upstream: &UpstreamAddress, timeout: Duration) {
        let connected = self.connect_directly(upstream, timeout).await;
        self.report(upstream, connected.is_ok());
        let Ok(stream) = connected else { return };
        if let Ok(connection) = self.handshake(stream, None).await {
            self.release(upstream, connection, None);
        }
    }

    pub(super) async fn connect(
        &self,
        upstream: &UpstreamAddress,
        timeout: Duration,
    ) -> Result<Connection, SendError> {
        if !upstream.path.direct {
            return match self.relay(upstream, timeout).await {
                Relayed::Connected(stream) => self.handshake_relayed(*stream).await,
                Relayed::Refused => Err(SendError::Refused("relayed connection refused".into())),
                Relayed::Unreachable => Err(SendError::NotSent("no relayed connection".into())),
                Relayed::Unavailable(detail) => Err(SendError::NotSent(detail)),
            };
        }
        match self.connect_directly(upstream, timeout).await {
            Ok(stream) => {
                self.report(upstream, true);
                self.handshake(stream, None).await
            }
            Err(SendError::Refused(detail)) => match self.relay(upstream, timeout).await {
                Relayed::Refused | Relayed::Unavailable(_) => Err(SendError::Refused(detail)),
                Relayed::Unreachable => {
                    self.report(upstream, false);
                    Err(SendError::NotSent(detail))
                }
                Relayed::Connected(stream) => {
                    self.report(upstream, false);
                    self.handshake_relayed(*stream).await
                }
            },
            Err(error) => {
                self.report(upstream, false);
                Err(error)
            }
        }
    }

    /// Asks the hosts of the upstream's path in turn, until one has an answer.
    async fn relay(&self, upstream: &UpstreamAddress, timeout: Duration) -> Relayed {
        let mut unavailable = "no other host relays connections".into();
        for host in &upstream.path.relays {
            let address = self.relays.as_ref().and_then(|relays| relays.resolve(*host));
            let Some(address) = address else { continue };
            match relay::connect(address, &upstream.id, timeout).await {
                Ok(stream) => return Relayed::Connected(Box::new(stream)),
                Err(RelayError::Refused) => return Relayed::Refused,
                Err(RelayError::Unreachable) => return Relayed::Unreachable,
                Err(RelayError::Unavailable(detail)) => {
                    log::debug!(event = "relay-unavailable"; "{detail}");
                    unavailable = detail;
                }
            }
        }
        Relayed::Unavailable(unavailable)
    }

    async fn handshake_relayed(&self, stream: RelayedStream) -> Result<Connection, SendError> {
        let leaving = stream.leaving();
        self.handshake(stream, Some(leaving)).await
    }

    async fn handshake<S>(
        &self,
        stream: S,
        relay_leaving: Option<Arc<AtomicBool>>,
    ) -> Result<Connection, SendError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        self.opened.fetch_add(1, Ordering::Relaxed);
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(&error))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "upstream-connection"; "{error}");
            }
        });
        let carried = CarriedIds::default();
        Ok(Connection { sender, task: task.abort_handle(), carried, relay_leaving })
    }

    fn report(&self, upstream: &UpstreamAddress, opened: bool) {
        let Some(reports) = &self.reports else { return };
        let event = Event::DirectConnection { upstream: upstream.key, opened };
        if reports.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }

    async fn connect_directly(
        &self,
        upstream: &UpstreamAddress,
        timeout: Duration,
    ) -> Result<TcpStream, SendError> {
        let address: SocketAddr = upstream
            .address
            .parse()
            .map_err(|_| not_sent(&format!("{:?} is not an address", upstream.address)))?;
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(SendError::Refused(error.to_string().into()));
            }
            Ok(Err(error)) => return Err(not_sent(&error)),
            Err(_) => return Err(not_sent(&format!("no connection within {timeout:?}"))),
        };
        self.set_options(&stream).map_err(|error| not_sent(&error))?;
        Ok(stream)
    }

    fn set_options(&self, stream: &TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
        if self.drops_unacknowledged {
            set_socket_linger(stream, Some(Duration::ZERO))?;
        }
        Ok(())
    }
}

fn not_sent(error: &dyn std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string().into())
}
