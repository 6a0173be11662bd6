//! A replica's state comes back from its records.

use chestnutdrift_core::event::Call;
use chestnutdrift_core::fleet::{Change, Edit, SettingKey};

use crate::world::World;

#[test]
fn a_whole_fleet_that_loses_its_power_comes_back_with_its_settings() {
    let mut world = World::new(1, 3, 3, 1);
    world.settle();
    for base in 0..700 {
        let edits = vec![Edit::Default { key: SettingKey::Staleness, value: Some(base % 9) }];
        let id = format!("c{base}").into();
        world.ask(0, Call::Change(Change { id, base_version: base, author: "test".into(), edits }));
    }
    for at in 0..9 {
        world.kill(at);
    }
    world.run(1_000);
    for at in 0..9 {
        world.start(at);
    }
    world.settle();
    world.run(5_000);
    for node in &world.nodes {
        let core = node.core.as_ref().unwrap();
        assert_eq!(core.board().active_settings.settings.version, 700, "{}", node.name);
    }
}

#[test]
fn the_second_disk_lost_just_after_the_first_was_let_in_again_loses_nothing() {
    let mut world = World::new(2, 3, 3, 1);
    world.settle();
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
        world.ask(1, change(base));
    }
    for at in disks {
        world.kill(at);
        world.lose_disk(at);
        world.run(1_000);
        world.start(at);
        world.run_until("it votes again", 20_000, |world| {
            let core = world.nodes[at].core.as_ref().unwrap();
            core.board().groups.fleet.as_ref().unwrap().replica.is_voter()
        });
    }
    world.settle();
    let answer = world.ask(1, change(5));
    let version = match answer {
        chestnutdrift_core::action::Answer::Changed(
            chestnutdrift_core::fleet::ChangeOutcome::Accepted { version },
        ) => version,
        other => panic!("{other:?}"),
    };
    assert_eq!(version, 6);
}

#[test]
fn a_key_is_recorded_once_whoever_asks() {
    use chestnutdrift_core::HostId;
    use chestnutdrift_core::records::{IntentKey, ZoneCommand, ZoneOutcome, ZoneRecords};
    let mut records = ZoneRecords::default();
    let key = IntentKey { caller: "shop".into(), service: "desk".into(), key: "one".into() };
    let intend = |owner| ZoneCommand::RecordIntent {
        key: key.clone(),
        fingerprint: 1,
        owner: HostId(owner),
        owner_boot_id: 1,
    };
    assert_eq!(records.apply(&intend(1)), ZoneOutcome::IntentRecorded(key.clone()));
    assert_eq!(records.apply(&intend(2)), ZoneOutcome::AlreadyRecorded(key.clone()));
    assert_eq!(records.intent(&key).map(|intent| intent.owner), Some(HostId(1)));
}
