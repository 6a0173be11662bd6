//! Calls that hosts receive, forward and answer, and the timeline of a call.

use chestnutdrift_core::action::{Answer, Dispatch, Source};
use chestnutdrift_core::event::{Arrival, AttemptEnd, Event, RecordedAnswer};
use chestnutdrift_core::{AttemptKey, ErrorKind, Ran, RequestTag};

use super::{CONNECT_TIMEOUT_MS, Origin, PendingCall, START_WALL_MS, Scheduled, World};

impl World {
    /// Forwards a call to another host; the attempt fails if that host is unreachable.
    ///
    /// `forwarding` holds the `hops`, `granted` and `maybe_ran` of the forwarded call.
    pub(super) fn forward_call(
        &mut self,
        host: usize,
        to: usize,
        forwarding: (u8, bool, bool),
        dispatch: &Dispatch,
    ) {
        let boot_id = self.nodes[host].boot_id;
        let attempt = dispatch.attempt;
        let Source::Exchange { tag } = dispatch.source else { return };
        let end = |detail: &str| AttemptEnd::NotSent { detail: detail.into() };
        if self.cut_links.contains(&(host, to)) || self.cut_links.contains(&(to, host)) {
            let scheduled = Scheduled::Ended(host, boot_id, attempt, end("cut off"));
            self.schedule(self.now + CONNECT_TIMEOUT_MS, scheduled);
            return;
        }
        let Some(pending) = self.pending_calls.get(&(host, tag)).cloned() else { return };
        if self.nodes[to].core.is_none() {
            self.schedule(self.now + 1, Scheduled::Ended(host, boot_id, attempt, end("refused")));
            return;
        }
        let mut arrival = pending.arrival;
        self.next_tag += 1;
        arrival.tag = RequestTag(self.next_tag);
        arrival.deadline = Some(dispatch.timeout);
        (arrival.hops, arrival.granted, arrival.maybe_ran) = forwarding;
        let origin = Origin::Host(host, boot_id, attempt, tag);
        let delay = self.delay();
        self.schedule(self.now + delay, Scheduled::Arrive(to, arrival, origin));
        let detail = "no answer in time".into();
        let timeout = Scheduled::Ended(host, boot_id, attempt, AttemptEnd::Broken { detail });
        self.schedule(self.now + dispatch.timeout.0, timeout);
    }

    pub(super) fn arrive(&mut self, host: usize, arrival: Arrival, origin: Origin) {
        if self.nodes[host].core.is_none() {
            match origin {
                Origin::Caller(index) => self.sent_calls[index].mark_lost(self.now),
                Origin::Host(node, boot_id, attempt, _) => {
                    let end = AttemptEnd::NotSent { detail: "refused".into() };
                    self.schedule(self.now + 1, Scheduled::Ended(node, boot_id, attempt, end));
                }
            }
            return;
        }
        let pending = PendingCall { arrival: arrival.clone(), origin };
        self.pending_calls.insert((host, arrival.tag), pending);
        self.handle_event(host, Event::Arrived(arrival));
    }

    pub(super) fn answer(&mut self, host: usize, tag: RequestTag, answer: Answer) {
        let Some(pending) = self.pending_calls.remove(&(host, tag)) else { return };
        match pending.origin {
            Origin::Caller(index) => self.reply(index, answer),
            Origin::Host(node, boot_id, attempt, parent) => {
                self.return_answer(host, (node, boot_id, attempt, parent), answer);
            }
        }
    }

    /// Returns an answer to the forwarding host, with the same mapping as the daemon's adaptor.
    fn return_answer(
        &mut self,
        host: usize,
        parent: (usize, u64, AttemptKey, RequestTag),
        answer: Answer,
    ) {
        let (node, boot_id, attempt, tag) = parent;
        let arrival_time = self.now + self.delay();
        if self.cut_links.contains(&(host, node)) {
            return;
        }
        let scheduled = match &answer {
            Answer::Problem(problem)
                if problem.ran == Ran::No
                    && matches!(problem.kind, ErrorKind::HomeUnreachable | ErrorKind::NotReady) =>
            {
                let end = AttemptEnd::Refused { detail: problem.detail.clone() };
                Scheduled::Ended(node, boot_id, attempt, end)
            }
            _ => Scheduled::ReturnAnswer(node, boot_id, tag, answer, attempt),
        };
        self.schedule(arrival_time, scheduled);
    }

    pub(super) fn finish(&mut self, host: usize, tag: RequestTag) {
        let Some(pending) = self.pending_calls.remove(&(host, tag)) else { return };
        let answer = Answer::Recorded {
            answer: RecordedAnswer { status: 200, content_type: "".into(), body: [].into() },
            replayed: false,
        };
        match pending.origin {
            Origin::Caller(index) => self.reply(index, answer),
            Origin::Host(node, boot_id, attempt, parent) => {
                self.return_answer(host, (node, boot_id, attempt, parent), answer);
            }
        }
    }
}

impl World {
    /// Formats the timeline events of a subject.
    pub(crate) fn timeline_of(&self, subject: &str) -> String {
        let mut text = String::new();
        for event in &self.timeline {
            if *event.subject != *subject {
                continue;
            }
            let time = event.stamp.wall.0 - START_WALL_MS;
            text.push_str(&format!(
                "  {time} h{} {:?} {}\n",
                event.host.0, event.kind, event.detail
            ));
        }
        text
    }

    /// Passes an event from a test to a host.
    pub(crate) fn inject_event(&mut self, host: usize, event: Event) {
        self.handle_event(host, event);
    }
}
