//! A replay of trainers' items on engines, as the leader places them: a queueing model in steps of
//! 5 ms.

use std::fmt;

use chestnutdrift_core::Millis;
use chestnutdrift_core::gateway::CapacityEstimate;
use chestnutdrift_core::gateway::board::UpstreamHealth;
use chestnutdrift_core::gateway::capacity::{self, Observation};
use chestnutdrift_core::gateway::policy::{
    EngineCandidate, FewestInFlight, ItemPlacement, LearnedPlacement, LongestFirst, WaitingItem,
};
use chestnutdrift_core::key::{ItemKey, UpstreamKey};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use super::percentile;

const ENGINES: usize = 10;
const SLOTS: u32 = 8;
const STEP_MS: u64 = 5;
const REPORT_MS: u64 = 250;
const FIRST_EVENT_MS: f64 = 200.0;
const TRAINERS: u64 = 4;
const JOB_INTERVAL_MS: u64 = 4_000;
const JOBS: u64 = 12;
const ITEMS: u32 = 14;
const DUE_MS: u64 = 7_500;

/// What happens to the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ItemLoad {
    /// Nothing.
    Sound,
    /// One in five is 3 to 6 times slower for 8 s at a time.
    Slow,
    /// The throughput of three in ten does not grow beyond half of the slots.
    HalfSlots,
    /// As `Slow`, and all are replaced after 20 s.
    Release,
}

/// The policy, and the estimate that it is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Placement {
    Fewest,
    Today,
    Learned,
}

#[derive(Debug)]
struct Engine {
    key: UpstreamKey,
    slow: f64,
    slow_until: u64,
    half: bool,
    in_flight: u32,
    estimate: CapacityEstimate,
    health: UpstreamHealth,
}

#[derive(Debug)]
struct Work {
    waiting: WaitingItem,
    submitted: u64,
    waits_since: u64,
    engine: Option<usize>,
    /// Events of the run, and time to its first one.
    done: f64,
    first_event_in: f64,
    reported: (u32, u64),
    total: u32,
}

/// The results of replays.
#[derive(Debug, Default)]
pub(super) struct Figures {
    latencies: Vec<u64>,
    last_ends: Vec<u64>,
    tokens: u64,
    took_ms: u64,
}

impl Figures {
    pub(super) fn add(&mut self, other: Self) {
        self.latencies.extend(other.latencies);
        self.last_ends.extend(other.last_ends);
        self.tokens += other.tokens;
        self.took_ms += other.took_ms;
    }

    pub(super) fn latency_ms(&self, percent: usize) -> u64 {
        percentile(&self.latencies, percent)
    }

    /// The time from the submission of a job to the end of its last item.
    pub(super) fn last_end_ms(&self, percent: usize) -> u64 {
        percentile(&self.last_ends, percent)
    }

    pub(super) fn tokens_per_second(&self) -> u64 {
        self.tokens * 1_000 / self.took_ms.max(1)
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "item p50={} p99={} ms, last item of a job p50={} p90={} max={} ms, {} tokens/s",
            self.latency_ms(50),
            self.latency_ms(99),
            self.last_end_ms(50),
            self.last_end_ms(90),
            self.last_end_ms(100),
            self.tokens_per_second()
        )
    }
}

pub(super) struct ItemReplay {
    rng: Pcg64Mcg,
    load: ItemLoad,
    learned: bool,
    policy: Box<dyn ItemPlacement>,
    engines: Vec<Engine>,
    work: Vec<Work>,
    keys: SlotMap<ItemKey, ()>,
    now: u64,
    figures: Figures,
}

