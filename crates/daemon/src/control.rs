//! The control thread: owns the core, passes events to it and executes its actions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutdrift_core::action::{Action, Answer, Dispatch, Source};
use chestnutdrift_core::event::Arrival;
use chestnutdrift_core::timeline::{EventKind, TimelineEvent};
use chestnutdrift_core::{Core, ErrorKind, Event, Millis, Problem, RequestTag};
use crossbeam::channel::{Receiver, RecvTimeoutError};

use crate::call::{CallJob, CallPool, OrderJob};
use crate::clock::Clock;
use crate::disk::{DiskJob, DiskQueue};
use crate::exchange::Exchange;
use crate::http::encode_answer;
use crate::link::Links;

/// The capacity of the control thread's queue of inputs.
pub const MAX_QUEUED_EVENTS: usize = 8_192;

/// The longest wait for an input; the core gets a tick after it.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The interval between checks for callers that have disconnected.
const DISCONNECT_CHECK_INTERVAL: Millis = Millis(250);

/// An input of the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A call from outside, with the exchange that returns its answer.
    Open(Arrival, Arc<Exchange>),
    /// The disk failed, so no record can be made durable any more; the detail says how.
    DiskFailed(Box<str>),
}

/// The destinations of the control thread's actions.
#[derive(Debug)]
pub struct Outputs {
    /// Calls to upstreams and other hosts.
    pub calls: CallPool,
    /// Messages to other hosts.
    pub links: Links,
    /// The queue of the disk thread, where the host has a disk.
    pub disk: Option<DiskQueue>,
}

/// The control thread's state.
#[derive(Debug)]
pub struct Control {
    core: Core,
    clock: Clock,
    inputs: Receiver<Input>,
    outputs: Outputs,
    exchanges: BTreeMap<RequestTag, Arc<Exchange>>,
    next_disconnect_check: Millis,
    ended: bool,
}

impl Control {
    /// Creates the control thread's state with no open exchange.
    #[must_use]
    pub fn new(core: Core, clock: Clock, inputs: Receiver<Input>, outputs: Outputs) -> Self {
        Self {
            core,
            clock,
            inputs,
            outputs,
            exchanges: BTreeMap::new(),
            next_disconnect_check: Millis(0),
            ended: false,
        }
    }

    /// Runs until the core reports that it has no work left.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk fails.
    pub fn run(mut self) -> anyhow::Result<()> {
        while !self.ended {
            match self.inputs.recv_timeout(self.wait()) {
                Ok(Input::Event(event)) => self.handle_event(event),
                Ok(Input::Open(arrival, exchange)) => self.open(arrival, exchange),
                Ok(Input::DiskFailed(detail)) => anyhow::bail!("the disk failed: {detail}"),
                Err(RecvTimeoutError::Timeout) => self.handle_event(Event::Tick),
                Err(RecvTimeoutError::Disconnected) => break,
            }
            self.report_disconnected();
        }
        self.close();
        Ok(())
    }

    /// Closes the links and the pool of calls.
    fn close(self) {
        self.outputs.links.close();
        self.outputs.calls.close();
    }

    fn wait(&self) -> Duration {
        self.clock.time_until(self.core.next_deadline()).min(MAX_WAIT)
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::Ended { attempt, .. } = &event {
            self.outputs.calls.remove(*attempt);
        }
        let actions = self.core.handle(self.clock.now(), event);
        self.execute_all(actions);
    }

    /// Executes actions, in order.
    pub fn execute_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn open(&mut self, arrival: Arrival, exchange: Arc<Exchange>) {
        self.exchanges.insert(exchange.tag, exchange);
        self.handle_event(Event::Arrived(arrival));
    }

    /// Reports to the core which callers have disconnected.
    fn report_disconnected(&mut self) {
        let now = self.clock.now().mono;
        if now < self.next_disconnect_check {
            return;
        }
        self.next_disconnect_check = now + DISCONNECT_CHECK_INTERVAL;
        let disconnected = self.exchanges.values().filter(|exchange| exchange.is_caller_gone());
        let tags: Vec<RequestTag> = disconnected.map(|exchange| exchange.tag).collect();
        for tag in tags {
            self.exchanges.remove(&tag);
            self.handle_event(Event::CallerGone { tag });
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(dispatch),
            Action::Cancel { attempt } => self.outputs.calls.cancel(attempt),
            Action::Finish { tag, .. } => {
                self.exchanges.remove(&tag);
            }
            Action::Answer { tag, answer } => self.answer(tag, answer),
            Action::Send { to, envelope } => self.outputs.links.send(to, envelope),
            Action::Persist { token, records } => {
                let Some(disk) = &self.outputs.disk else { return };
                let _ = disk.send(DiskJob::new(token, records));
            }
            Action::Order { order, address, task, fence, valid_until, timeout } => {
                let clock = self.clock;
                let job = OrderJob { order, address, task, fence, clock, valid_until, timeout };
                self.outputs.calls.send_order(job);
            }
            Action::Note(event) => log_event(&event),
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
        self.outputs.calls.submit(CallJob { dispatch, exchange });
    }

    fn answer(&mut self, tag: RequestTag, answer: Answer) {
        let Some(exchange) = self.exchanges.remove(&tag) else { return };
        exchange.answer(encode_answer(&exchange.inbound, answer));
    }
}

impl Input {
    /// Returns the problem for a call that is rejected because the queue of inputs is full.
    #[must_use]
    pub fn queue_full() -> Problem {
        Problem::not_run(ErrorKind::Overloaded, "the host has too many events waiting")
            .retry_after(Millis(1_000))
    }
}

fn log_event(event: &TimelineEvent) {
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

/// Writes an event of the time line to the log, at a level.
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
