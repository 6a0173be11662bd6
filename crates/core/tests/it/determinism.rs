//! The core is deterministic: the same events give the same actions.

use chestnutdrift_core::action::Action;
use chestnutdrift_core::event::Event;
use chestnutdrift_core::{Core, Now};

use crate::routing::chat;
use crate::world::World;

/// The recorded events of a host with their times and resulting actions.
type Recording = Vec<(Now, Event, Vec<Action>)>;

fn record(seed: u64) -> (Recording, chestnutdrift_core::HostSettings) {
    let mut world = World::new(seed, 1, 3, 1);
    world.add_engine("z1", "model");
    world.add_desk("z1", "desk");
    world.kill(0);
    world.nodes[0].recording = Some(Vec::new());
    world.start(0);
    world.run_until_ready();
    for _ in 0..20 {
        world.call(0, chat("model"));
    }
    let cfg = world.nodes[0].core.as_ref().expect("the host is running").board().cfg.clone();
    (world.nodes[0].recording.take().expect("the host was recorded"), cfg)
}

#[test]
fn replayed_events_give_identical_actions() {
    for seed in 0..5 {
        let (recording, cfg) = record(seed);
        let first = recording.first().map(|(now, ..)| *now).unwrap();
        let mut core = Core::new(cfg, first);
        assert!(recording.len() > 100);
        for (now, event, actions) in recording {
            let replayed = core.handle(now, event);
            assert_eq!(format!("{replayed:?}"), format!("{actions:?}"), "seed {seed}");
        }
    }
}
