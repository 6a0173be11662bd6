//! Simulated engines, which run items and load weights when ordered to.

use std::collections::BTreeMap;

use chestnutdrift_core::HostId;
use chestnutdrift_core::directory::ItemText;
use chestnutdrift_core::gateway::Call;
use chestnutdrift_core::gateway::{
    Announcement, Event, ItemEnd, ItemRunReport, Order, OrderEnd, RequestRate, RunItem,
    UpstreamAddress,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Deployment, Scheduled};

/// The time between two announcements of an engine.
const ANNOUNCE_INTERVAL_MS: u64 = 1_200;

/// The number of events of a running item in one progress report.
const EVENTS_PER_REPORT: usize = 12;

/// The time that an engine takes to load weights.
const LOAD_TIME_MS: u64 = 900;

/// A simulated engine.
#[derive(Debug, Clone)]
pub(crate) struct SimEngine {
    pub(crate) id: Box<str>,
    pub(crate) versions: BTreeMap<Box<str>, u64>,
    pub(crate) software: Box<str>,
    pub(crate) started_at: u64,
    pub(crate) loading_until: u64,
    /// The model that it loads until then, and the version that it announces meanwhile.
    pub(crate) loading: Option<(Box<str>, u64)>,
    /// The time that it takes to load weights, in milliseconds.
    pub(crate) load_ms: u64,
    /// Number of runs that it refused since it was loading.
    pub(crate) refused_runs: usize,
    pub(crate) orders: u64,
    pub(crate) up: bool,
    /// Whether it announces that it leaves.
    pub(crate) leaving: bool,
    pub(crate) seq: u64,
    /// The items that this engine completed: job, item, version.
    pub(crate) completed_runs: Vec<(Box<str>, u32, u64)>,
    /// The items that were started on this engine, each with the first event requested.
    pub(crate) started_runs: Vec<(u32, u64)>,
    /// The share of runs whose connection breaks after two events, in percent.
    pub(crate) break_percent: u32,
    /// The time to the first event of each run, in milliseconds.
    pub(crate) first_event_ms: u64,
    /// The limit that it names in its answers.
    pub(crate) limit: Option<RequestRate>,
    /// Number of requests of callers that it got.
    pub(crate) forwards: usize,
    /// When each run, order and request for its report came.
    pub(crate) arrivals: Vec<u64>,
}

impl SimEngine {
    pub(crate) fn new(number: u32) -> Self {
        Self {
            id: format!("engine-{number}").into(),
            versions: [("model".into(), 1), ("other".into(), 1)].into(),
            software: "v1".into(),
            started_at: 1,
            loading_until: 0,
            loading: None,
            load_ms: LOAD_TIME_MS,
            refused_runs: 0,
            orders: 0,
            up: true,
            leaving: false,
            seq: 0,
            completed_runs: Vec::new(),
            started_runs: Vec::new(),
            break_percent: 0,
            first_event_ms: 0,
            limit: None,
            forwards: 0,
            arrivals: Vec::new(),
        }
    }

    pub(crate) fn announcement(&self, slots: u32) -> Announcement {
        Announcement {
            id: self.id.clone(),
            service: "engines".into(),
            address: format!("10.0.0.9:{}", 8_000 + self.id.len()).into(),
            zone: "zone-1".into(),
            slots,
            leaving: self.leaving,
            started_at: self.started_at,
            seq: self.seq,
            versions: self.versions.clone().into_iter().collect(),
            software: self.software.clone(),
            reclaimable: false,
            leaves_in: None,
        }
    }
}

impl Deployment {
    /// Announces an upstream of the service `desk` to a store.
    pub(crate) fn announce_desk(&mut self, store: HostId, number: u32, started_at: u64, seq: u64) {
        let announcement = Announcement {
            id: format!("desk-{number}").into(),
            service: "desk".into(),
            address: format!("10.0.1.{number}:8000").into(),
            zone: "zone-1".into(),
            slots: 8,
            leaving: false,
            started_at,
            seq,
            versions: Vec::new(),
            software: "v1".into(),
            reclaimable: false,
            leaves_in: None,
        };
        self.send_call(store, Call::Announce(announcement));
    }

    pub(super) fn announce(&mut self, index: usize) {
        self.schedule(self.now + ANNOUNCE_INTERVAL_MS, Scheduled::Announce(index));
        if !self.engines[index].up {
            return;
        }
        self.engines[index].seq += 1;
        let engine = &self.engines[index];
        let mut announcement = engine.announcement(self.engine_slots);
        if let Some((model, before)) = &engine.loading
            && self.now < engine.loading_until
        {
            announcement.versions.retain(|(loading, _)| loading != model);
            announcement.versions.push((model.clone(), *before));
        }
        let stores = self.stores();
        let store = stores[self.rng.random_range(0..stores.len())];
        self.send_call(store, Call::Announce(announcement));
    }

