//! Callers of a world: what they sent and what came back.

use chestnutdrift_core::RequestTag;
use chestnutdrift_core::action::Answer;
use chestnutdrift_core::event::Call;

use super::{Item, Origin, World, arrival};

/// What came back for a send.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Reply {
    /// Nothing yet.
    Waiting,
    /// The connection broke, or the reply was lost.
    Lost,
    /// An answer.
    Answer(Answer),
}

/// One send of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Send {
    /// Its name on the time line.
    pub(crate) trace: Box<str>,
    /// What was asked.
    pub(crate) call: Call,
    /// When the reply came.
    pub(crate) replied: u64,
    /// What came back.
    pub(crate) reply: Reply,
}

impl Send {
    pub(super) fn lose(&mut self, now: u64) {
        if self.reply == Reply::Waiting {
            self.reply = Reply::Lost;
            self.replied = now;
        }
    }

    /// Returns the answer, where one came.
    pub(crate) fn answer(&self) -> Option<&Answer> {
        match &self.reply {
            Reply::Answer(answer) => Some(answer),
            _ => None,
        }
    }

    /// Tells whether the caller still waits.
    pub(crate) fn waits(&self) -> bool {
        self.reply == Reply::Waiting
    }
}

impl World {
    /// Sends a call to a node and returns the number of the send.
    pub(crate) fn send(&mut self, at: usize, call: Call) -> usize {
        let number = self.sends.len();
        let trace: Box<str> = format!("send-{number}").into();
        self.next_tag += 1;
        let arrival = arrival(RequestTag(self.next_tag), trace.clone(), call.clone());
        let reply = Reply::Waiting;
        self.sends.push(Send { trace, call, replied: 0, reply });
        let delay = self.delay();
        self.push(self.now + delay, Item::Arrive(at, arrival, Origin::Caller(number)));
        number
    }

    /// Sends a call to a node and runs until it is answered; fails the test where it is not.
    pub(crate) fn ask(&mut self, at: usize, call: Call) -> Answer {
        let number = self.send(at, call);
        self.run_until("the call is answered", 15_000, |world| !world.sends[number].waits());
        let show = self.show();
        self.sends[number].answer().cloned().unwrap_or_else(|| panic!("no answer\n{show}"))
    }

    pub(super) fn reply(&mut self, number: usize, answer: Answer) {
        let lost = self.percent(self.network.lost_replies_percent);
        let send = &mut self.sends[number];
        if lost {
            send.lose(self.now);
        } else if send.waits() {
            send.reply = Reply::Answer(answer);
            send.replied = self.now;
        }
    }
}
