//! Reports of upstreams that say in an answer that they leave.

use std::fmt::Display;

use chestnutdrift_core::gateway::{Event, UpstreamAddress};
use hyper::http::response;

use super::input::{Input, InputSender};
use super::protocol::Protocol;

/// Tells the control thread if the head of an answer says that its upstream leaves, and returns
/// whether it does.
///
/// `request_id` is the id of the request, where it has one; `call` names the call in the log.
pub(super) fn report_if_leaving(
    protocol: &dyn Protocol,
    inputs: &InputSender,
    upstream: &UpstreamAddress,
    head: &response::Parts,
    request_id: Option<&str>,
    call: impl Display,
) -> bool {
    if !protocol.is_leaving(request_id, upstream, &head.headers) {
        return false;
    }
    let answer = format!("{call} status={}", head.status.as_u16()).into();
    let event = Event::UpstreamLeaving { upstream: upstream.key, answer };
    if inputs.send(Input::Event(event)).is_err() {
        log::debug!(event = "report-lost"; "the control thread has ended");
    }
    true
}
