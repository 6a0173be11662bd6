//! Upstreams of a world: engines and desks that answer at once and count what they ran.

use std::sync::Arc;

use chestnutdrift_core::action::{Dispatch, Source};
use chestnutdrift_core::event::{
    AttemptEnd, Call, Event, OrderTask, RecordedAnswer, UpstreamKind, UpstreamSpec,
};
use chestnutdrift_core::records::{Output, Span};
use rand::Rng;

use super::{Item, World};

/// The time between two announcements.
const ANNOUNCE_EVERY: u64 = 400;

/// One run of a request on a desk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Run {
    /// The caller's key.
    pub(crate) key: Box<str>,
    /// The send that it was for.
    pub(crate) trace: Box<str>,
    /// When it ran.
    pub(crate) at: u64,
}

/// One upstream.
#[derive(Debug, Clone)]
pub(crate) struct SimUpstream {
    pub(crate) spec: UpstreamSpec,
    pub(crate) zone: Box<str>,
    pub(crate) up: bool,
    /// Samples whose versions come with a gap, in percent.
    pub(crate) gap_percent: u32,
    /// Attempts that break after they have run, in percent.
    pub(crate) break_percent: u32,
    /// The shortest and longest time of a request.
    pub(crate) work: (u64, u64),
    /// The greatest fencing number seen.
    pub(crate) fence: u64,
    /// Requests started.
    pub(crate) started: u64,
}

impl World {
    /// Adds an engine to a zone and returns its number.
    pub(crate) fn add_engine(&mut self, zone: &str, service: &str) -> usize {
        self.add_upstream(zone, service, UpstreamKind::Engine)
    }

    /// Adds a desk to a zone and returns its number.
    pub(crate) fn add_desk(&mut self, zone: &str, service: &str) -> usize {
        self.add_upstream(zone, service, UpstreamKind::Plain)
    }

    fn add_upstream(&mut self, zone: &str, service: &str, kind: UpstreamKind) -> usize {
        let number = self.upstreams.len();
        let engine = kind == UpstreamKind::Engine;
        let spec = UpstreamSpec {
            name: format!("{service}-{number}").into(),
            boot_id: 1,
            service: service.into(),
            address: format!("up-{number}").into(),
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
            work: (5, 30),
            fence: 0,
            started: 0,
        });
        self.push(self.now, Item::Announce(number));
        number
    }

    pub(super) fn announce(&mut self, number: usize) {
        self.push(self.now + ANNOUNCE_EVERY, Item::Announce(number));
        if !self.upstreams[number].up {
            return;
        }
        let spec = self.upstreams[number].spec.clone();
        for at in self.zone(&self.upstreams[number].zone.clone()) {
            self.feed(at, Event::Announced(spec.clone()));
        }
    }

    fn upstream_at(&self, address: &str) -> usize {
        self.upstreams
            .iter()
            .position(|upstream| &*upstream.spec.address == address)
            .expect("a known address")
    }

    pub(super) fn order(&mut self, address: &str, task: &OrderTask, fence: u64) -> Option<u64> {
        let number = self.upstream_at(address);
        let upstream = &mut self.upstreams[number];
        if !upstream.up {
            return None;
        }
        if fence >= upstream.fence {
            upstream.fence = fence;
            if let OrderTask::Version(version) = task {
                upstream.spec.version = *version;
            }
        }
        Some(upstream.spec.version)
    }

    pub(super) fn dispatch_upstream(&mut self, at: usize, address: &str, dispatch: &Dispatch) {
        let number = self.upstream_at(address);
        let life = self.nodes[at].life;
        let attempt = dispatch.attempt;
        if !self.upstreams[number].up {
            let end = AttemptEnd::NotSent { detail: "refused".into() };
            self.push(self.now + 1, Item::Ended(at, life, attempt, end));
            return;
        }
        self.upstreams[number].started += 1;
        let (least, most) = self.upstreams[number].work;
        let work = self.rng.random_range(least..=most);
        let breaks = self.percent(self.upstreams[number].break_percent);
        let end = match &dispatch.source {
            Source::Exchange { tag } => self.run_exchange(at, *tag, dispatch.record_answer),
            Source::Sample { prompt, .. } => self.run_sample(number, prompt),
        };
        let end = if breaks { AttemptEnd::Broken { detail: "broke off".into() } } else { end };
        self.push(self.now + work, Item::Ended(at, life, attempt, end));
    }

    fn run_exchange(
        &mut self,
        at: usize,
        tag: chestnutdrift_core::RequestTag,
        recorded: bool,
    ) -> AttemptEnd {
        let Some(held) = self.held.get(&(at, tag)) else {
            return AttemptEnd::Whole { output: None, answer: None };
        };
        if let Call::Run(call) = &held.arrival.call
            && let Some(key) = &call.key
        {
            let run = Run { key: key.clone(), trace: held.arrival.trace.clone(), at: self.now };
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

    fn run_sample(&mut self, number: usize, prompt: &str) -> AttemptEnd {
        let version = self.upstreams[number].spec.version;
        let gap = self.percent(self.upstreams[number].gap_percent);
        let spans = vec![Span { version, from: u32::from(gap), to: 4 }];
        let output = Output { text: format!("answer to {prompt}").into(), spans };
        AttemptEnd::Whole { output: Some(Arc::new(output)), answer: None }
    }
}
