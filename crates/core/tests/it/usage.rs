//! Usage reports to the infrastructure provider, in a simulated deployment.

use std::cell::Cell;
use std::rc::Rc;

use chestnutdrift_core::HostId;
use chestnutdrift_core::directory::{ApiKey, Directory, DirectoryCommand, UsageCounts, Workspace};
use chestnutdrift_core::gateway::message::GatewayMessage;
use chestnutdrift_core::gateway::usage::UsageAck;
use chestnutdrift_core::gateway::{Answer, Call, Event, ForwardEnd};
use chestnutdrift_core::message::{Envelope, Message};
use test_case::test_case;

use crate::deployment::provider::{WINDOW_MS, settings};
use crate::deployment::{Deployment, Size, routing};

const ENTRIES: [HostId; 2] = [HostId(201), HostId(202)];

/// Returns a deployment of five stores in which workspaces are in force, with two entries.
pub(crate) fn reporting(seed: u64) -> Deployment {
    let size = Size { stores: 5, entries: 0, zones: 3, zones_per_region: 1, tolerated_losses: 2 };
    let mut deployment = Deployment::empty(seed, size);
    deployment.provider_settings = Some(settings());
    deployment.provider.answer_ms = 20;
    deployment.start_all();
    deployment.run(5_000);
    put_workspaces(&mut deployment);
    for entry in ENTRIES {
        deployment.add_usage_entry(entry);
    }
    deployment
}

fn put_workspaces(deployment: &mut Deployment) {
    let mut configuration = (*routing(1)).clone();
    configuration.workspaces =
        vec![Workspace { name: "red".into(), keys: vec![ApiKey::new("key")], priority: None }];
    let put = deployment.call(HostId(2), Call::PutRouting(configuration.into()), 900);
    assert_eq!(put, Some(Answer::Done));
}

/// Lets requests come for a time, then waits until all windows can be reported, and checks them.
fn finish(deployment: &mut Deployment, millis: u64) {
    deployment.run_with_requests(millis);
    let through = Deployment::window_at(deployment.now);
    deployment.run(25_000);
    assert_exact(deployment, through);
}

fn leader(deployment: &Deployment) -> HostId {
    deployment.leader().expect("a leader")
}

pub(crate) fn is_usage(envelope: &Envelope) -> bool {
    let Message::Gateway(message) = &envelope.message else { return false };
    matches!(
        **message,
        GatewayMessage::UsageStarts(_) | GatewayMessage::UsageAck(_) | GatewayMessage::Clock(_)
    )
}

/// Checks that each window from the first one on, up to `through`, was reported with the right counts.
fn assert_exact(deployment: &Deployment, through: u64) {
    let reports = deployment.checked_reports();
    let first = *reports.keys().next().expect("a report");
    assert!(through >= first + 3, "{first}..={through} are too few windows");
    for window in first..=through {
        let expected = deployment.expected_counts(window);
        assert_eq!(reports.get(&window), Some(&expected), "window {window}");
    }
}

/// Guards against requests that count twice, in the wrong window or not at all, also where the clocks of
/// single hosts are wrong.
#[test]
fn the_counts_of_each_window_are_exact() {
    let mut deployment = reporting(7);
    deployment.wall_offsets = [(HostId(3), 8_000), (HostId(4), -8_000)].into();
    deployment.run_with_requests(40_000);
    deployment.run(12_000);
    assert_exact(&deployment, Deployment::window_at(deployment.now - 12_000));
    let delays = deployment.report_delays();
    assert!(delays.values().all(|delay| (0..10_000).contains(delay)), "{delays:?}");
}

/// Guards against requests that count although no upstream began to run them, or when they were sent to one
/// that refused them.
#[test]
fn a_request_counts_once_and_only_when_it_ran() {
    let mut deployment = reporting(8);
    deployment.run(20_000 - deployment.now % WINDOW_MS - 200);
    let window = Deployment::window_at(deployment.now);
    let refused = || ForwardEnd::NotRun { status: 421, other_instance: false };
    let not_sent = || ForwardEnd::NotSent { detail: "no connection".into() };
    for _ in 0..10 {
        // Refused in the next window, where it begins to run at another upstream.
        deployment.request_of(ENTRIES[0], "red", 400, refused());
        deployment.request_of(ENTRIES[1], "red", 400, not_sent());
        deployment.request_of(ENTRIES[1], "blue", 400, ForwardEnd::Delivered { status: 200 });
    }
    deployment.run(20_000);
    let reports = deployment.checked_reports();
    assert_eq!(reports[&window], [("blue".into(), 10)].into());
    assert_eq!(reports[&(window + 1)], [("red".into(), 10)].into());
}

