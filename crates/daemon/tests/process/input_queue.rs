//! The queue of the control thread's inputs, and the memory limit.

use chestnutdrift_core::gateway::Event;
use chestnutdrift_core::message::Envelope;
use chestnutdrift_daemon::gateway::input::{self, Input, NotQueued};

use crate::link_queue::{APPEND_BYTES, MEMORY_LIMIT, append, vote};

/// More messages of the size of an append than may wait.
const APPENDS: u64 = 80;

fn received(envelope: Envelope) -> Input {
    Input::Event(Event::Received(envelope))
}

/// Guards against control threads that fell behind until the messages waiting for them exceeded the
/// memory of the process.
#[test]
fn inputs_of_a_slow_control_thread_take_a_bounded_share_of_the_memory() {
    let (inputs, waiting) = input::queue();
    let inputs = inputs.memory_limit(Some(MEMORY_LIMIT as u64));
    let mut queued = 0;
    for index in 1..=APPENDS {
        match inputs.try_send(received(append(index))) {
            Ok(()) => queued += 1,
            Err(error) => assert!(matches!(error, NotQueued::Full(_))),
        }
    }
    assert!(queued > 0 && queued * APPEND_BYTES <= MEMORY_LIMIT / 10, "{queued} appends wait");
    assert!(inputs.queued_bytes() >= queued * APPEND_BYTES);

    inputs.try_send(received(vote(7))).expect("a vote passes");
    inputs.send(Input::Event(Event::Stop)).expect("an event without contents passes");
    assert_eq!(waiting.try_iter().count(), queued + 2);
    assert_eq!(inputs.queued_bytes(), 0);
    inputs.try_send(received(append(1))).expect("the bytes are released");
}
