//! One replica by itself, told by hand what others say.

use chestnutdrift_core::agreement::{GroupId, GroupMessage, Outbox, Record, Replica, Voter};
use chestnutdrift_core::{HostId, Millis, Now};

const OTHER: HostId = HostId(2);
const EPOCH: u64 = 7;
const INCARNATION: u64 = 1;

/// Tells a replica of three something and returns what it sends.
fn tell(replica: &mut Replica, at: u64, message: GroupMessage) -> Vec<(HostId, GroupMessage)> {
    let mut out = Outbox::default();
    replica.handle_message(now(at), OTHER, EPOCH, message, &mut out);
    out.after_sync
}

fn now(at: u64) -> Now {
    Now::new(Millis(at), Millis(at))
}

fn replica(term: u64) -> Replica {
    let hosts: Vec<HostId> = (1..=3).map(HostId).collect();
    let voters = hosts.iter().map(|host| Voter::new(*host, INCARNATION)).collect();
    let me = Voter::new(HostId(1), INCARNATION);
    let group = GroupId::Zone;
    let mut replica = Replica::new(group, me, hosts, false, Millis(1_000));
    replica.restore(Record::Bootstrapped { group, epoch: EPOCH, voters });
    replica.restore(Record::Term { group, term, voted_for: None, leader: None });
    replica
}

/// Makes a replica that leads in term 4 since the time 2,500.
fn leader() -> Replica {
    let mut replica = replica(3);
    let mut out = Outbox::default();
    replica.tick(now(0), 0, &mut out);
    replica.tick(now(2_500), 0, &mut out);
    for pre_vote in [true, false] {
        tell(&mut replica, 2_500, GroupMessage::VoteReply { term: 4, granted: true, pre_vote });
    }
    assert_eq!((replica.leader(), replica.term()), (Some(HostId(1)), 4));
    replica
}

fn append_reply(term: u64, sent_at: u64) -> GroupMessage {
    GroupMessage::AppendReply {
        term,
        incarnation: INCARNATION,
        accepted: true,
        match_index: 1,
        sent_at: Millis(sent_at),
    }
}

#[test]
fn an_answer_to_an_earlier_lead_extends_no_lease() {
    let mut replica = leader();
    tell(&mut replica, 2_510, append_reply(4, 2_500));
    let lease = replica.lease_end(now(2_510));
    assert_eq!(lease, Some(Millis(3_250)));
    // The clock of the life that led in term 3 had come further.
    tell(&mut replica, 2_520, append_reply(3, 9_000));
    assert_eq!(replica.lease_end(now(2_520)), lease);
}

#[test]
fn the_refusal_of_an_earlier_leader_confirms_none_of_its_times() {
    let mut replica = replica(4);
    let (prev_index, prev_term, leader_commit) = (0, 0, 0);
    let sent_at = Millis(9_000);
    let late = GroupMessage::AppendEntries {
        term: 3,
        prev_index,
        prev_term,
        entries: vec![],
        leader_commit,
        sent_at,
    };
    let sent = tell(&mut replica, 100, late);
    let [(OTHER, GroupMessage::AppendReply { term: 4, accepted: false, sent_at, .. })] = &sent[..]
    else {
        panic!("{sent:?}");
    };
    assert_eq!(*sent_at, Millis(0));
}
