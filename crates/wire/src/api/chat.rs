//! Chat completions, in the format of common chat clients.

use chestnutdrift_core::records::Span;
use serde::{Deserialize, Serialize};

/// The limit on the tokens of an answer if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The body of `POST /v1/chat/completions`; unknown fields are ignored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChatBody {
    /// The service.
    pub model: Box<str>,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// The limit on the answer's tokens, under its older name; `max_completion_tokens` takes
    /// precedence.
    pub max_tokens: Option<u32>,
    /// The limit on the answer's tokens.
    pub max_completion_tokens: Option<u32>,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatMessage {
    /// The role of the author, such as `user` or `assistant`.
    pub role: Box<str>,
    /// The content.
    pub content: ChatContent,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Plain text.
    Text(Box<str>),
    /// A list of parts; only their texts are used.
    Parts(Vec<ChatPart>),
}

/// One part of a message.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChatPart {
    /// The text; empty for parts of other types.
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

    /// Returns the limit on the answer's tokens.
    #[must_use]
    pub fn token_limit(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// An answer that is not streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatAnswer {
    /// The request's id.
    pub id: Box<str>,
    /// Always `chat.completion`.
    pub object: Box<str>,
    /// When the answer was created, in seconds since the Unix epoch.
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

/// The choice of an answer that is not streamed.
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
    /// The number of words of the prompt.
    pub prompt_tokens: u32,
    /// The number of tokens of the answer.
    pub completion_tokens: u32,
    /// The sum of both.
    pub total_tokens: u32,
}

/// A chunk of a streamed answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatChunk {
    /// The request's id.
    pub id: Box<str>,
    /// Always `chat.completion.chunk`.
    pub object: Box<str>,
    /// When the answer began, in seconds since the Unix epoch.
    pub created: u64,
    /// The service.
    pub model: Box<str>,
    /// The one choice.
    pub choices: Vec<ChatChunkChoice>,
    /// The weight versions that generated the answer, in the last chunk only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Span>,
}

/// The choice of a chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChatChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The part of the message that this chunk adds.
    pub delta: ChatDelta,
    /// `stop` or `length`, in the last chunk only.
    pub finish_reason: Option<Box<str>>,
}

/// The part of a message that a chunk adds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ChatDelta {
    /// The text; `None` in the last chunk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<Box<str>>,
}

/// Encodes the answer to one request, whole or in chunks.
#[derive(Debug, Clone)]
pub struct ChatWriter {
    id: Box<str>,
    model: Box<str>,
    created: u64,
    prompt_tokens: u32,
}

impl ChatWriter {
    /// Creates a writer for a request; `created` is in seconds since the Unix epoch.
    #[must_use]
    pub fn new(id: impl Into<Box<str>>, body: &ChatBody, created: u64) -> Self {
        let words = body.prompt().split_whitespace().count();
        let prompt_tokens = u32::try_from(words).unwrap_or(u32::MAX);
        Self { id: id.into(), model: body.model.clone(), created, prompt_tokens }
    }

    /// Returns the whole answer, which has `tokens` tokens; `finish_reason` is `stop` or `length`.
    #[must_use]
    pub fn answer(
        &self,
        text: &str,
        tokens: u32,
        finish_reason: &str,
        versions: Vec<Span>,
    ) -> ChatAnswer {
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
            choices: vec![ChatChoice { index: 0, message, finish_reason: finish_reason.into() }],
            usage,
            versions,
        }
    }

    /// Encodes a chunk of a streamed answer as one server-sent event.
    #[must_use]
    pub fn chunk(&self, text: &str) -> String {
        self.event(ChatDelta { content: Some(text.into()) }, None, Vec::new())
    }

    /// Encodes the last chunk and the `[DONE]` mark as two server-sent events.
    #[must_use]
    pub fn last_chunk(&self, finish_reason: &str, versions: Vec<Span>) -> String {
        let last = self.event(ChatDelta::default(), Some(finish_reason.into()), versions);
        format!("{last}data: [DONE]\n\n")
    }

    fn event(
        &self,
        delta: ChatDelta,
        finish_reason: Option<Box<str>>,
        versions: Vec<Span>,
    ) -> String {
        let chunk = ChatChunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".into(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![ChatChunkChoice { index: 0, delta, finish_reason }],
            versions,
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        format!("data: {json}\n\n")
    }
}
