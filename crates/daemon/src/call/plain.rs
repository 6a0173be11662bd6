//! Calls to plain services, which answer a request as a whole.

use chestnutdrift_core::action::Target;
use chestnutdrift_core::event::{AttemptEnd, RecordedAnswer};
use ureq::Agent;

use super::clients::end_from_error;
use super::{Adaptor, CallContext, HttpClients};
use crate::exchange::{AnswerFormat, FullReply, ReplyPart};
use crate::http::has_known_coding;

/// The longest answer that is accepted.
pub(super) const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// The statuses after which a call that may be retried is sent again.
const RETRYABLE_STATUSES: [u16; 3] = [502, 503, 504];

/// The adaptor for plain services.
#[derive(Debug, Clone)]
pub struct PlainAdaptor {
    clients: HttpClients,
}

impl PlainAdaptor {
    /// Creates the adaptor.
    #[must_use]
    pub fn new(clients: HttpClients) -> Self {
        Self { clients }
    }

    fn client(&self, cx: &CallContext<'_>) -> &Agent {
        if cx.dispatch.record_answer { &self.clients.unpooled } else { &self.clients.pooled }
    }
}

impl Adaptor for PlainAdaptor {
    fn run(&self, cx: &CallContext<'_>) -> AttemptEnd {
        let not_sent = |detail: &str| AttemptEnd::NotSent { detail: detail.into() };
        let Target::Upstream { address, .. } = &cx.dispatch.target else {
            return not_sent("the target of a service call is not an upstream");
        };
        let Some(exchange) = cx.exchange else {
            return not_sent("the attempt has no exchange");
        };
        let AnswerFormat::Plain { path } = &exchange.inbound.answer_format else {
            return not_sent("the call is not for a plain service");
        };
        let url = format!("http://{address}/{path}");
        let mut request = self.client(cx).post(&url);
        for (name, value) in &exchange.inbound.headers {
            request = request.header(&**name, &**value);
        }
        let request = request.config().timeout_global(Some(cx.timeout())).build();
        match request.send(&exchange.inbound.body[..]) {
            Ok(answer) => handle_answer(cx, answer),
            Err(error) => end_from_error(&error),
        }
    }
}

fn handle_answer(cx: &CallContext<'_>, answer: ureq::http::Response<ureq::Body>) -> AttemptEnd {
    let answer = match read_answer(answer) {
        Ok(answer) => answer,
        Err(end) => return end,
    };
    if cx.dispatch.record_answer {
        return AttemptEnd::Whole { output: None, answer: Some(answer) };
    }
    if RETRYABLE_STATUSES.contains(&answer.status) {
        return AttemptEnd::Broken {
            detail: format!("the service answered {}", answer.status).into(),
        };
    }
    let reply = FullReply::from_recorded(&answer);
    let Some(exchange) = cx.exchange else { return AttemptEnd::Cancelled };
    if exchange.write(cx.attempt(), ReplyPart::Full(reply)) {
        AttemptEnd::Whole { output: None, answer: None }
    } else {
        AttemptEnd::Cancelled
    }
}

/// Reads an answer to its end; returns the end of the attempt if that fails.
pub(super) fn read_answer(
    answer: ureq::http::Response<ureq::Body>,
) -> Result<RecordedAnswer, AttemptEnd> {
    // No request asks for another protocol, so an informational status answers none.
    if answer.status().is_informational() {
        let detail = format!("the answer has status {}", answer.status()).into();
        return Err(AttemptEnd::Broken { detail });
    }
    if !has_known_coding(answer.headers()) {
        return Err(AttemptEnd::Broken { detail: "unknown transfer coding".into() });
    }
    let status = answer.status().as_u16();
    let content_type = content_type(&answer);
    let mut body = answer.into_body();
    match body.with_config().limit(MAX_ANSWER_BYTES).read_to_vec() {
        Ok(bytes) => Ok(RecordedAnswer { status, content_type, body: bytes.into() }),
        Err(error) => Err(AttemptEnd::Broken { detail: error.to_string().into() }),
    }
}

/// Returns the content type of an answer, or that of plain bytes if it has none.
pub(super) fn content_type(answer: &ureq::http::Response<ureq::Body>) -> Box<str> {
    let value = answer.headers().get("content-type").and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").into()
}
