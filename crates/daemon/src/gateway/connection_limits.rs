//! Limits of a caller's connection that follow the routing configuration while the connection is open.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;

use super::server::ServerState;

/// The time-out of a head that the HTTP library is given; [`IdleTimer`] ends it earlier.
pub(super) const NOMINAL_HEAD_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// What a connection has read of the head of its next request.
#[derive(Debug)]
pub(super) struct HeadMeter {
    state: Arc<ServerState>,
    is_reading: AtomicBool,
    bytes: AtomicU64,
    exceeded: AtomicBool,
}

impl HeadMeter {
    pub(super) fn new(state: Arc<ServerState>) -> Self {
        let (is_reading, exceeded) = (AtomicBool::new(true), AtomicBool::new(false));
        Self { state, is_reading, bytes: AtomicU64::new(0), exceeded }
    }

    /// Records that a head is complete; its body is not measured.
    pub(super) fn end_head(&self) {
        self.is_reading.store(false, Ordering::Relaxed);
    }

    /// Records that the next head may begin.
    pub(super) fn begin_head(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.is_reading.store(true, Ordering::Relaxed);
    }

    /// Returns whether a head was longer than the limit.
    pub(super) fn is_exceeded(&self) -> bool {
        self.exceeded.load(Ordering::Relaxed)
    }

    /// Returns how many bytes may be read now; `None` without a limit.
    fn remaining(&self) -> Option<u64> {
        let is_reading = self.is_reading.load(Ordering::Relaxed);
        let left =
            || self.state.max_head_bytes().saturating_sub(self.bytes.load(Ordering::Relaxed));
        is_reading.then(left)
    }
}

/// A stream that fails once the head of a request is longer than the limit in force.
#[derive(Debug)]
pub(super) struct HeadLimited<S> {
    pub(super) stream: S,
    pub(super) meter: Arc<HeadMeter>,
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(remaining) = self.meter.remaining() else {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        };
        if remaining == 0 {
            self.meter.exceeded.store(true, Ordering::Relaxed);
            return Poll::Ready(Err(io::Error::other("the head of the request is too long")));
        }
        // The rest of a read may belong to the body, so no more is read than the head may have.
        let limit = usize::try_from(remaining).unwrap_or(usize::MAX).min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let read = part.filled().len();
        self.meter.bytes.fetch_add(read as u64, Ordering::Relaxed);
        buf.advance(read);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// A timer that ends the wait for a head after the idle time-out in force, not after
/// [`NOMINAL_HEAD_TIMEOUT`].
#[derive(Debug, Clone)]
pub(super) struct IdleTimer {
    pub(super) state: Arc<ServerState>,
}

impl Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let since = deadline.checked_sub(NOMINAL_HEAD_TIMEOUT).unwrap_or_else(Instant::now);
        let timeouts = self.state.watch_idle_timeout();
        Box::pin(IdleSleep(Box::pin(wait_until_idle(since, timeouts))))
    }
}

/// Waits until a connection that waits for a head since a time is idle for too long.
async fn wait_until_idle(since: Instant, mut timeouts: watch::Receiver<Duration>) {
    loop {
        let deadline = since + *timeouts.borrow_and_update();
        tokio::select! {
            () = tokio::time::sleep_until(deadline.into()) => return,
            changed = timeouts.changed() => if changed.is_err() { return },
        }
    }
}

struct IdleSleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

impl Sleep for IdleSleep {}
