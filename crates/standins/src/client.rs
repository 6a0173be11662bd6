//! A blocking HTTP client for JSON.

use std::time::Duration;

use anyhow::{Context, bail};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::Agent;

/// The size limit of an answer.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// An HTTP answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers; their names are in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error with the status and the body where the body is not the expected JSON.
    pub fn json<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("status {}: {}", self.status, self.text()))
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of a header; `name` is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| &**other == name).map(|(_, value)| &**value)
    }

    /// Returns the answer if its status is 200.
    ///
    /// # Errors
    ///
    /// Returns an error with the status and the body otherwise.
    pub fn ok(self) -> anyhow::Result<Self> {
        if self.status != 200 {
            bail!("status {}: {}", self.status, self.text());
        }
        Ok(self)
    }
}

/// A blocking HTTP client.
#[derive(Debug, Clone)]
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Creates a client whose calls take no longer than `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .max_idle_age(Duration::from_secs(3))
            .build();
        Self { agent: config.new_agent() }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns an error where no complete answer arrives.
    pub fn get(&self, url: &str) -> anyhow::Result<Answer> {
        read(self.agent.get(url).call()?)
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error where no complete answer arrives.
    pub fn post(&self, url: &str, body: &impl Serialize) -> anyhow::Result<Answer> {
        self.post_with_headers(url, body, &[])
    }

    /// Sends a POST request with a JSON body and additional headers.
    ///
    /// # Errors
    ///
    /// Returns an error where no complete answer arrives.
    pub fn post_with_headers(
        &self,
        url: &str,
        body: &impl Serialize,
        headers: &[(&str, &str)],
    ) -> anyhow::Result<Answer> {
        let mut request = self.agent.post(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        read(request.send_json(body)?)
    }

    /// Sends a POST request with a body that need not be valid JSON, as `application/json`.
    ///
    /// # Errors
    ///
    /// Returns an error where no complete answer arrives.
    pub fn post_bytes(&self, url: &str, body: &[u8]) -> anyhow::Result<Answer> {
        read(self.agent.post(url).content_type("application/json").send(body)?)
    }

    /// Sends a GET request and parses the answer as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error where no complete answer arrives, its status is not 200 or it is not JSON.
    pub fn get_json(&self, url: &str) -> anyhow::Result<Value> {
        self.get(url)?.ok()?.json()
    }
}

/// Reads an answer to its end.
fn read(answer: ureq::http::Response<ureq::Body>) -> anyhow::Result<Answer> {
    let status = answer.status().as_u16();
    let mut headers = Vec::new();
    for (name, value) in answer.headers() {
        headers.push((name.as_str().into(), value.to_str().unwrap_or_default().into()));
    }
    let mut body = answer.into_body();
    let body = body.with_config().limit(MAX_ANSWER_BYTES).read_to_vec()?;
    Ok(Answer { status, headers, body })
}
