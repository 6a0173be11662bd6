//! Chat completions, in the form that stock clients speak.

use chestnutdrift_core::records::Span;
use serde::{Deserialize, Serialize};

/// The most tokens of an answer where the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The body of `POST /v1/chat/completions`; fields that are not listed are ignored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChatBody {
    /// The service.
    pub model: Box<str>,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// The most tokens of the answer, under its older name.
    pub max_tokens: Option<u32>,
    /// The most tokens of the answer.
    pub max_completion_tokens: Option<u32>,
    /// Whether the answer comes as server-sent events.
    pub stream: bool,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatMessage {
    /// Who speaks.
    pub role: Box<str>,
    /// What is said.
    pub content: ChatContent,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Plain text.
    Text(Box<str>),
    /// Parts, of which the texts are taken.
    Parts(Vec<ChatPart>),
}

/// One part of a message.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChatPart {
    /// The text, where the part is one.
    pub text: Box<str>,
}

impl ChatBody {
    /// Returns the conversation as one prompt.
    #[must_use]
    pub fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            match &message.content {
                ChatContent::Text(text) => prompt.push_str(text),
                ChatContent::Parts(parts) => {
                    parts.iter().for_each(|part| prompt.push_str(&part.text));
                }
            }
            prompt.push('\n');
        }
        prompt
    }

    /// Returns the most tokens of the answer.
    #[must_use]
    pub fn token_limit(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatAnswer {
    /// The request's name.
    pub id: Box<str>,
    /// Always `chat.completion`.
    pub object: Box<str>,
    /// When it was made, in seconds since 1970.
    pub created: u64,
    /// The service.
    pub model: Box<str>,
    /// The one choice.
    pub choices: Vec<ChatChoice>,
    /// Token counts.
    pub usage: ChatUsage,
    /// The weight versions that generated the answer.
    pub versions: Vec<Span>,
}

/// A choice of a whole answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The message.
    pub message: ChatMessage,
    /// `stop` or `length`.
    pub finish_reason: Box<str>,
}

/// Token counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatUsage {
    /// Words of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Both.
    pub total_tokens: u32,
}

/// A piece of a streamed answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatChunk {
    /// The request's name.
    pub id: Box<str>,
    /// Always `chat.completion.chunk`.
    pub object: Box<str>,
    /// When the answer began, in seconds since 1970.
    pub created: u64,
    /// The service.
    pub model: Box<str>,
    /// The one choice.
    pub choices: Vec<ChatChunkChoice>,
    /// The weight versions, in the last chunk only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Span>,
}

/// A choice of a chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatChunkChoice {
    /// Always 0.
    pub index: u32,
    /// What is new.
    pub delta: ChatDelta,
    /// Set in the last chunk.
    pub finish_reason: Option<Box<str>>,
}

/// What is new in a chunk.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChatDelta {
    /// The text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<Box<str>>,
}

/// Writes answers of one request.
#[derive(Debug, Clone)]
pub struct ChatWriter {
    id: Box<str>,
    model: Box<str>,
    created: u64,
    prompt_tokens: u32,
}

impl ChatWriter {
    /// Makes a writer for a request; `created` is in seconds since 1970.
    #[must_use]
    pub fn new(id: impl Into<Box<str>>, body: &ChatBody, created: u64) -> Self {
        let words = body.prompt().split_whitespace().count();
        let prompt_tokens = u32::try_from(words).unwrap_or(u32::MAX);
        Self { id: id.into(), model: body.model.clone(), created, prompt_tokens }
    }

    /// Writes a whole answer of `tokens` tokens.
    #[must_use]
    pub fn answer(&self, text: &str, tokens: u32, finish: &str, versions: Vec<Span>) -> ChatAnswer {
        let message =
            ChatMessage { role: "assistant".into(), content: ChatContent::Text(text.into()) };
        let usage = ChatUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens + tokens,
        };
        ChatAnswer {
            id: self.id.clone(),
            object: "chat.completion".into(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChatChoice { index: 0, message, finish_reason: finish.into() }],
            usage,
            versions,
        }
    }

    /// Writes a piece of a streamed answer as one server-sent event.
    #[must_use]
    pub fn chunk(&self, text: &str) -> String {
        self.event(ChatDelta { content: Some(text.into()) }, None, Vec::new())
    }

    /// Writes the last piece and the end mark as server-sent events.
    #[must_use]
    pub fn last_chunk(&self, finish: &str, versions: Vec<Span>) -> String {
        let last = self.event(ChatDelta::default(), Some(finish.into()), versions);
        format!("{last}data: [DONE]\n\n")
    }

    fn event(&self, delta: ChatDelta, finish: Option<Box<str>>, versions: Vec<Span>) -> String {
        let chunk = ChatChunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".into(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChatChunkChoice { index: 0, delta, finish_reason: finish }],
            versions,
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        format!("data: {json}\n\n")
    }
}
