//! Calls to model engines, which stream tokens and the weight versions that generated them.

use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;

use bytes::Bytes;
use chestnutdrift_core::AttemptKey;
use chestnutdrift_core::action::{Source, Target};
use chestnutdrift_core::event::AttemptEnd;
use chestnutdrift_core::records::Output;
use chestnutdrift_wire::api::engine::{CancelBody, GenerateBody, StreamEnd, StreamLine, Tokens};
use chestnutdrift_wire::header;

use super::clients::end_from_error;
use super::{Adaptor, CallContext, HttpClients};
use crate::exchange::{
    AnswerFormat, Exchange, FullReply, GeneratedText, ReplyPart, attempt_number,
};

/// The statuses with which an engine refuses a request that it has not started.
const BUSY_STATUSES: [u16; 2] = [429, 503];

/// The adaptor for model engines.
#[derive(Debug, Clone)]
pub struct EngineAdaptor {
    clients: HttpClients,
}

/// A token stream that is being read.
struct Stream<'a> {
    cx: &'a CallContext<'a>,
    /// The output for a sample; an exchange holds its own output.
    sample: GeneratedText,
    /// The number of tokens so far, those of earlier attempts included.
    count: u32,
    /// The number of tokens that earlier attempts generated.
    resume_at: u32,
}

impl EngineAdaptor {
    /// Creates the adaptor.
    #[must_use]
    pub fn new(clients: HttpClients) -> Self {
        Self { clients }
    }

    fn cancel(&self, address: &str, id: &str) {
        let url = format!("http://{address}/cancel");
        let _ = self.clients.pooled.post(&url).send_json(CancelBody { id: id.into() });
    }
}

impl Adaptor for EngineAdaptor {
    fn run(&self, cx: &CallContext<'_>) -> AttemptEnd {
        let Target::Upstream { address, .. } = &cx.dispatch.target else {
            return AttemptEnd::NotSent {
                detail: "the target of an engine call is not an upstream".into(),
            };
        };
        let Some(body) = generate_body(cx) else {
            return AttemptEnd::NotSent { detail: "the call has no prompt".into() };
        };
        let url = format!("http://{address}/generate");
        let request = self.clients.pooled.post(&url).config().timeout_global(Some(cx.timeout()));
        let answer = match request.build().send_json(&body) {
            Ok(answer) => answer,
            Err(error) => return end_from_error(&error),
        };
        let status = answer.status().as_u16();
        if BUSY_STATUSES.contains(&status) {
            return AttemptEnd::Refused { detail: format!("the engine answered {status}").into() };
        }
        if status != 200 {
            return AttemptEnd::Broken { detail: format!("the engine answered {status}").into() };
        }
        let reader = answer.into_body().into_reader();
        let end = Stream::new(cx, body.resume_at).read(reader);
        if matches!(end, AttemptEnd::Cancelled) {
            self.cancel(address, &body.id);
        }
        end
    }
}

/// Returns the ID of an attempt's request at an engine.
#[must_use]
pub(super) fn engine_request_id(attempt: AttemptKey, exchange: Option<&Exchange>) -> Box<str> {
    let trace = exchange.map_or("sample", |exchange| &exchange.inbound.trace);
    format!("{trace}-{:x}", attempt_number(attempt)).into()
}

fn generate_body(cx: &CallContext<'_>) -> Option<GenerateBody> {
    let id = engine_request_id(cx.attempt(), cx.exchange);
    let resume_at = cx.dispatch.resume_at;
    match &cx.dispatch.source {
        Source::Sample { prompt, max_tokens, .. } => {
            let (prompt, max_tokens) = (Box::from(&**prompt), *max_tokens);
            Some(GenerateBody { id, prompt, max_tokens, resume_at })
        }
        Source::Exchange { .. } => {
            let AnswerFormat::Chat { body, .. } = &cx.exchange?.inbound.answer_format else {
                return None;
            };
            let (prompt, max_tokens) = (body.prompt().into(), body.token_limit());
            Some(GenerateBody { id, prompt, max_tokens, resume_at })
        }
    }
}

impl<'a> Stream<'a> {
    /// Creates the stream of an attempt that continues the output of earlier ones.
    fn new(cx: &'a CallContext<'a>, resume_at: u32) -> Self {
        Self { cx, sample: GeneratedText::default(), count: resume_at, resume_at }
    }

