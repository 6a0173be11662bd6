//! The listeners of a gateway, and the handling of one request from arrival to answer.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use chestnutdrift_core::directory::RequestLimits;
use chestnutdrift_core::gateway::{Answer, Event, ForwardEnd, IncomingCall};
use chestnutdrift_core::{AttemptKey, ErrorKind, Problem, RequestTag};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_socket_linger;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, mpsc, watch};

use super::bodies::BodyMemory;
use super::connection_limits::{HeadLimited, HeadMeter, IdleTimer, NOMINAL_HEAD_TIMEOUT};
use super::control::{Directive, MAX_QUEUED_DIRECTIVES};
use super::deadline::{self, DeadlineWatch};
use super::forward::{self, Outcome, ReceivedRequest, UpstreamResponse};
use super::input::{Input, InputSender, NotQueued};
use super::metrics;
use super::pool::Pool;
use super::protocol::{Listener, Protocol};
use crate::http::{ResponseBody, accept_connections, full_body, full_response, read_body};

/// The largest request head, in bytes, until a routing configuration sets the limit.
const DEFAULT_MAX_HEAD_BYTES: u64 = 16 * 1024;

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The largest request body, in bytes, until a routing configuration sets the limit.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// How long a connection may stay idle until a routing configuration sets the limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The largest head, in bytes, for which the buffer of an open connection has room, whatever the limit was
/// when it was opened.
const BUFFERED_HEAD_BYTES: u64 = 128 * 1024;

/// The answer to a request whose head is too long.
const HEAD_TOO_LONG: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// The state that the listeners and the control thread share.
#[derive(Debug)]
pub struct ServerState {
    max_head_bytes: AtomicU64,
    max_body_bytes: AtomicU64,
    idle_timeout: watch::Sender<Duration>,
    draining: watch::Sender<bool>,
    close_idle: watch::Sender<bool>,
}

impl Default for ServerState {
    fn default() -> Self {
        Self {
            max_head_bytes: AtomicU64::new(DEFAULT_MAX_HEAD_BYTES),
            max_body_bytes: AtomicU64::new(DEFAULT_MAX_BODY_BYTES),
            idle_timeout: watch::channel(DEFAULT_IDLE_TIMEOUT).0,
            draining: watch::channel(false).0,
            close_idle: watch::channel(false).0,
        }
    }
}

impl ServerState {
    /// Sets the limits of requests, on open connections too.
    pub fn set_limits(&self, limits: RequestLimits) {
        self.max_head_bytes.store(limits.head_bytes, Ordering::Relaxed);
        self.max_body_bytes.store(limits.body_bytes, Ordering::Relaxed);
        self.idle_timeout.send_replace(Duration::from_millis(limits.idle_timeout.0));
    }

    /// Returns how long a connection, or a body that is being read, may stay idle.
    #[must_use]
    pub fn idle_timeout(&self) -> Duration {
        *self.idle_timeout.borrow()
    }

    /// Returns what tells how long a connection may stay idle.
    #[must_use]
    pub fn watch_idle_timeout(&self) -> watch::Receiver<Duration> {
        self.idle_timeout.subscribe()
    }

    /// Returns the largest request head, in bytes.
    #[must_use]
    pub fn max_head_bytes(&self) -> u64 {
        self.max_head_bytes.load(Ordering::Relaxed).max(MIN_BUFFER_BYTES as u64)
    }

    /// Makes every later answer close its connection.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Returns what tells whether the host stops.
    #[must_use]
    pub fn watch_draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Closes the connections that have no request in progress.
    pub fn close_idle(&self) {
        self.close_idle.send_replace(true);
    }
}

/// The HTTP server of a gateway, which its listeners and exchanges share.
#[derive(Debug)]
pub struct Server {
    /// The message format.
    pub protocol: Arc<dyn Protocol>,
    /// The connections to upstreams.
    pub pool: Pool,
    /// The queue of the control thread.
    pub inputs: InputSender,
    /// The state that is shared with the control thread.
    pub state: Arc<ServerState>,
    /// The memory for bodies.
    pub bodies: BodyMemory,
    /// The permits for open connections, one for each.
    pub connections: Arc<Semaphore>,
    /// The permits for answers that are being streamed, one for each connection.
    pub streams: Arc<Semaphore>,
    /// The tag of the next exchange.
    pub next_tag: AtomicU64,
}

impl Server {
    /// Binds an address and starts accepting connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn listen(
        self: &Arc<Self>,
        runtime: &Runtime,
        listener: Listener,
        address: SocketAddr,
    ) -> anyhow::Result<()> {
        let socket = runtime
            .block_on(TcpListener::bind(address))
            .with_context(|| format!("{address} can't be bound"))?;
        let (server, open) = (Arc::clone(self), Arc::clone(&self.connections));
        runtime.spawn(accept_connections(socket, open, move |stream| {
            serve(stream, Arc::clone(&server), listener)
        }));
        Ok(())
    }
}

