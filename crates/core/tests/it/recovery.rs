//! Recovery of replicated state from disks, and recording of idempotency keys.

use chestnutdrift_core::event::Call;
use chestnutdrift_core::fleet::{Change, Edit, SettingKey};

use crate::world::World;

#[test]
fn a_fleet_recovers_its_settings_after_a_power_loss_of_all_hosts() {
    let mut world = World::new(1, 3, 3, 1);
    world.run_until_ready();
    for base in 0..700 {
        let edits = vec![Edit::Default { key: SettingKey::Staleness, value: Some(base % 9) }];
        let id = format!("c{base}").into();
        world
            .call(0, Call::Change(Change { id, base_version: base, author: "test".into(), edits }));
    }
    for host in 0..9 {
        world.kill(host);
    }
    world.run(1_000);
    for host in 0..9 {
        world.start(host);
    }
    world.run_until_ready();
    world.run(5_000);
    for node in &world.nodes {
        let core = node.core.as_ref().unwrap();
        assert_eq!(core.board().active_settings.settings.version, 700, "{}", node.name);
    }
}

#[test]
fn disks_can_be_lost_one_after_another_once_each_host_votes_again() {
    let mut world = World::new(2, 3, 3, 1);
    world.run_until_ready();
    let disks = [0, 3, 6];
    let change = |base: u64| {
        let edits = vec![Edit::Default { key: SettingKey::Staleness, value: Some(base % 9) }];
        Call::Change(Change {
            id: format!("c{base}").into(),
            base_version: base,
            author: "test".into(),
            edits,
        })
    };
    for base in 0..5 {
        world.call(1, change(base));
    }
    for host in disks {
        world.kill(host);
        world.lose_disk(host);
        world.run(1_000);
        world.start(host);
        world.run_until("it votes again", 20_000, |world| {
            let core = world.nodes[host].core.as_ref().unwrap();
            core.board().groups.fleet.as_ref().unwrap().replica.is_voter()
        });
    }
    world.run_until_ready();
    let answer = world.call(1, change(5));
    let version = match answer {
        chestnutdrift_core::action::Answer::Changed(
            chestnutdrift_core::fleet::ChangeOutcome::Accepted { version },
        ) => version,
        other => panic!("{other:?}"),
    };
    assert_eq!(version, 6);
}

#[test]
fn a_key_is_recorded_only_for_its_first_owner() {
    use chestnutdrift_core::HostId;
    use chestnutdrift_core::records::{IntentKey, ZoneCommand, ZoneOutcome, ZoneRecords};
    let mut records = ZoneRecords::default();
    let key = IntentKey { caller: "shop".into(), service: "desk".into(), key: "one".into() };
    let record_intent = |owner| ZoneCommand::RecordIntent {
        key: key.clone(),
        fingerprint: 1,
        owner: HostId(owner),
        owner_boot_id: 1,
    };
    assert_eq!(records.apply(&record_intent(1)), ZoneOutcome::IntentRecorded(key.clone()));
    assert_eq!(records.apply(&record_intent(2)), ZoneOutcome::AlreadyRecorded(key.clone()));
    assert_eq!(records.intent(&key).map(|intent| intent.owner), Some(HostId(1)));
}
