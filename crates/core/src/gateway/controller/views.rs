//! Views: sends other hosts the upstream records and the routing configuration that they lack.
//!
//! Reads: hellos of other hosts, `hosts`, `upstreams`, `revision`, `registry_changed`, `routing`,
//! `leader`, `voters`, `group`, the clock.
//! Writes: `hosts` (what was sent), `registry_changed`, `actions`.

use std::collections::{BTreeMap, VecDeque};

use super::Controller;
use crate::gateway::board::{Board, Host};
use crate::gateway::event::Event;
use crate::gateway::message::{GatewayMessage, Roster, Subscription, UpstreamRecord, View};
use crate::key::{HostId, HostKey};
use crate::message::Message;
use crate::time::Millis;

/// The minimum delay before a host is sent a routing configuration again.
const ROUTING_RESEND_DELAY: Millis = Millis(900);

/// How long a routing configuration has been in force here when each host should have it from its first
/// contact: some round trips between regions.
const ROUTING_SETTLE_DELAY: Millis = Millis(300);

/// The least time between two rounds of views for changes of the registry. Each round goes to every
/// subscriber, so changes that come close together share one.
const CHANGE_INTERVAL: Millis = Millis(200);

/// How long after the last message of a contact one of its answers is missed: an interval between hellos,
/// and some round trips between regions.
const MISSED_ANSWER_TIME: Millis = Millis(1_300);

/// Sends views to other hosts.
#[derive(Debug, Default)]
pub(super) struct Views {
    next_change: Millis,
    /// The versions of the routing configuration that came into force here, and when; oldest first.
    ///
    /// The first one has been in force for [`ROUTING_SETTLE_DELAY`] or is the only one.
    versions: VecDeque<(u64, Millis)>,
}

impl Controller for Views {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        let now = board.now.mono;
        if let Some(key) = hello_sender(board, event) {
            let lacks_settled = board.hosts[key].routing_version < self.settled_version(now);
            let trigger = if lacks_settled { Trigger::LateHello } else { Trigger::Hello };
            send_view(board, key, trigger);
        }
        if board.registry_changed && now >= self.next_change {
            board.registry_changed = false;
            self.next_change = now + CHANGE_INTERVAL;
            for key in board.subscribers() {
                send_view(board, key, Trigger::Registry);
            }
        }
        let routing = board.routing.as_ref().map_or(0, |routing| routing.version);
        if routing > self.versions.back().map_or(0, |(version, _)| *version) {
            self.versions.push_back((routing, now));
            for key in board.subscribers() {
                send_view(board, key, Trigger::Routing);
            }
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        if board.registry_changed { self.next_change } else { Millis::MAX }
    }
}

impl Views {
    /// Returns the newest version that has been in force here for [`ROUTING_SETTLE_DELAY`], by which
    /// time each host should have it; zero if there is none.
    fn settled_version(&mut self, now: Millis) -> u64 {
        let is_settled = |since: Millis| now.since(since) >= ROUTING_SETTLE_DELAY;
        while self.versions.get(1).is_some_and(|(_, since)| is_settled(*since)) {
            self.versions.pop_front();
        }
        let settled = self.versions.front().filter(|(_, since)| is_settled(*since));
        settled.map_or(0, |(version, _)| *version)
    }
}

/// The reason for a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trigger {
    /// The receiver said hello; it gets a reply in any case.
    Hello,
    /// The same, and the receiver lacks a routing configuration that has been in force here for some
    /// time.
    LateHello,
    /// Upstreams changed.
    Registry,
    /// Another routing configuration is in force.
    Routing,
}

fn hello_sender(board: &Board, event: Option<&Event>) -> Option<HostKey> {
    let Some(Event::Received(envelope)) = event else { return None };
    let Message::Gateway(message) = &envelope.message else { return None };
    let is_hello = matches!(**message, GatewayMessage::Hello(_));
    board.host_index.get(&envelope.from).copied().filter(|_| is_hello)
}

