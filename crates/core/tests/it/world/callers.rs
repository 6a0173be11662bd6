//! Simulated callers: the calls that they sent and the replies.

use chestnutdrift_core::RequestTag;
use chestnutdrift_core::action::Answer;
use chestnutdrift_core::event::Call;

use super::{Origin, Scheduled, World, arrival};

/// The state of the reply to a call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Reply {
    /// No reply yet.
    Waiting,
    /// The connection broke or the reply was lost.
    Lost,
    /// The answer arrived.
    Answer(Answer),
}

/// A call that a caller sent.
#[derive(Debug, Clone)]
pub(crate) struct SentCall {
    /// The request ID, which is the subject of its timeline events.
    pub(crate) trace: Box<str>,
    pub(crate) call: Call,
    /// The time at which the reply arrived or was lost, in milliseconds; 0 before that.
    pub(crate) replied_at: u64,
    pub(crate) reply: Reply,
}

impl SentCall {
    pub(super) fn mark_lost(&mut self, now: u64) {
        if self.reply == Reply::Waiting {
            self.reply = Reply::Lost;
            self.replied_at = now;
        }
    }

    /// Returns the answer, if it arrived.
    pub(crate) fn answer(&self) -> Option<&Answer> {
        match &self.reply {
            Reply::Answer(answer) => Some(answer),
            _ => None,
        }
    }

    /// Returns whether neither an answer nor a failure has reached the caller.
    pub(crate) fn is_waiting(&self) -> bool {
        self.reply == Reply::Waiting
    }
}

impl World {
    /// Sends a call to a host and returns its index in [`World::sent_calls`].
    pub(crate) fn send(&mut self, host: usize, call: Call) -> usize {
        let index = self.sent_calls.len();
        let trace: Box<str> = format!("send-{index}").into();
        self.next_tag += 1;
        let arrival = arrival(RequestTag(self.next_tag), trace.clone(), call.clone());
        let reply = Reply::Waiting;
        self.sent_calls.push(SentCall { trace, call, replied_at: 0, reply });
        let delay = self.delay();
        self.schedule(self.now + delay, Scheduled::Arrive(host, arrival, Origin::Caller(index)));
        index
    }

    /// Sends a call to a host and runs until it is answered; fails the test if it is not.
    pub(crate) fn call(&mut self, host: usize, call: Call) -> Answer {
        let index = self.send(host, call);
        self.run_until("the call is answered", 15_000, |world| {
            !world.sent_calls[index].is_waiting()
        });
        let state = self.describe();
        self.sent_calls[index].answer().cloned().unwrap_or_else(|| panic!("no answer\n{state}"))
    }

    pub(super) fn reply(&mut self, index: usize, answer: Answer) {
        let lost = self.chance(self.network.lost_replies_percent);
        let call = &mut self.sent_calls[index];
        if lost {
            call.mark_lost(self.now);
        } else if call.is_waiting() {
            call.reply = Reply::Answer(answer);
            call.replied_at = self.now;
        }
    }
}