impl ItemReplay {
    pub(super) fn new(seed: u64, load: ItemLoad, placement: Placement) -> Self {
        let mut keys = SlotMap::with_key();
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            engines.push(Engine {
                key: keys.insert(()),
                slow: 1.0,
                slow_until: 0,
                half: load == ItemLoad::HalfSlots && number % 10 < 3,
                in_flight: 0,
                estimate: CapacityEstimate::default(),
                health: UpstreamHealth::default(),
            });
        }
        let policy: Box<dyn ItemPlacement> = match placement {
            Placement::Fewest => Box::new(FewestInFlight),
            Placement::Today => Box::new(LongestFirst),
            Placement::Learned => Box::new(LearnedPlacement),
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            load,
            learned: placement == Placement::Learned,
            policy,
            engines,
            work: Vec::new(),
            keys: SlotMap::with_key(),
            now: 0,
            figures: Figures::default(),
        }
    }

    /// Runs until all jobs have ended.
    pub(super) fn run(mut self) -> Figures {
        while self.now < JOBS * JOB_INTERVAL_MS || !self.work.is_empty() {
            if self.now.is_multiple_of(JOB_INTERVAL_MS / TRAINERS)
                && self.now < JOBS * JOB_INTERVAL_MS
            {
                self.submit();
            }
            self.change_engines();
            self.advance();
            self.move_slow();
            self.place();
            self.now += STEP_MS;
        }
        self.figures.took_ms = self.now;
        self.figures
    }

    fn submit(&mut self) {
        for index in 0..ITEMS {
            // Mostly short, as trainers' items are: 20 to 150 events.
            let share: f64 = self.rng.random();
            let total = if index == 0 { 150 } else { 20 + (130.0 * share * share) as u32 };
            let due = Millis(self.now + DUE_MS);
            let (key, waited) = (self.keys.insert(()), Millis(0));
            let waiting =
                WaitingItem { key, due, index, expected: total, longest: 0, waited, begun: false };
            self.work.push(Work {
                waiting,
                submitted: self.now,
                waits_since: self.now,
                engine: None,
                done: 0.0,
                first_event_in: 0.0,
                reported: (0, 0),
                total,
            });
        }
    }

    fn change_engines(&mut self) {
        if self.load == ItemLoad::Release && self.now == 20_000 {
            for engine in &mut self.engines {
                (engine.estimate, engine.health) = Default::default();
                (0..engine.in_flight).for_each(|_| engine.estimate.begin(Millis(self.now)));
            }
        }
        for engine in &mut self.engines {
            if self.now >= engine.slow_until {
                engine.slow = 1.0;
            }
        }
        let slows = matches!(self.load, ItemLoad::Slow | ItemLoad::Release);
        if slows && self.now.is_multiple_of(4_000) {
            let mut at = self.rng.random_range(0..ENGINES);
            while self.engines[at].slow_until > self.now {
                at = (at + 1) % ENGINES;
            }
            self.engines[at].slow = self.rng.random_range(3.0..6.0);
            self.engines[at].slow_until = self.now + 8_000;
        }
    }

    fn advance(&mut self) {
        let now = Millis(self.now);
        let mut ended: Vec<(u64, u64)> = Vec::new();
        for work in &mut self.work {
            let Some(at) = work.engine else { continue };
            let engine = &mut self.engines[at];
            let shared = 47.0 + 13.0 * f64::from(engine.in_flight - 1) / f64::from(SLOTS - 1);
            let crowd = if engine.half { f64::from(engine.in_flight) / 4.0 } else { 1.0 };
            let interval = shared * engine.slow * crowd.max(1.0) * self.rng.random_range(0.8..1.2);
            if work.first_event_in > 0.0 {
                work.first_event_in -= STEP_MS as f64 / engine.slow;
                continue;
            }
            work.done += STEP_MS as f64 / interval;
            let events = (work.done as u32).min(work.total);
            let (before, since) = work.reported;
            let whole = events == work.total;
            if (!whole && self.now < since + REPORT_MS) || events == before {
                continue;
            }
            let took = Millis(self.now - since);
            if before > 0 {
                engine.health.record_events(events - before, took);
                engine
                    .estimate
                    .observe(now, Observation { slots: SLOTS, units: events - before, took });
            }
            work.reported = (events, self.now);
            if whole {
                engine.in_flight -= 1;
                engine.estimate.finish();
                self.figures.latencies.push(self.now - work.submitted);
                self.figures.tokens += u64::from(work.waiting.expected);
                ended.push((work.submitted, self.now));
            }
        }
        self.work.retain(|work| work.reported.0 < work.total);
        for (submitted, at) in ended {
            if !self.work.iter().any(|work| work.submitted == submitted) {
                self.figures.last_ends.push(at - submitted);
            }
        }
    }

    fn interval_us(&self, engine: &Engine) -> u64 {
        if self.learned {
            engine.estimate.unit_time_us(Millis(self.now))
        } else {
            engine.health.event_interval_us
        }
    }

    fn limit(&self, engine: &Engine) -> u32 {
        if self.learned { engine.estimate.limit(Millis(self.now), SLOTS) } else { SLOTS }
    }

    /// Moves items off slow engines by the rule of the controller.
    fn move_slow(&mut self) {
        let median =
            capacity::median_us(self.engines.iter().map(|engine| self.interval_us(engine)));
        let has_room = |engine: &Engine| {
            engine.in_flight < self.limit(engine) && self.interval_us(engine) * 100 <= median * 130
        };
        let mut room = self.engines.iter().filter(|engine| has_room(engine)).count();
        let min_events = if self.learned { 4 } else { 12 };
        for at in 0..self.work.len() {
            let Some(from) = self.work[at].engine else { continue };
            let slow = self.interval_us(&self.engines[from]) * 100 > median * 200;
            if room == 0 || !slow || self.work[at].reported.0 < min_events {
                continue;
            }
            room -= 1;
            let work = &mut self.work[at];
            work.total -= work.reported.0;
            (work.done, work.reported, work.engine) = (0.0, (0, 0), None);
            (work.waiting.begun, work.waits_since) = (true, self.now);
            self.engines[from].in_flight -= 1;
            self.engines[from].estimate.finish();
        }
    }

    fn place(&mut self) {
        if !self.now.is_multiple_of(10) {
            return;
        }
        let mut waiting = Vec::new();
        for work in self.work.iter().filter(|work| work.engine.is_none()) {
            waiting
                .push(WaitingItem { waited: Millis(self.now - work.waits_since), ..work.waiting });
        }
        for at in 0..waiting.len() {
            let same_due = waiting.iter().filter(|item| item.due == waiting[at].due);
            waiting[at].longest = same_due.map(|item| item.expected).max().unwrap_or(0);
        }
        self.policy.order(&mut waiting);
        let now = Millis(self.now);
        let median =
            capacity::median_us(self.engines.iter().map(|engine| self.interval_us(engine)));
        for item in waiting {
            let mut candidates = Vec::new();
            for engine in &self.engines {
                if engine.in_flight >= self.limit(engine) {
                    continue;
                }
                candidates.push(EngineCandidate {
                    key: engine.key,
                    distance: 0,
                    in_flight: engine.in_flight,
                    slots: self.limit(engine),
                    tokens: 0,
                    event_interval_us: self.interval_us(engine),
                    median_interval_us: median,
                    observed: engine.estimate.age(now),
                });
            }
            let Some(key) = self.policy.place(&item, &candidates) else { continue };
            let Some(at) = self.engines.iter().position(|engine| engine.key == key) else {
                continue;
            };
            self.engines[at].in_flight += 1;
            self.engines[at].estimate.begin(now);
            let Some(work) = self.work.iter_mut().find(|work| work.waiting.key == item.key) else {
                continue;
            };
            (work.engine, work.first_event_in) = (Some(at), FIRST_EVENT_MS);
            work.reported = (0, self.now);
        }
    }
}
