//! Reads a request from its connection, within bounds.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chestnutdrift_core::{ErrorKind, Millis, Problem};
use chestnutdrift_wire::header;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Request};

/// Headers that are handed on to upstreams and other hosts.
const HANDED_ON: [&str; 6] = [
    "content-type",
    header::IDEMPOTENCY_KEY,
    header::REQUEST_ID,
    header::CALLER,
    header::IDEMPOTENT,
    "accept",
];

/// A request as it came in, whole.
#[derive(Debug)]
pub(super) struct Intake {
    pub(super) method: Box<str>,
    pub(super) path: Box<str>,
    pub(super) path_and_query: Box<str>,
    pub(super) trace: Box<str>,
    pub(super) body: Bytes,
    headers: HeaderMap,
}

/// The bounds of a body.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyBounds {
    pub(super) bytes: u64,
    pub(super) timeout: Duration,
}

impl Intake {
    /// Reads a request; `trace` names it where the caller did not.
    pub(super) async fn read(
        request: Request<Incoming>,
        trace: Box<str>,
        bounds: BodyBounds,
    ) -> Result<Self, Problem> {
        let (parts, body) = request.into_parts();
        let read = tokio::time::timeout(bounds.timeout, read_body(body, bounds.bytes)).await;
        let Ok(body) = read else {
            let detail = format!("the body took longer than {:?}", bounds.timeout);
            return Err(Problem::not_run(ErrorKind::SlowSender, detail));
        };
        let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut intake = Self {
            method: parts.method.as_str().into(),
            path: parts.uri.path().into(),
            path_and_query: path_and_query.into(),
            trace,
            body: body?,
            headers: parts.headers,
        };
        if let Some(trace) = intake.header(header::REQUEST_ID) {
            intake.trace = trace.into();
        }
        intake.headers.insert(header::REQUEST_ID, intake.trace_value());
        Ok(intake)
    }

    fn trace_value(&self) -> hyper::header::HeaderValue {
        let unnamed = hyper::header::HeaderValue::from_static("unnamed");
        self.trace.parse().unwrap_or(unnamed)
    }

    /// Returns a header's text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns a parameter of the query.
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

    /// Returns how long the caller will wait, where it says.
    pub(super) fn deadline(&self) -> Result<Option<Millis>, Problem> {
        let Some(text) = self.header(header::DEADLINE_MS) else { return Ok(None) };
        let wrong = || format!("{} {text} is not a number of milliseconds", header::DEADLINE_MS);
        let read = text.parse().map_err(|_| Problem::not_run(ErrorKind::BadRequest, wrong()));
        Ok(Some(Millis(read?)))
    }

    /// Returns how many hosts have handed the call on.
    pub(super) fn hops(&self) -> u8 {
        self.header(header::HOPS).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Tells whether the one run of a recorded request is handed over.
    pub(super) fn granted(&self) -> bool {
        self.header(header::GRANTED) == Some("yes")
    }

    /// Tells whether another host may have run the call already.
    pub(super) fn maybe_ran(&self) -> bool {
        self.header(header::MAYBE_RAN) == Some("yes")
    }

    /// Returns the headers that are handed on.
    pub(super) fn handed_on(&self) -> Vec<(Box<str>, Box<str>)> {
        let mut headers = Vec::new();
        for name in HANDED_ON {
            let Some(value) = self.header(name) else { continue };
            headers.push((name.into(), value.into()));
        }
        headers
    }
}

/// Reads a body of at most `most` bytes.
pub(crate) async fn read_body(mut body: Incoming, most: u64) -> Result<Bytes, Problem> {
    let too_large = || {
        let detail = format!("more than {most} bytes");
        Problem::not_run(ErrorKind::BodyTooLarge, detail)
    };
    if body.size_hint().lower() > most {
        return Err(too_large());
    }
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let broken = |error: hyper::Error| {
            Problem::not_run(ErrorKind::BadRequest, format!("the body broke off: {error}"))
        };
        let Ok(data) = frame.map_err(broken)?.into_data() else { continue };
        if buf.len() as u64 + data.len() as u64 > most {
            return Err(too_large());
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