/// Guards against counts that change once they may have been reported, also on a host that got the
/// directory as a snapshot, and against windows that pile up.
#[test]
fn the_first_counts_of_a_window_stay() {
    let mut directory = Directory::default();
    let settle = |window, count| DirectoryCommand::SettleUsage {
        window,
        counts: [("red".into(), count)].into(),
    };
    directory.apply(&DirectoryCommand::StartUsage { window: 7 });
    for (window, count) in [(8, 1), (7, 2), (7, 3), (8, 4), (9, 5)] {
        directory.apply(&settle(window, count));
    }
    directory.apply(&DirectoryCommand::StartUsage { window: 30 });
    directory.apply(&DirectoryCommand::UsageReported { through: 7 });
    let mut copy = Directory::default();
    directory.rebuild_commands(1_000).iter().flatten().for_each(|command| {
        copy.apply(command);
    });
    for mut directory in [directory, copy] {
        directory.apply(&settle(8, 6));
        let settled: Vec<_> = directory.usage.settled.iter().map(|(w, c)| (*w, c["red"])).collect();
        assert_eq!((directory.usage.next, settled), (Some(10), vec![(8, 4), (9, 5)]));
        for window in 10..100 {
            directory.apply(&settle(window, 1));
        }
        assert_eq!(directory.usage.settled.keys().next(), Some(&(100 - 64)));
    }
}

/// Guards against a suspended holder that sends what it had decided to send when it wakes up.
#[test_case(11; "seed 11")]
#[test_case(12; "seed 12")]
fn a_holder_that_was_suspended_in_the_middle_of_a_call_sends_nothing(seed: u64) {
    let mut deployment = reporting(seed);
    deployment.run_with_requests(16_000);
    let holder = leader(&deployment);
    let is_calling =
        |deployment: &Deployment| !deployment.gateway(holder).board().provider.running.is_empty();
    while !is_calling(&deployment) {
        deployment.run(1);
    }
    deployment.freeze(holder);
    deployment.run_with_requests(14_000);
    deployment.thaw(holder);
    finish(&mut deployment, 20_000);
    assert!(deployment.call_holders().len() > 1, "another host took over");
}

/// Guards against two holders while one is cut off from the others but reaches the provider.
#[test]
fn a_holder_that_is_cut_off_from_the_others_stops() {
    let mut deployment = reporting(13);
    deployment.run_with_requests(16_000);
    let holder = leader(&deployment);
    let others: Vec<HostId> =
        deployment.hosts().into_iter().filter(|host| *host != holder).chain(ENTRIES).collect();
    others.iter().for_each(|other| deployment.cut(holder, *other, true));
    deployment.run_with_requests(15_000);
    others.iter().for_each(|other| deployment.cut(holder, *other, false));
    finish(&mut deployment, 20_000);
    assert!(deployment.call_holders().len() > 1, "another host took over");
}

/// Guards against counts that are lost with the leader, or settled by its successor before the entries
/// have sent theirs again.
#[test_case(14; "seed 14")]
#[test_case(15; "seed 15")]
fn two_stores_are_lost_with_their_disks(seed: u64) {
    let mut deployment = reporting(seed);
    deployment.run_with_requests(18_000);
    let first = leader(&deployment);
    let second = HostId(first.0 % 5 + 1);
    for host in [first, second] {
        deployment.kill(host);
        deployment.lose_disk(host);
    }
    finish(&mut deployment, 25_000);
    assert!(deployment.call_holders().len() > 1, "another host took over");
}

/// Guards against windows that are skipped or counted anew when all stores start again.
#[test]
fn all_stores_lose_power() {
    let mut deployment = reporting(16);
    deployment.run_with_requests(18_000);
    let stores = deployment.hosts();
    stores.iter().for_each(|store| deployment.kill(*store));
    deployment.run_with_requests(2_000);
    stores.iter().for_each(|store| deployment.start(*store));
    finish(&mut deployment, 25_000);
}

