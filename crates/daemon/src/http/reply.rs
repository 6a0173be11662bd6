//! Encodes the core's answers as HTTP replies.

use bytes::Bytes;
use chestnutdrift_core::Problem;
use chestnutdrift_core::action::Answer;
use chestnutdrift_wire::api::operator::{ChangeAnswer, OrderAnswer};
use chestnutdrift_wire::api::problem::ProblemBody;
use chestnutdrift_wire::api::trainer::{PublishAnswer, SamplesAnswer, SubmitAnswer};
use chestnutdrift_wire::header;
use serde_json::json;

use super::metrics;
use crate::exchange::{FullReply, InboundRequest};

/// The status of a change that was not accepted.
const CONFLICT_STATUS: u16 = 409;

/// The status of a host that accepts no work.
const NOT_READY_STATUS: u16 = 503;

/// Encodes an answer of the core to a request.
#[must_use]
pub fn encode_answer(inbound: &InboundRequest, answer: Answer) -> FullReply {
    match answer {
        Answer::Problem(problem) => encode_problem(&problem),
        Answer::Recorded { answer, replayed } => {
            let mut reply = FullReply::from_recorded(&answer);
            if replayed {
                reply.headers.push((header::REPLAYED, "yes".into()));
            }
            reply
        }
        Answer::Submitted(added) => FullReply::json(200, &SubmitAnswer { added }),
        Answer::Samples(batch) => {
            FullReply::json(200, &SamplesAnswer::new(trainer_name(&inbound.path), batch))
        }
        Answer::Published(version) => FullReply::json(200, &PublishAnswer { version }),
        Answer::Changed(answer) => {
            let body = ChangeAnswer::from(answer);
            FullReply::json(if body.accepted { 200 } else { CONFLICT_STATUS }, &body)
        }
        Answer::Ordered(obeyed) => FullReply::json(200, &OrderAnswer { obeyed }),
        Answer::Settings(report) => FullReply::json(200, &report),
        Answer::Hosts(reports) => FullReply::json(200, &reports),
        Answer::Upstreams(reports) => FullReply::json(200, &reports),
        Answer::Trainers(reports) => FullReply::json(200, &reports),
        Answer::Timeline(events) => FullReply::json(200, &events),
        Answer::Counters(counters) if &*inbound.path == "/metrics" => metrics::reply(&counters),
        Answer::Counters(counters) => {
            let status = if counters.ready { 200 } else { NOT_READY_STATUS };
            let status = if &*inbound.path == "/healthz" { 200 } else { status };
            FullReply::json(status, &json!({ "ready": counters.ready }))
        }
        Answer::Draining => FullReply::json(202, &json!({ "draining": true })),
    }
}

/// Encodes an error as a problem document.
#[must_use]
pub(super) fn encode_problem(problem: &Problem) -> FullReply {
    let body = ProblemBody::new(problem);
    let mut headers = Vec::new();
    if let Some(after) = problem.retry_after_ms {
        headers.push(("retry-after", after.div_ceil(1_000).to_string().into()));
    }
    FullReply {
        status: body.status,
        content_type: header::PROBLEM_JSON.into(),
        headers,
        body: Bytes::from(serde_json::to_vec(&body).unwrap_or_default()),
    }
}

/// Returns the trainer's name from `/v1/trainers/{trainer}/…`.
fn trainer_name(path: &str) -> &str {
    path.split('/').nth(3).unwrap_or_default()
}
