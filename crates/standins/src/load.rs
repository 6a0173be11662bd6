//! Open-loop load: requests start when they are meant to, whether earlier ones have ended or not,
//! and their time is counted from then.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use chestnutdrift_wire::api::chat::ChatAnswer;
use chestnutdrift_wire::api::engine::{GenerateBody, StreamLine};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::client::Client;
use crate::engine::expected_answer;

/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Who is called, and in which protocol.
#[derive(Debug, Clone)]
pub enum LoadTarget {
    /// Hosts or a balancer, by chat completions, in turn.
    Entry(Vec<Box<str>>),
    /// Engines directly, in turn.
    Engines(Vec<Box<str>>),
}

/// What load is offered.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Who is called.
    pub target: LoadTarget,
    /// The service.
    pub service: Box<str>,
    /// Requests a second.
    pub rate: f64,
    /// Requests in all.
    pub count: usize,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Threads that send.
    pub senders: usize,
    /// The seed of the arrival times.
    pub seed: u64,
}

impl LoadPlan {
    /// Makes a plan of 100 requests of 8 tokens at 50 a second, from 64 threads.
    #[must_use]
    pub fn new(target: LoadTarget, service: impl Into<Box<str>>) -> Self {
        let service = service.into();
        Self { target, service, rate: 50.0, count: 100, tokens: 8, senders: 64, seed: 1 }
    }

    /// Sets the requests a second and in all; the default is 50 and 100.
    #[must_use]
    pub fn requests(mut self, rate: f64, count: usize) -> Self {
        self.rate = rate;
        self.count = count;
        self
    }

    /// Sets the tokens of each answer; the default is 8.
    #[must_use]
    pub fn tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sets the threads that send; the default is 64.
    #[must_use]
    pub fn senders(mut self, senders: usize) -> Self {
        self.senders = senders;
        self
    }

    /// Sets the seed; the default is 1.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// What came back.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Times of whole and right answers, in microseconds.
    pub times: Histogram<u64>,
    /// Requests that were refused as not run.
    pub refused: u64,
    /// Requests that failed in another way.
    pub failed: u64,
    /// Answers that were not whole or not to the request's own prompt.
    pub wrong: u64,
    /// From the first intended start to the last end.
    pub took: Duration,
}

impl LoadReport {
    /// Returns a quantile of the times, in milliseconds.
    #[must_use]
    pub fn millis(&self, quantile: f64) -> f64 {
        const US_PER_MS: f64 = 1_000.0;
        self.times.value_at_quantile(quantile) as f64 / US_PER_MS
    }

    /// Returns the whole and right answers a second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.times.len() as f64 / self.took.as_secs_f64().max(f64::EPSILON)
    }
}

enum Ended {
    Right,
    Refused,
    Failed,
    Wrong,
}

/// Offers a load and waits for the last answer.
///
/// # Errors
///
/// Returns an error where the histogram can't be made.
pub fn run(plan: &LoadPlan) -> anyhow::Result<LoadReport> {
    let starts = Arc::new(starts(plan));
    let next = Arc::new(AtomicUsize::new(0));
    let begin = Instant::now();
    let mut threads = Vec::new();
    for _ in 0..plan.senders {
        let (plan, starts, next) = (plan.clone(), Arc::clone(&starts), Arc::clone(&next));
        threads.push(std::thread::spawn(move || send(&plan, &starts, &next, begin)));
    }
    let mut report = LoadReport {
        times: Histogram::new_with_bounds(1, LONGEST_US, 3)?,
        refused: 0,
        failed: 0,
        wrong: 0,
        took: Duration::ZERO,
    };
    for thread in threads {
        for (ended, took) in thread.join().unwrap_or_default() {
            match ended {
                Ended::Right => {
                    report.times.saturating_record(u64::try_from(took.as_micros())?);
                }
                Ended::Refused => report.refused += 1,
                Ended::Failed => report.failed += 1,
                Ended::Wrong => report.wrong += 1,
            }
        }
    }
    report.took = begin.elapsed();
    Ok(report)
}

/// Draws the intended starts: exponential gaps, all fixed by the seed.
fn starts(plan: &LoadPlan) -> Vec<Duration> {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut at = 0.0;
    let mut starts = Vec::with_capacity(plan.count);
    for _ in 0..plan.count {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at -= unit.ln() / plan.rate;
        starts.push(Duration::from_secs_f64(at));
    }
    starts
}

fn send(
    plan: &LoadPlan,
    starts: &[Duration],
    next: &AtomicUsize,
    begin: Instant,
) -> Vec<(Ended, Duration)> {
    let client = Client::new(REQUEST_TIMEOUT);
    let mut ends = Vec::new();
    loop {
        let at = next.fetch_add(1, Ordering::AcqRel);
        let Some(start) = starts.get(at) else { return ends };
        let intended = begin + *start;
        std::thread::sleep(intended.saturating_duration_since(Instant::now()));
        let ended = one(plan, &client, at);
        ends.push((ended, intended.elapsed()));
    }
}

fn one(plan: &LoadPlan, client: &Client, at: usize) -> Ended {
    let prompt = format!("price of canvas lot {at}, seed {}", plan.seed);
    match &plan.target {
        LoadTarget::Entry(hosts) => chat(plan, client, &hosts[at % hosts.len()], &prompt),
        LoadTarget::Engines(engines) => {
            generate(plan, client, &engines[at % engines.len()], &prompt)
        }
    }
}

fn chat(plan: &LoadPlan, client: &Client, entry: &str, prompt: &str) -> Ended {
    let body = json!({
        "model": plan.service,
        "max_tokens": plan.tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let Ok(answer) = client.post(&format!("http://{entry}/v1/chat/completions"), &body) else {
        return Ended::Failed;
    };
    if answer.status != 200 {
        let refused = answer.text().contains("\"ran\":\"no\"");
        return if refused { Ended::Refused } else { Ended::Failed };
    }
    let Ok(answer) = answer.json::<ChatAnswer>() else { return Ended::Wrong };
    let wanted = expected_answer(&format!("user: {prompt}\n"), plan.tokens);
    let text = answer.choices.first().map(|choice| &choice.message.content);
    let right = matches!(text, Some(chestnutdrift_wire::api::chat::ChatContent::Text(text)) if **text == *wanted);
    if right { Ended::Right } else { Ended::Wrong }
}

fn generate(plan: &LoadPlan, client: &Client, engine: &str, prompt: &str) -> Ended {
    let prompt: Box<str> = format!("user: {prompt}\n").into();
    let wanted = expected_answer(&prompt, plan.tokens);
    let body = GenerateBody { id: "direct".into(), prompt, max_tokens: plan.tokens, resume_at: 0 };
    let Ok(answer) = client.post(&format!("http://{engine}/generate"), &body) else {
        return Ended::Failed;
    };
    let mut text = String::new();
    for line in answer.body.split(|byte| *byte == b'\n') {
        if let Ok(StreamLine::Tokens(tokens)) = serde_json::from_slice(line) {
            text.push_str(&tokens.tokens.concat());
        }
    }
    if text == wanted { Ended::Right } else { Ended::Wrong }
}
