//! The messages that are sent to one replica and not yet answered.

use crate::time::Millis;

/// The most messages that may be unanswered.
const MAX_UNANSWERED: usize = 8;

/// The longest time to an answer at which one more message may be unanswered from then on: several
/// round trips between regions. On a slower link, more messages would only delay heartbeats.
const PROMPT_ANSWER: Millis = Millis(200);

/// The messages to one replica that are not yet answered, oldest first.
///
/// A message is named by the position that its answer confirms: a log index or a number of parts.
/// Their number starts at one, grows with prompt answers, and falls back to one after a late answer
/// or none.
#[derive(Debug, Clone, Copy)]
pub(super) struct SendWindow {
    unanswered: [(u64, Millis); MAX_UNANSWERED],
    length: usize,
    size: usize,
}

impl Default for SendWindow {
    fn default() -> Self {
        Self { unanswered: [(0, Millis(0)); MAX_UNANSWERED], length: 0, size: 1 }
    }
}

impl SendWindow {
    /// Returns whether another message may be sent.
    pub(super) fn has_room(&self) -> bool {
        self.length < self.size
    }

    /// Returns whether every message is answered.
    pub(super) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the position of the last message; `None` if every message is answered.
    pub(super) fn last_position(&self) -> Option<u64> {
        self.sent().last().map(|(position, _)| *position)
    }

    /// Returns whether the oldest message was sent at least `timeout` ago.
    pub(super) fn has_timed_out(&self, now: Millis, timeout: Millis) -> bool {
        self.sent().first().is_some_and(|(_, sent_at)| now.since(*sent_at) >= timeout)
    }

    /// Returns whether the oldest message was sent before a message that was sent at `sent_at`.
    pub(super) fn is_overtaken(&self, sent_at: Millis) -> bool {
        self.sent().first().is_some_and(|(_, first_sent_at)| *first_sent_at < sent_at)
    }

    /// Adds a message; there must be room for it.
    pub(super) fn push(&mut self, position: u64, now: Millis) {
        if let Some(slot) = self.unanswered.get_mut(self.length) {
            *slot = (position, now);
            self.length += 1;
        }
    }

    /// Removes the messages up to a position that was confirmed.
    pub(super) fn confirm(&mut self, position: u64, now: Millis) {
        let answered = self.sent().iter().take_while(|(sent, _)| *sent <= position).count();
        for (_, sent_at) in &self.unanswered[..answered] {
            let is_prompt = now.since(*sent_at) <= PROMPT_ANSWER;
            self.size = if is_prompt { (self.size + 1).min(MAX_UNANSWERED) } else { 1 };
        }
        self.unanswered.copy_within(answered..self.length, 0);
        self.length -= answered;
    }

    /// Forgets all messages, because they have to be sent again, but keeps the size of the window.
    pub(super) fn forget_messages(&mut self) {
        self.length = 0;
    }

    /// Forgets all messages, because they have to be sent again, and all prompt answers.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    fn sent(&self) -> &[(u64, Millis)] {
        &self.unanswered[..self.length]
    }
}
