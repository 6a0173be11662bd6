//! The load of a host: what its threads spend their time on, and how long its work waits.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chestnutdrift_core::gateway::Board;
use chestnutdrift_core::gateway::board::ItemState;
use tokio::runtime::Runtime;

use super::metrics;
use crate::link::LINK_COUNTERS;
use crate::memory::{HOLDERS, MemoryMeter, MemoryUse};

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The share of the interval, in percent, that a thread must be busy for the report to be logged.
const LOGGED_BUSY_PERCENT: u128 = 5;

/// The wait of an event in the queue from which the report is logged in any case.
const LOGGED_WAIT: Duration = Duration::from_millis(50);

/// Measures the load of the control thread, and reports it together with that of the others.
#[derive(Debug)]
pub struct LoadMeter {
    reported_at: Instant,
    events: u64,
    control_busy: Duration,
    longest_handled: Duration,
    waited: Duration,
    longest_wait: Duration,
    /// The totals of the other threads at the last report.
    reported: ThreadTotals,
    memory: MemoryMeter,
}

/// Time that threads other than the control thread have spent since the process started.
#[derive(Debug, Clone, Copy, Default)]
struct ThreadTotals {
    traffic_busy: Duration,
    encode_us: u64,
    decode_us: u64,
    sent_bytes: u64,
    sent_messages: u64,
}

/// The items of the host by state, and how long the one that waits longest has waited.
#[derive(Debug, Clone, Copy, Default)]
struct ItemLoad {
    waiting: u64,
    running: u64,
    unscored: u64,
    proposed: u64,
    longest_wait_ms: u64,
}

impl Default for LoadMeter {
    fn default() -> Self {
        Self {
            reported_at: Instant::now(),
            events: 0,
            control_busy: Duration::ZERO,
            longest_handled: Duration::ZERO,
            waited: Duration::ZERO,
            longest_wait: Duration::ZERO,
            reported: ThreadTotals::default(),
            memory: MemoryMeter::default(),
        }
    }
}

impl LoadMeter {
    /// Sets the memory that the process may use, in bytes; the default is no limit.
    #[must_use]
    pub fn memory_limit(mut self, limit: Option<u64>) -> Self {
        self.memory = self.memory.limit(limit);
        self
    }

    /// Records how long an event waited in the queue before it was handled.
    pub fn record_wait(&mut self, waited: Duration) {
        self.waited += waited;
        self.longest_wait = self.longest_wait.max(waited);
        metrics::observe_event_wait(waited);
    }

    /// Records how long the control thread took to handle an event.
    pub fn record_handled(&mut self, took: Duration) {
        self.events += 1;
        self.control_busy += took;
        self.longest_handled = self.longest_handled.max(took);
    }

    /// Reports the load of the last interval once it has passed: as metrics, and as a log line if a
    /// thread was busy or an event waited. Reports the memory too, and returns it.
    pub fn report(&mut self, board: &Board, queued: usize, runtime: &Runtime) -> Option<MemoryUse> {
        let elapsed = self.reported_at.elapsed();
        if elapsed < REPORT_INTERVAL {
            return None;
        }
        let totals = ThreadTotals::read(runtime);
        let traffic_busy = totals.traffic_busy.saturating_sub(self.reported.traffic_busy);
        metrics::add_thread_busy("control", self.control_busy);
        metrics::add_thread_busy("traffic", traffic_busy);
        let busiest = self.control_busy.max(traffic_busy);
        let is_busy = busiest.as_micros() * 100 >= elapsed.as_micros() * LOGGED_BUSY_PERCENT;
        if is_busy || self.longest_wait >= LOGGED_WAIT {
            self.log(board, queued, &totals, traffic_busy);
        }
        record_holders(board);
        let used = self.memory.report();
        let memory = std::mem::take(&mut self.memory);
        *self = Self { reported: totals, memory, ..Self::default() };
        Some(used)
    }

    fn log(&self, board: &Board, queued: usize, totals: &ThreadTotals, traffic_busy: Duration) {
        let items = ItemLoad::read(board);
        let mean_wait_us = micros(self.waited) / self.events.max(1);
        log::info!(
            event = "load",
            interval_ms = millis(self.reported_at.elapsed()),
            leads = u64::from(board.leads()),
            events = self.events,
            queued = queued as u64,
            control_busy_us = micros(self.control_busy),
            longest_event_us = micros(self.longest_handled),
            mean_wait_us = mean_wait_us,
            longest_wait_us = micros(self.longest_wait),
            traffic_busy_us = micros(traffic_busy),
            encode_us = totals.encode_us - self.reported.encode_us,
            decode_us = totals.decode_us - self.reported.decode_us,
            sent_bytes = totals.sent_bytes - self.reported.sent_bytes,
            sent_messages = totals.sent_messages - self.reported.sent_messages,
            items_waiting = items.waiting,
            items_running = items.running,
            items_unscored = items.unscored,
            items_proposed = items.proposed,
            item_wait_ms = items.longest_wait_ms,
            commit_wait_ms = oldest_proposal_ms(board);
            ""
        );
    }
}

impl ThreadTotals {
    fn read(runtime: &Runtime) -> Self {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Self {
            // The runtime has one worker: the traffic thread.
            traffic_busy: runtime.metrics().worker_total_busy_duration(0),
            encode_us: read(&LINK_COUNTERS.encode_us),
            decode_us: read(&LINK_COUNTERS.decode_us),
            sent_bytes: read(&LINK_COUNTERS.sent_bytes),
            sent_messages: read(&LINK_COUNTERS.sent_messages),
        }
    }
}

impl ItemLoad {
    fn read(board: &Board) -> Self {
        let mut load = Self::default();
        for item in board.items.values() {
            match item.state {
                ItemState::Waiting(since) => {
                    load.waiting += 1;
                    load.longest_wait_ms = load.longest_wait_ms.max(board.now.mono.since(since).0);
                }
                ItemState::Running(_) | ItemState::Stopping(_) => load.running += 1,
                ItemState::Unscored(_) | ItemState::Scoring(_) => load.unscored += 1,
                ItemState::Proposed => load.proposed += 1,
            }
        }
        load
    }
}

fn record_holders(board: &Board) {
    HOLDERS.text_cache_bytes.store(board.text_cache.bytes(), Ordering::Relaxed);
    let Some(group) = &board.group else { return };
    HOLDERS.log_bytes.store(group.replica.log().bytes() as u64, Ordering::Relaxed);
    HOLDERS.job_bytes.store(group.directory.job_bytes() as u64, Ordering::Relaxed);
}

/// Returns how long the oldest command that this host proposed has waited for its commit, in
/// milliseconds.
fn oldest_proposal_ms(board: &Board) -> u64 {
    let pending = board.group.as_ref().and_then(|group| group.pending_commits.values().next());
    pending.map_or(0, |pending| board.now.mono.since(pending.proposed_at).0)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
