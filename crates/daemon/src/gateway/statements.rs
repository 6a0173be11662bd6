//! Reports of what upstreams say about themselves in their answers.

use std::fmt::Display;

use chestnutdrift_core::gateway::{Event, UpstreamAddress};
use hyper::http::response;

use super::input::{Input, InputSender};
use super::protocol::{LimitStatement, Protocol, Statements};

/// Tells the control thread what the head of an answer says about its upstream, and returns whether
/// that leaves.
///
/// `request_id` is the id of the request, where it has one; `call` names the call in the log.
pub(super) fn report_statements(
    protocol: &dyn Protocol,
    inputs: &InputSender,
    upstream: &UpstreamAddress,
    head: &response::Parts,
    request_id: Option<&str>,
    call: impl Display,
) -> bool {
    let Some(statements) = protocol.statements(request_id, upstream, &head.headers) else {
        return false;
    };
    let Statements { leaving, limit } = statements;
    let answer = || format!("{call} status={}", head.status.as_u16()).into();
    let rate = match limit {
        LimitStatement::Named(rate) => Some(Some(rate)),
        LimitStatement::None => upstream.limited.then_some(None),
        LimitStatement::Unreadable => None,
    };
    if let Some(rate) = rate {
        let event = Event::UpstreamLimit { upstream: upstream.key, rate, answer: answer() };
        send(inputs, event);
    }
    if leaving {
        send(inputs, Event::UpstreamLeaving { upstream: upstream.key, answer: answer() });
    }
    leaving
}

fn send(inputs: &InputSender, event: Event) {
    if inputs.send(Input::Event(event)).is_err() {
        log::debug!(event = "report-lost"; "the control thread has ended");
    }
}