    pub(super) fn engine_index(&self, id: &str) -> usize {
        self.engines.iter().position(|engine| &*engine.id == id).expect("a known engine")
    }

    /// Counts requests to an engine, whose answers name its limit.
    fn name_limit(
        &mut self,
        host: HostId,
        boot_id: u64,
        index: usize,
        upstream: &UpstreamAddress,
        requests: usize,
    ) {
        let (now, engine) = (self.now, &mut self.engines[index]);
        engine.arrivals.extend(std::iter::repeat_n(now, requests));
        let rate = engine.limit;
        if rate.is_some() || upstream.limited {
            let answer = "status=200".into();
            let event = Event::UpstreamLimit { upstream: upstream.key, rate, answer };
            self.schedule(now + 1, Scheduled::Event(host, boot_id, event));
        }
    }

    pub(super) fn run_item(&mut self, host: HostId, boot_id: u64, run: &RunItem) {
        if self.boot_id(host) != boot_id {
            return;
        }
        let index = self.engine_index(&run.upstream.id);
        self.name_limit(host, boot_id, index, &run.upstream, 1);
        let (padding, interval) = (self.event_padding_bytes, self.event_interval_ms);
        let (now, break_roll) = (self.now, self.rng.random_range(0..100));
        let engine = &mut self.engines[index];
        let is_loading = now < engine.loading_until;
        engine.refused_runs += usize::from(is_loading);
        let rejected = is_loading || run.version != Some(engine.versions["model"]);
        let first = run.resume_after.unwrap_or(0) + 1;
        let length = self.events_per_item.unwrap_or(u64::from(run.item % 5) + 3);
        engine.started_runs.push((run.item, first));
        if let Some(runs) = &mut self.runs {
            runs.insert((host, run.attempt), index);
        }
        let is_silent = engine.first_event_ms > run.silence.0;
        let (end, last) = if rejected {
            let status = if is_loading { 503 } else { 421 };
            (ItemEnd::NotRun { status, other_instance: false }, first - 1)
        } else if is_silent {
            (ItemEnd::Broken { detail: "silent".into() }, first - 1)
        } else if break_roll < engine.break_percent && first + 1 < length {
            (ItemEnd::Broken { detail: "broken".into() }, first + 1)
        } else {
            engine.completed_runs.push((run.job.id.clone(), run.item, engine.versions["model"]));
            (ItemEnd::Whole, length)
        };
        let version = engine.versions["model"];
        // Events of another software version than the usual one show it.
        let mark = if *engine.software == *"v1" { "" } else { &*format!("@{}", engine.software) };
        let events: Vec<u64> = (first..=last).collect();
        let mut time = now + 1 + engine.first_event_ms.min(run.silence.0);
        let mut unreported = ItemText::default();
        for (number, id) in events.iter().enumerate() {
            if number > 0 && number % EVENTS_PER_REPORT == 0 {
                let progress = vec![(run.attempt, std::mem::take(&mut unreported))];
                self.schedule(time, Scheduled::Event(host, boot_id, Event::ItemProgress(progress)));
            }
            let padding = random_letters(u64::from(run.item) << 32 | *id, padding);
            unreported.push_event(*id, &format!("{}.{id}{mark}{padding}", run.item), Some(version));
            time += interval;
        }
        if end == ItemEnd::Whole {
            self.whole_runs.push((time, host, run.job.items[run.item as usize].id.clone()));
        }
        let report = ItemRunReport { text: unreported, end };
        let event = Event::ItemEnded { attempt: run.attempt, run: report };
        self.schedule(time, Scheduled::Event(host, boot_id, event));
    }

    pub(super) fn handle_order(&mut self, host: HostId, boot_id: u64, order: &Order) {
        let index = self.engine_index(&order.upstream.id);
        let reports = usize::from(order.orders_before.is_none());
        self.name_limit(host, boot_id, index, &order.upstream, 1 + reports);
        let now = self.now;
        let engine = &mut self.engines[index];
        let expected_orders = order.orders_before.unwrap_or(engine.orders);
        let end = if now < engine.loading_until || expected_orders != engine.orders {
            OrderEnd::Conflict { orders: Some(engine.orders) }
        } else if engine.versions[&order.model] == order.version {
            OrderEnd::Holds { orders: Some(engine.orders) }
        } else {
            engine.orders += 1;
            let before = engine.versions.insert(order.model.clone(), order.version);
            engine.loading = before.map(|before| (order.model.clone(), before));
            engine.loading_until = now + engine.load_ms;
            OrderEnd::Begun { orders: engine.orders }
        };
        let event = Event::OrderEnded { order: order.order, end };
        self.schedule(now + 3, Scheduled::Event(host, boot_id, event));
    }
}

/// Returns letters that compress about as well as an engine's text.
fn random_letters(seed: u64, count: usize) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    (0..count).map(|_| char::from(rng.random_range(b'a'..=b'z'))).collect()
}
