//! Requests under which upstreams ended, as far as the hosts have told each other.
//!
//! The table is a set of pairs of a request and an upstream's incarnation that ended under it. Hosts
//! merge their tables in any order: a pair is only added, and once cleared it stays cleared until it
//! expires.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use slotmap::SlotMap;

use crate::checksum::{checksum, checksum_pair};
use crate::gateway::message::{CrashRecord, SuspectRecord};
use crate::key::{Fingerprint, SuspectKey};
use crate::time::Millis;

/// The number of upstreams that must end under a request before it is quarantined.
pub const QUARANTINE_CRASHES: usize = 3;

/// How long the end of an upstream counts against a request.
pub const CRASH_RETENTION: Millis = Millis(300_000);

/// The maximum number of requests in the table.
const MAX_SUSPECTS: usize = 1_024;

/// The maximum number of crashes kept of one request.
const MAX_CRASHES: usize = 8;

/// The maximum number of records in one message; those with the most crashes that
/// count go first.
const MAX_RECORDS: usize = 128;

/// The end of one incarnation of an upstream while a request ran there.
#[derive(Debug, Clone, Copy)]
struct Crash {
    incarnation: u64,
    expires: Millis,
    /// Whether the request has succeeded since, so that another cause is more likely.
    cleared: bool,
}

/// A request under which upstreams ended.
#[derive(Debug, Clone)]
struct Suspect {
    fingerprint: Fingerprint,
    crashes: Vec<Crash>,
    changed: Millis,
    changed_here: Option<Millis>,
}

/// Where an entry of the table comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Here,
    Received,
}

/// The requests under which upstreams ended.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    entries: SlotMap<SuspectKey, Suspect>,
    index: BTreeMap<Fingerprint, SuspectKey>,
    /// The digests of all crashes, combined so that their order does not matter.
    digest: u64,
}

fn crash_digest(fingerprint: Fingerprint, crash: &Crash) -> u64 {
    let numbers = fingerprint.halves();
    let words = [numbers.0, numbers.1, crash.incarnation, u64::from(crash.cleared)];
    let bytes = words.map(u64::to_le_bytes);
    checksum_pair(&[bytes.as_flattened()]).0
}

/// Returns the number of an upstream's incarnation, the same on every host.
#[must_use]
pub fn incarnation(id: &str, started_at: u64) -> u64 {
    checksum(&[id, &started_at.to_string()])
}

