//! The core: a board, its controllers, and the two functions that a shell needs.

use crate::action::Action;
use crate::board::Board;
use crate::controller::{self, Controller};
use crate::event::Event;
use crate::host_settings::HostSettings;
use crate::policy::Policies;
use crate::time::{Millis, Now};

/// The most rounds for one event; reaching it means that two controllers keep each other busy.
const MOST_ROUNDS: usize = 64;

/// All decisions of one host.
#[derive(Debug)]
pub struct Core {
    board: Board,
    rounds: Vec<Box<dyn Controller>>,
    closing: Vec<Box<dyn Controller>>,
}

impl Core {
    /// Makes the core of a host, with the default policies.
    #[must_use]
    pub fn new(cfg: HostSettings, now: Now) -> Self {
        Self::with_policies(cfg, now, Policies::default())
    }

    /// Makes the core of a host, with policies of one's own.
    #[must_use]
    pub fn with_policies(cfg: HostSettings, now: Now, policies: Policies) -> Self {
        Self {
            board: Board::new(cfg, now),
            rounds: controller::rounds(policies),
            closing: controller::closing(),
        }
    }

    /// Takes in one event and returns what is to be done, in order.
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
        for _ in 0..MOST_ROUNDS {
            for controller in &mut self.rounds {
                controller.run(&mut self.board, input);
            }
            input = None;
            if !self.board.needs_round() {
                break;
            }
        }
        for controller in &mut self.closing {
            controller.run(&mut self.board, None);
        }
        std::mem::take(&mut self.board.actions)
    }

    /// Returns when the core wants to be told the time at the latest, on the monotonic clock.
    #[must_use]
    pub fn next_deadline(&self) -> Millis {
        let deadlines = self.rounds.iter().map(|controller| controller.next_deadline(&self.board));
        deadlines.min().unwrap_or(Millis::MAX)
    }

    /// Returns the board to be read.
    #[must_use]
    pub fn board(&self) -> &Board {
        &self.board
    }
}
