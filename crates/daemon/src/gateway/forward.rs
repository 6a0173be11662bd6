//! One exchange of a request with an upstream: a caller's request, or a reward call.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chestnutdrift_core::gateway::{Forward, ForwardEnd, UpstreamAddress};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, Response, StatusCode};

use super::deadline::AnswerDeadline;
use super::events::EventBoundary;
use super::input::InputSender;
use super::late_end::LateEndReport;
use super::pool::{Connection, Pool, SendError};
use super::protocol::{Protocol, ResponseClass};
use super::statements::report_statements;
use super::stream::StreamedBody;

/// The largest response body, in bytes, that is read in full before the caller gets any of it;
/// longer ones are streamed.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// How long the rest of a refusal is read, so that its connection can be used again.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// A caller's request, read in full.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The head.
    pub head: request::Parts,
    /// The body.
    pub body: Bytes,
}

/// The result of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// A complete response for the caller: a success.
    Success(UpstreamResponse),
    /// A response whose body continues after the part that has been read.
    Streaming(UpstreamResponse, Box<StreamedBody>),
    /// A complete response for the caller: a failure.
    Failure(UpstreamResponse),
    /// No response for the caller.
    NoResponse(ForwardEnd),
}

/// An upstream's response.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers that are passed on to the caller.
    pub headers: HeaderMap,
    /// The part of the body that has been read.
    pub body: Bytes,
}

/// A response whose head has come.
struct ReceivedResponse {
    success: bool,
    head: response::Parts,
    body: Incoming,
    connection: Connection,
    deadline: AnswerDeadline,
}

/// A request for an upstream, encoded.
#[derive(Debug)]
pub(super) struct UpstreamCall<'a> {
    /// The request.
    pub(super) request: Request<Bytes>,
    /// The id of the request, where it has one.
    pub(super) request_id: Option<&'a str>,
    /// The upstream.
    pub(super) upstream: &'a UpstreamAddress,
    /// The time limit of a new connection.
    pub(super) connect_timeout: Duration,
    /// The time limit of the whole answer.
    pub(super) timeout: Duration,
    /// Whether a success is passed on as it arrives; otherwise once it is whole.
    pub(super) streamed: bool,
}

/// Forwards a caller's request to an upstream and reads its response.
///
/// If the attempt is dropped, `inputs` is told later if the upstream has ended.
pub async fn run(
    protocol: &dyn Protocol,
    pool: &Pool,
    inputs: &InputSender,
    received: &ReceivedRequest,
    forward: &Forward,
) -> Outcome {
    let mut report = Some(LateEndReport::new(pool, inputs, forward));
    let call = UpstreamCall {
        request: protocol.forward_request(&received.head, &received.body, forward),
        request_id: protocol.request_id(&received.head.headers),
        upstream: &forward.upstream,
        connect_timeout: Duration::from_millis(forward.connect.0),
        timeout: Duration::from_millis(forward.deadline.0),
        streamed: forward.streamed,
    };
    let outcome = call.send(protocol, pool, inputs, &mut report).await;
    if let Some(report) = report {
        report.close();
    }
    outcome
}