/// Returns whether a host is to be sent the routing configuration now.
///
/// A change is sent at once to the hosts of which this one is the primary contact, and to others when
/// a hello some time later shows that they still lack it. Each host thus gets one copy, and another
/// one if the first is lost. Voters get it with the log.
fn is_routing_due(board: &Board, host: &Host, trigger: Trigger) -> bool {
    let newest = board.routing.as_ref().map_or(0, |routing| routing.version);
    let has_log = board.voters.1.contains(&host.id);
    if host.routing_version >= newest || has_log {
        return false;
    }
    let (sent, at) = host.routing_sent;
    let is_primary = host.active_subscription(board.now.mono) == Subscription::Primary;
    let resend = board.now.mono.since(at) >= ROUTING_RESEND_DELAY;
    match trigger {
        Trigger::LateHello => sent < newest || resend,
        Trigger::Hello => is_primary && (sent < newest || resend),
        Trigger::Registry | Trigger::Routing => is_primary && sent < newest,
    }
}

/// Sends a host what it lacks. Without a hello it gets no view that has nothing new.
fn send_view(board: &mut Board, key: HostKey, trigger: Trigger) {
    let now = board.now.mono;
    let host = &board.hosts[key];
    let routing = if is_routing_due(board, host, trigger) { board.routing.clone() } else { None };
    let upstreams = missing_records(board, host);
    let is_reply = matches!(trigger, Trigger::Hello | Trigger::LateHello);
    if !is_reply && routing.is_none() && upstreams.is_empty() {
        return;
    }
    let (stores, roster) = if is_reply { missing_roster(board, host) } else { (Vec::new(), None) };
    // A host that names a roster of this one knows its name.
    let is_known = host.known_roster != 0;
    let name = if is_known { Box::default() } else { board.cfg.name.clone() };
    let zone = if is_known { Box::default() } else { board.cfg.zone.clone() };
    let view = View {
        name,
        zone,
        leader: board.leader,
        stores,
        roster,
        holds_directory: holds_directory(board),
        misses_contacts: misses_contacts(board),
        keeps_leaves: true,
        relays: board.draining.is_none(),
        routing,
        revision: (board.cfg.boot_id, board.revision),
        since: Some(host.sent_revision),
        upstreams,
    };
    let revision = board.revision;
    let host = &mut board.hosts[key];
    host.sent_revision = revision;
    if let Some(routing) = &view.routing {
        host.routing_sent = (routing.version, now);
    }
    let to = host.id;
    board.send(to, GatewayMessage::View(view));
}

/// Returns the records of the upstreams that changed since the last view to a host, without those
/// that the host itself reported.
fn missing_records(board: &Board, host: &Host) -> Vec<UpstreamRecord> {
    let mut records = Vec::new();
    for upstream in board.upstreams.values() {
        // A host that has started anew has lost what it reported before.
        let is_its_own = upstream.learned_from == Some(host.id) && host.sent_revision > 0;
        if upstream.revision <= host.sent_revision || is_its_own {
            continue;
        }
        records.push(upstream.record(board.now));
    }
    records
}

/// Returns the live stores, for a host of an earlier version, or the roster, unless the host has it.
fn missing_roster(board: &Board, host: &Host) -> (Vec<HostId>, Option<Roster>) {
    let mut zones: BTreeMap<Box<str>, Vec<HostId>> = BTreeMap::new();
    for store in board.live_stores() {
        let Some(store) = board.host_index.get(&store).map(|key| &board.hosts[*key]) else {
            continue;
        };
        zones.entry(store.zone.clone()).or_default().push(store.id);
    }
    for stores in zones.values_mut() {
        stores.sort_unstable();
    }
    let roster = Roster { zones, voters: board.voters.clone() };
    if roster.digest() == host.known_roster {
        return (Vec::new(), None);
    }
    // A host that never named a roster may be of a version that has none.
    let stores = if host.known_roster == 0 { board.live_stores() } else { Vec::new() };
    (stores, Some(roster))
}

/// Returns whether a third of the contacts of this host, or more, leave its hellos unanswered.
fn misses_contacts(board: &Board) -> bool {
    let now = board.now.mono;
    let (mut contacts, mut missed) = (0, 0);
    for host in board.hosts.values() {
        let Some(since) = host.contact_since else { continue };
        let heard = host.last_seen.map_or(since, |seen| seen.max(since));
        contacts += 1;
        missed += usize::from(now.since(heard) >= MISSED_ANSWER_TIME);
    }
    missed > 0 && missed * 3 >= contacts
}

fn holds_directory(board: &Board) -> bool {
    let Some(group) = &board.group else { return false };
    board.leads() || group.replica.is_caught_up(board.now)
}
