//! The listener and the life of a connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use chestnutdrift_core::event::Arrival;
use chestnutdrift_core::{ErrorKind, Event, Problem, RequestTag};
use chestnutdrift_wire::header;
use crossbeam::channel::{Sender, TrySendError};
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::{Semaphore, mpsc, watch};

use super::calls::{self, Intent};
use super::intake::{BodyBounds, Intake};
use super::metrics;
use super::reply::problem_reply;
use super::router;
use crate::control::Input;
use crate::exchange::{Exchange, FullReply, InboundRequest, ReplyPart};
use crate::settings::Limits;

/// How long the listener rests after a failed accept, such as one without a free descriptor.
const AFTER_FAILED_ACCEPT: Duration = Duration::from_millis(50);

/// How long open connections may take to end when the host stops.
const CLOSING: Duration = Duration::from_secs(10);

/// Threads that own connections.
const THREADS: usize = 2;

/// What is sent to a connection beyond the bound.
const TOO_MANY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\
retry-after: 1\r\nconnection: close\r\n\r\n";

/// The body of an answer.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// What the front is told.
#[derive(Debug, Clone)]
pub struct HttpServerSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// The host's name, given with each answer.
    pub host: Box<str>,
    /// A number that sets this process's request names apart from others'.
    pub boot_id: u64,
    /// The bounds.
    pub limits: Limits,
}

#[derive(Debug)]
struct Front {
    cfg: HttpServerSettings,
    inputs: Sender<Input>,
    tags: AtomicU64,
}

/// The HTTP front of a host.
#[derive(Debug)]
pub struct HttpServer {
    runtime: Runtime,
    stop: watch::Sender<bool>,
    open: Arc<Semaphore>,
    connections: u32,
}

impl HttpServer {
    /// Starts listening.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be bound or the threads can't be started.
    pub fn start(cfg: HttpServerSettings, inputs: Sender<Input>) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(THREADS)
            .thread_name("http")
            .enable_all()
            .build()
            .context("the threads for HTTP can't be started")?;
        let address = cfg.address;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .with_context(|| format!("{address} can't be bound"))?;
        let (stop, stopped) = watch::channel(false);
        let connections = cfg.limits.max_connections;
        let open = Arc::new(Semaphore::new(connections as usize));
        let front = Arc::new(Front { cfg, inputs, tags: AtomicU64::new(1) });
        runtime.spawn(accept(listener, front, Arc::clone(&open), stopped));
        Ok(Self { runtime, stop, open, connections })
    }

    /// Stops listening, lets open connections finish what they hold, and ends the threads.
    pub fn close(self) {
        let Self { runtime, stop, open, connections } = self;
        let _ = stop.send(true);
        runtime.block_on(async {
            let all = open.acquire_many(connections);
            let _ = tokio::time::timeout(CLOSING, all).await;
        });
        runtime.shutdown_background();
    }
}

/// Accepts connections up to the bound of `open`, and serves each until it ends.
pub(crate) async fn accept_connections<F>(
    listener: TcpListener,
    open: Arc<Semaphore>,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept-failed"; "{error}");
                tokio::time::sleep(AFTER_FAILED_ACCEPT).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&open).try_acquire_owned() else {
            tokio::spawn(turn_away(stream));
            continue;
        };
        let served = serve(stream);
        tokio::spawn(async move {
            served.await;
            drop(permit);
        });
    }
}

async fn accept(
    listener: TcpListener,
    front: Arc<Front>,
    open: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    let watched = stopped.clone();
    let each = accept_connections(listener, open, |stream| {
        serve(stream, Arc::clone(&front), watched.clone())
    });
    tokio::select! {
        () = each => {}
        _ = stopped.changed() => {}
    }
}

/// Refuses a connection beyond the bound.
async fn turn_away(mut stream: TcpStream) {
    let _ = stream.write_all(TOO_MANY).await;
    let _ = stream.shutdown().await;
}

