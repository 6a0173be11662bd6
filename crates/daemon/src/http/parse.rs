//! Parses paths, headers and bodies into typed calls.

use chestnutdrift_core::event::{Call, Event, Query, RunCall, UpstreamSpec};
use chestnutdrift_core::timeline::Stamp;
use chestnutdrift_core::{ErrorKind, Millis, Problem, checksum};
use chestnutdrift_wire::api::chat::{ChatBody, ChatWriter};
use chestnutdrift_wire::api::operator::{ChangeBody, OrderBody};
use chestnutdrift_wire::api::trainer::{PublishBody, SubmitBody};
use chestnutdrift_wire::api::upstream::{AnnounceBody, LeaveBody, LoadReportBody};
use chestnutdrift_wire::header;
use serde::de::DeserializeOwned;

use super::request::HttpRequest;
use super::router::Route;
use crate::clock;
use crate::exchange::AnswerFormat;

/// The most samples that one fetch returns.
const MAX_SAMPLES: u32 = 4_096;

/// The most samples that a fetch returns if the trainer sets no limit.
const DEFAULT_SAMPLES: u32 = 256;

/// How long a fetch may wait for its first sample.
const MAX_FETCH_WAIT: Millis = Millis(60_000);

/// The length of the prompt prefix by which related prompts are recognised.
const PREFIX_BYTES: usize = 256;

/// A parsed request.
#[derive(Debug)]
pub(super) enum ParsedRequest {
    /// A call that the core answers.
    Call(Call, AnswerFormat),
    /// An event for the core; the sender gets an empty answer at once.
    Event(Event),
}

/// Parses a request to a route.
pub(super) fn parse_request(route: Route, request: &HttpRequest) -> Result<ParsedRequest, Problem> {
    match route {
        Route::Chat => parse_chat(request),
        Route::Service { service, path } => Ok(service_call(request, service, path)),
        Route::Submit { trainer, step } => {
            let body: SubmitBody = parse_body(request)?;
            let (service, groups) = (body.service, body.groups);
            core_call(Call::Submit { trainer, service, step, groups })
        }
        Route::Fetch { trainer } => parse_fetch(request, trainer),
        Route::Publish { trainer } => {
            let body: PublishBody = parse_body(request)?;
            core_call(Call::Publish { trainer, service: body.service, version: body.version })
        }
        Route::Announce => parse_announcement(request),
        Route::Load => {
            let body: LoadReportBody = parse_body(request)?;
            let (name, running, waiting) = (body.name, body.running, body.waiting);
            Ok(ParsedRequest::Event(Event::Load { name, running, waiting }))
        }
        Route::Leave => {
            let body: LeaveBody = parse_body(request)?;
            Ok(ParsedRequest::Event(Event::Leaving { name: body.name }))
        }
        Route::Change => {
            let body: ChangeBody = parse_body(request)?;
            let invalid = |detail| Problem::not_run(ErrorKind::ChangeInvalid, detail);
            core_call(Call::Change(body.into_change().map_err(invalid)?))
        }
        Route::Order => {
            let body: OrderBody = parse_body(request)?;
            let task = body.task().map_err(bad_request)?;
            core_call(Call::Order { zone: body.zone, upstream: body.upstream, task })
        }
        Route::Drain => core_call(Call::Drain),
        other => core_call(Call::Query(parse_query(&other, request)?)),
    }
}

fn core_call(call: Call) -> Result<ParsedRequest, Problem> {
    Ok(ParsedRequest::Call(call, AnswerFormat::Core))
}

fn bad_request(detail: impl Into<Box<str>>) -> Problem {
    Problem::not_run(ErrorKind::BadRequest, detail)
}

fn parse_body<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, Problem> {
    serde_json::from_slice(&request.body)
        .map_err(|error| bad_request(format!("invalid body: {error}")))
}