/// Guards against a loss of more than what a killed entry had not sent yet.
#[test]
fn an_entry_is_killed_before_its_counts_are_collected() {
    let mut deployment = reporting(17);
    deployment.run_with_requests(17_000);
    let window = Deployment::window_at(deployment.now);
    deployment.kill_usage_entry(ENTRIES[0]);
    deployment.run_with_requests(15_000);
    deployment.run(15_000);
    let reports = deployment.checked_reports();
    let sum = |counts: &UsageCounts| counts.values().sum::<u64>();
    let missing = sum(&deployment.expected_counts(window)) - sum(&reports[&window]);
    // 27 requests a second come at an entry: 250 ms of them, and those not yet known to have begun.
    assert!((1..=20).contains(&missing), "{missing}");
    for window in window + 1..=window + 2 {
        assert_eq!(reports[&window], deployment.expected_counts(window), "window {window}");
    }
}

/// Guards against starts that are lost with a message, or count again with its copy.
#[test]
fn messages_between_hosts_are_lost_and_sent_again() {
    let mut deployment = reporting(18);
    deployment.drop_percent = 10;
    deployment.run_with_requests(30_000);
    deployment.drop_percent = 0;
    finish(&mut deployment, 5_000);
}

/// Guards against starts that are lost, although they are acknowledged, when the leader can't reach the
/// others for a moment.
#[test]
fn the_lease_of_the_leader_lapses() {
    let mut deployment = reporting(23);
    deployment.run_with_requests(18_000);
    let (first, others) = (leader(&deployment), deployment.hosts());
    let cut = |deployment: &mut Deployment, is_cut| {
        others.iter().filter(|other| **other != first).for_each(|other| {
            deployment.cut(first, *other, is_cut);
        });
    };
    cut(&mut deployment, true);
    while deployment.leader().is_some() {
        deployment.run(10);
    }
    cut(&mut deployment, false);
    deployment.run_with_requests(300);
    assert_eq!(deployment.leader(), Some(first), "no other host was elected");
    finish(&mut deployment, 15_000);
}

/// Guards against windows that shift with the clocks of the leader and of another store, of five or of
/// four.
#[test_case(2_500, false; "ahead")]
#[test_case(-2_500, false; "behind")]
#[test_case(2_500, true; "ahead while one store is down")]
fn the_clocks_of_two_stores_are_stepped(step: i64, one_is_down: bool) {
    let mut deployment = reporting(19);
    deployment.run_with_requests(16_000);
    let first = leader(&deployment);
    if one_is_down {
        deployment.kill(HostId((first.0 + 1) % 5 + 1));
        deployment.run_with_requests(15_000);
    }
    for host in [first, HostId(first.0 % 5 + 1)] {
        deployment.wall_offsets.insert(host, step);
    }
    finish(&mut deployment, 20_000);
    let delays = deployment.report_delays();
    assert!(delays.values().all(|delay| (3_900..5_000).contains(delay)), "{delays:?}");
}

/// Guards against other counts, or lost windows, when the provider is back.
#[test]
fn the_provider_is_silent_and_then_back() {
    let mut deployment = reporting(20);
    deployment.run_with_requests(16_000);
    deployment.provider.is_silent = true;
    deployment.run_with_requests(30_000);
    deployment.provider.is_silent = false;
    // Its answers come after the first time-out, so that it gets the same reports twice.
    deployment.provider.answer_ms = 3_000;
    finish(&mut deployment, 10_000);
}

/// Guards against messages, in deployments that do not report usage.
#[test_case(false; "no provider")]
#[test_case(true; "no workspaces")]
fn no_message_on_usage_is_sent_without_workspaces_and_provider(has_provider: bool) {
    let size = Size { stores: 3, entries: 2, zones: 3, zones_per_region: 1, tolerated_losses: 1 };
    let mut deployment = Deployment::empty(21, size);
    deployment.provider_settings = has_provider.then(settings);
    let count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&count);
    deployment.on_send = Some(Box::new(move |_, envelope| {
        counted.set(counted.get() + u32::from(is_usage(envelope)));
    }));
    deployment.start_all();
    deployment.run(5_000);
    if !has_provider {
        put_workspaces(&mut deployment);
    }
    deployment.run(15_000);
    assert_eq!((count.get(), deployment.provider.calls.len()), (0, 0));
}

/// Guards against a holder that changes back within the lease: a new one waits it out, although the one
/// before may have sent its last call just before it lost the lead.
#[test_case(false; "killed")]
#[test_case(true; "suspended")]
fn a_new_holder_waits_out_the_lease_of_the_one_before(suspended: bool) {
    let mut deployment = reporting(22);
    let (first, lost_at) = (leader(&deployment), deployment.now);
    if suspended {
        deployment.freeze(first);
    } else {
        deployment.kill(first);
    }
    let is_holder = |deployment: &Deployment, host: &HostId| {
        deployment.gateway(*host).board().holder_lease.is_some()
    };
    for _ in 0..800 {
        deployment.run(10);
        let mut others = deployment.hosts();
        others.retain(|host| *host != first);
        if others.iter().any(|host| is_holder(&deployment, host)) {
            break;
        }
    }
    let waited = deployment.now - lost_at;
    assert!((3_300..8_000).contains(&waited), "the next holder came after {waited} ms");
}

