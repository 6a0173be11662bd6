//! The listeners of a gateway and the life of an exchange.

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
use crossbeam::channel::{Sender, TrySendError};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, mpsc, watch};

use super::control::{DIRECTIVES_WAITING, Directive, Input};
use super::forward::{self, Answered, Outcome, Passing, Taken};
use super::metrics;
use super::pool::Pool;
use super::protocol::{Listener, Protocol};
use crate::http::{ReplyBody, accept_each, read_body, whole, whole_body};

/// Bytes of a head before the limits of a routing configuration are known.
const FIRST_HEAD_BYTES: u64 = 16 * 1024;

/// The smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8 * 1024;

/// Bytes of a body before the limits of a routing configuration are known.
const FIRST_BODY_BYTES: u64 = 4 * 1024 * 1024;

/// How long a connection may stay idle before the limits of a routing configuration are known.
const FIRST_IDLE_MS: u64 = 15_000;

/// What the listeners and the control thread share.
#[derive(Debug)]
pub struct FrontState {
    head_bytes: AtomicU64,
    body_bytes: AtomicU64,
    idle_ms: AtomicU64,
    draining: AtomicBool,
    close_idle: watch::Sender<bool>,
}

impl Default for FrontState {
    fn default() -> Self {
        Self {
            head_bytes: AtomicU64::new(FIRST_HEAD_BYTES),
            body_bytes: AtomicU64::new(FIRST_BODY_BYTES),
            idle_ms: AtomicU64::new(FIRST_IDLE_MS),
            draining: AtomicBool::new(false),
            close_idle: watch::channel(false).0,
        }
    }
}

impl FrontState {
    /// Sets what callers may send; connections that are open keep their idle time.
    pub fn set_limits(&self, limits: RequestLimits) {
        self.head_bytes.store(limits.head_bytes, Ordering::Relaxed);
        self.body_bytes.store(limits.body_bytes, Ordering::Relaxed);
        self.idle_ms.store(limits.idle_timeout.0, Ordering::Relaxed);
    }

    /// Makes every answer from now on close its connection.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Closes the connections on which no request is answered.
    pub fn close_idle(&self) {
        self.close_idle.send_replace(true);
    }
}

/// Everything that an exchange needs.
#[derive(Debug)]
pub struct Front {
    /// What is spoken.
    pub protocol: Arc<dyn Protocol>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// The control thread.
    pub inputs: Sender<Input>,
    /// What is shared with the control thread.
    pub state: Arc<FrontState>,
    /// Connections at a time.
    pub connections: Arc<Semaphore>,
    /// The next exchange's name.
    pub tags: AtomicU64,
}

impl Front {
    /// Starts listening.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be bound.
    pub fn listen(
        self: &Arc<Self>,
        runtime: &Runtime,
        door: Listener,
        address: SocketAddr,
    ) -> anyhow::Result<()> {
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .with_context(|| format!("{address} can't be bound"))?;
        let (front, open) = (Arc::clone(self), Arc::clone(&self.connections));
        runtime.spawn(accept_each(listener, open, move |stream| {
            serve(stream, Arc::clone(&front), door)
        }));
        Ok(())
    }
}

async fn serve(stream: TcpStream, front: Arc<Front>, door: Listener) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay"; "{error}");
    }
    let mut closing = front.state.close_idle.subscribe();
    let idle = Duration::from_millis(front.state.idle_ms.load(Ordering::Relaxed));
    let head = front.state.head_bytes.load(Ordering::Relaxed);
    let buffer = usize::try_from(head).unwrap_or(usize::MAX).max(LEAST_BUFFER);
    let service = service_fn(move |request| {
        let front = Arc::clone(&front);
        async move { Ok::<_, Infallible>(front.exchange(door, request).await) }
    });
    // The library counts the time for a head from the end of the last answer on, so this bounds
    // idle connections and slow senders alike.
    let connection = http1::Builder::new()
        .max_buf_size(buffer)
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|close| *close) => connection.as_mut().graceful_shutdown(),
    }
    if let Err(error) = connection.await {
        log::debug!(event = "connection"; "{error}");
    }
}

