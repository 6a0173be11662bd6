//! Open-loop load: each request is scheduled independently of earlier ones, and its latency counts
//! from the scheduled start.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use chestnutdrift_wire::api::chat::{ChatAnswer, ChatContent};
use chestnutdrift_wire::api::engine::{GenerateBody, StreamLine};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::client::Client;
use crate::engine::expected_answer;

/// The upper bound of the latency histogram, in microseconds; longer times count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The time limit of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The servers that get the load, and the protocol.
#[derive(Debug, Clone)]
pub enum LoadTarget {
    /// Hosts or a balancer, through chat completions, in turn.
    Entry(Vec<Box<str>>),
    /// Engines, through their own protocol, in turn.
    Engines(Vec<Box<str>>),
}

/// The load to generate.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The servers that get the load.
    pub target: LoadTarget,
    /// The service that the requests name.
    pub service: Box<str>,
    /// The mean rate, in requests per second.
    pub rate: f64,
    /// The total number of requests.
    pub count: usize,
    /// The number of tokens of each answer.
    pub tokens: u32,
    /// The number of sender threads.
    pub senders: usize,
    /// The seed of the arrival times.
    pub seed: u64,
}

impl LoadPlan {
    /// Creates a plan of 100 requests of 8 tokens at 50 per second, from 64 threads.
    #[must_use]
    pub fn new(target: LoadTarget, service: impl Into<Box<str>>) -> Self {
        let service = service.into();
        Self { target, service, rate: 50.0, count: 100, tokens: 8, senders: 64, seed: 1 }
    }

    /// Sets the rate per second and the total number of requests; the defaults are 50 and 100.
    #[must_use]
    pub fn requests(mut self, rate: f64, count: usize) -> Self {
        self.rate = rate;
        self.count = count;
        self
    }

    /// Sets the number of tokens of each answer; the default is 8.
    #[must_use]
    pub fn tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sets the number of sender threads; the default is 64.
    #[must_use]
    pub fn senders(mut self, senders: usize) -> Self {
        self.senders = senders;
        self
    }

    /// Sets the seed of the arrival times; the default is 1.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// The results of a load.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// The latencies of complete and correct answers, in microseconds.
    pub times: Histogram<u64>,
    /// Requests that were refused without being run.
    pub refused: u64,
    /// Requests that failed in another way.
    pub failed: u64,
    /// Answers that were incomplete or not those to the prompt of the request.
    pub wrong: u64,
    /// The time from the start of the run to the last answer.
    pub took: Duration,
}

impl LoadReport {
    /// Returns a quantile of the latencies, in milliseconds; `quantile` is from 0 to 1.
    #[must_use]
    pub fn millis(&self, quantile: f64) -> f64 {
        const US_PER_MS: f64 = 1_000.0;
        self.times.value_at_quantile(quantile) as f64 / US_PER_MS
    }

    /// Returns the number of complete and correct answers per second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.times.len() as f64 / self.took.as_secs_f64().max(f64::EPSILON)
    }
}

enum Outcome {
    Correct,
    Refused,
    Failed,
    Wrong,
}

/// Generates a load and waits for the last answer.
///
/// # Errors
///
/// Returns an error where the histogram can't be created.
pub fn run(plan: &LoadPlan) -> anyhow::Result<LoadReport> {
    let starts = Arc::new(draw_starts(plan));
    let next = Arc::new(AtomicUsize::new(0));
    let started = Instant::now();
    let mut threads = Vec::new();
    for _ in 0..plan.senders {
        let (plan, starts, next) = (plan.clone(), Arc::clone(&starts), Arc::clone(&next));
        threads.push(std::thread::spawn(move || send(&plan, &starts, &next, started)));
    }
    let mut report = LoadReport {
        times: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
        refused: 0,
        failed: 0,
        wrong: 0,
        took: Duration::ZERO,
    };
    for thread in threads {
        for (outcome, latency) in thread.join().unwrap_or_default() {
            match outcome {
                Outcome::Correct => {
                    report.times.saturating_record(u64::try_from(latency.as_micros())?);
                }
                Outcome::Refused => report.refused += 1,
                Outcome::Failed => report.failed += 1,
                Outcome::Wrong => report.wrong += 1,
            }
        }
    }
    report.took = started.elapsed();
    Ok(report)
}

/// Returns the scheduled starts: exponentially distributed gaps, fixed by the seed.
fn draw_starts(plan: &LoadPlan) -> Vec<Duration> {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut seconds = 0.0;
    let mut starts = Vec::with_capacity(plan.count);
    for _ in 0..plan.count {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        seconds -= unit.ln() / plan.rate;
        starts.push(Duration::from_secs_f64(seconds));
    }
    starts
}

/// Sends requests as one of the sender threads, until all requests are taken.
fn send(
    plan: &LoadPlan,
    starts: &[Duration],
    next: &AtomicUsize,
    started: Instant,
) -> Vec<(Outcome, Duration)> {
    let client = Client::new(REQUEST_TIMEOUT);
    let mut outcomes = Vec::new();
    loop {
        let index = next.fetch_add(1, Ordering::AcqRel);
        let Some(start) = starts.get(index) else { return outcomes };
        let scheduled = started + *start;
        std::thread::sleep(scheduled.saturating_duration_since(Instant::now()));
        let outcome = send_one(plan, &client, index);
        outcomes.push((outcome, scheduled.elapsed()));
    }
}

fn send_one(plan: &LoadPlan, client: &Client, index: usize) -> Outcome {
    let prompt = format!("price of canvas lot {index}, seed {}", plan.seed);
    match &plan.target {
        LoadTarget::Entry(hosts) => chat(plan, client, &hosts[index % hosts.len()], &prompt),
        LoadTarget::Engines(engines) => {
            generate(plan, client, &engines[index % engines.len()], &prompt)
        }
    }
}

fn chat(plan: &LoadPlan, client: &Client, entry: &str, prompt: &str) -> Outcome {
    let body = json!({
        "model": plan.service,
        "max_tokens": plan.tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let Ok(answer) = client.post(&format!("http://{entry}/v1/chat/completions"), &body) else {
        return Outcome::Failed;
    };
    if answer.status != 200 {
        let refused = answer.text().contains("\"ran\":\"no\"");
        return if refused { Outcome::Refused } else { Outcome::Failed };
    }
    let Ok(answer) = answer.json::<ChatAnswer>() else { return Outcome::Wrong };
    let expected = expected_answer(&format!("user: {prompt}\n"), plan.tokens);
    let text = answer.choices.first().map(|choice| &choice.message.content);
    let correct = matches!(text, Some(ChatContent::Text(text)) if **text == *expected);
    if correct { Outcome::Correct } else { Outcome::Wrong }
}

fn generate(plan: &LoadPlan, client: &Client, engine: &str, prompt: &str) -> Outcome {
    let prompt: Box<str> = format!("user: {prompt}\n").into();
    let expected = expected_answer(&prompt, plan.tokens);
    let body = GenerateBody { id: "direct".into(), prompt, max_tokens: plan.tokens, resume_at: 0 };
    let Ok(answer) = client.post(&format!("http://{engine}/generate"), &body) else {
        return Outcome::Failed;
    };
    let mut text = String::new();
    for line in answer.body.split(|byte| *byte == b'\n') {
        if let Ok(StreamLine::Tokens(tokens)) = serde_json::from_slice(line) {
            text.push_str(&tokens.tokens.concat());
        }
    }
    if text == expected { Outcome::Correct } else { Outcome::Wrong }
}