    fn read(mut self, reader: impl Read) -> AttemptEnd {
        if self.cx.exchange.is_some_and(|exchange| !exchange.resume_generated(self.resume_at)) {
            return self.broken("the output of earlier attempts is not available");
        }
        let mut lines = BufReader::new(reader);
        let mut buf = Vec::new();
        loop {
            buf.clear();
            let read = lines.read_until(b'\n', &mut buf);
            if self.cx.is_cancelled() {
                return AttemptEnd::Cancelled;
            }
            match read {
                Ok(0) => return self.broken("the stream ended without its end mark"),
                Ok(_) => {}
                Err(error) => return self.broken(&error.to_string()),
            }
            match serde_json::from_slice(&buf) {
                Ok(StreamLine::Tokens(tokens)) => {
                    if let Some(end) = self.handle_tokens(&tokens) {
                        return end;
                    }
                }
                Ok(StreamLine::End(end)) => return self.finish(&end),
                Err(error) => return self.broken(&format!("invalid line in the stream: {error}")),
            }
        }
    }

    fn broken(&self, detail: &str) -> AttemptEnd {
        if self.cx.exchange.is_some() && self.count > self.resume_at {
            self.cx.report_progress(self.count);
        }
        AttemptEnd::Broken { detail: detail.into() }
    }

    /// Handles a line of tokens; returns the end of the attempt if the stream can't continue.
    fn handle_tokens(&mut self, tokens: &Tokens) -> Option<AttemptEnd> {
        if tokens.first_index != self.count {
            let detail = format!("received token {} instead of {}", tokens.first_index, self.count);
            return Some(self.broken(&detail));
        }
        let first = self.count == 0;
        let piece = tokens.tokens.concat();
        let token_count = tokens.tokens.len();
        let Some(exchange) = self.cx.exchange else {
            self.sample.push(&piece, token_count, tokens.version);
            self.count = self.sample.count;
            return None;
        };
        if !self.stream_piece(exchange, &piece, first) {
            return Some(AttemptEnd::Cancelled);
        }
        self.count = exchange.push_generated(&piece, token_count, tokens.version);
        None
    }

    /// Sends text to a caller that asked for a stream; returns `false` if the answer is no
    /// longer wanted.
    fn stream_piece(&self, exchange: &Exchange, piece: &str, first: bool) -> bool {
        let AnswerFormat::Chat { body, writer } = &exchange.inbound.answer_format else {
            return true;
        };
        if !body.stream {
            return true;
        }
        let start = ReplyPart::Start(200, header::EVENT_STREAM.into());
        if first && !exchange.write(self.cx.attempt(), start) {
            return false;
        }
        exchange.write(self.cx.attempt(), ReplyPart::Data(Bytes::from(writer.chunk(piece))))
    }

    fn finish(self, end: &StreamEnd) -> AttemptEnd {
        if end.token_count != self.count {
            let detail = format!(
                "received {} tokens, but the engine reports {}",
                self.count, end.token_count
            );
            return self.broken(&detail);
        }
        let Some(exchange) = self.cx.exchange else {
            let text = Arc::from(self.sample.text);
            let output = Arc::new(Output { text, spans: self.sample.spans });
            return AttemptEnd::Whole { output: Some(output), answer: None };
        };
        if write_end(self.cx.attempt(), exchange, end) {
            AttemptEnd::Whole { output: None, answer: None }
        } else {
            AttemptEnd::Cancelled
        }
    }
}

/// Sends the end of a streamed chat, or the whole chat if the caller did not ask for a stream.
fn write_end(attempt: AttemptKey, exchange: &Exchange, end: &StreamEnd) -> bool {
    let AnswerFormat::Chat { body, writer } = &exchange.inbound.answer_format else { return true };
    let generated = exchange.generated();
    if body.stream {
        let last =
            ReplyPart::Data(Bytes::from(writer.last_chunk(&end.finish_reason, generated.spans)));
        return exchange.write(attempt, last) && exchange.write(attempt, ReplyPart::End);
    }
    let answer =
        writer.answer(&generated.text, end.token_count, &end.finish_reason, generated.spans);
    exchange.write(attempt, ReplyPart::Full(FullReply::json(200, &answer)))
}
