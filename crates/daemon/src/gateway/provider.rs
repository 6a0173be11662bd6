//! Calls to the infrastructure provider: an HTTP/1.1 client that sends nothing without a lease.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use chestnutdrift_core::Millis;
use chestnutdrift_core::gateway::{Event, ProviderCall, ProviderCallEnd};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::input::{Input, InputSender};
use super::protocol::Protocol;
use crate::clock::Clock;

/// The time-out of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long sent bytes may stay unacknowledged before the kernel resets the connection. Together with
/// [`MAX_CLOCK_GAP`] it is shorter than the 3 s after which another host may call.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 2_000;

/// The interval between two checks of the clock while a call is in progress.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time between two checks. A longer one means that the machine was suspended, during which
/// the kernel's time-out for unacknowledged bytes did not run.
const MAX_CLOCK_GAP: Millis = Millis(500);

/// How long the body of an answer is read after its head has come; the status alone tells the end.
const BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// The most bytes of the body of an answer.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Sends calls to the provider.
#[derive(Debug, Clone)]
pub struct ProviderClient {
    /// The message format of the provider.
    pub protocol: Arc<dyn Protocol>,
    /// The provider's host name or IP address, and its port; `None` if the deployment has none.
    pub address: Option<Arc<str>>,
    /// The clock on which leases expire.
    pub clock: Clock,
    /// The queue of the control thread, to which the end of a call is reported.
    pub inputs: InputSender,
}

impl ProviderClient {
    /// Sends a call and reports its end to the control thread.
    pub async fn run(self, call: ProviderCall) {
        let timeout = Duration::from_millis(call.timeout.0);
        let end = tokio::time::timeout(timeout, self.execute(&call)).await.unwrap_or_else(|_| {
            ProviderCallEnd::Unknown { detail: format!("no answer within {timeout:?}").into() }
        });
        let event = Event::ProviderCallEnded { call: call.call, end };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }

    async fn execute(&self, call: &ProviderCall) -> ProviderCallEnd {
        let unknown = |detail: String| ProviderCallEnd::Unknown { detail: detail.into() };
        let Some(address) = self.address.as_deref() else {
            return unknown("the settings name no provider".into());
        };
        let request = self.protocol.provider_request(call, address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return unknown(format!("no connection: {error}")),
            Err(_) => return unknown(format!("no connection within {CONNECT_TIMEOUT:?}")),
        };
        if self.clock.time_until(call.valid_until).is_zero() {
            return ProviderCallEnd::Expired;
        }
        if let Err(error) = limit_retransmission(&stream) {
            return unknown(error.to_string());
        }
        let stream = LeasedStream { stream, clock: self.clock, valid_until: call.valid_until };
        tokio::select! {
            biased;
            sent = send(stream, request) => match sent {
                Ok(status) => end_of(status),
                Err(detail) => unknown(detail),
            },
            () = suspended_past(self.clock, call.valid_until) => {
                unknown("the host was suspended past the end of the lease".into())
            }
        }
    }
}

/// Makes the kernel drop bytes that the provider has not acknowledged: after a time-out, and at once when
/// the connection is closed, also because the process was killed.
///
/// Otherwise they could be retransmitted, and arrive after a call of the next holder.
fn limit_retransmission(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS)?;
    set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

/// Returns when the host has been suspended and the lease has expired meanwhile.
async fn suspended_past(clock: Clock, valid_until: Millis) {
    loop {
        let checked_at = clock.now().mono;
        tokio::time::sleep(CLOCK_CHECK_INTERVAL).await;
        let now = clock.now().mono;
        if now.since(checked_at) > MAX_CLOCK_GAP && now >= valid_until {
            return;
        }
    }
}

fn end_of(status: StatusCode) -> ProviderCallEnd {
    match status {
        status if status.is_success() => ProviderCallEnd::Accepted,
        StatusCode::CONFLICT => ProviderCallEnd::Unavailable,
        StatusCode::TOO_MANY_REQUESTS => ProviderCallEnd::RateLimited,
        status => ProviderCallEnd::Rejected { status: status.as_u16() },
    }
}

/// Sends a request on a new connection and returns the status of the response.
async fn send(stream: LeasedStream, request: Request<Bytes>) -> Result<StatusCode, String> {
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    let exchange = async {
        let response = sender.send_request(request.map(Full::new)).await;
        let response = response.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
        if !matches!(tokio::time::timeout(BODY_TIMEOUT, body).await, Ok(Ok(_))) {
            log::debug!(event = "provider-body-unread"; "the status alone tells the end");
        }
        Ok(status)
    };
    // The connection is driven here and not in a task, so that it ends with the call's time-out.
    tokio::pin!(exchange);
    tokio::select! {
        ended = &mut exchange => ended,
        closed = connection => match closed {
            Ok(()) => exchange.await,
            Err(error) => Err(error.to_string()),
        },
    }
}

/// A connection on which nothing is written after a lease has expired.
///
/// The lease is checked with each write, after all else that may take time: a host that was suspended
/// between the decision and the write sends nothing when it resumes.
struct LeasedStream {
    stream: TcpStream,
    clock: Clock,
    valid_until: Millis,
}

impl LeasedStream {
    fn check(&self) -> io::Result<()> {
        if self.clock.time_until(self.valid_until).is_zero() {
            return Err(io::Error::other("the lease has expired"));
        }
        Ok(())
    }
}

impl AsyncRead for LeasedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LeasedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
