//! The control thread: owns the core, feeds it events and carries its actions out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutdrift_core::action::{Action, Answer, Dispatch, Source};
use chestnutdrift_core::event::Arrival;
use chestnutdrift_core::timeline::{EventKind, TimelineEvent};
use chestnutdrift_core::{Core, ErrorKind, Event, Millis, Problem, RequestTag};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};

use crate::call::{CallJob, CallPool, OrderJob};
use crate::clock::Clock;
use crate::disk::DiskJob;
use crate::exchange::Exchange;
use crate::http::encode_answer;
use crate::link::Links;

/// Events that may wait for the control thread.
pub const EVENTS_WAITING: usize = 8_192;

/// The longest wait for an event.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// The time between two looks for callers that have gone without a word.
const SWEEP_EVERY: Millis = Millis(250);

/// What the control thread is told.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A call from outside, with the way its answer goes back.
    Open(Arrival, Arc<Exchange>),
    /// The disk failed: nothing more can be promised.
    DiskFailed(Box<str>),
}

/// Where the control thread sends what is to be done.
#[derive(Debug)]
pub struct Outlets {
    /// Calls to upstreams and other hosts.
    pub calls: CallPool,
    /// Messages to other hosts.
    pub links: Links,
    /// Records, where the host has a disk.
    pub disk: Option<Sender<DiskJob>>,
}

/// The control thread's state.
#[derive(Debug)]
pub struct Control {
    core: Core,
    clock: Clock,
    inputs: Receiver<Input>,
    outlets: Outlets,
    exchanges: BTreeMap<RequestTag, Arc<Exchange>>,
    sweep_at: Millis,
    ended: bool,
}

impl Control {
    /// Makes the control thread's state.
    #[must_use]
    pub fn new(core: Core, clock: Clock, inputs: Receiver<Input>, outlets: Outlets) -> Self {
        Self {
            core,
            clock,
            inputs,
            outlets,
            exchanges: BTreeMap::new(),
            sweep_at: Millis(0),
            ended: false,
        }
    }

    /// Runs until the core says that nothing is held any more.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk failed.
    pub fn run(mut self) -> anyhow::Result<()> {
        while !self.ended {
            match self.inputs.recv_timeout(self.wait()) {
                Ok(Input::Event(event)) => self.feed(event),
                Ok(Input::Open(arrival, exchange)) => self.open(arrival, exchange),
                Ok(Input::DiskFailed(detail)) => anyhow::bail!("the disk failed: {detail}"),
                Err(RecvTimeoutError::Timeout) => self.feed(Event::Tick),
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.sweep();
        }
        self.close();
        Ok(())
    }

    /// Closes what the control thread sends to.
    fn close(self) {
        self.outlets.links.close();
        self.outlets.calls.close();
    }

    fn wait(&self) -> Duration {
        self.clock.time_until(self.core.next_deadline()).min(LONGEST_WAIT)
    }

    fn feed(&mut self, event: Event) {
        if let Event::Ended { attempt, .. } = &event {
            self.outlets.calls.remove(*attempt);
        }
        let actions = self.core.handle(self.clock.now(), event);
        self.perform_all(actions);
    }

    /// Carries actions out, in order.
    pub fn perform_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn open(&mut self, arrival: Arrival, exchange: Arc<Exchange>) {
        self.exchanges.insert(exchange.tag, exchange);
        self.feed(Event::Arrived(arrival));
    }

    /// Tells the core of callers that have gone.
    fn sweep(&mut self) {
        let now = self.clock.now().mono;
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP_EVERY;
        let gone = self.exchanges.values().filter(|exchange| exchange.is_gone());
        let tags: Vec<RequestTag> = gone.map(|exchange| exchange.tag).collect();
        for tag in tags {
            self.exchanges.remove(&tag);
            self.feed(Event::CallerGone { tag });
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(dispatch),
            Action::Cancel { attempt } => self.outlets.calls.cancel(attempt),
            Action::Finish { tag, .. } => {
                self.exchanges.remove(&tag);
            }
            Action::Answer { tag, answer } => self.answer(tag, answer),
            Action::Send { to, envelope } => self.outlets.links.send(to, envelope),
            Action::Persist { token, records } => {
                let Some(disk) = &self.outlets.disk else { return };
                let _ = disk.send(DiskJob { token, records });
            }
            Action::Order { order, address, task, fence, valid_until, timeout } => {
                let clock = self.clock;
                let job = OrderJob { order, address, task, fence, clock, valid_until, timeout };
                self.outlets.calls.send_order(job);
            }
            Action::Note(event) => note(&event),
            Action::Exit => self.ended = true,
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let exchange = match &dispatch.source {
            Source::Exchange { tag } => self.exchanges.get(tag).cloned(),
            Source::Sample { .. } => None,
        };
        if let Some(exchange) = &exchange {
            exchange.set_writer(dispatch.attempt);
        }
        self.outlets.calls.submit(CallJob { dispatch, exchange });
    }

    fn answer(&mut self, tag: RequestTag, answer: Answer) {
        let Some(exchange) = self.exchanges.remove(&tag) else { return };
        exchange.answer(encode_answer(&exchange.inbound, answer));
    }
}

impl Input {
    /// Makes the input for a call that can't be taken because too many events wait.
    #[must_use]
    pub fn queue_full() -> Problem {
        Problem::not_run(ErrorKind::Overloaded, "the host has too many events waiting")
            .retry_after(Millis(1_000))
    }
}

fn note(event: &TimelineEvent) {
    let level = match event.kind {
        EventKind::Arrived
        | EventKind::Dispatched
        | EventKind::Answered
        | EventKind::CallerGone
        | EventKind::SampleReady => log::Level::Debug,
        _ => log::Level::Info,
    };
    write_event(level, event);
}

/// Writes an event of the time line to the log, as important as a level says.
pub(crate) fn write_event(level: log::Level, event: &TimelineEvent) {
    log::log!(
        level,
        event:? = event.kind,
        subject = &*event.subject,
        host = event.host.0,
        stamp_ms = event.stamp.wall.0,
        stamp_count = event.stamp.count;
        "{}", event.detail
    );
}
