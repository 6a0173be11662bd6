//! Calls to model engines: streams of tokens with their versions.

use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;

use bytes::Bytes;
use chestnutdrift_core::AttemptKey;
use chestnutdrift_core::action::{Source, Target};
use chestnutdrift_core::event::AttemptEnd;
use chestnutdrift_core::records::Output;
use chestnutdrift_wire::api::engine::{CancelBody, GenerateBody, StreamEnd, StreamLine, Tokens};
use chestnutdrift_wire::header;

use super::clients::end_of;
use super::{Adaptor, CallContext, HttpClients};
use crate::exchange::{
    AnswerFormat, Exchange, FullReply, GeneratedText, ReplyPart, attempt_number,
};

/// The status with which an engine refuses a request that it has not begun.
const BUSY: [u16; 2] = [429, 503];

/// Calls model engines.
#[derive(Debug, Clone)]
pub struct EngineAdaptor {
    clients: HttpClients,
}

/// One stream that is being read.
struct Stream<'a> {
    cx: &'a CallContext<'a>,
    /// What is generated for a sample; an exchange keeps its own.
    sample: GeneratedText,
    count: u32,
    began: u32,
}

impl EngineAdaptor {
    /// Makes the adaptor.
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
            return AttemptEnd::NotSent { detail: "an engine is an upstream".into() };
        };
        let Some(body) = generate_body(cx) else {
            return AttemptEnd::NotSent { detail: "the exchange has no prompt".into() };
        };
        let url = format!("http://{address}/generate");
        let request = self.clients.pooled.post(&url).config().timeout_global(Some(cx.timeout()));
        let answer = match request.build().send_json(&body) {
            Ok(answer) => answer,
            Err(error) => return end_of(&error),
        };
        let status = answer.status().as_u16();
        if BUSY.contains(&status) {
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

/// Returns the name by which an engine knows an attempt.
#[must_use]
pub(super) fn attempt_name(attempt: AttemptKey, exchange: Option<&Exchange>) -> Box<str> {
    let trace = exchange.map_or("sample", |exchange| &exchange.inbound.trace);
    format!("{trace}-{:x}", attempt_number(attempt)).into()
}

fn generate_body(cx: &CallContext<'_>) -> Option<GenerateBody> {
    let id = attempt_name(cx.attempt(), cx.exchange);
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
    /// Takes up what earlier attempts have generated, up to the token where this one begins.
    fn new(cx: &'a CallContext<'a>, began: u32) -> Self {
        Self { cx, sample: GeneratedText::default(), count: began, began }
    }

    fn read(mut self, reader: impl Read) -> AttemptEnd {
        if self.cx.exchange.is_some_and(|exchange| !exchange.resume_generated(self.began)) {
            return self.broken("what was generated before is not at hand");
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
                    if let Some(end) = self.take(&tokens) {
                        return end;
                    }
                }
                Ok(StreamLine::End(end)) => return self.end(&end),
                Err(error) => return self.broken(&format!("a line can't be read: {error}")),
            }
        }
    }

    fn broken(&self, detail: &str) -> AttemptEnd {
        if self.cx.exchange.is_some() && self.count > self.began {
            self.cx.report_progress(self.count);
        }
        AttemptEnd::Broken { detail: detail.into() }
    }

    /// Takes a line of tokens; returns an end where the stream can't go on.
    fn take(&mut self, tokens: &Tokens) -> Option<AttemptEnd> {
        if tokens.first_index != self.count {
            let detail = format!("token {} came in place of {}", tokens.first_index, self.count);
            return Some(self.broken(&detail));
        }
        let first = self.count == 0;
        let piece = tokens.tokens.concat();
        let number = tokens.tokens.len();
        let Some(exchange) = self.cx.exchange else {
            self.sample.push(&piece, number, tokens.version);
            self.count = self.sample.count;
            return None;
        };
        if !self.stream_piece(exchange, &piece, first) {
            return Some(AttemptEnd::Cancelled);
        }
        self.count = exchange.push_generated(&piece, number, tokens.version);
        None
    }

    /// Sends a piece to a caller who wants a stream, and tells whether anyone takes it.
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

    fn end(self, end: &StreamEnd) -> AttemptEnd {
        if end.token_count != self.count {
            let detail = format!("{} tokens came, not {}", self.count, end.token_count);
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

/// Sends the end of a chat, or all of it to a caller who wants it whole.
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
