//! Engines that run items and take orders.

use std::collections::BTreeMap;

use chestnutdrift_core::HostId;
use chestnutdrift_core::directory::ItemText;
use chestnutdrift_core::gateway::Call;
use chestnutdrift_core::gateway::{
    Announcement, Event, ItemEnd, ItemRunReport, Order, OrderEnd, RunItem,
};
use rand::Rng;

use super::{Deployment, Item};

/// The time between two announcements, in milliseconds.
const ANNOUNCE_EVERY: u64 = 1_200;

/// The time between two events of an item, in milliseconds.
const EVENT: u64 = 20;

/// The events of an item that are reported together while it runs.
const EVENTS_PER_REPORT: usize = 12;

/// How long a load of weights takes, in milliseconds.
const LOAD: u64 = 900;

/// One engine.
#[derive(Debug, Clone)]
pub(crate) struct SimEngine {
    pub(crate) id: Box<str>,
    pub(crate) versions: BTreeMap<Box<str>, u64>,
    pub(crate) loading_until: u64,
    pub(crate) orders: u64,
    pub(crate) alive: bool,
    pub(crate) seq: u64,
    /// Items that ran to their end here: job, item, version.
    pub(crate) ran: Vec<(Box<str>, u32, u64)>,
    /// Items that were begun here, with the first event that was asked for.
    pub(crate) begun: Vec<(u32, u64)>,
    /// Runs that break off after two events, in percent.
    pub(crate) breaks_percent: u32,
}

impl SimEngine {
    pub(crate) fn new(number: u32) -> Self {
        Self {
            id: format!("engine-{number}").into(),
            versions: [("model".into(), 1), ("other".into(), 1)].into(),
            loading_until: 0,
            orders: 0,
            alive: true,
            seq: 0,
            ran: Vec::new(),
            begun: Vec::new(),
            breaks_percent: 0,
        }
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            id: self.id.clone(),
            service: "engines".into(),
            address: format!("10.0.0.9:{}", 8_000 + self.id.len()).into(),
            zone: "zone-1".into(),
            slots: 4,
            leaving: false,
            started_at: 1,
            seq: self.seq,
            versions: self.versions.clone().into_iter().collect(),
        }
    }
}

impl Deployment {
    pub(super) fn announce(&mut self, at: usize) {
        self.push(self.now + ANNOUNCE_EVERY, Item::Announce(at));
        if !self.engines[at].alive {
            return;
        }
        self.engines[at].seq += 1;
        let announcement = self.engines[at].announcement();
        let stores = self.stores();
        let store = stores[self.rng.random_range(0..stores.len())];
        self.ask(store, Call::Announce(announcement));
    }

    fn engine(&self, id: &str) -> usize {
        self.engines.iter().position(|engine| &*engine.id == id).expect("a known engine")
    }

    pub(super) fn run_item(&mut self, host: HostId, life: u64, run: &RunItem) {
        if self.life(host) != life {
            return;
        }
        let at = self.engine(&run.upstream.id);
        let padding = self.text_bytes;
        let (now, breaks) = (self.now, self.rng.random_range(0..100));
        let engine = &mut self.engines[at];
        let refused = now < engine.loading_until || run.version != Some(engine.versions["model"]);
        let first = run.resume_after.unwrap_or(0) + 1;
        let length = self.item_events.unwrap_or(u64::from(run.item % 5) + 3);
        engine.begun.push((run.item, first));
        let (end, last) = if refused {
            (ItemEnd::NotRun { status: 421, other_instance: false }, first - 1)
        } else if breaks < engine.breaks_percent && first + 1 < length {
            (ItemEnd::Broken { detail: "broken".into() }, first + 1)
        } else {
            engine.ran.push((run.job.id.clone(), run.item, engine.versions["model"]));
            (ItemEnd::Whole, length)
        };
        let padding = "x".repeat(padding);
        let version = engine.versions["model"];
        let events: Vec<u64> = (first..=last).collect();
        let mut at = now + 1;
        let mut unreported = ItemText::default();
        for (number, id) in events.iter().enumerate() {
            if number > 0 && number % EVENTS_PER_REPORT == 0 {
                let progress = vec![(run.attempt, std::mem::take(&mut unreported))];
                self.push(at, Item::Event(host, life, Event::ItemProgress(progress)));
            }
            unreported.push_event(*id, &format!("{}.{id}{padding}", run.item), Some(version));
            at += EVENT;
        }
        let result = ItemRunReport { text: unreported, end };
        let event = Event::ItemEnded { attempt: run.attempt, run: result };
        self.push(at, Item::Event(host, life, event));
    }

    pub(super) fn take_order(&mut self, host: HostId, life: u64, order: &Order) {
        let at = self.engine(&order.upstream.id);
        let now = self.now;
        let engine = &mut self.engines[at];
        let expected = order.orders_before.unwrap_or(engine.orders);
        let end = if now < engine.loading_until || expected != engine.orders {
            OrderEnd::Conflict { orders: Some(engine.orders) }
        } else if engine.versions[&order.model] == order.version {
            OrderEnd::Holds { orders: Some(engine.orders) }
        } else {
            engine.orders += 1;
            engine.versions.insert(order.model.clone(), order.version);
            engine.loading_until = now + LOAD;
            OrderEnd::Begun { orders: engine.orders }
        };
        let event = Event::OrderEnded { order: order.order, end };
        self.push(now + 3, Item::Event(host, life, event));
    }
}
