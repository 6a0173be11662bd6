//! Groups whose only host with a disk may be the last one that has state.

use std::collections::BTreeMap;

use chestnutdrift_core::agreement::{
    Command, Entry, GroupId, GroupMessage, GroupState, Outbox, Record, Replica, Voter,
};
use chestnutdrift_core::records::ZoneRecords;
use chestnutdrift_core::{HostId, Millis, Now};

const EPOCH: u64 = 7;
const GROUP: GroupId = GroupId::Zone;
const ELECTION_TIMEOUT: Millis = Millis(1_000);
const STEP_MS: u64 = 10;

/// The only host with a disk.
const DURABLE: HostId = HostId(1);
const SECOND: HostId = HostId(2);
const THIRD: HostId = HostId(3);
const MEMBERS: [HostId; 3] = [DURABLE, SECOND, THIRD];

/// A group without losses; a message takes one step.
struct Group {
    time: u64,
    replicas: BTreeMap<HostId, Replica>,
    in_flight: Vec<(HostId, HostId, u64, GroupMessage)>,
}

impl Group {
    fn new(replicas: impl IntoIterator<Item = (HostId, Replica)>) -> Self {
        Self { time: 0, replicas: replicas.into_iter().collect(), in_flight: Vec::new() }
    }

    fn now(&self) -> Now {
        Now::new(Millis(self.time), Millis(self.time))
    }

    fn receive(&mut self, to: HostId, from: HostId, epoch: u64, message: GroupMessage) {
        let now = self.now();
        let Some(replica) = self.replicas.get_mut(&to) else { return };
        let mut out = Outbox::default();
        replica.handle_message(now, from, epoch, message, &mut out);
        self.finish(to, out);
    }

    /// Syncs what a replica has written, applies what is committed, and sends its messages.
    fn finish(&mut self, host: HostId, mut out: Outbox) {
        let Some(replica) = self.replicas.get_mut(&host) else { return };
        replica.mark_synced(replica.log().last_index());
        while replica.next_committed().is_some() {}
        replica.take_installed_state();
        let now = Now::new(Millis(self.time), Millis(self.time));
        let targets = replica.take_snapshot_targets();
        let state = GroupState::Zone(ZoneRecords::default());
        let snapshot = replica.build_snapshot(state.clone());
        replica.send_snapshot(now, targets, snapshot, &mut out);
        if replica.is_snapshot_due() {
            replica.take_snapshot(state, &mut out);
        }
        let epoch = replica.epoch();
        for (to, message) in out.immediate.into_iter().chain(out.after_sync) {
            self.in_flight.push((to, host, epoch, message));
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.time + millis;
        while self.time < end {
            self.time += STEP_MS;
            for (to, from, epoch, message) in std::mem::take(&mut self.in_flight) {
                self.receive(to, from, epoch, message);
            }
            let now = self.now();
            for host in MEMBERS {
                let Some(replica) = self.replicas.get_mut(&host) else { continue };
                if now.mono < replica.next_deadline() {
                    continue;
                }
                let mut out = Outbox::default();
                replica.tick(now, u64::from(host.0) * 300, &mut out);
                self.finish(host, out);
            }
        }
    }

    fn describe(&self) -> String {
        let describe = |replica: &Replica| {
            format!(
                "{:?} epoch {} term {} log {} voters {:?}\n",
                replica.role(),
                replica.epoch(),
                replica.term(),
                replica.log().last_index(),
                replica.voters(),
            )
        };
        self.replicas.values().map(describe).collect()
    }
}

fn empty(host: HostId, incarnation: u64) -> Replica {
    let local = Voter::new(host, incarnation);
    Replica::new(GROUP, local, MEMBERS, host == DURABLE, ELECTION_TIMEOUT)
        .durable_members([DURABLE])
}

fn voters(voters: &[(HostId, u64)]) -> Vec<Voter> {
    voters.iter().map(|(host, incarnation)| Voter::new(*host, *incarnation)).collect()
}

/// Returns a replica of the first voter set, in term 1 of [`THIRD`], with voter sets as its log.
fn replica(host: HostId, incarnation: u64, log: &[&[(HostId, u64)]]) -> Replica {
    let mut replica = empty(host, incarnation);
    let first = voters(&MEMBERS.map(|host| (host, 1)));
    replica.restore(Record::Bootstrapped { group: GROUP, epoch: EPOCH, voters: first });
    let (term, leader) = (1, Some(THIRD));
    replica.restore(Record::Term { group: GROUP, term, voted_for: leader, leader });
    for (set, index) in log.iter().zip(1..) {
        let entry = Entry { index, term, command: Command::Voters(voters(set)) };
        replica.restore(Record::Entry { group: GROUP, entry });
    }
    replica
}

/// Guards against a host that takes itself for the only one with state, because a host that votes
/// again had asked it to join just before.
#[test]
fn a_host_that_became_a_voter_after_its_join_request_keeps_the_group() {
    let without_second: &[(HostId, u64)] = &[(DURABLE, 1), (THIRD, 1)];
    let with_second: &[(HostId, u64)] = &[(DURABLE, 1), (SECOND, 2), (THIRD, 1)];
    // The second host votes again. The entry that says so is committed by the second and the third.
    let mut group = Group::new([
        (DURABLE, replica(DURABLE, 1, &[without_second])),
        (SECOND, replica(SECOND, 2, &[without_second, with_second])),
        (THIRD, empty(THIRD, 2)),
    ]);
    let join_request = GroupMessage::JoinRequest { incarnation: 2, heard: Vec::new() };
    group.receive(DURABLE, SECOND, EPOCH, join_request);
    group.run(10_000);
    for (host, replica) in &group.replicas {
        assert_eq!(replica.epoch(), EPOCH, "{host:?}\n{}", group.describe());
        let committed = replica.log().get(2).map(|entry| entry.command.clone());
        assert_eq!(committed, Some(Command::Voters(voters(with_second))), "{}", group.describe());
        assert!(replica.is_voter(), "{host:?}\n{}", group.describe());
    }
}

/// Guards against a host that had begun to catch up with the lost leader, and could never follow the
/// group that went on without it.
#[test]
fn a_host_that_was_catching_up_when_the_others_lost_their_state_votes_again() {
    let without_second: &[(HostId, u64)] = &[(DURABLE, 1), (THIRD, 1)];
    let mut group = Group::new([
        (DURABLE, replica(DURABLE, 1, &[without_second])),
        (SECOND, replica(SECOND, 2, &[without_second])),
        (THIRD, empty(THIRD, 2)),
    ]);
    group.run(10_000);
    for (host, replica) in &group.replicas {
        assert!(replica.epoch() > EPOCH, "{host:?}\n{}", group.describe());
        assert!(replica.is_voter(), "{host:?}\n{}", group.describe());
    }
}
