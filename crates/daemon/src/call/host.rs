//! Calls to other hosts: an exchange is handed on as it came in.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;

use bytes::Bytes;
use chestnutdrift_core::action::Target;
use chestnutdrift_core::event::{AttemptEnd, RecordedAnswer};
use chestnutdrift_core::{ErrorKind, HostId, Problem, Ran};
use chestnutdrift_wire::api::problem::ProblemBody;
use chestnutdrift_wire::header;
use ureq::Body;
use ureq::http::{Request, Response};

use super::clients::end_of;
use super::plain::{content_type, read_answer};
use super::{Adaptor, CallContext, HttpClients};
use crate::exchange::{FullReply, InboundRequest, ReplyPart};

/// The size of the pieces in which a stream is handed back, in bytes.
const PIECE: usize = 16 * 1024;

/// Calls other hosts.
#[derive(Debug, Clone)]
pub struct HostAdaptor {
    clients: HttpClients,
    addresses: BTreeMap<HostId, SocketAddr>,
}

impl HostAdaptor {
    /// Makes the adaptor with the HTTP address of each host.
    #[must_use]
    pub fn new(clients: HttpClients, addresses: BTreeMap<HostId, SocketAddr>) -> Self {
        Self { clients, addresses }
    }
}

impl Adaptor for HostAdaptor {
    fn run(&self, cx: &CallContext<'_>) -> AttemptEnd {
        let not_sent = |detail: &str| AttemptEnd::NotSent { detail: detail.into() };
        let Target::Host { host, hops, granted, maybe_ran } = cx.dispatch.target else {
            return not_sent("the target is not a host");
        };
        let Some(address) = self.addresses.get(&host) else {
            return not_sent("the host's address is not known");
        };
        let Some(exchange) = cx.exchange else {
            return not_sent("there is no exchange");
        };
        let Some(request) = request(&exchange.inbound, *address, cx, (hops, granted, maybe_ran))
        else {
            return not_sent("the call can't be handed on");
        };
        let agent = if granted { &self.clients.unpooled } else { &self.clients.pooled };
        let request = agent.configure_request(request).timeout_global(Some(cx.timeout())).build();
        let answer = match agent.run(request) {
            Ok(answer) => answer,
            Err(error) => return end_of(&error),
        };
        if &*content_type(&answer) == header::EVENT_STREAM {
            return hand_back_stream(cx, answer);
        }
        let replayed = answer.headers().contains_key(header::REPLAYED);
        match read_answer(answer) {
            Ok(answer) => hand_back(cx, answer, replayed),
            Err(end) => end,
        }
    }
}

/// Builds the request that hands a call on; `onward` is how often it will have been handed on,
/// whether its one run is handed over, and whether another host may have run it already.
fn request(
    inbound: &InboundRequest,
    address: SocketAddr,
    cx: &CallContext<'_>,
    onward: (u8, bool, bool),
) -> Option<Request<Vec<u8>>> {
    let (hops, granted, maybe_ran) = onward;
    let url = format!("http://{address}{}", inbound.path);
    let mut builder = Request::builder().method(&*inbound.method).uri(url);
    for (name, value) in &inbound.headers {
        builder = builder.header(&**name, &**value);
    }
    builder = builder
        .header(header::HOPS, hops.to_string())
        .header(header::DEADLINE_MS, cx.dispatch.timeout.0.to_string());
    if granted {
        builder = builder.header(header::GRANTED, "yes");
    }
    if maybe_ran {
        builder = builder.header(header::MAYBE_RAN, "yes");
    }
    builder.body(inbound.body.to_vec()).ok()
}

fn hand_back_stream(cx: &CallContext<'_>, answer: Response<Body>) -> AttemptEnd {
    let Some(exchange) = cx.exchange else { return AttemptEnd::Cancelled };
    let attempt = cx.attempt();
    let start = ReplyPart::Start(answer.status().as_u16(), header::EVENT_STREAM.into());
    if !exchange.write(attempt, start) {
        return AttemptEnd::Cancelled;
    }
    cx.report_progress(1);
    let mut reader = answer.into_body().into_reader();
    let mut buf = vec![0; PIECE];
    loop {
        let read = match reader.read(&mut buf) {
            Ok(read) => read,
            Err(error) => {
                return AttemptEnd::Broken { detail: error.to_string().into() };
            }
        };
        let last = read == 0;
        let piece = if last {
            ReplyPart::End
        } else {
            ReplyPart::Data(Bytes::copy_from_slice(&buf[..read]))
        };
        if cx.is_cancelled() || !exchange.write(attempt, piece) {
            return AttemptEnd::Cancelled;
        }
        if last {
            return AttemptEnd::Whole { output: None, answer: None };
        }
    }
}

fn hand_back(cx: &CallContext<'_>, answer: RecordedAnswer, replayed: bool) -> AttemptEnd {
    let problem = problem_of(&answer);
    if let Some(end) =
        problem.and_then(|problem| end_of_problem(&problem, cx.dispatch.record_answer))
    {
        return end;
    }
    if cx.dispatch.record_answer {
        return AttemptEnd::Whole { output: None, answer: Some(answer) };
    }
    let Some(exchange) = cx.exchange else { return AttemptEnd::Cancelled };
    let mut reply = FullReply::from_recorded(&answer);
    if replayed {
        reply.headers.push((header::REPLAYED, "yes".into()));
    }
    if exchange.write(cx.attempt(), ReplyPart::Full(reply)) {
        AttemptEnd::Whole { output: None, answer: None }
    } else {
        AttemptEnd::Cancelled
    }
}

fn problem_of(answer: &RecordedAnswer) -> Option<Problem> {
    if &*answer.content_type != header::PROBLEM_JSON {
        return None;
    }
    let body: ProblemBody = serde_json::from_slice(&answer.body).ok()?;
    Some(body.into_problem())
}

/// Returns the end of an attempt whose answer is an error that this host's core should deal with.
fn end_of_problem(problem: &Problem, recorded: bool) -> Option<AttemptEnd> {
    let detail = problem.detail.clone();
    let elsewhere = matches!(problem.kind, ErrorKind::HomeUnreachable | ErrorKind::NotReady);
    match problem.ran {
        Ran::No if elsewhere || recorded => Some(AttemptEnd::Refused { detail }),
        Ran::Unknown if recorded => Some(AttemptEnd::Broken { detail }),
        _ => None,
    }
}
