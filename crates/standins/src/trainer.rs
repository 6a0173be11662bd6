//! A stand-in for a trainer.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anyhow::bail;
use chestnutdrift_core::records::PromptGroup;
use chestnutdrift_wire::api::trainer::{
    PublishAnswer, PublishBody, SampleBody, SamplesAnswer, SubmitAnswer, SubmitBody,
};

use crate::client::Client;

/// The wait of one fetch, in milliseconds.
const FETCH_WAIT_MS: u64 = 2_000;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The pause before a call that failed is made again.
const PAUSE: Duration = Duration::from_millis(100);

/// A sample's place: step, group and index.
pub type SampleKey = (u64, Box<str>, u32);

/// A trainer that counts what it gets.
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
    /// Makes a trainer that calls an entry: a balancer or a host.
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

    /// Returns what it has received, by place; each place holds one sample where all is well.
    #[must_use]
    pub fn received(&self) -> &BTreeMap<SampleKey, Vec<SampleBody>> {
        &self.received
    }

    /// Hands in groups for a step, again until it is answered or the time is over.
    ///
    /// # Errors
    ///
    /// Returns the last answer where none was a success in time.
    pub fn submit(
        &self,
        step: u64,
        groups: &[PromptGroup],
        within: Duration,
    ) -> anyhow::Result<u32> {
        let url = format!("http://{}/v1/trainers/{}/steps/{step}/groups", self.entry, self.name);
        let body = SubmitBody { service: self.service.clone(), groups: groups.to_vec() };
        let answer: SubmitAnswer = again(within, || self.client.post(&url, &body)?.ok()?.json())?;
        Ok(answer.added)
    }

    /// Publishes a version, again until it is answered or the time is over.
    ///
    /// # Errors
    ///
    /// Returns the last answer where none was a success in time.
    pub fn publish(&self, version: u64, within: Duration) -> anyhow::Result<u64> {
        let url = format!("http://{}/v1/trainers/{}/versions", self.entry, self.name);
        let body = PublishBody { service: self.service.clone(), version };
        let answer: PublishAnswer = again(within, || self.client.post(&url, &body)?.ok()?.json())?;
        Ok(answer.version)
    }

    /// Fetches once from the cursor and moves it on.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came; the cursor stays.
    pub fn fetch(&mut self, max: u32) -> anyhow::Result<usize> {
        let url = format!(
            "http://{}/v1/trainers/{}/samples?cursor={}&max={max}&wait_ms={FETCH_WAIT_MS}",
            self.entry, self.name, self.cursor
        );
        let answer: SamplesAnswer = self.client.get(&url)?.ok()?.json()?;
        let count = answer.samples.len();
        self.cursor = answer.next_cursor;
        for sample in answer.samples {
            let place = (sample.step, sample.group.clone(), sample.index);
            self.received.entry(place).or_default().push(sample);
        }
        Ok(count)
    }

    /// Fetches until it holds `count` places or the time is over.
    ///
    /// # Errors
    ///
    /// Returns an error where the time is over.
    pub fn fetch_until(&mut self, count: usize, within: Duration) -> anyhow::Result<()> {
        const MAX: u32 = 64;
        let end = Instant::now() + within;
        while self.received.len() < count {
            if Instant::now() > end {
                bail!("{} of {count} samples after {within:?}", self.received.len());
            }
            if self.fetch(MAX).is_err() {
                std::thread::sleep(PAUSE);
            }
        }
        Ok(())
    }
}

/// Makes a call again until it succeeds or the time is over.
fn again<T>(within: Duration, call: impl Fn() -> anyhow::Result<T>) -> anyhow::Result<T> {
    let end = Instant::now() + within;
    loop {
        match call() {
            Ok(answer) => return Ok(answer),
            Err(error) if Instant::now() > end => return Err(error),
            Err(_) => std::thread::sleep(PAUSE),
        }
    }
}

/// Makes the groups of a step.
#[must_use]
pub fn prompt_groups(step: u64, count: u32, samples: u32, max_tokens: u32) -> Vec<PromptGroup> {
    let mut groups = Vec::new();
    for at in 0..count {
        groups.push(PromptGroup {
            name: format!("g{at}").into(),
            prompt: format!("draft a quote for order {at} of step {step}").into(),
            sample_count: samples,
            max_tokens,
        });
    }
    groups
}
