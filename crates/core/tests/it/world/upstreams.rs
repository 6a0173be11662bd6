//! Simulated upstreams: engines, and booking services ("desks") that record each run.

use std::sync::Arc;

use chestnutdrift_core::action::{Dispatch, Source};
use chestnutdrift_core::event::{
    AttemptEnd, Call, Event, OrderTask, RecordedAnswer, UpstreamKind, UpstreamSpec,
};
use chestnutdrift_core::records::{Output, Span};
use rand::Rng;

use super::{Scheduled, World};

/// The time between two announcements of an upstream.
const ANNOUNCE_INTERVAL_MS: u64 = 400;

/// A run of a booking at a desk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Run {
    /// The idempotency key.
    pub(crate) key: Box<str>,
    /// The request ID of the call that was run.
    pub(crate) trace: Box<str>,
    /// The time at which the run started, in milliseconds.
    pub(crate) started_at: u64,
}

/// A simulated upstream.
#[derive(Debug, Clone)]
pub(crate) struct SimUpstream {
    pub(crate) spec: UpstreamSpec,
    pub(crate) zone: Box<str>,
    pub(crate) up: bool,
    /// The share of samples whose version spans have a gap, in percent.
    pub(crate) gap_percent: u32,
    /// The share of attempts whose connection breaks after the request has run, in percent.
    pub(crate) break_percent: u32,
    /// The minimum and maximum service time of a request.
    pub(crate) service_time_ms: (u64, u64),
    /// The highest fencing token seen.
    pub(crate) max_fencing_token: u64,
    /// The number of requests that were started.
    pub(crate) started: u64,
}

impl World {
    /// Adds an engine to a zone and returns its index in [`World::upstreams`].
    pub(crate) fn add_engine(&mut self, zone: &str, service: &str) -> usize {
        self.add_upstream(zone, service, UpstreamKind::Engine)
    }

    /// Adds a desk to a zone and returns its index in [`World::upstreams`].
    pub(crate) fn add_desk(&mut self, zone: &str, service: &str) -> usize {
        self.add_upstream(zone, service, UpstreamKind::Plain)
    }

    fn add_upstream(&mut self, zone: &str, service: &str, kind: UpstreamKind) -> usize {
        let index = self.upstreams.len();
        let engine = kind == UpstreamKind::Engine;
        let spec = UpstreamSpec {
            name: format!("{service}-{index}").into(),
            boot_id: 1,
            service: service.into(),
            address: format!("up-{index}").into(),
            kind,
            slots: 8,
            version: u64::from(engine),
            checks_fence: true,
            idempotent: engine,
        };
        self.upstreams.push(SimUpstream {
            spec,
            zone: zone.into(),
            up: true,
            gap_percent: 0,
            break_percent: 0,
            service_time_ms: (5, 30),
            max_fencing_token: 0,
            started: 0,
        });
        self.schedule(self.now, Scheduled::Announce(index));
        index
    }

    pub(super) fn announce(&mut self, index: usize) {
        self.schedule(self.now + ANNOUNCE_INTERVAL_MS, Scheduled::Announce(index));
        if !self.upstreams[index].up {
            return;
        }
        let spec = self.upstreams[index].spec.clone();
        for host in self.zone(&self.upstreams[index].zone.clone()) {
            self.handle_event(host, Event::Announced(spec.clone()));
        }
    }

    fn upstream_at(&self, address: &str) -> usize {
        self.upstreams
            .iter()
            .position(|upstream| &*upstream.spec.address == address)
            .expect("a known address")
    }

    pub(super) fn order(
        &mut self,
        address: &str,
        task: &OrderTask,
        fencing_token: u64,
    ) -> Option<u64> {
        let index = self.upstream_at(address);
        let upstream = &mut self.upstreams[index];
        if !upstream.up {
            return None;
        }
        if fencing_token >= upstream.max_fencing_token {
            upstream.max_fencing_token = fencing_token;
            if let OrderTask::Version(version) = task {
                upstream.spec.version = *version;
            }
        }
        Some(upstream.spec.version)
    }

    pub(super) fn dispatch_upstream(&mut self, host: usize, address: &str, dispatch: &Dispatch) {
        let index = self.upstream_at(address);
        let boot_id = self.nodes[host].boot_id;
        let attempt = dispatch.attempt;
        if !self.upstreams[index].up {
            let end = AttemptEnd::NotSent { detail: "refused".into() };
            self.schedule(self.now + 1, Scheduled::Ended(host, boot_id, attempt, end));
            return;
        }
        self.upstreams[index].started += 1;
        let (min, max) = self.upstreams[index].service_time_ms;
        let service_time = self.rng.random_range(min..=max);
        let breaks = self.chance(self.upstreams[index].break_percent);
        let end = match &dispatch.source {
            Source::Exchange { tag } => self.run_exchange(host, *tag, dispatch.record_answer),
            Source::Sample { prompt, .. } => self.run_sample(index, prompt),
        };
        let end =
            if breaks { AttemptEnd::Broken { detail: "the connection broke".into() } } else { end };
        self.schedule(self.now + service_time, Scheduled::Ended(host, boot_id, attempt, end));
    }

    fn run_exchange(
        &mut self,
        host: usize,
        tag: chestnutdrift_core::RequestTag,
        recorded: bool,
    ) -> AttemptEnd {
        let Some(pending) = self.pending_calls.get(&(host, tag)) else {
            return AttemptEnd::Whole { output: None, answer: None };
        };
        if let Call::Run(call) = &pending.arrival.call
            && let Some(key) = &call.key
        {
            let run = Run {
                key: key.clone(),
                trace: pending.arrival.trace.clone(),
                started_at: self.now,
            };
            self.runs.push(run);
        }
        let body = format!("run {}", self.runs.len());
        let answer = RecordedAnswer {
            status: 200,
            content_type: "text/plain".into(),
            body: Arc::from(body.into_bytes()),
        };
        AttemptEnd::Whole { output: None, answer: recorded.then_some(answer) }
    }

    fn run_sample(&mut self, index: usize, prompt: &str) -> AttemptEnd {
        let version = self.upstreams[index].spec.version;
        let gap = self.chance(self.upstreams[index].gap_percent);
        let spans = vec![Span { version, from: u32::from(gap), to: 4 }];
        let output = Output { text: format!("answer to {prompt}").into(), spans };
        AttemptEnd::Whole { output: Some(Arc::new(output)), answer: None }
    }
}
