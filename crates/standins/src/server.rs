//! A small HTTP server for the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A request that has been read whole.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The method.
    pub method: Box<str>,
    /// The path.
    pub path: Box<str>,
    /// The `Idempotency-Key`, or nothing.
    pub key: Box<str>,
    /// The body.
    pub body: Bytes,
}

/// A server with threads of its own.
#[derive(Debug)]
pub struct Server {
    runtime: Runtime,
    address: SocketAddr,
}

impl Server {
    /// Starts a server on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be bound.
    pub fn start<H, F>(address: SocketAddr, handler: H) -> anyhow::Result<Self>
    where
        H: Fn(IncomingRequest) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .context("the stand-in's thread can't be started")?;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .with_context(|| format!("{address} can't be bound"))?;
        let address = listener.local_addr()?;
        runtime.spawn(accept(listener, handler));
        Ok(Self { runtime, address })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs something else on the server's thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
    }

    /// Breaks everything off.
    pub fn close(self) {
        self.runtime.shutdown_background();
    }
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(IncomingRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(answer(request, handler).await) }
        });
        tokio::spawn(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer<H, F>(request: Request<Incoming>, handler: H) -> Response<Body>
where
    H: Fn(IncomingRequest) -> F,
    F: Future<Output = Response<Body>>,
{
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return json(400, &"the body broke off");
    };
    let key = parts.headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let incoming = IncomingRequest {
        method: parts.method.as_str().into(),
        path: parts.uri.path().into(),
        key: key.unwrap_or_default().into(),
        body: body.to_bytes(),
    };
    handler(incoming).await
}

/// Makes an answer of JSON.
#[must_use]
pub fn json(status: u16, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let body = Full::new(Bytes::from(bytes)).boxed_unsync();
    let builder = Response::builder().status(status).header("content-type", "application/json");
    builder.body(body).unwrap_or_default()
}
