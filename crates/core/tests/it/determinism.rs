//! One list of events gives one list of actions.

use chestnutdrift_core::action::Action;
use chestnutdrift_core::event::Event;
use chestnutdrift_core::{Core, Now};

use crate::routing::chat;
use crate::world::World;

/// A recorded list of events with the actions that they gave.
type Recording = Vec<(Now, Event, Vec<Action>)>;

fn record(seed: u64) -> (Recording, chestnutdrift_core::HostSettings) {
    let mut world = World::new(seed, 1, 3, 1);
    world.add_engine("z1", "model");
    world.add_desk("z1", "desk");
    world.kill(0);
    world.nodes[0].recording = Some(Vec::new());
    world.start(0);
    world.settle();
    for _ in 0..20 {
        world.ask(0, chat("model"));
    }
    let cfg = world.nodes[0].core.as_ref().expect("it runs").board().cfg.clone();
    (world.nodes[0].recording.take().expect("it was recorded"), cfg)
}

#[test]
fn a_recorded_list_of_events_gives_the_same_actions_byte_for_byte() {
    for seed in 0..5 {
        let (recording, cfg) = record(seed);
        let first = recording.first().map(|(now, ..)| *now).unwrap();
        let mut core = Core::new(cfg, first);
        assert!(recording.len() > 100);
        for (now, event, actions) in recording {
            let again = core.handle(now, event);
            assert_eq!(format!("{again:?}"), format!("{actions:?}"), "seed {seed}");
        }
    }
}
