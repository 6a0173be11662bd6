//! Calls to other hosts, to which an exchange is forwarded as it was received.

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

use super::clients::end_from_error;
use super::plain::{content_type, read_answer};
use super::{Adaptor, CallContext, HttpClients};
use crate::exchange::{FullReply, InboundRequest, ReplyPart};

/// The size of the chunks in which a streamed answer is relayed.
const CHUNK_BYTES: usize = 16 * 1024;

/// The adaptor for other hosts.
#[derive(Debug, Clone)]
pub struct HostAdaptor {
    clients: HttpClients,
    addresses: BTreeMap<HostId, SocketAddr>,
}

impl HostAdaptor {
    /// Creates the adaptor, given the HTTP address of each host.
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
            return not_sent("the address of the host is unknown");
        };
        let Some(exchange) = cx.exchange else {
            return not_sent("the attempt has no exchange");
        };
        let Some(request) =
            build_request(&exchange.inbound, *address, cx, (hops, granted, maybe_ran))
        else {
            return not_sent("the request to the host can't be built");
        };
        let client = if granted { &self.clients.unpooled } else { &self.clients.pooled };
        let request = client.configure_request(request).timeout_global(Some(cx.timeout())).build();
        let answer = match client.run(request) {
            Ok(answer) => answer,
            Err(error) => return end_from_error(&error),
        };
        if &*content_type(&answer) == header::EVENT_STREAM {
            return relay_stream(cx, answer);
        }
        let replayed = answer.headers().contains_key(header::REPLAYED);
        match read_answer(answer) {
            Ok(answer) => relay_answer(cx, answer, replayed),
            Err(end) => end,
        }
    }
}

/// Builds the request that forwards a call.
///
/// `forwarding` holds the number of hops, whether the single run of a recorded request is granted
/// to the other host, and whether another host may have run the call already.
fn build_request(
    inbound: &InboundRequest,
    address: SocketAddr,
    cx: &CallContext<'_>,
    forwarding: (u8, bool, bool),
) -> Option<Request<Vec<u8>>> {
    let (hops, granted, maybe_ran) = forwarding;
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

fn relay_stream(cx: &CallContext<'_>, answer: Response<Body>) -> AttemptEnd {
    let Some(exchange) = cx.exchange else { return AttemptEnd::Cancelled };
    let attempt = cx.attempt();
    let start = ReplyPart::Start(answer.status().as_u16(), header::EVENT_STREAM.into());
    if !exchange.write(attempt, start) {
        return AttemptEnd::Cancelled;
    }
    cx.report_progress(1);
    let mut reader = answer.into_body().into_reader();
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let read = match reader.read(&mut buf) {
            Ok(read) => read,
            Err(error) => {
                return AttemptEnd::Broken { detail: error.to_string().into() };
            }
        };
        let last = read == 0;
        let reply = if last {
            ReplyPart::End
        } else {
            ReplyPart::Data(Bytes::copy_from_slice(&buf[..read]))
        };
        if cx.is_cancelled() || !exchange.write(attempt, reply) {
            return AttemptEnd::Cancelled;
        }
        if last {
            return AttemptEnd::Whole { output: None, answer: None };
        }
    }
}

fn relay_answer(cx: &CallContext<'_>, answer: RecordedAnswer, replayed: bool) -> AttemptEnd {
    let problem = parse_problem(&answer);
    if let Some(end) =
        problem.and_then(|problem| end_from_problem(&problem, cx.dispatch.record_answer))
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

fn parse_problem(answer: &RecordedAnswer) -> Option<Problem> {
    if &*answer.content_type != header::PROBLEM_JSON {
        return None;
    }
    let body: ProblemBody = serde_json::from_slice(&answer.body).ok()?;
    Some(body.into_problem())
}

/// Returns the end of an attempt whose answer is an error for this host's core to handle; `None`
/// if the error goes to the caller.
fn end_from_problem(problem: &Problem, recorded: bool) -> Option<AttemptEnd> {
    let detail = problem.detail.clone();
    let other_host_may_answer =
        matches!(problem.kind, ErrorKind::HomeUnreachable | ErrorKind::NotReady);
    match problem.ran {
        Ran::No if other_host_may_answer || recorded => Some(AttemptEnd::Refused { detail }),
        Ran::Unknown if recorded => Some(AttemptEnd::Broken { detail }),
        _ => None,
    }
}