fn parse_number(request: &HttpRequest, name: &str, default: u64) -> Result<u64, Problem> {
    let Some(text) = request.query(name) else { return Ok(default) };
    text.parse().map_err(|_| bad_request(format!("{name}={text} is not a whole number")))
}

fn parse_chat(request: &HttpRequest) -> Result<ParsedRequest, Problem> {
    let body: ChatBody = parse_body(request)?;
    if body.model.is_empty() || body.messages.is_empty() {
        return Err(bad_request("the body needs a model and at least one message"));
    }
    if body.token_limit() == 0 {
        return Err(bad_request("the token limit must be at least 1"));
    }
    let prompt = body.prompt();
    let prefix_end =
        (0..=PREFIX_BYTES.min(prompt.len())).rev().find(|at| prompt.is_char_boundary(*at));
    let prefix = checksum(&[&prompt[..prefix_end.unwrap_or(0)]]);
    let call = run_call(request, body.model.clone(), body.token_limit(), prefix);
    let created = clock::wall().0 / 1_000;
    let writer = ChatWriter::new(request.trace.clone(), &body, created);
    Ok(ParsedRequest::Call(Call::Run(call), AnswerFormat::Chat { body: Box::new(body), writer }))
}

fn service_call(request: &HttpRequest, service: Box<str>, path: Box<str>) -> ParsedRequest {
    let call = run_call(request, service, 1, 0);
    ParsedRequest::Call(Call::Run(call), AnswerFormat::Plain { path })
}

fn run_call(request: &HttpRequest, service: Box<str>, tokens: u32, prefix: u64) -> RunCall {
    let body = String::from_utf8_lossy(&request.body);
    RunCall {
        caller: request.header(header::CALLER).unwrap_or("anonymous").into(),
        service,
        idempotent: request.header(header::IDEMPOTENT) != Some("no"),
        key: request.header(header::IDEMPOTENCY_KEY).map(Into::into),
        fingerprint: checksum(&[&request.path, &body]),
        max_tokens: tokens,
        prefix_checksum: prefix,
    }
}

fn parse_fetch(request: &HttpRequest, trainer: Box<str>) -> Result<ParsedRequest, Problem> {
    let cursor = parse_number(request, "cursor", 0)?;
    let max = parse_number(request, "max", u64::from(DEFAULT_SAMPLES))?.min(u64::from(MAX_SAMPLES));
    let wait = Millis(parse_number(request, "wait_ms", 0)?).min(MAX_FETCH_WAIT);
    let max = u32::try_from(max).unwrap_or(MAX_SAMPLES);
    core_call(Call::Fetch { trainer, cursor, max, wait })
}

fn parse_announcement(request: &HttpRequest) -> Result<ParsedRequest, Problem> {
    let body: AnnounceBody = parse_body(request)?;
    let address: Result<std::net::SocketAddr, _> = body.address.parse();
    if address.is_err() {
        return Err(bad_request(format!(
            "address {} is not an IP address with a port",
            body.address
        )));
    }
    if body.name.is_empty() || body.service.is_empty() || body.slots == 0 {
        return Err(bad_request("an announcement needs a name, a service and at least one slot"));
    }
    Ok(ParsedRequest::Event(Event::Announced(UpstreamSpec::from(body))))
}

fn parse_query(route: &Route, request: &HttpRequest) -> Result<Query, Problem> {
    let query = match route {
        Route::Settings => Query::Settings { service: request.query("service").map(Into::into) },
        Route::Hosts => Query::Hosts,
        Route::Upstreams => Query::Upstreams,
        Route::Trainers => Query::Trainers,
        Route::Timeline => {
            let wall = Millis(parse_number(request, "after_ms", 0)?);
            let count = u32::try_from(parse_number(request, "after_count", 0)?).unwrap_or(u32::MAX);
            Query::Timeline { after: Stamp { wall, count } }
        }
        _ => Query::Counters,
    };
    Ok(query)
}