impl Suspects {
    /// Returns the number of requests in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of upstreams whose end counts against a request.
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint, now: Millis) -> usize {
        self.counted(fingerprint, now).len()
    }

    /// Returns until when a request is quarantined, or `None` if it may be sent.
    #[must_use]
    pub fn quarantined_until(&self, fingerprint: Fingerprint, now: Millis) -> Option<Millis> {
        if self.is_empty() {
            return None;
        }
        let expiries = self.counted(fingerprint, now);
        let first_counted = expiries.len().checked_sub(QUARANTINE_CRASHES)?;
        expiries.get(first_counted).copied()
    }

    /// Returns when the crashes that count expire, the earliest first.
    fn counted(&self, fingerprint: Fingerprint, now: Millis) -> Vec<Millis> {
        let mut expiries = Vec::new();
        let suspect = self.index.get(&fingerprint).and_then(|key| self.entries.get(*key));
        for crash in suspect.map(|suspect| suspect.crashes.as_slice()).unwrap_or_default() {
            if !crash.cleared && crash.expires > now {
                expiries.push(crash.expires);
            }
        }
        expiries.sort_unstable();
        expiries
    }

    /// Adds the end of an upstream under a request, and returns whether it is new.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: u64,
        now: Millis,
    ) -> bool {
        let expires = now + CRASH_RETENTION;
        let crash = Crash { incarnation, expires, cleared: false };
        self.merge_crash(fingerprint, crash, Source::Here, now)
    }

    /// Clears a request that succeeded, and returns whether anything counted against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        let key = self.index.get(&fingerprint).copied();
        let Some(suspect) = key.and_then(|key| self.entries.get_mut(key)) else { return false };
        let mut changed = false;
        for crash in &mut suspect.crashes {
            if crash.cleared {
                continue;
            }
            self.digest ^= crash_digest(fingerprint, crash);
            crash.cleared = true;
            self.digest ^= crash_digest(fingerprint, crash);
            changed = true;
        }
        if changed {
            suspect.changed = now;
            suspect.changed_here = Some(now);
        }
        changed
    }

    /// Merges a record of another host, and returns whether it told anything new.
    pub fn merge(&mut self, record: &SuspectRecord, now: Millis) -> bool {
        let mut changed = false;
        for crash in &record.crashes {
            let crash = Crash {
                incarnation: crash.incarnation,
                expires: now + crash.expires_in.min(CRASH_RETENTION),
                cleared: crash.cleared,
            };
            changed |= self.merge_crash(record.fingerprint, crash, Source::Received, now);
        }
        changed
    }

    fn merge_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: Crash,
        source: Source,
        now: Millis,
    ) -> bool {
        let key = self.ensure(fingerprint);
        let suspect = &mut self.entries[key];
        let known = suspect.crashes.iter_mut().find(|known| known.incarnation == crash.incarnation);
        if let Some(known) = known {
            known.expires = known.expires.min(crash.expires);
            if known.cleared || !crash.cleared {
                return false;
            }
            self.digest ^= crash_digest(fingerprint, known);
            known.cleared = true;
            self.digest ^= crash_digest(fingerprint, known);
        } else {
            if suspect.crashes.len() >= MAX_CRASHES {
                let Some(cleared) = suspect.crashes.iter().position(|crash| crash.cleared) else {
                    return false;
                };
                let dropped = suspect.crashes.remove(cleared);
                self.digest ^= crash_digest(fingerprint, &dropped);
            }
            self.digest ^= crash_digest(fingerprint, &crash);
            suspect.crashes.push(crash);
        }
        suspect.changed = now;
        if source == Source::Here {
            suspect.changed_here = Some(now);
        }
        true
    }

    /// Returns the key of a request, which is added where it is new; a full table drops the request
    /// with the fewest crashes that count, the oldest of these first.
    fn ensure(&mut self, fingerprint: Fingerprint) -> SuspectKey {
        if let Some(key) = self.index.get(&fingerprint) {
            return *key;
        }
        if self.entries.len() >= MAX_SUSPECTS {
            let rank = |suspect: &Suspect| {
                let counted = suspect.crashes.iter().filter(|crash| !crash.cleared).count();
                (counted, suspect.changed)
            };
            let dropped = self.entries.values().min_by_key(|suspect| rank(suspect));
            if let Some(fingerprint) = dropped.map(|suspect| suspect.fingerprint) {
                self.remove(fingerprint);
            }
        }
        let suspect =
            Suspect { fingerprint, crashes: Vec::new(), changed: Millis(0), changed_here: None };
        let key = self.entries.insert(suspect);
        self.index.insert(fingerprint, key);
        key
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        let key = self.index.remove(&fingerprint);
        let Some(suspect) = key.and_then(|key| self.entries.remove(key)) else { return };
        for crash in &suspect.crashes {
            self.digest ^= crash_digest(fingerprint, crash);
        }
    }

    /// Removes the crashes that have expired.
    pub fn expire(&mut self, now: Millis) {
        let mut expired = Vec::new();
        for suspect in self.entries.values_mut() {
            for crash in suspect.crashes.extract_if(.., |crash| crash.expires <= now) {
                self.digest ^= crash_digest(suspect.fingerprint, &crash);
            }
            if suspect.crashes.is_empty() {
                expired.push(suspect.fingerprint);
            }
        }
        for fingerprint in expired {
            self.remove(fingerprint);
        }
    }

    /// Returns the digest of the table; tables with the same content have the same digest, and an
    /// empty one has zero.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the records that changed at the given time or later, from any source.
    #[must_use]
    pub fn changed_since(&self, since: Millis, now: Millis) -> Vec<SuspectRecord> {
        self.records(now, |suspect| suspect.changed >= since)
    }

    /// Returns the records that this host itself changed at the given time or later.
    #[must_use]
    pub fn changed_here_since(&self, since: Millis, now: Millis) -> Vec<SuspectRecord> {
        self.records(now, |suspect| suspect.changed_here.is_some_and(|at| at >= since))
    }

    fn records(&self, now: Millis, wanted: impl Fn(&Suspect) -> bool) -> Vec<SuspectRecord> {
        let mut records = Vec::new();
        for suspect in self.entries.values() {
            if !wanted(suspect) {
                continue;
            }
            let record = |crash: &Crash| CrashRecord {
                incarnation: crash.incarnation,
                expires_in: crash.expires.since(now),
                cleared: crash.cleared,
            };
            let crashes = suspect.crashes.iter().map(record).collect();
            records.push(SuspectRecord { fingerprint: suspect.fingerprint, crashes });
        }
        records.sort_by_key(|record: &SuspectRecord| {
            Reverse(record.crashes.iter().filter(|crash| !crash.cleared).count())
        });
        records.truncate(MAX_RECORDS);
        records
    }
}
