//! True time: the wall clock of a store host, corrected by the clocks of the others.

use std::collections::{BTreeMap, VecDeque};

use crate::key::HostId;
use crate::time::{Millis, Now};

/// The interval between two questions to the other store hosts.
const QUESTION_INTERVAL: Millis = Millis(1_000);

/// How long a reading counts. Within this time clocks drift by far less than a round trip.
const READING_RETENTION: Millis = Millis(8_000);

/// The most hosts that are asked.
const MAX_ASKED: usize = 32;

/// How long after the first question the replies that are missing are no longer awaited.
const FIRST_REPLIES_TIMEOUT: Millis = Millis(1_500);

/// A reading of another host's clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Millis,
    round_trip: Millis,
    /// The wall time at the zero of this host's monotonic clock.
    base: i64,
}

/// The wall clocks of the live store hosts, as the leader has read them.
#[derive(Debug, Default)]
pub(super) struct StoreClocks {
    number: u64,
    sent_at: Millis,
    first_question: Option<Millis>,
    asked: Vec<HostId>,
    readings: BTreeMap<HostId, VecDeque<Reading>>,
    /// The base at the last question; `None` before the first replies.
    last_base: Option<i64>,
}

impl StoreClocks {
    /// Returns when the next question is due.
    pub(super) fn next_question(&self) -> Millis {
        self.first_question.map_or(Millis(0), |_| self.sent_at + QUESTION_INTERVAL)
    }

    /// Begins a question to some of the live store hosts, and returns its number and the hosts.
    pub(super) fn ask(&mut self, now: Now, mut stores: Vec<HostId>) -> (u64, &[HostId]) {
        if self.are_read(now.mono) {
            self.last_base = Some(self.base(now));
        }
        let now = now.mono;
        stores.truncate(MAX_ASKED);
        self.number += 1;
        self.sent_at = now;
        self.first_question.get_or_insert(now);
        for readings in self.readings.values_mut() {
            readings.retain(|reading| now.since(reading.at) < READING_RETENTION);
        }
        self.readings.retain(|_, readings| !readings.is_empty());
        self.asked = stores;
        (self.number, &self.asked)
    }

    /// Takes a reply into account.
    pub(super) fn handle_reply(&mut self, now: Millis, from: HostId, number: u64, wall: Millis) {
        if number != self.number || !self.asked.contains(&from) {
            return;
        }
        let round_trip = now.since(self.sent_at);
        let read_at = signed(self.sent_at) + signed(round_trip) / 2;
        let reading = Reading { at: now, round_trip, base: signed(wall) - read_at };
        self.readings.entry(from).or_default().push_back(reading);
    }

    /// Returns whether a majority of the store hosts has replied, or no more replies are awaited.
    pub(super) fn are_read(&self, now: Millis) -> bool {
        let Some(first) = self.first_question else { return false };
        self.readings.len() * 2 >= self.asked.len() || now.since(first) >= FIRST_REPLIES_TIMEOUT
    }

    /// Returns the true time at the zero of this host's monotonic clock: the median of all clocks.
    ///
    /// Of each host the reading with the shortest round trip counts. The median does not move while
    /// the clocks of a minority are wrong. Of an even number of clocks, it is the value between the two
    /// in the middle that is closest to the one before, or at first to this host's clock, so that it does
    /// not follow one of two clocks that is stepped.
    pub(super) fn base(&self, now: Now) -> i64 {
        let own = signed(now.wall) - signed(now.mono);
        let mut bases = vec![own];
        for readings in self.readings.values() {
            let best = readings.iter().min_by_key(|reading| reading.round_trip);
            bases.extend(best.map(|reading| reading.base));
        }
        bases.sort_unstable();
        let middle = bases.len() / 2;
        if bases.len() % 2 == 1 {
            return bases[middle];
        }
        let (low, high) = (bases[middle - 1], bases[middle]);
        self.last_base.unwrap_or(own).clamp(low, high)
    }
}

/// Returns a time as a signed number of milliseconds.
pub(super) fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
