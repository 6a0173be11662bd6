//! Exchanges: one call from outside, and the way its answer goes back.
//!
//! The bytes of an answer go from the thread that calls the upstream straight to the thread that
//! owns the caller's connection, over a bounded channel, so that a slow caller slows the stream
//! down and nothing piles up.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use chestnutdrift_core::event::RecordedAnswer;
use chestnutdrift_core::key::Key;
use chestnutdrift_core::records::Span;
use chestnutdrift_core::{AttemptKey, RequestTag};
use chestnutdrift_wire::api::chat::{ChatBody, ChatWriter};
use chestnutdrift_wire::header;
use serde::Serialize;
use tokio::sync::mpsc;

/// How many pieces of an answer wait for a slow caller.
pub const PIECES_WAITING: usize = 64;

/// One piece of an answer.
#[derive(Debug)]
pub enum ReplyPart {
    /// The whole answer.
    Full(FullReply),
    /// The start of a streamed answer, with its status and content type.
    Start(u16, Box<str>),
    /// Bytes of a streamed answer.
    Data(Bytes),
    /// The end mark of a streamed answer; without it the connection is broken off.
    End,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FullReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Box<str>,
    /// Further headers.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// The body.
    pub body: Bytes,
}

/// What an upstream or another host is to be told of an exchange.
#[derive(Debug, Clone)]
pub struct InboundRequest {
    /// The path, for handing the call on and for plain services.
    pub path: Box<str>,
    /// The method.
    pub method: Box<str>,
    /// Headers that are handed on.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    pub body: Bytes,
    /// The request's name on the time line.
    pub trace: Box<str>,
    /// What kind of answer it gets.
    pub answer_format: AnswerFormat,
}

/// The kinds of answers.
#[derive(Debug, Clone)]
pub enum AnswerFormat {
    /// A chat, whole or streamed.
    Chat {
        /// The parsed body.
        body: Box<ChatBody>,
        /// Writes its answer.
        writer: ChatWriter,
    },
    /// The upstream's own answer, for a plain service under this path.
    Plain {
        /// The path at the upstream.
        path: Box<str>,
    },
    /// An answer of the core as JSON.
    Core,
}

/// One call from outside.
#[derive(Debug)]
pub struct Exchange {
    /// Its name in the core.
    pub tag: RequestTag,
    /// What came in.
    pub inbound: InboundRequest,
    replies: mpsc::Sender<ReplyPart>,
    writer: AtomicU64,
    generated: Mutex<GeneratedText>,
}

/// What the engines have generated for an exchange so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GeneratedText {
    /// The text.
    pub text: String,
    /// The number of tokens.
    pub count: u32,
    /// The versions, without gaps.
    pub spans: Vec<Span>,
}

impl GeneratedText {
    /// Adds `tokens` tokens of one version.
    pub fn push(&mut self, piece: &str, tokens: usize, version: u64) {
        let from = self.count;
        let to = from + u32::try_from(tokens).unwrap_or(u32::MAX);
        self.count = to;
        self.text.push_str(piece);
        match self.spans.last_mut() {
            Some(span) if span.version == version => span.to = to,
            _ if to > from => self.spans.push(Span { version, from, to }),
            _ => {}
        }
    }
}

impl FullReply {
    /// Makes an answer of JSON.
    #[must_use]
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default().into();
        Self { status, content_type: header::JSON.into(), headers: Vec::new(), body }
    }

    /// Makes an answer of one that an upstream gave.
    #[must_use]
    pub fn from_recorded(answer: &RecordedAnswer) -> Self {
        let body = Bytes::copy_from_slice(&answer.body);
        let content_type = answer.content_type.clone();
        Self { status: answer.status, content_type, headers: Vec::new(), body }
    }
}

impl Exchange {
    /// Makes an exchange and the receiver of its replies.
    #[must_use]
    pub fn open(tag: RequestTag, inbound: InboundRequest) -> (Self, mpsc::Receiver<ReplyPart>) {
        let (replies, rx) = mpsc::channel(PIECES_WAITING);
        let (writer, generated) = (AtomicU64::new(0), Mutex::default());
        (Self { tag, inbound, replies, writer, generated }, rx)
    }

    /// Makes an attempt the only one that may write.
    pub fn set_writer(&self, attempt: AttemptKey) {
        self.writer.store(attempt_number(attempt), Ordering::Release);
    }

    /// Sends a piece on behalf of an attempt and tells whether anyone still takes it.
    ///
    /// It waits while the caller is slow. A piece of an attempt that may no longer write is not
    /// sent.
    #[must_use]
    pub fn write(&self, attempt: AttemptKey, reply: ReplyPart) -> bool {
        if self.writer.load(Ordering::Acquire) != attempt_number(attempt) {
            return false;
        }
        self.replies.blocking_send(reply).is_ok()
    }

    /// Returns what has been generated so far.
    #[must_use]
    pub fn generated(&self) -> GeneratedText {
        self.generated.lock().map(|generated| generated.clone()).unwrap_or_default()
    }

    /// Tells whether an attempt can go on at a token; one that begins anew voids what was there.
    #[must_use]
    pub fn resume_generated(&self, at: u32) -> bool {
        let Ok(mut generated) = self.generated.lock() else { return false };
        if at == 0 {
            *generated = GeneratedText::default();
        }
        generated.count == at
    }

    /// Adds tokens, which another engine can go on from, and returns how many there are.
    pub fn push_generated(&self, piece: &str, tokens: usize, version: u64) -> u32 {
        let Ok(mut generated) = self.generated.lock() else { return 0 };
        generated.push(piece, tokens, version);
        generated.count
    }

    /// Sends a whole answer without waiting.
    pub fn answer(&self, reply: FullReply) {
        let _ = self.replies.try_send(ReplyPart::Full(reply));
    }

    /// Tells whether the caller has gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.replies.is_closed()
    }
}

/// Returns the number of an attempt's key, its generation included.
#[must_use]
pub fn attempt_number(attempt: AttemptKey) -> u64 {
    attempt.data().as_ffi()
}
