//! A leader and a replica that is down while it needs a snapshot.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, Weak};

use chestnutdrift_core::agreement::{
    GroupId, GroupMessage, GroupState, Outbox, Record, Replica, Snapshot, Voter,
};
use chestnutdrift_core::directory::{Directory, DirectoryCommand, RoutingConfig};
use chestnutdrift_core::message::Message;
use chestnutdrift_core::{HostId, Millis, Now};

use crate::deployment::{Deployment, job, routing};
use crate::directory::{ENTRY, STORES, started};

/// The time after which a leader has given up the transfer to a silent replica, in milliseconds.
const SILENT_MS: u64 = 6_000;

const EPOCH: u64 = 7;
const GROUP: GroupId = GroupId::Directory;
const LEADER: HostId = HostId(1);
const SILENT: HostId = HostId(2);
const OTHER: HostId = HostId(3);

/// The replica of [`LEADER`], which leads term 2 from 2,500 ms on, and its clock in milliseconds.
struct Leader {
    replica: Replica,
    time: u64,
}

impl Leader {
    fn new() -> Self {
        let hosts = [LEADER, SILENT, OTHER];
        let voters: Vec<Voter> = hosts.map(|host| Voter::new(host, 1)).to_vec();
        let mut replica = Replica::new(GROUP, voters[0], hosts, false, Millis(1_000));
        let state = GroupState::Directory(Directory::default());
        let snapshot = Snapshot { index: 3, term: 1, voters: voters.clone(), state };
        replica.restore(Record::Bootstrapped { group: GROUP, epoch: EPOCH, voters });
        replica.restore(Record::Term { group: GROUP, term: 1, voted_for: None, leader: None });
        replica.restore(Record::Snapshot { group: GROUP, snapshot });
        let mut leader = Self { replica, time: 0 };
        leader.tick(0);
        leader.tick(2_500);
        for pre_vote in [true, false] {
            leader.receive(OTHER, GroupMessage::VoteReply { term: 2, granted: true, pre_vote });
        }
        assert_eq!(leader.replica.leader(), Some(LEADER));
        leader
    }

    fn now(&self) -> Now {
        Now::new(Millis(self.time), Millis(self.time))
    }

    /// Advances the clock and returns the messages that the leader then sends.
    fn tick(&mut self, millis: u64) -> Vec<(HostId, GroupMessage)> {
        self.time += millis;
        let mut out = Outbox::default();
        self.replica.tick(self.now(), 0, &mut out);
        out.immediate
    }

    fn receive(&mut self, from: HostId, message: GroupMessage) {
        let mut out = Outbox::default();
        self.replica.handle_message(self.now(), from, EPOCH, message, &mut out);
    }

    /// Receives the answer to an append that was just sent.
    fn receive_reply(&mut self, from: HostId, accepted: bool, match_index: u64) {
        let sent_at = Millis(self.time);
        let reply =
            GroupMessage::AppendReply { term: 2, incarnation: 1, accepted, match_index, sent_at };
        self.receive(from, reply);
    }

    /// Sends the silent replica a snapshot and returns its content.
    fn send_snapshot(&mut self) -> Weak<RoutingConfig> {
        assert_eq!(self.replica.take_snapshot_targets(), [SILENT]);
        let mut directory = Directory::default();
        let content = routing(1);
        let sent = Arc::downgrade(&content);
        directory.apply(&DirectoryCommand::PutRouting(content));
        let snapshot = self.replica.build_snapshot(GroupState::Directory(directory));
        let mut out = Outbox::default();
        self.replica.send_snapshot(self.now(), [SILENT], snapshot, &mut out);
        assert!(matches!(out.immediate[..], [(SILENT, GroupMessage::SnapshotPart { .. })]));
        sent
    }
}

/// Guards against a leader that holds an old state for as long as a replica is down.
#[test]
fn a_snapshot_is_released_when_its_receiver_is_silent() {
    let mut leader = Leader::new();
    leader.receive_reply(SILENT, false, 1);
    let sent = leader.send_snapshot();
    for _ in 0..SILENT_MS / 300 {
        leader.tick(300);
        let last = leader.replica.log().last_index();
        leader.receive_reply(OTHER, true, last);
    }
    assert!(sent.upgrade().is_none(), "the snapshot is still held");
    let heartbeats = leader.tick(400);
    let is_heartbeat = |(to, message): &(HostId, GroupMessage)| {
        *to == SILENT && matches!(message, GroupMessage::AppendEntries { .. })
    };
    assert!(heartbeats.iter().any(is_heartbeat), "{heartbeats:?}");
    leader.receive_reply(SILENT, false, 1);
    leader.send_snapshot();
}

/// Guards against a leader that builds parts of a snapshot for a dead host again and again.
#[test]
fn a_store_that_is_down_behind_the_log_gets_no_parts_until_it_is_back() {
    let mut deployment = started(44);
    let leader = deployment.leader().expect("a leader");
    let down = *STORES.iter().find(|id| **id != leader).expect("a follower");
    let replica = &deployment.gateway(down).board().group.as_ref().expect("a store").replica;
    let last = replica.log().last_index();
    deployment.kill(down);
    deployment.event_padding_bytes = 20_000;
    deployment.events_per_item = Some(10);
    for number in 0..4 {
        deployment.submit(ENTRY, job(&format!("large-{number}"), 60, 1));
        deployment.run(4_000);
    }
    let group = |deployment: &Deployment, id| {
        let group = deployment.gateway(id).board().group.as_ref().expect("a store");
        (group.replica.log().base_index(), group.directory.clone())
    };
    let base = group(&deployment, leader).0;
    assert!(base > last, "the log still holds what the store missed");
    deployment.run(SILENT_MS);
    let parts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&parts);
    deployment.on_send = Some(Box::new(move |_, envelope| {
        let Message::Group(frame) = &envelope.message else { return };
        if matches!(frame.message, GroupMessage::SnapshotPart { .. }) {
            counted.set(counted.get() + 1);
        }
    }));
    deployment.run(10_000);
    assert_eq!(parts.get(), 0, "parts were sent to a dead host");
    deployment.start(down);
    deployment.run(5_000);
    assert!(parts.get() > 0, "no parts were sent");
    assert!(group(&deployment, down).1 == group(&deployment, leader).1, "not caught up");
}