impl UpstreamCall<'_> {
    /// Sends the request to its upstream and reads the response; a streamed body takes the report.
    ///
    /// A connection whose response was read in full goes back to the pool. What the response says
    /// about its upstream is reported to `inputs` as soon as its head has come.
    pub(super) async fn send(
        &self,
        protocol: &dyn Protocol,
        pool: &Pool,
        inputs: &InputSender,
        report: &mut Option<LateEndReport>,
    ) -> Outcome {
        let deadline = AnswerDeadline::new(self.timeout, self.upstream, self.request_id);
        let sent =
            pool.send(self.upstream, &self.request, self.request_id, self.connect_timeout).await;
        let (response, connection) = match sent {
            Ok(sent) => sent,
            Err(SendError::NotSent(detail)) => {
                return Outcome::NoResponse(ForwardEnd::NotSent { detail });
            }
            Err(SendError::Refused(detail)) => {
                return Outcome::NoResponse(ForwardEnd::ConnectRefused { detail });
            }
            Err(SendError::Broken(detail)) => return self.broken(pool, detail).await,
        };
        let (head, body) = response.into_parts();
        let call = format!("request={}", self.request_id.unwrap_or_default());
        report_statements(protocol, inputs, self.upstream, &head, self.request_id, call);
        match protocol.classify_response(self.request_id, self.upstream, &head) {
            ResponseClass::Mismatched => {
                let detail = "the response does not match the request".into();
                Outcome::NoResponse(ForwardEnd::Broken { detail })
            }
            ResponseClass::NotRun { other_instance } => {
                let status = head.status.as_u16();
                let read = tokio::time::timeout(REFUSAL_READ_TIMEOUT, read_up_to_limit(body)).await;
                if matches!(read, Ok(Ok(BufferedBody { rest: None, .. }))) {
                    let keep_alive_secs = protocol.keep_alive_secs(&head.headers);
                    pool.release(self.upstream, connection, keep_alive_secs);
                }
                Outcome::NoResponse(ForwardEnd::NotRun { status, other_instance })
            }
            class => {
                let success = class == ResponseClass::Success;
                let received = ReceivedResponse { success, head, body, connection, deadline };
                self.read_response(protocol, pool, report, received).await
            }
        }
    }

    /// Returns the outcome of an attempt whose connection broke, after a check whether the upstream's
    /// process has ended.
    async fn broken(&self, pool: &Pool, detail: Box<str>) -> Outcome {
        let ended = pool.is_refused(self.upstream, self.connect_timeout).await;
        Outcome::NoResponse(if ended {
            ForwardEnd::UpstreamEnded { detail }
        } else {
            ForwardEnd::Broken { detail }
        })
    }

    async fn read_response(
        &self,
        protocol: &dyn Protocol,
        pool: &Pool,
        report: &mut Option<LateEndReport>,
        received: ReceivedResponse,
    ) -> Outcome {
        let ReceivedResponse { success, head, body, connection, deadline } = received;
        let headers = protocol.forwarded_headers(&head.headers);
        if self.streamed && success {
            let events = is_event_stream(&head.headers).then(EventBoundary::default);
            let answer = UpstreamResponse { status: head.status, headers, body: Bytes::new() };
            let streamed = StreamedBody::new(body, connection, deadline);
            let streamed = streamed.report(report.take()).events(events);
            return Outcome::Streaming(answer, Box::new(streamed));
        }
        let buffered = match read_up_to_limit(body).await {
            Ok(buffered) => buffered,
            Err(error) => {
                let detail = format!("the response was cut off: {error}").into();
                return self.broken(pool, detail).await;
            }
        };
        let answer = UpstreamResponse { status: head.status, headers, body: buffered.bytes };
        if let Some(body) = buffered.rest {
            let streamed = StreamedBody::new(body, connection, deadline).report(report.take());
            return Outcome::Streaming(answer, Box::new(streamed));
        }
        pool.release(self.upstream, connection, protocol.keep_alive_secs(&head.headers));
        if success { Outcome::Success(answer) } else { Outcome::Failure(answer) }
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = media_type.and_then(|value| value.split(';').next()).unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}

struct BufferedBody {
    bytes: Bytes,
    rest: Option<Incoming>,
}

/// Reads a body to its end, or until more than [`MAX_BUFFERED_BYTES`] have come.
async fn read_up_to_limit(mut body: Incoming) -> Result<BufferedBody, hyper::Error> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        buf.extend_from_slice(&data);
        if buf.len() > MAX_BUFFERED_BYTES && !body.is_end_stream() {
            return Ok(BufferedBody { bytes: buf.freeze(), rest: Some(body) });
        }
    }
    Ok(BufferedBody { bytes: buf.freeze(), rest: None })
}

impl UpstreamResponse {
    /// Returns the response, with its body converted by `body`.
    #[must_use]
    pub fn into_response<B>(self, body: impl FnOnce(Bytes) -> B) -> Response<B> {
        let mut response = Response::new(body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