impl Front {
    async fn exchange(&self, door: Listener, request: Request<Incoming>) -> Response<ReplyBody> {
        let began = Instant::now();
        let mut response = match self.open(door, request).await {
            Ok(response) => response,
            Err(problem) => whole(self.protocol.encode_answer(&Answer::Problem(problem))),
        };
        metrics::observe_answer(door, began.elapsed());
        if self.state.draining.load(Ordering::Relaxed) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn open(
        &self,
        door: Listener,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, Problem> {
        let (head, body) = request.into_parts();
        let body = read_body(body, self.state.body_bytes.load(Ordering::Relaxed)).await?;
        let incoming = self.protocol.parse_request(door, &head, &body)?;
        let tag = RequestTag(self.tags.fetch_add(1, Ordering::Relaxed));
        let opened = IncomingCall {
            tag,
            trace: incoming.trace,
            wait_limit: incoming.wait_limit,
            call: incoming.call,
        };
        let (directives, mailbox) = mpsc::channel(DIRECTIVES_WAITING);
        self.send(Input::Open(opened, directives))?;
        let mut gone = Gone { inputs: self.inputs.clone(), tag, armed: true };
        let exchange = Exchange { front: self, tag, taken: Taken { head, body }, held: None };
        let response = exchange.run(mailbox).await;
        gone.armed = false;
        response
    }

    fn send(&self, input: Input) -> Result<(), Problem> {
        match self.inputs.try_send(input) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => Err(Input::queue_full()),
            Err(TrySendError::Disconnected(_)) => {
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

/// Tells the gateway when the caller's connection ends before its answer has begun.
struct Gone {
    inputs: Sender<Input>,
    tag: RequestTag,
    armed: bool,
}

impl Drop for Gone {
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

/// One request of a caller, from its directives to its answer.
struct Exchange<'a> {
    front: &'a Front,
    tag: RequestTag,
    taken: Taken,
    held: Option<Answered>,
}

type Attempt<'a> = Pin<Box<dyn Future<Output = (AttemptKey, Outcome)> + Send + 'a>>;

impl Exchange<'_> {
    async fn run(
        mut self,
        mut mailbox: mpsc::Receiver<Directive>,
    ) -> Result<Response<ReplyBody>, Problem> {
        let mut attempt: Option<Attempt<'_>> = None;
        let front = self.front;
        let taken = Arc::new(std::mem::replace(&mut self.taken, empty()));
        loop {
            let directive = tokio::select! {
                biased;
                outcome = poll(&mut attempt), if attempt.is_some() => {
                    attempt = None;
                    let (key, outcome) = outcome;
                    match self.take_outcome(key, outcome) {
                        Some(response) => return Ok(response),
                        None => continue,
                    }
                }
                directive = mailbox.recv() => directive,
            };
            match directive {
                Some(Directive::Forward(forward)) => {
                    let taken = Arc::clone(&taken);
                    attempt = Some(Box::pin(async move {
                        let key = forward.attempt;
                        let (protocol, pool) = (&*front.protocol, &front.pool);
                        (key, forward::run(protocol, pool, &taken, &forward).await)
                    }));
                }
                Some(Directive::Deliver) => {
                    let held = self.held.take();
                    let lost = || Problem::unknown("the upstream's answer is lost");
                    return held.map(|held| held.into_response(whole_body)).ok_or_else(lost);
                }
                Some(Directive::ReadJob) => {
                    let job = front.protocol.parse_job(&taken.head, &taken.body);
                    front.send(Input::Event(Event::JobRead { tag: self.tag, job }))?;
                }
                Some(Directive::Answer(answer)) => return Ok(respond(front, &answer)),
                None => return Err(Problem::unknown("the host ended before the answer")),
            }
        }
    }

    fn take_outcome(&mut self, key: AttemptKey, outcome: Outcome) -> Option<Response<ReplyBody>> {
        match outcome {
            Outcome::Success(answer) => {
                let status = answer.status.as_u16();
                self.front.report(key, ForwardEnd::Delivered { status });
                Some(answer.into_response(whole_body))
            }
            Outcome::Passing(answer, passing) => {
                let status = answer.status.as_u16();
                self.front.report(key, ForwardEnd::Delivered { status });
                Some(answer.into_response(|held| pass_on(held, *passing)))
            }
            Outcome::Failure(answer) => {
                let status = answer.status.as_u16();
                self.held = Some(answer);
                self.front.report(key, ForwardEnd::Held { status });
                None
            }
            Outcome::None(end) => {
                self.front.report(key, end);
                None
            }
        }
    }
}

fn respond(front: &Front, answer: &Answer) -> Response<ReplyBody> {
    match answer {
        Answer::Counters(counters) => whole(metrics::page(counters, &front.pool)),
        answer => whole(front.protocol.encode_answer(answer)),
    }
}

fn empty() -> Taken {
    Taken { head: Request::new(()).into_parts().0, body: Bytes::new() }
}

async fn poll(attempt: &mut Option<Attempt<'_>>) -> (AttemptKey, Outcome) {
    match attempt {
        Some(attempt) => attempt.await,
        None => std::future::pending().await,
    }
}

/// Passes the rest of a body on as it comes; one that breaks off breaks the caller's off too.
fn pass_on(held: Bytes, passing: Passing) -> ReplyBody {
    let Passing { body, connection } = passing;
    let first = (!held.is_empty()).then_some(held);
    let frames = stream::unfold((first, Some((body, connection))), |(first, rest)| async {
        if let Some(first) = first {
            return Some((Ok(Frame::data(first)), (None, rest)));
        }
        let (mut body, connection) = rest?;
        match body.frame().await? {
            Ok(frame) => Some((Ok(frame), (None, Some((body, connection))))),
            Err(error) => Some((Err(std::io::Error::other(error)), (None, None))),
        }
    });
    StreamBody::new(Box::pin(frames)).boxed_unsync()
}