/// Guards against a call of a holder that has restarted, while one that its earlier process sent under a
/// lower token may still arrive.
#[test]
fn a_restarted_holder_waits_before_its_first_call() {
    let mut deployment = reporting(24);
    deployment.run_with_requests(16_000);
    deployment.provider.is_silent = true;
    for _ in 0..20 {
        deployment.run(10_000);
        let (holder, stores) = (leader(&deployment), deployment.hosts());
        stores.iter().for_each(|store| deployment.kill(*store));
        stores.iter().for_each(|store| deployment.start(*store));
        while deployment.leader().is_none() {
            deployment.run(10);
        }
        if leader(&deployment) != holder {
            continue;
        }
        while deployment.gateway(holder).board().provider.running.is_empty() {
            deployment.run(10);
        }
        let board = deployment.gateway(holder).board();
        let since = board.group.as_ref().and_then(|group| group.replica.leader_since());
        let waited = board.now.mono.since(since.expect("it leads"));
        assert!((3_300..5_000).contains(&waited.0), "the first call came after {waited:?}");
        return;
    }
    panic!("no holder was elected again");
}

/// Guards against starts that are lost because their entry has restarted with a wall clock that was
/// stepped back, so that its new boot id is lower.
#[test]
fn an_entry_restarts_with_a_lower_boot_id() {
    let mut deployment = reporting(25);
    deployment.run_with_requests(17_000);
    deployment.kill_usage_entry(ENTRIES[0]);
    // Until the requests of the killed process have ended.
    deployment.run(7_000);
    deployment.add_usage_entry_as(ENTRIES[0], 1_000);
    let from = Deployment::window_at(deployment.now) + 1;
    deployment.run_with_requests(15_000);
    deployment.run(15_000);
    let reports = deployment.checked_reports();
    for window in from..from + 2 {
        assert_eq!(reports[&window], deployment.expected_counts(window), "window {window}");
    }
}

/// Guards against a former leader that asks for a tick at every moment because its next window is overdue.
#[test]
fn an_isolated_leader_does_not_tick_all_the_time() {
    let mut deployment = reporting(27);
    deployment.run_with_requests(16_000);
    let holder = leader(&deployment);
    for other in deployment.hosts() {
        if other != holder {
            deployment.cut(holder, other, true);
        }
    }
    deployment.run(12_000);
    let count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&count);
    deployment.on_event = Some(Box::new(move |host, event, _| {
        let is_tick = host == holder && matches!(event, Event::Tick);
        counted.set(counted.get() + u32::from(is_tick));
    }));
    deployment.run(2_000);
    assert!(count.get() < 200, "{} ticks within 2 s", count.get());
}

/// Guards against records that are taken for acknowledged because a delayed acknowledgement for an
/// earlier process of the entry has a higher number.
#[test]
fn an_acknowledgement_for_an_earlier_process_is_ignored() {
    let mut deployment = reporting(26);
    deployment.run_with_requests(16_000);
    let leader = leader(&deployment);
    let fence = deployment.gateway(leader).board().holder_lease.expect("a lease").fence;
    deployment.cut(leader, ENTRIES[0], true);
    deployment.run_with_requests(800);
    let ack = UsageAck { fence, boot_id: 1, number: 1, next_seq: 1_000_000 };
    deployment.deliver_to_entry(ENTRIES[0], leader, GatewayMessage::UsageAck(ack));
    deployment.cut(leader, ENTRIES[0], false);
    finish(&mut deployment, 10_000);
}

/// Guards against records that pile up on an entry that has not heard of a leader.
#[test]
fn records_expire_without_a_leader() {
    let (mut deployment, entry) = (reporting(28), HostId(203));
    deployment.hosts().iter().for_each(|store| deployment.cut(entry, *store, true));
    deployment.add_usage_entry(entry);
    deployment.run_with_requests(26_000);
    let records = deployment.usage_records(entry);
    deployment.run_with_requests(20_000);
    let later = deployment.usage_records(entry);
    assert!(later <= records + records / 10, "{records} records, then {later}");
    assert!(later > 0);
}
