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

/// A connection that was opened.
enum Opened {
    Direct(TcpStream),
    Relayed(Box<RelayedStream>),
}

impl Pool {
    /// Returns whether an upstream's address refuses connections, as it does when no process listens
    /// there.
    pub async fn is_refused(&self, upstream: &UpstreamAddress, timeout: Duration) -> bool {
        matches!(self.open(upstream, timeout).await, Err(SendError::Refused(_)))
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
        match self.open(upstream, timeout).await? {
            Opened::Direct(stream) => self.handshake(stream, None).await,
            Opened::Relayed(stream) => {
                let leaving = stream.leaving();
                self.handshake(*stream, Some(leaving)).await
            }
        }
    }

    /// Opens a connection over the upstream's path.
    ///
    /// Where own links refuse it, another host has the last word on whether the upstream does.
    async fn open(
        &self,
        upstream: &UpstreamAddress,
        timeout: Duration,
    ) -> Result<Opened, SendError> {
        if !upstream.path.direct {
            return match self.relay(upstream, timeout).await {
                Ok(stream) => Ok(Opened::Relayed(stream)),
                Err(RelayError::Refused) => Err(SendError::Refused("refused over a relay".into())),
                Err(RelayError::Unreachable) => Err(not_sent(&"not reached over a relay")),
                Err(RelayError::Unavailable(detail)) => Err(SendError::NotSent(detail)),
            };
        }
        let opened = match self.connect_directly(upstream, timeout).await {
            Ok(stream) => Ok(Opened::Direct(stream)),
            Err(SendError::Refused(detail)) => match self.relay(upstream, timeout).await {
                Ok(stream) => Ok(Opened::Relayed(stream)),
                Err(RelayError::Unreachable) => Err(SendError::NotSent(detail)),
                Err(RelayError::Refused | RelayError::Unavailable(_)) => {
                    return Err(SendError::Refused(detail));
                }
            },
            Err(error) => Err(error),
        };
        self.report(upstream, matches!(opened, Ok(Opened::Direct(_))));
        opened
    }

    /// Asks the hosts of the upstream's path in turn, until one has an answer.
    async fn relay(
        &self,
        upstream: &UpstreamAddress,
        timeout: Duration,
    ) -> Result<Box<RelayedStream>, RelayError> {
        let mut unavailable = "no other host relays connections".into();
        for host in &upstream.path.relays {
            let address = self.relays.as_ref().and_then(|relays| relays.resolve(*host));
            let Some(address) = address else { continue };
            match relay::connect(address, &upstream.id, timeout).await {
                Err(RelayError::Unavailable(detail)) => {
                    log::debug!(event = "relay-unavailable"; "{detail}");
                    unavailable = detail;
                }
                answer => return answer.map(Box::new),
            }
        }
        Err(RelayError::Unavailable(unavailable))
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
        set_upstream_options(stream)?;
        if self.drops_unacknowledged {
            set_socket_linger(stream, Some(Duration::ZERO))?;
        }
        Ok(())
    }
}

/// Sets the options of a connection to an upstream, relayed or not.
pub(in crate::gateway) fn set_upstream_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    Ok(())
}

fn not_sent(error: &dyn std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string().into())
}
