//! An emulated trainer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::bail;
use chestnutdrift_core::records::PromptGroup;
use chestnutdrift_wire::api::trainer::{
    PublishAnswer, PublishBody, SampleBody, SamplesAnswer, SubmitAnswer, SubmitBody,
};

use crate::client::Client;

/// How long a host holds a fetch open for samples, in milliseconds.
const FETCH_WAIT_MS: u64 = 2_000;

/// The time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The pause before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The key of a sample: step, group and index.
pub type SampleKey = (u64, Box<str>, u32);

/// A trainer that keeps every sample that it receives.
#[derive(Debug)]
pub struct Trainer {
    name: Box<str>,
    service: Box<str>,
    entry: Box<str>,
    client: Client,
    cursor: u64,
    received: BTreeMap<SampleKey, Vec<SampleBody>>,
}

impl Trainer {
    /// Creates a trainer that calls `entry`, the address of a balancer or a host.
    #[must_use]
    pub fn new(
        name: impl Into<Box<str>>,
        service: impl Into<Box<str>>,
        entry: impl Into<Box<str>>,
    ) -> Self {
        Self {
            name: name.into(),
            service: service.into(),
            entry: entry.into(),
            client: Client::new(CALL_TIMEOUT),
            cursor: 0,
            received: BTreeMap::new(),
        }
    }

    /// Returns the received samples by key; more than one under a key is a duplicate delivery.
    #[must_use]
    pub fn received(&self) -> &BTreeMap<SampleKey, Vec<SampleBody>> {
        &self.received
    }

    /// Submits the prompt groups of a step and returns the number of samples added.
    ///
    /// The call is retried until it succeeds or `timeout` has passed.
    ///
    /// # Errors
    ///
    /// Returns the error of the last try where none succeeded within `timeout`.
    pub fn submit(
        &self,
        step: u64,
        groups: &[PromptGroup],
        timeout: Duration,
    ) -> anyhow::Result<u32> {
        let url = format!("http://{}/v1/trainers/{}/steps/{step}/groups", self.entry, self.name);
        let body = SubmitBody { service: self.service.clone(), groups: groups.to_vec() };
        let answer: SubmitAnswer = retry(timeout, || self.client.post(&url, &body)?.ok()?.json())?;
        Ok(answer.added)
    }

    /// Publishes a version of the weights and returns the version in the answer.
    ///
    /// The call is retried until it succeeds or `timeout` has passed.
    ///
    /// # Errors
    ///
    /// Returns the error of the last try where none succeeded within `timeout`.
    pub fn publish(&self, version: u64, timeout: Duration) -> anyhow::Result<u64> {
        let url = format!("http://{}/v1/trainers/{}/versions", self.entry, self.name);
        let body = PublishBody { service: self.service.clone(), version };
        let answer: PublishAnswer = retry(timeout, || self.client.post(&url, &body)?.ok()?.json())?;
        Ok(answer.version)
    }

    /// Fetches up to `max` samples from the cursor and advances the cursor.
    ///
    /// # Errors
    ///
    /// Returns an error where no complete answer arrives; the cursor stays.
    pub fn fetch(&mut self, max: u32) -> anyhow::Result<usize> {
        let url = format!(
            "http://{}/v1/trainers/{}/samples?cursor={}&max={max}&wait_ms={FETCH_WAIT_MS}",
            self.entry, self.name, self.cursor
        );
        let answer: SamplesAnswer = self.client.get(&url)?.ok()?.json()?;
        let count = answer.samples.len();
        self.cursor = answer.next_cursor;
        for sample in answer.samples {
            let key = (sample.step, sample.group.clone(), sample.index);
            self.received.entry(key).or_default().push(sample);
        }
        Ok(count)
    }

    /// Fetches until it has samples under `count` keys.
    ///
    /// # Errors
    ///
    /// Returns an error where it has fewer after `timeout`.
    pub fn fetch_until(&mut self, count: usize, timeout: Duration) -> anyhow::Result<()> {
        const MAX: u32 = 64;
        let deadline = Instant::now() + timeout;
        while self.received.len() < count {
            if Instant::now() > deadline {
                bail!("{} of {count} samples after {timeout:?}", self.received.len());
            }
            if self.fetch(MAX).is_err() {
                std::thread::sleep(RETRY_DELAY);
            }
        }
        Ok(())
    }
}

/// Retries a call until it succeeds or `timeout` has passed.
fn retry<T>(timeout: Duration, call: impl Fn() -> anyhow::Result<T>) -> anyhow::Result<T> {
    let deadline = Instant::now() + timeout;
    loop {
        match call() {
            Ok(answer) => return Ok(answer),
            Err(error) if Instant::now() > deadline => return Err(error),
            Err(_) => std::thread::sleep(RETRY_DELAY),
        }
    }
}

/// Creates the prompt groups of a step, `samples` samples each.
#[must_use]
pub fn prompt_groups(step: u64, count: u32, samples: u32, max_tokens: u32) -> Vec<PromptGroup> {
    let mut groups = Vec::new();
    for index in 0..count {
        groups.push(PromptGroup {
            name: format!("g{index}").into(),
            prompt: format!("draft a quote for order {index} of step {step}").into(),
            sample_count: samples,
            max_tokens,
        });
    }
    groups
}
