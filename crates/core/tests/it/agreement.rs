//! Leases and append replies of a single replica that handles scripted messages.

use chestnutdrift_core::agreement::{GroupId, GroupMessage, Outbox, Record, Replica, Voter};
use chestnutdrift_core::{HostId, Millis, Now};

/// The host that sends the messages.
const OTHER: HostId = HostId(2);
const EPOCH: u64 = 7;
const INCARNATION: u64 = 1;

/// Passes a message from [`OTHER`] to a replica and returns the messages that it sends.
fn handle_message(
    replica: &mut Replica,
    time: u64,
    message: GroupMessage,
) -> Vec<(HostId, GroupMessage)> {
    let mut out = Outbox::default();
    replica.handle_message(now(time), OTHER, EPOCH, message, &mut out);
    out.after_sync
}

fn now(time: u64) -> Now {
    Now::new(Millis(time), Millis(time))
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

/// Returns a replica that was elected leader of term 4 at 2,500 ms.
fn leader() -> Replica {
    let mut replica = replica(3);
    let mut out = Outbox::default();
    replica.tick(now(0), 0, &mut out);
    replica.tick(now(2_500), 0, &mut out);
    for pre_vote in [true, false] {
        handle_message(
            &mut replica,
            2_500,
            GroupMessage::VoteReply { term: 4, granted: true, pre_vote },
        );
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
fn an_append_reply_of_an_earlier_term_does_not_extend_the_lease() {
    let mut replica = leader();
    handle_message(&mut replica, 2_510, append_reply(4, 2_500));
    let lease_end = replica.lease_end(now(2_510));
    assert_eq!(lease_end, Some(Millis(3_250)));
    // The replica led term 3 before a restart, when its monotonic clock was further ahead.
    handle_message(&mut replica, 2_520, append_reply(3, 9_000));
    assert_eq!(replica.lease_end(now(2_520)), lease_end);
}

#[test]
fn a_rejected_append_of_an_earlier_term_does_not_echo_its_send_time() {
    let mut replica = replica(4);
    let (prev_index, prev_term, leader_commit) = (0, 0, 0);
    let sent_at = Millis(9_000);
    let stale_append = GroupMessage::AppendEntries {
        term: 3,
        prev_index,
        prev_term,
        entries: vec![],
        leader_commit,
        sent_at,
    };
    let sent = handle_message(&mut replica, 100, stale_append);
    let [(OTHER, GroupMessage::AppendReply { term: 4, accepted: false, sent_at, .. })] = &sent[..]
    else {
        panic!("{sent:?}");
    };
    assert_eq!(*sent_at, Millis(0));
}
