//! The control thread: owns the gateway, feeds it events and carries its actions out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutdrift_core::gateway::{Action, Answer, Event, Forward, Gateway, IncomingCall};
use chestnutdrift_core::{ErrorKind, Millis, Problem, RequestTag};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

use super::front::FrontState;
use super::items::ItemRuns;
use super::orders::Orders;
use super::pool::Pool;
use crate::clock::Clock;
use crate::control::write_event;
use crate::disk::DiskJob;
use crate::link::Links;

/// Events that may wait for the control thread.
pub const EVENTS_WAITING: usize = 8_192;

/// Directives that may wait for an exchange: an answer behind an attempt that it replaces.
pub const DIRECTIVES_WAITING: usize = 8;

/// The longest wait for an event.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// The shortest wait, so that deadlines close to each other are met together.
const SHORTEST_WAIT: Duration = Duration::from_millis(2);

/// The time between two sweeps of idle connections.
const SWEEP_EVERY: Millis = Millis(1_000);

/// What the control thread is told.
#[derive(Debug)]
pub enum Input {
    /// An event for the gateway.
    Event(Event),
    /// A call from outside, with the way directives go back.
    Open(IncomingCall, mpsc::Sender<Directive>),
    /// The disk failed: nothing more can be promised.
    DiskFailed(Box<str>),
}

/// What an exchange is told.
#[derive(Debug)]
pub enum Directive {
    /// Send the request to an upstream, in place of any attempt before.
    Forward(Forward),
    /// Give the caller the failure that is held.
    Deliver,
    /// Decode the body as a batch job.
    ReadJob,
    /// Answer.
    Answer(Answer),
}

/// Where the control thread sends what is to be done.
#[derive(Debug)]
pub struct Outlets {
    /// The runtime of the traffic thread.
    pub runtime: Arc<Runtime>,
    /// What the listeners share.
    pub front: Arc<FrontState>,
    /// Messages to other hosts.
    pub links: Links,
    /// Records, where the host has a disk.
    pub disk: Option<Sender<DiskJob>>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Runs of items.
    pub items: ItemRuns,
    /// Orders to upstreams.
    pub orders: Orders,
}

/// The control thread's state.
#[derive(Debug)]
pub struct GatewayControl {
    gateway: Gateway,
    clock: Clock,
    inputs: Receiver<Input>,
    outlets: Outlets,
    exchanges: BTreeMap<RequestTag, mpsc::Sender<Directive>>,
    routing: u64,
    sweep_at: Millis,
    ended: bool,
}

impl GatewayControl {
    /// Makes the control thread's state.
    #[must_use]
    pub fn new(gateway: Gateway, clock: Clock, inputs: Receiver<Input>, outlets: Outlets) -> Self {
        Self {
            gateway,
            clock,
            inputs,
            outlets,
            exchanges: BTreeMap::new(),
            routing: 0,
            sweep_at: Millis(0),
            ended: false,
        }
    }

    /// Runs until the gateway says that nothing is held any more.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk failed.
    pub fn run(mut self) -> anyhow::Result<()> {
        while !self.ended {
            match self.inputs.recv_timeout(self.wait()) {
                Ok(Input::Event(event)) => self.feed(&event),
                Ok(Input::Open(opened, directives)) => {
                    self.exchanges.insert(opened.tag, directives);
                    self.feed(&Event::Opened(opened));
                }
                Ok(Input::DiskFailed(detail)) => anyhow::bail!("the disk failed: {detail}"),
                Err(RecvTimeoutError::Timeout) => self.feed(&Event::Tick),
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        self.outlets.links.close();
        Ok(())
    }

    fn wait(&self) -> Duration {
        let wait = self.clock.time_until(self.gateway.next_deadline());
        wait.clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }

    fn feed(&mut self, event: &Event) {
        if let Event::CallerGone { tag } = event {
            self.exchanges.remove(tag);
        }
        let now = self.clock.now();
        let actions = self.gateway.handle(now, event);
        self.perform_all(actions);
        self.show_routing();
        if now.mono >= self.sweep_at {
            self.sweep_at = now.mono + SWEEP_EVERY;
            self.outlets.pool.sweep();
        }
    }

    /// Carries actions out, in order.
    pub fn perform_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Forward(forward) => {
                let tag = forward.tag;
                self.direct(tag, Directive::Forward(forward), false);
            }
            Action::Deliver { tag } => self.direct(tag, Directive::Deliver, true),
            Action::ReadJob { tag } => self.direct(tag, Directive::ReadJob, false),
            Action::Answer { tag, answer } => {
                self.direct(tag, Directive::Answer(answer), true);
            }
            Action::RunItem(run) => {
                self.outlets.runtime.spawn(self.outlets.items.clone().run(run));
            }
            Action::Cancel { attempt } => self.outlets.items.cancel(attempt),
            Action::Order(order) => {
                self.outlets.runtime.spawn(self.outlets.orders.clone().give(order));
            }
            Action::Send { to, envelope } => self.outlets.links.send(to, envelope),
            Action::Persist { token, records } => {
                let Some(disk) = &self.outlets.disk else { return };
                if disk.send(DiskJob { token, records }).is_err() {
                    log::error!(event = "disk-gone"; "the disk thread has ended");
                }
            }
            Action::Note(event) => write_event(log::Level::Info, &event),
            Action::Drain => self.outlets.front.drain(),
            Action::CloseIdle => self.outlets.front.close_idle(),
            Action::Exit => self.ended = true,
        }
    }

    fn direct(&mut self, tag: RequestTag, directive: Directive, last: bool) {
        let Some(exchange) = self.exchanges.get(&tag) else { return };
        if let Err(error) = exchange.try_send(directive) {
            log::debug!(event = "directive-dropped"; "the caller has gone: {error}");
        }
        if last {
            self.exchanges.remove(&tag);
        }
    }

    /// Lets the listeners know the bounds of the routing configuration in force.
    fn show_routing(&mut self) {
        let Some(routing) = &self.gateway.board().routing else { return };
        if routing.version == self.routing {
            return;
        }
        self.routing = routing.version;
        self.outlets.front.set_limits(routing.limits);
    }
}

impl Input {
    /// Makes the problem of a call that can't be taken because too many events wait.
    #[must_use]
    pub fn queue_full() -> Problem {
        Problem::not_run(ErrorKind::Overloaded, "the host has too many events waiting")
            .retry_after(Millis(1_000))
    }
}
