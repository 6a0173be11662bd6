//! The core: a board, its controllers, and the entry points for the process that drives them.

use crate::action::Action;
use crate::board::Board;
use crate::controller::{self, Controller};
use crate::event::Event;
use crate::host_settings::HostSettings;
use crate::policy::Policies;
use crate::time::{Millis, Now};

/// The most rounds of controllers for one event; only controllers that keep triggering each other
/// reach it.
const MAX_ROUNDS: usize = 64;

/// The decision logic of one host.
#[derive(Debug)]
pub struct Core {
    board: Board,
    rounds: Vec<Box<dyn Controller>>,
    after_rounds: Vec<Box<dyn Controller>>,
}

impl Core {
    /// Creates the core of a host with the default policies.
    #[must_use]
    pub fn new(cfg: HostSettings, now: Now) -> Self {
        Self::with_policies(cfg, now, Policies::default())
    }

    /// Creates the core of a host with the given policies.
    #[must_use]
    pub fn with_policies(cfg: HostSettings, now: Now, policies: Policies) -> Self {
        Self {
            board: Board::new(cfg, now),
            rounds: controller::rounds(policies),
            after_rounds: controller::closing(),
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.board.now = now;
        let event = match event {
            Event::Arrived(arrival) => {
                self.board.counters.arrived += 1;
                self.board.arrivals.push(arrival);
                Event::Tick
            }
            other => other,
        };
        if let Event::Received(envelope) = &event {
            self.board.clock.observe(envelope.stamp);
        }
        let mut input = Some(&event);
        for _ in 0..MAX_ROUNDS {
            for controller in &mut self.rounds {
                controller.run(&mut self.board, input);
            }
            input = None;
            if !self.board.needs_round() {
                break;
            }
        }
        for controller in &mut self.after_rounds {
            controller.run(&mut self.board, None);
        }
        std::mem::take(&mut self.board.actions)
    }

    /// Returns the latest time for the next [`Event::Tick`], on the monotonic clock;
    /// [`Millis::MAX`] when nothing is scheduled.
    #[must_use]
    pub fn next_deadline(&self) -> Millis {
        let deadlines = self.rounds.iter().map(|controller| controller.next_deadline(&self.board));
        deadlines.min().unwrap_or(Millis::MAX)
    }

    /// Returns the board, read only.
    #[must_use]
    pub fn board(&self) -> &Board {
        &self.board
    }
}
