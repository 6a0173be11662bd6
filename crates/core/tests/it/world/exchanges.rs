//! Calls between the nodes of a world, and what is known of them afterwards.

use chestnutdrift_core::action::{Answer, Dispatch, Source};
use chestnutdrift_core::event::{Arrival, AttemptEnd, Event, RecordedAnswer};
use chestnutdrift_core::{AttemptKey, ErrorKind, Ran, RequestTag};

use super::{CONNECT_TIMEOUT, EPOCH, Held, Item, Origin, World};

impl World {
    /// Hands a call on to another node, or finds that it can't be reached.
    pub(super) fn forward_call(
        &mut self,
        at: usize,
        to: usize,
        onward: (u8, bool, bool),
        dispatch: &Dispatch,
    ) {
        let life = self.nodes[at].life;
        let attempt = dispatch.attempt;
        let Source::Exchange { tag } = dispatch.source else { return };
        let end = |detail: &str| AttemptEnd::NotSent { detail: detail.into() };
        if self.cuts.contains(&(at, to)) || self.cuts.contains(&(to, at)) {
            let item = Item::Ended(at, life, attempt, end("cut off"));
            self.push(self.now + CONNECT_TIMEOUT, item);
            return;
        }
        let Some(held) = self.held.get(&(at, tag)).cloned() else { return };
        if self.nodes[to].core.is_none() {
            self.push(self.now + 1, Item::Ended(at, life, attempt, end("refused")));
            return;
        }
        let mut arrival = held.arrival;
        self.next_tag += 1;
        arrival.tag = RequestTag(self.next_tag);
        arrival.deadline = Some(dispatch.timeout);
        (arrival.hops, arrival.granted, arrival.maybe_ran) = onward;
        let origin = Origin::Host(at, life, attempt, tag);
        let delay = self.delay();
        self.push(self.now + delay, Item::Arrive(to, arrival, origin));
        let detail = "no answer in time".into();
        let late = Item::Ended(at, life, attempt, AttemptEnd::Broken { detail });
        self.push(self.now + dispatch.timeout.0, late);
    }

    pub(super) fn arrive(&mut self, at: usize, arrival: Arrival, origin: Origin) {
        if self.nodes[at].core.is_none() {
            match origin {
                Origin::Caller(send) => self.sends[send].lose(self.now),
                Origin::Host(node, life, attempt, _) => {
                    let end = AttemptEnd::NotSent { detail: "refused".into() };
                    self.push(self.now + 1, Item::Ended(node, life, attempt, end));
                }
            }
            return;
        }
        let held = Held { arrival: arrival.clone(), origin };
        self.held.insert((at, arrival.tag), held);
        self.feed(at, Event::Arrived(arrival));
    }

    pub(super) fn answer(&mut self, at: usize, tag: RequestTag, answer: Answer) {
        let Some(held) = self.held.remove(&(at, tag)) else { return };
        match held.origin {
            Origin::Caller(send) => self.reply(send, answer),
            Origin::Host(node, life, attempt, parent) => {
                self.give_back(at, (node, life, attempt, parent), answer);
            }
        }
    }

    /// Gives an answer back to the node that handed the call on, as the daemon's adaptor does.
    fn give_back(
        &mut self,
        at: usize,
        parent: (usize, u64, AttemptKey, RequestTag),
        answer: Answer,
    ) {
        let (node, life, attempt, tag) = parent;
        let at_time = self.now + self.delay();
        if self.cuts.contains(&(at, node)) {
            return;
        }
        let item = match &answer {
            Answer::Problem(problem)
                if problem.ran == Ran::No
                    && matches!(problem.kind, ErrorKind::HomeUnreachable | ErrorKind::NotReady) =>
            {
                let end = AttemptEnd::Refused { detail: problem.detail.clone() };
                Item::Ended(node, life, attempt, end)
            }
            _ => Item::GiveBack(node, life, tag, answer, attempt),
        };
        self.push(at_time, item);
    }

    pub(super) fn finish(&mut self, at: usize, tag: RequestTag) {
        let Some(held) = self.held.remove(&(at, tag)) else { return };
        let answer = Answer::Recorded {
            answer: RecordedAnswer { status: 200, content_type: "".into(), body: [].into() },
            replayed: false,
        };
        match held.origin {
            Origin::Caller(send) => self.reply(send, answer),
            Origin::Host(node, life, attempt, parent) => {
                self.give_back(at, (node, life, attempt, parent), answer);
            }
        }
    }
}

impl World {
    /// Returns the events of the time line about a subject.
    pub(crate) fn story(&self, subject: &str) -> String {
        let mut text = String::new();
        for note in &self.notes {
            if *note.subject != *subject {
                continue;
            }
            let at = note.stamp.wall.0 - EPOCH;
            text.push_str(&format!("  {at} h{} {:?} {}\n", note.host.0, note.kind, note.detail));
        }
        text
    }

    /// Tells a node of an event.
    pub(crate) fn tell(&mut self, at: usize, event: Event) {
        self.feed(at, event);
    }
}
