//! Makes typed calls of paths, headers and bodies.

use chestnutdrift_core::event::{Call, Event, Query, RunCall, UpstreamSpec};
use chestnutdrift_core::timeline::Stamp;
use chestnutdrift_core::{ErrorKind, Millis, Problem, checksum};
use chestnutdrift_wire::api::chat::{ChatBody, ChatWriter};
use chestnutdrift_wire::api::operator::{ChangeBody, OrderBody};
use chestnutdrift_wire::api::trainer::{PublishBody, SubmitBody};
use chestnutdrift_wire::api::upstream::{AnnounceBody, LeaveBody, LoadReportBody};
use chestnutdrift_wire::header;
use serde::de::DeserializeOwned;

use super::intake::Intake;
use super::router::Route;
use crate::clock;
use crate::exchange::AnswerFormat;

/// The most samples that one fetch brings.
const MOST_SAMPLES: u32 = 4_096;

/// The samples that a fetch brings where the trainer does not say.
const DEFAULT_SAMPLES: u32 = 256;

/// The longest wait of a fetch for its first sample.
const LONGEST_FETCH: Millis = Millis(60_000);

/// The length of the prompt's first part, by which prompts are taken for kin, in bytes.
const PREFIX: usize = 256;

/// What a request from outside comes to.
#[derive(Debug)]
pub(super) enum Intent {
    /// A call for the core that is answered.
    Call(Call, AnswerFormat),
    /// An event for the core that is answered at once.
    Event(Event),
}

/// Makes the call of a route.
pub(super) fn intent(route: Route, intake: &Intake) -> Result<Intent, Problem> {
    match route {
        Route::Chat => chat(intake),
        Route::Service { service, path } => Ok(service_call(intake, service, path)),
        Route::Submit { trainer, step } => {
            let body: SubmitBody = parse(intake)?;
            let (service, groups) = (body.service, body.groups);
            core(Call::Submit { trainer, service, step, groups })
        }
        Route::Fetch { trainer } => fetch(intake, trainer),
        Route::Publish { trainer } => {
            let body: PublishBody = parse(intake)?;
            core(Call::Publish { trainer, service: body.service, version: body.version })
        }
        Route::Announce => announce(intake),
        Route::Load => {
            let body: LoadReportBody = parse(intake)?;
            let (name, running, waiting) = (body.name, body.running, body.waiting);
            Ok(Intent::Event(Event::Load { name, running, waiting }))
        }
        Route::Leave => {
            let body: LeaveBody = parse(intake)?;
            Ok(Intent::Event(Event::Leaving { name: body.name }))
        }
        Route::Change => {
            let body: ChangeBody = parse(intake)?;
            let invalid = |detail| Problem::not_run(ErrorKind::ChangeInvalid, detail);
            core(Call::Change(body.into_change().map_err(invalid)?))
        }
        Route::Order => {
            let body: OrderBody = parse(intake)?;
            let task = body.task().map_err(bad)?;
            core(Call::Order { zone: body.zone, upstream: body.upstream, task })
        }
        Route::Drain => core(Call::Drain),
        other => core(Call::Query(query(&other, intake)?)),
    }
}

fn core(call: Call) -> Result<Intent, Problem> {
    Ok(Intent::Call(call, AnswerFormat::Core))
}

fn bad(detail: impl Into<Box<str>>) -> Problem {
    Problem::not_run(ErrorKind::BadRequest, detail)
}

fn parse<T: DeserializeOwned>(intake: &Intake) -> Result<T, Problem> {
    serde_json::from_slice(&intake.body).map_err(|error| bad(format!("the body: {error}")))
}

fn number(intake: &Intake, name: &str, default: u64) -> Result<u64, Problem> {
    let Some(text) = intake.query(name) else { return Ok(default) };
    text.parse().map_err(|_| bad(format!("{name}={text} is not a whole number")))
}

fn chat(intake: &Intake) -> Result<Intent, Problem> {
    let body: ChatBody = parse(intake)?;
    if body.model.is_empty() || body.messages.is_empty() {
        return Err(bad("the body needs a model and at least one message"));
    }
    if body.token_limit() == 0 {
        return Err(bad("the answer may have no tokens"));
    }
    let prompt = body.prompt();
    let cut = (0..=PREFIX.min(prompt.len())).rev().find(|at| prompt.is_char_boundary(*at));
    let prefix = checksum(&[&prompt[..cut.unwrap_or(0)]]);
    let call = run_call(intake, body.model.clone(), body.token_limit(), prefix);
    let created = clock::wall().0 / 1_000;
    let writer = ChatWriter::new(intake.trace.clone(), &body, created);
    Ok(Intent::Call(Call::Run(call), AnswerFormat::Chat { body: Box::new(body), writer }))
}

fn service_call(intake: &Intake, service: Box<str>, path: Box<str>) -> Intent {
    let call = run_call(intake, service, 1, 0);
    Intent::Call(Call::Run(call), AnswerFormat::Plain { path })
}

fn run_call(intake: &Intake, service: Box<str>, tokens: u32, prefix: u64) -> RunCall {
    let body = String::from_utf8_lossy(&intake.body);
    RunCall {
        caller: intake.header(header::CALLER).unwrap_or("anonymous").into(),
        service,
        idempotent: intake.header(header::IDEMPOTENT) != Some("no"),
        key: intake.header(header::IDEMPOTENCY_KEY).map(Into::into),
        fingerprint: checksum(&[&intake.path, &body]),
        max_tokens: tokens,
        prefix_checksum: prefix,
    }
}

fn fetch(intake: &Intake, trainer: Box<str>) -> Result<Intent, Problem> {
    let cursor = number(intake, "cursor", 0)?;
    let max = number(intake, "max", u64::from(DEFAULT_SAMPLES))?.min(u64::from(MOST_SAMPLES));
    let wait = Millis(number(intake, "wait_ms", 0)?).min(LONGEST_FETCH);
    let max = u32::try_from(max).unwrap_or(MOST_SAMPLES);
    core(Call::Fetch { trainer, cursor, max, wait })
}

fn announce(intake: &Intake) -> Result<Intent, Problem> {
    let body: AnnounceBody = parse(intake)?;
    let address: Result<std::net::SocketAddr, _> = body.address.parse();
    if address.is_err() {
        return Err(bad(format!("address {} is not an IP number and port", body.address)));
    }
    if body.name.is_empty() || body.service.is_empty() || body.slots == 0 {
        return Err(bad("an announcement needs a name, a service and at least one slot"));
    }
    Ok(Intent::Event(Event::Announced(UpstreamSpec::from(body))))
}

fn query(route: &Route, intake: &Intake) -> Result<Query, Problem> {
    let query = match route {
        Route::Settings => Query::Settings { service: intake.query("service").map(Into::into) },
        Route::Hosts => Query::Hosts,
        Route::Upstreams => Query::Upstreams,
        Route::Trainers => Query::Trainers,
        Route::Timeline => {
            let wall = Millis(number(intake, "after_ms", 0)?);
            let count = u32::try_from(number(intake, "after_count", 0)?).unwrap_or(u32::MAX);
            Query::Timeline { after: Stamp { wall, count } }
        }
        _ => Query::Counters,
    };
    Ok(query)
}
