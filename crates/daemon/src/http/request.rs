//! Reads requests, within limits of size and time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chestnutdrift_core::{ErrorKind, Millis, Problem};
use chestnutdrift_wire::header;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Request};

/// The headers that are forwarded to upstreams and other hosts.
const FORWARDED_HEADERS: [&str; 6] = [
    "content-type",
    header::IDEMPOTENCY_KEY,
    header::REQUEST_ID,
    header::CALLER,
    header::IDEMPOTENT,
    "accept",
];

/// A request, read to its end.
#[derive(Debug)]
pub(super) struct HttpRequest {
    pub(super) method: Box<str>,
    pub(super) path: Box<str>,
    pub(super) path_and_query: Box<str>,
    pub(super) trace: Box<str>,
    pub(super) body: Bytes,
    headers: HeaderMap,
}

/// The limits on a body.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyLimits {
    pub(super) max_bytes: u64,
    pub(super) timeout: Duration,
}

impl HttpRequest {
    /// Reads a request; `trace` is its ID if the caller sent none.
    pub(super) async fn read(
        request: Request<Incoming>,
        trace: Box<str>,
        limits: BodyLimits,
    ) -> Result<Self, Problem> {
        let (parts, body) = request.into_parts();
        let BodyLimits { max_bytes, timeout } = limits;
        let read = read_body(body, max_bytes, timeout, |_| Ok(()));
        let Ok(body) = tokio::time::timeout(timeout, read).await else {
            let detail = format!("the body took longer than {timeout:?} to arrive");
            return Err(Problem::not_run(ErrorKind::SlowSender, detail));
        };
        let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut http_request = Self {
            method: parts.method.as_str().into(),
            path: parts.uri.path().into(),
            path_and_query: path_and_query.into(),
            trace,
            body: body?,
            headers: parts.headers,
        };
        if let Some(trace) = http_request.header(header::REQUEST_ID) {
            http_request.trace = trace.into();
        }
        http_request.headers.insert(header::REQUEST_ID, http_request.trace_value());
        Ok(http_request)
    }

    fn trace_value(&self) -> hyper::header::HeaderValue {
        let unnamed = hyper::header::HeaderValue::from_static("unnamed");
        self.trace.parse().unwrap_or(unnamed)
    }

    /// Returns the value of a header if it is text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns a parameter of the query, without decoding it.
    pub(super) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path_and_query.split_once('?')?;
        for pair in query.split('&') {
            let Some((key, value)) = pair.split_once('=') else { continue };
            if key == name {
                return Some(value);
            }
        }
        None
    }

    /// Returns how long the caller will wait; `None` if it sent no deadline.
    pub(super) fn deadline(&self) -> Result<Option<Millis>, Problem> {
        let Some(text) = self.header(header::DEADLINE_MS) else { return Ok(None) };
        let invalid = || format!("{} {text} is not a number of milliseconds", header::DEADLINE_MS);
        let deadline = text.parse().map_err(|_| Problem::not_run(ErrorKind::BadRequest, invalid()));
        Ok(Some(Millis(deadline?)))
    }

    /// Returns how many hosts have forwarded the call.
    pub(super) fn hops(&self) -> u8 {
        self.header(header::HOPS).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the single run of a recorded request is granted to this host.
    pub(super) fn granted(&self) -> bool {
        self.header(header::GRANTED) == Some("yes")
    }

    /// Returns whether another host may have run the call already.
    pub(super) fn maybe_ran(&self) -> bool {
        self.header(header::MAYBE_RAN) == Some("yes")
    }

    /// Returns the headers that are forwarded.
    pub(super) fn forwarded_headers(&self) -> Vec<(Box<str>, Box<str>)> {
        let mut headers = Vec::new();
        for name in FORWARDED_HEADERS {
            let Some(value) = self.header(name) else { continue };
            headers.push((name.into(), value.into()));
        }
        headers
    }
}

/// Reads a body of at most `max_bytes` bytes, of which some arrive at least every `idle_timeout`.
///
/// `admit` is called with the length that the head states, before anything is read, and with the
/// length so far before more is kept.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: u64,
    idle_timeout: Duration,
    mut admit: impl FnMut(u64) -> Result<(), Problem>,
) -> Result<Bytes, Problem> {
    let too_large = || {
        let detail = format!("the body has more than {max_bytes} bytes");
        Problem::not_run(ErrorKind::BodyTooLarge, detail)
    };
    if body.size_hint().lower() > max_bytes {
        return Err(too_large());
    }
    admit(body.size_hint().lower())?;
    let mut buf = BytesMut::new();
    loop {
        let Ok(frame) = tokio::time::timeout(idle_timeout, body.frame()).await else {
            let detail = format!("no part of the body arrived for {idle_timeout:?}");
            return Err(Problem::not_run(ErrorKind::SlowSender, detail));
        };
        let Some(frame) = frame else { break };
        let failed = |error: hyper::Error| {
            Problem::not_run(ErrorKind::BadRequest, format!("reading the body failed: {error}"))
        };
        let Ok(data) = frame.map_err(failed)?.into_data() else { continue };
        if buf.len() as u64 + data.len() as u64 > max_bytes {
            return Err(too_large());
        }
        admit(buf.len() as u64 + data.len() as u64)?;
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