async fn serve(stream: TcpStream, server: Arc<Server>, listener: Listener) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay"; "{error}");
    }
    let mut close_requested = server.state.close_idle.subscribe();
    let buffered_head_bytes = server.state.max_head_bytes().max(BUFFERED_HEAD_BYTES);
    let buffer = usize::try_from(buffered_head_bytes).unwrap_or(usize::MAX);
    let timer = IdleTimer { state: Arc::clone(&server.state) };
    let meter = Arc::new(HeadMeter::new(Arc::clone(&server.state)));
    let stream = HeadLimited { stream, meter: Arc::clone(&meter) };
    let heads = Arc::clone(&meter);
    let ends_with_connection = Arc::new(AtomicBool::new(false));
    let unframed = Arc::clone(&ends_with_connection);
    let (answering, mut answer) = watch::channel(None);
    let service = service_fn(move |request: Request<Incoming>| {
        let server = Arc::clone(&server);
        unframed.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
        let answering = answering.clone();
        let heads = Arc::clone(&heads);
        heads.end_head();
        async move {
            let mut response = server.handle_request(listener, request).await;
            if server.state.max_head_bytes() > buffered_head_bytes {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            // The rest of a body that was not read in full is no head.
            let is_read = response.status() != StatusCode::PAYLOAD_TOO_LARGE
                && response.status() != StatusCode::REQUEST_TIMEOUT;
            if is_read {
                heads.begin_head();
            }
            answering.send_replace(response.extensions_mut().remove::<DeadlineWatch>());
            Ok::<_, Infallible>(response)
        }
    });
    // The library starts the time for a head at the end of the previous answer, so this time-out
    // bounds idle connections and slow senders alike.
    let mut connection = http1::Builder::new()
        .max_buf_size(buffer)
        .timer(timer)
        .header_read_timeout(NOMINAL_HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut overrun = pin!(deadline::overrun(&mut answer));
    let mut closing = false;
    let end = loop {
        tokio::select! {
            served = &mut connection => break ConnectionEnd::Served(served),
            () = &mut overrun => break ConnectionEnd::AnswerOverrun,
            _ = close_requested.wait_for(|close| *close), if !closing => {
                closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let must_reset = match end {
        ConnectionEnd::Served(Ok(())) => false,
        ConnectionEnd::Served(Err(error)) => {
            log::debug!(event = "connection"; "{error}");
            // An answer by HTTP/1.0 may have no other framing than the end of its connection.
            error.is_user() && ends_with_connection.load(Ordering::Relaxed)
        }
        ConnectionEnd::AnswerOverrun => true,
    };
    let mut stream = connection.into_parts().io.into_inner().stream;
    if must_reset {
        reset(&stream);
    } else if meter.is_exceeded() {
        // The caller may have closed its end.
        let _ = stream.write_all(HEAD_TOO_LONG).await;
        let _ = stream.shutdown().await;
    }
}

/// How a caller's connection ended.
enum ConnectionEnd {
    /// One side closed it, or it failed.
    Served(hyper::Result<()>),
    /// The caller did not read an answer until its deadline.
    AnswerOverrun,
}

/// Makes the end of a connection a reset, so that the peer doesn't take it for the end of an answer.
fn reset(stream: &TcpStream) {
    if let Err(error) = set_socket_linger(stream, Some(Duration::ZERO)) {
        log::debug!(event = "linger"; "{error}");
    }
}

impl Server {
    async fn handle_request(
        &self,
        listener: Listener,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let started = Instant::now();
        let mut response = match self.run_exchange(listener, request).await {
            Ok(response) => response,
            Err(problem) => full_response(self.protocol.encode_answer(&Answer::Problem(problem))),
        };
        metrics::observe_answer(listener, started.elapsed());
        if *self.state.draining.borrow() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn run_exchange(
        &self,
        listener: Listener,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Problem> {
        let (mut head, body) = request.into_parts();
        hide_keys(&mut head.headers);
        let mut reserved = self.bodies.reservation();
        let max_bytes = self.state.max_body_bytes.load(Ordering::Relaxed);
        let admit = |bytes| reserved.extend_to(bytes);
        let body = read_body(body, max_bytes, self.state.idle_timeout(), admit).await?;
        let parsed = self.protocol.parse_request(listener, &head, &body);
        let parsed = parsed.inspect_err(|problem| {
            metrics::count_unreadable_call(listener);
            log::warn!(
                event = "call-unreadable",
                door = listener.name(),
                path = head.uri.path();
                "{}", problem.detail
            );
        })?;
        let tag = RequestTag(self.next_tag.fetch_add(1, Ordering::Relaxed));
        let call = IncomingCall {
            tag,
            trace: parsed.trace,
            wait_limit: parsed.wait_limit,
            call: parsed.call,
        };
        let (tx, rx) = mpsc::channel(MAX_QUEUED_DIRECTIVES);
        self.send(Input::Open(call, tx))?;
        let mut guard = DisconnectGuard { inputs: self.inputs.clone(), tag, armed: true };
        let exchange = Exchange {
            server: self,
            tag,
            received: ReceivedRequest { head, body },
            held_failure: None,
        };
        let response = exchange.run(rx).await;
        drop(reserved);
        guard.armed = false;
        response
    }

    fn send(&self, input: Input) -> Result<(), Problem> {
        match self.inputs.try_send(input) {
            Ok(()) => Ok(()),
            Err(NotQueued::Full(_)) => Err(Input::queue_full()),
            Err(NotQueued::Ended) => {
                Err(Problem::not_run(ErrorKind::NotReady, "the host has stopped"))
            }
        }
    }

    fn report(&self, attempt: AttemptKey, end: ForwardEnd) {
        let event = Event::ForwardEnded { attempt, end };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }
}

/// Reports `CallerGone` to the gateway if it is dropped while armed: the caller's connection has
/// ended before its answer began.
pub(super) struct DisconnectGuard {
    pub(super) inputs: InputSender,
    pub(super) tag: RequestTag,
    pub(super) armed: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let event = Event::CallerGone { tag: self.tag };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }
}

/// One request, which follows the control thread's directives until it has an answer.
struct Exchange<'a> {
    server: &'a Server,
    tag: RequestTag,
    received: ReceivedRequest,
    held_failure: Option<UpstreamResponse>,
}

type Attempt<'a> = Pin<Box<dyn Future<Output = (AttemptKey, Outcome)> + Send + 'a>>;

impl Exchange<'_> {
    async fn run(
        mut self,
        mut directives: mpsc::Receiver<Directive>,
    ) -> Result<Response<ResponseBody>, Problem> {
        let mut attempt: Option<Attempt<'_>> = None;
        let server = self.server;
        let received = Arc::new(std::mem::replace(&mut self.received, empty_request()));
        loop {
            let directive = tokio::select! {
                biased;
                outcome = poll_attempt(&mut attempt), if attempt.is_some() => {
                    attempt = None;
                    let (key, outcome) = outcome;
                    match self.handle_outcome(key, outcome) {
                        Some(response) => return Ok(response),
                        None => continue,
                    }
                }
                directive = directives.recv() => directive,
            };
            match directive {
                Some(Directive::Forward(forward)) => {
                    let received = Arc::clone(&received);
                    attempt = Some(Box::pin(async move {
                        let key = forward.attempt;
                        let (protocol, pool) = (&*server.protocol, &server.pool);
                        (
                            key,
                            forward::run(protocol, pool, &server.inputs, &received, &forward).await,
                        )
                    }));
                }
                Some(Directive::Deliver) => {
                    let held = self.held_failure.take();
                    let lost = || Problem::unknown("the upstream's response was lost");
                    return held.map(|held| held.into_response(full_body)).ok_or_else(lost);
                }
                Some(Directive::ReadJob) => {
                    let job = server.protocol.parse_job(&received.head, &received.body);
                    server.send(Input::Event(Event::JobRead { tag: self.tag, job }))?;
                }
                Some(Directive::Answer(answer)) => return Ok(encode_response(server, &answer)),
                None => return Err(Problem::unknown("the host stopped before it answered")),
            }
        }
    }

    fn handle_outcome(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
    ) -> Option<Response<ResponseBody>> {
        match outcome {
            Outcome::Success(response) => {
                let status = response.status.as_u16();
                self.server.report(key, ForwardEnd::Delivered { status });
                Some(response.into_response(full_body))
            }
            Outcome::Streaming(response, streamed) => {
                let status = response.status.as_u16();
                // The report may be the last work that the host waits for.
                let permit = Arc::clone(&self.server.streams).try_acquire_owned().ok();
                self.server.report(key, ForwardEnd::Begun { status });
                let watch = streamed.watch();
                let body = |held| streamed.permit(permit).into_body(held);
                let mut response = response.into_response(body);
                response.extensions_mut().insert(watch);
                Some(response)
            }
            Outcome::Failure(response) => {
                let status = response.status.as_u16();
                self.held_failure = Some(response);
                self.server.report(key, ForwardEnd::Held { status });
                None
            }
            Outcome::NoResponse(end) => {
                self.server.report(key, end);
                None
            }
        }
    }
}

/// Marks the headers that may carry a key, so that the output of `Debug` does not show them.
fn hide_keys(headers: &mut HeaderMap) {
    for (name, value) in headers.iter_mut() {
        if name == AUTHORIZATION {
            value.set_sensitive(true);
        }
    }
}

fn encode_response(server: &Server, answer: &Answer) -> Response<ResponseBody> {
    match answer {
        Answer::Counters(counters) => full_response(metrics::encode_page(counters, &server.pool)),
        answer => full_response(server.protocol.encode_answer(answer)),
    }
}

fn empty_request() -> ReceivedRequest {
    ReceivedRequest { head: Request::new(()).into_parts().0, body: Bytes::new() }
}

async fn poll_attempt(attempt: &mut Option<Attempt<'_>>) -> (AttemptKey, Outcome) {
    match attempt {
        Some(attempt) => attempt.await,
        None => std::future::pending().await,
    }
}
