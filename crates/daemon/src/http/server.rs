//! The listener and its connections.

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

use super::metrics;
use super::parse::{self, ParsedRequest};
use super::reply::encode_problem;
use super::request::{BodyLimits, HttpRequest};
use super::router;
use crate::control::Input;
use crate::exchange::{Exchange, FullReply, InboundRequest, ReplyPart};
use crate::settings::Limits;

/// How long the listener pauses after a failed accept, for example without a free descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long open connections may take to end when the host stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of threads that serve connections.
const WORKER_THREADS: usize = 2;

/// The response to a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\
retry-after: 1\r\nconnection: close\r\n\r\n";

/// The body of an answer.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// The settings of an HTTP server.
#[derive(Debug, Clone)]
pub struct HttpServerSettings {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The host's name, sent in a header of each answer.
    pub host: Box<str>,
    /// A number that makes the request IDs of this process differ from those of other processes.
    pub boot_id: u64,
    /// The limits on connections, heads and bodies.
    pub limits: Limits,
}

#[derive(Debug)]
struct RequestHandler {
    cfg: HttpServerSettings,
    inputs: Sender<Input>,
    next_tag: AtomicU64,
}

/// The HTTP server of a host.
#[derive(Debug)]
pub struct HttpServer {
    runtime: Runtime,
    stop: watch::Sender<bool>,
    permits: Arc<Semaphore>,
    max_connections: u32,
}

impl HttpServer {
    /// Starts listening.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the threads can't be started.
    pub fn start(cfg: HttpServerSettings, inputs: Sender<Input>) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name("http")
            .enable_all()
            .build()
            .context("can't start the HTTP threads")?;
        let address = cfg.address;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .with_context(|| format!("{address} can't be bound"))?;
        let (stop, stopped) = watch::channel(false);
        let max_connections = cfg.limits.max_connections;
        let permits = Arc::new(Semaphore::new(max_connections as usize));
        let handler = Arc::new(RequestHandler { cfg, inputs, next_tag: AtomicU64::new(1) });
        runtime.spawn(listen(listener, handler, Arc::clone(&permits), stopped));
        Ok(Self { runtime, stop, permits, max_connections })
    }

    /// Stops listening, lets open connections finish their requests, and ends the threads.
    pub fn close(self) {
        let Self { runtime, stop, permits, max_connections } = self;
        let _ = stop.send(true);
        runtime.block_on(async {
            let all = permits.acquire_many(max_connections);
            let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, all).await;
        });
        runtime.shutdown_background();
    }
}

/// Accepts as many connections at a time as there are `permits`, and serves each until it ends;
/// further ones are refused.
pub(crate) async fn accept_connections<F>(
    listener: TcpListener,
    permits: Arc<Semaphore>,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept-failed"; "{error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            tokio::spawn(refuse(stream));
            continue;
        };
        let served = serve(stream);
        tokio::spawn(async move {
            served.await;
            drop(permit);
        });
    }
}

async fn listen(
    listener: TcpListener,
    handler: Arc<RequestHandler>,
    permits: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    let stop_signal = stopped.clone();
    let each = accept_connections(listener, permits, |stream| {
        serve_connection(stream, Arc::clone(&handler), stop_signal.clone())
    });
    tokio::select! {
        () = each => {}
        _ = stopped.changed() => {}
    }
}

/// Refuses a connection beyond the limit.
async fn refuse(mut stream: TcpStream) {
    let _ = stream.write_all(TOO_MANY_CONNECTIONS).await;
    let _ = stream.shutdown().await;
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<RequestHandler>,
    mut stopped: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let head_timeout = handler.cfg.limits.head_timeout;
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
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

impl RequestHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let started = Instant::now();
        let response = match self.dispatch(request).await {
            Ok(response) => response,
            Err(problem) => full_response(encode_problem(&problem)),
        };
        metrics::observe(started.elapsed().as_secs_f64());
        self.add_host_header(response)
    }

    fn add_host_header(&self, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
        if let Ok(name) = self.cfg.host.parse()
            && !response.headers().contains_key(header::HOST)
        {
            response.headers_mut().insert(header::HOST, name);
        }
        response
    }

    async fn dispatch(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Problem> {
        let tag = RequestTag(self.next_tag.fetch_add(1, Ordering::Relaxed));
        let route = router::route(request.method().as_str(), request.uri().path());
        let route = route.map_err(|kind| {
            let (method, path) = (request.method(), request.uri().path());
            Problem::not_run(kind, format!("{method} {path}"))
        })?;
        let trace = format!("{}-{:x}-{}", self.cfg.host, self.cfg.boot_id, tag.0).into();
        let limits = &self.cfg.limits;
        let body_limits =
            BodyLimits { max_bytes: limits.max_body_bytes, timeout: limits.body_timeout };
        let http_request = HttpRequest::read(request, trace, body_limits).await?;
        match parse::parse_request(route, &http_request)? {
            ParsedRequest::Event(event) => self.send_event(event),
            ParsedRequest::Call(call, shape) => {
                let arrival = Arrival {
                    tag,
                    trace: http_request.trace.clone(),
                    deadline: http_request.deadline()?,
                    hops: http_request.hops(),
                    granted: http_request.granted(),
                    maybe_ran: http_request.maybe_ran(),
                    call,
                };
                let inbound = InboundRequest {
                    headers: http_request.forwarded_headers(),
                    path: http_request.path_and_query,
                    method: http_request.method,
                    body: http_request.body,
                    trace: http_request.trace,
                    answer_format: shape,
                };
                self.exchange(arrival, inbound).await
            }
        }
    }

    fn send_event(&self, event: Event) -> Result<Response<ResponseBody>, Problem> {
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
        let mut guard = CallerGuard { inputs: &self.inputs, tag, answered: false };
        let first = replies.recv().await;
        guard.answered = true;
        match first {
            Some(ReplyPart::Full(reply)) => Ok(full_response(reply)),
            Some(ReplyPart::Start(status, content_type)) => {
                Ok(streamed_response(status, &content_type, replies))
            }
            _ => Err(Problem::unknown("the host sent no answer")),
        }
    }
}

/// Reports to the core if the caller's connection ends before the answer has started.
struct CallerGuard<'a> {
    inputs: &'a Sender<Input>,
    tag: RequestTag,
    answered: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let event = Event::CallerGone { tag: self.tag };
        let _ = self.inputs.try_send(Input::Event(event));
    }
}

/// Converts a whole reply to a response.
pub(crate) fn full_response(reply: FullReply) -> Response<ResponseBody> {
    let mut builder =
        Response::builder().status(reply.status).header("content-type", &*reply.content_type);
    for (name, value) in &reply.headers {
        builder = builder.header(*name, &**value);
    }
    builder.body(full_body(reply.body)).unwrap_or_default()
}

/// Creates a body from all of its bytes.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Streams replies as a response; if they end without the end mark, the connection is aborted.
fn streamed_response(
    status: u16,
    content_type: &str,
    replies: mpsc::Receiver<ReplyPart>,
) -> Response<ResponseBody> {
    let frames = stream::unfold(Some(replies), |replies| async {
        let mut replies = replies?;
        match replies.recv().await {
            Some(ReplyPart::Data(data)) => Some((Ok(Frame::data(data)), Some(replies))),
            Some(ReplyPart::End) => None,
            _ => Some((Err(std::io::Error::other("the stream ended without its end mark")), None)),
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
