//! A blocking JSON client.

use std::time::Duration;

use anyhow::{Context, bail};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::Agent;

/// The longest answer, in bytes.
const MOST_BYTES: u64 = 64 * 1024 * 1024;

/// An answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that a test may ask for, in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error where it is something else.
    pub fn json<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("status {}: {}", self.status, self.text()))
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| &**other == name).map(|(_, value)| &**value)
    }

    /// Returns the answer where its status is 200.
    ///
    /// # Errors
    ///
    /// Returns an error with the body otherwise.
    pub fn ok(self) -> anyhow::Result<Self> {
        if self.status != 200 {
            bail!("status {}: {}", self.status, self.text());
        }
        Ok(self)
    }
}

/// A blocking client.
#[derive(Debug, Clone)]
pub struct Client {
    agent: Agent,
}

impl Client {
    /// Makes a client whose calls take no longer than `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .max_idle_age(Duration::from_secs(3))
            .build();
        Self { agent: config.new_agent() }
    }

    /// Fetches.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came.
    pub fn get(&self, url: &str) -> anyhow::Result<Answer> {
        read(self.agent.get(url).call()?)
    }

    /// Posts JSON.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came.
    pub fn post(&self, url: &str, body: &impl Serialize) -> anyhow::Result<Answer> {
        self.post_with_headers(url, body, &[])
    }

    /// Posts JSON with further headers.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came.
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

    /// Posts bytes as they are.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came.
    pub fn post_bytes(&self, url: &str, body: &[u8]) -> anyhow::Result<Answer> {
        read(self.agent.post(url).content_type("application/json").send(body)?)
    }

    /// Fetches JSON.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole JSON document came.
    pub fn get_json(&self, url: &str) -> anyhow::Result<Value> {
        self.get(url)?.ok()?.json()
    }
}

fn read(answer: ureq::http::Response<ureq::Body>) -> anyhow::Result<Answer> {
    let status = answer.status().as_u16();
    let mut headers = Vec::new();
    for (name, value) in answer.headers() {
        headers.push((name.as_str().into(), value.to_str().unwrap_or_default().into()));
    }
    let mut body = answer.into_body();
    let body = body.with_config().limit(MOST_BYTES).read_to_vec()?;
    Ok(Answer { status, headers, body })
}