async fn serve(stream: TcpStream, front: Arc<Front>, mut stopped: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let head_timeout = front.cfg.limits.head_timeout;
    let service = service_fn(move |request| {
        let front = Arc::clone(&front);
        async move { Ok::<_, Infallible>(front.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.changed() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

impl Front {
    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let began = Instant::now();
        let response = match self.take(request).await {
            Ok(response) => response,
            Err(problem) => full_response(problem_reply(&problem)),
        };
        metrics::observe(began.elapsed().as_secs_f64());
        self.sign(response)
    }

    fn sign(&self, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
        if let Ok(name) = self.cfg.host.parse()
            && !response.headers().contains_key(header::HOST)
        {
            response.headers_mut().insert(header::HOST, name);
        }
        response
    }

    async fn take(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Problem> {
        let tag = RequestTag(self.tags.fetch_add(1, Ordering::Relaxed));
        let route = router::route(request.method().as_str(), request.uri().path());
        let route = route.map_err(|kind| {
            let (method, path) = (request.method(), request.uri().path());
            Problem::not_run(kind, format!("{method} {path}"))
        })?;
        let trace = format!("{}-{:x}-{}", self.cfg.host, self.cfg.boot_id, tag.0).into();
        let limits = &self.cfg.limits;
        let bounds = BodyBounds { bytes: limits.max_body_bytes, timeout: limits.body_timeout };
        let intake = Intake::read(request, trace, bounds).await?;
        match calls::intent(route, &intake)? {
            Intent::Event(event) => self.tell(event),
            Intent::Call(call, shape) => {
                let arrival = Arrival {
                    tag,
                    trace: intake.trace.clone(),
                    deadline: intake.deadline()?,
                    hops: intake.hops(),
                    granted: intake.granted(),
                    maybe_ran: intake.maybe_ran(),
                    call,
                };
                let inbound = InboundRequest {
                    headers: intake.handed_on(),
                    path: intake.path_and_query,
                    method: intake.method,
                    body: intake.body,
                    trace: intake.trace,
                    answer_format: shape,
                };
                self.exchange(arrival, inbound).await
            }
        }
    }

    fn tell(&self, event: Event) -> Result<Response<ResponseBody>, Problem> {
        self.send(Input::Event(event))?;
        Ok(full_response(FullReply::json(200, &serde_json::json!({}))))
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

    async fn exchange(
        &self,
        arrival: Arrival,
        inbound: InboundRequest,
    ) -> Result<Response<ResponseBody>, Problem> {
        let tag = arrival.tag;
        let (exchange, mut replies) = Exchange::open(tag, inbound);
        self.send(Input::Open(arrival, Arc::new(exchange)))?;
        let mut gone = Gone { inputs: &self.inputs, tag, answered: false };
        let first = replies.recv().await;
        gone.answered = true;
        match first {
            Some(ReplyPart::Full(reply)) => Ok(full_response(reply)),
            Some(ReplyPart::Start(status, content_type)) => {
                Ok(streamed(status, &content_type, replies))
            }
            _ => Err(Problem::unknown("the host gave no answer")),
        }
    }
}

/// Tells the core when the caller's connection ends before the answer has begun.
struct Gone<'a> {
    inputs: &'a Sender<Input>,
    tag: RequestTag,
    answered: bool,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let event = Event::CallerGone { tag: self.tag };
        let _ = self.inputs.try_send(Input::Event(event));
    }
}

/// Writes a whole answer.
pub(crate) fn full_response(reply: FullReply) -> Response<ResponseBody> {
    let mut builder =
        Response::builder().status(reply.status).header("content-type", &*reply.content_type);
    for (name, value) in &reply.headers {
        builder = builder.header(*name, &**value);
    }
    builder.body(full_body(reply.body)).unwrap_or_default()
}

/// Makes a body of bytes that are all there.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Passes the pieces of a stream on; one that ends without its end mark breaks the connection off.
fn streamed(
    status: u16,
    content_type: &str,
    replies: mpsc::Receiver<ReplyPart>,
) -> Response<ResponseBody> {
    let frames = stream::unfold(Some(replies), |replies| async {
        let mut replies = replies?;
        match replies.recv().await {
            Some(ReplyPart::Data(data)) => Some((Ok(Frame::data(data)), Some(replies))),
            Some(ReplyPart::End) => None,
            _ => Some((Err(std::io::Error::other("the stream broke off")), None)),
        }
    });
    let body = StreamBody::new(Box::pin(frames)).boxed_unsync();
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .header("cache-control", "no-store")
        .body(body)
        .unwrap_or_default()
}
