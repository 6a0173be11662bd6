//! One attempt to forward a request.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chestnutdrift_core::gateway::{Forward, ForwardEnd};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::{request, response};
use hyper::{HeaderMap, Response, StatusCode};

use super::pool::{Connection, Pool, SendError};
use super::protocol::{Protocol, ResponseClass};

/// The longest answer that is awaited whole before the caller gets any of it; longer ones are
/// passed on as they come.
const WHOLE_BYTES: usize = 256 * 1024;

/// A caller's request, whole.
#[derive(Debug)]
pub struct Taken {
    /// The head.
    pub head: request::Parts,
    /// The body.
    pub body: Bytes,
}

/// What an attempt brought.
#[derive(Debug)]
pub enum Outcome {
    /// A whole answer for the caller: a success.
    Success(Answered),
    /// A success whose body goes on after what is held of it.
    Passing(Answered, Box<Passing>),
    /// A whole answer for the caller: a failure.
    Failure(Answered),
    /// No answer for the caller.
    None(ForwardEnd),
}

/// An upstream's answer.
#[derive(Debug)]
pub struct Answered {
    /// The status.
    pub status: StatusCode,
    /// The headers that callers get.
    pub headers: HeaderMap,
    /// The body, as far as it was read.
    pub body: Bytes,
}

/// The rest of an answer that is passed on as it comes.
#[derive(Debug)]
pub struct Passing {
    /// The rest of the body.
    pub body: Incoming,
    /// The connection, which must live as long as the body.
    pub connection: Connection,
}

/// Sends a request to an upstream and reads its answer.
pub async fn run(
    protocol: &dyn Protocol,
    pool: &Pool,
    taken: &Taken,
    forward: &Forward,
) -> Outcome {
    let request = protocol.forward_request(&taken.head, &taken.body, forward);
    let connect = Duration::from_millis(forward.connect.0);
    let (response, connection) = match pool.send(&forward.upstream, &request, connect).await {
        Ok(sent) => sent,
        Err(SendError::NotSent(detail)) => return Outcome::None(ForwardEnd::NotSent { detail }),
        Err(SendError::Broken(detail)) => return Outcome::None(ForwardEnd::Broken { detail }),
    };
    let (head, body) = response.into_parts();
    let name = protocol.request_id(&taken.head.headers);
    match protocol.classify_response(name, &forward.upstream, &head) {
        ResponseClass::Mismatched => {
            let detail = "the answer belongs to no request of this connection".into();
            Outcome::None(ForwardEnd::Broken { detail })
        }
        ResponseClass::NotRun { other_instance } => {
            let status = head.status.as_u16();
            let upstream = &forward.upstream;
            if read_whole(body).await.is_ok_and(|read| read.rest.is_none()) {
                pool.keep(upstream, connection, protocol.keep_alive_secs(&head.headers));
            }
            Outcome::None(ForwardEnd::NotRun { status, other_instance })
        }
        verdict => answered(protocol, pool, forward, verdict, (head, body), connection).await,
    }
}

async fn answered(
    protocol: &dyn Protocol,
    pool: &Pool,
    forward: &Forward,
    verdict: ResponseClass,
    response: (response::Parts, Incoming),
    connection: Connection,
) -> Outcome {
    let (head, body) = response;
    let headers = protocol.forwarded_headers(&head.headers);
    let success = verdict == ResponseClass::Success;
    if forward.streamed && success {
        let answer = Answered { status: head.status, headers, body: Bytes::new() };
        return Outcome::Passing(answer, Box::new(Passing { body, connection }));
    }
    let read = match read_whole(body).await {
        Ok(read) => read,
        Err(error) => {
            let detail = format!("the answer broke off: {error}").into();
            return Outcome::None(ForwardEnd::Broken { detail });
        }
    };
    let answer = Answered { status: head.status, headers, body: read.bytes };
    if let Some(body) = read.rest {
        return Outcome::Passing(answer, Box::new(Passing { body, connection }));
    }
    pool.keep(&forward.upstream, connection, protocol.keep_alive_secs(&head.headers));
    if success { Outcome::Success(answer) } else { Outcome::Failure(answer) }
}

struct ReadBody {
    bytes: Bytes,
    rest: Option<Incoming>,
}

/// Reads a body to its end, or as far as is held whole.
async fn read_whole(mut body: Incoming) -> Result<ReadBody, hyper::Error> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        buf.extend_from_slice(&data);
        if buf.len() > WHOLE_BYTES && !body.is_end_stream() {
            return Ok(ReadBody { bytes: buf.freeze(), rest: Some(body) });
        }
    }
    Ok(ReadBody { bytes: buf.freeze(), rest: None })
}

impl Answered {
    /// Returns the answer with a body of another type.
    #[must_use]
    pub fn into_response<B>(self, body: impl FnOnce(Bytes) -> B) -> Response<B> {
        let mut response = Response::new(body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
