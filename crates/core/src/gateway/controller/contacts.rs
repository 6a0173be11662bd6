//! Contacts: selects the store hosts to which this host says hello each second.
//!
//! Reads: `hosts`, `cfg`, the clock.
//! Writes: `hosts` (which of them are contacts).
//!
//! A contact replies with what this host lacks and sends it changes at once. Each host has few
//! contacts, so that what a host spends does not grow with their number. A change spreads along the
//! subscriptions: a store host passes on to its subscribers what its contacts send it. The contacts
//! of a store host are some stores of its zone and one in each other zone, drawn by a hash of both
//! hosts; with nine stores or fewer all are contacts of each other. An entry host has two stores
//! nearby and one in another zone, in case that its own loses all of them.

use std::collections::BTreeSet;

use super::Controller;
use crate::checksum::checksum;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::gateway::message::Subscription;
use crate::gateway::settings::Role;
use crate::key::{HostId, HostKey};
use crate::time::Millis;

/// The interval between two selections.
const SELECTION_INTERVAL: Millis = Millis(500);

/// The number of contacts of an entry host, one of them in another zone.
const ENTRY_CONTACTS: usize = 3;

/// The most contacts of a store host in its own zone.
const ZONE_CONTACTS: usize = 3;

/// The number of contacts of a store host, unless more zones than that have stores.
const STORE_CONTACTS: usize = 8;

/// How long a contact may leave hellos unanswered before another one takes its place.
const ANSWER_TIMEOUT: Millis = Millis(3_500);

/// How long a host that left hellos unanswered is no contact again while others are live.
const AVOID_TIME: Millis = Millis(10_000);

/// Selects the contacts.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    next_selection: Millis,
    known_stores: usize,
}

/// A store host that may become a contact.
#[derive(Debug, Clone)]
struct Candidate {
    key: HostKey,
    zone: Box<str>,
    /// Distance to this host, or 3 if its zone is not known yet.
    distance: u8,
    /// Spreads the hosts of a zone over its stores.
    hash: u64,
}

impl Controller for Contacts {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        let known_stores = board.hosts.values().filter(|host| host.role == Role::Store).count();
        let has_new = std::mem::replace(&mut self.known_stores, known_stores) != known_stores;
        if board.now.mono < self.next_selection && !has_new {
            return;
        }
        self.next_selection = board.now.mono + SELECTION_INTERVAL;
        drop_unresponsive(board);
        let selected = select(board);
        apply(board, &selected);
    }

    fn next_deadline(&self, _board: &Board) -> Millis {
        self.next_selection
    }
}

/// Avoids the contacts that have left hellos unanswered for too long.
fn drop_unresponsive(board: &mut Board) {
    let now = board.now.mono;
    for host in board.hosts.values_mut() {
        let Some(since) = host.contact_since else { continue };
        let heard = host.last_seen.map_or(since, |seen| seen.max(since));
        if now.since(heard) >= ANSWER_TIMEOUT {
            host.avoided_until = now + AVOID_TIME;
        }
    }
}

/// Returns the contacts, the primary one first.
fn select(board: &Board) -> Vec<HostKey> {
    let now = board.now.mono;
    let (mut usable, mut silent) = (Vec::new(), Vec::new());
    for (key, host) in &board.hosts {
        if host.role != Role::Store {
            continue;
        }
        if !host.is_reachable(now) || now < host.avoided_until {
            silent.push((host.last_hello_sent, key));
            continue;
        }
        let is_known = !host.zone.is_empty();
        let distance = if is_known { board.cfg.distance(&host.zone) } else { 3 };
        let hash = pair_hash(board.cfg.id, host.id);
        usable.push(Candidate { key, zone: host.zone.clone(), distance, hash });
    }
    usable.sort_by_key(|candidate| (candidate.distance, candidate.hash));
    let (mut selected, count) = match board.cfg.role {
        Role::Entry => (select_for_entry(&usable), ENTRY_CONTACTS),
        Role::Store => (select_for_store(&usable), STORE_CONTACTS),
    };
    // Silent hosts are tried in turn while live ones are too few.
    silent.sort_unstable();
    let missing = count.saturating_sub(selected.len());
    selected.extend(silent.into_iter().take(missing).map(|(_, key)| key));
    selected
}

fn pair_hash(a: HostId, b: HostId) -> u64 {
    checksum(&[&a.0.to_string(), &b.0.to_string()])
}

/// Selects from candidates that are sorted by distance.
fn select_for_entry(usable: &[Candidate]) -> Vec<HostKey> {
    let mut selected: Vec<&Candidate> = usable.iter().take(ENTRY_CONTACTS - 1).collect();
    let elsewhere =
        |candidate: &&Candidate| selected.iter().all(|nearer| nearer.zone != candidate.zone);
    let last = usable.iter().find(elsewhere).or(usable.get(ENTRY_CONTACTS - 1));
    selected.extend(last);
    selected.into_iter().map(|candidate| candidate.key).collect()
}

/// Selects from candidates that are sorted by distance.
fn select_for_store(usable: &[Candidate]) -> Vec<HostKey> {
    let mut selected: Vec<HostKey> = Vec::new();
    let mut zones = BTreeSet::new();
    let nearby = usable.iter().filter(|candidate| candidate.distance == 0);
    selected.extend(nearby.take(ZONE_CONTACTS).map(|candidate| candidate.key));
    for candidate in usable {
        if candidate.distance > 0 && zones.insert(&candidate.zone) {
            selected.push(candidate.key);
        }
    }
    for candidate in usable {
        if selected.len() < STORE_CONTACTS && !selected.contains(&candidate.key) {
            selected.push(candidate.key);
        }
    }
    selected
}

/// Marks the selected hosts as contacts, and the others as none.
fn apply(board: &mut Board, selected: &[HostKey]) {
    let now = board.now.mono;
    // A configuration comes first from a host that holds the directory.
    let holds = |key: &&HostKey| board.hosts[**key].holds_directory;
    let preferred = selected.iter().find(holds).filter(|_| board.cfg.role == Role::Store);
    let primary = preferred.or(selected.first()).copied();
    for (key, host) in &mut board.hosts {
        if !selected.contains(&key) {
            host.contact_since = None;
            host.subscribes_as = Subscription::None;
            continue;
        }
        if host.contact_since.is_none() {
            host.contact_since = Some(now);
            host.next_hello = now;
        }
        host.subscribes_as =
            if Some(key) == primary { Subscription::Primary } else { Subscription::Secondary };
    }
}
