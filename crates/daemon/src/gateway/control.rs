//! The control thread of a gateway: owns the gateway, passes events to it and executes its actions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use chestnutdrift_core::gateway::{Action, Answer, Event, Forward, Gateway};
use chestnutdrift_core::{Millis, RequestTag};
use crossbeam::channel::{Receiver, RecvTimeoutError};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

use super::input::{Input, QueuedInput};
use super::items::ItemRuns;
use super::load::LoadMeter;
use super::orders::OrderSender;
use super::pool::Pool;
use super::provider::ProviderClient;
use super::rewards::RewardCalls;
use super::server::ServerState;
use crate::clock::Clock;
use crate::control::write_event;
use crate::disk::{DiskJob, DiskQueue};
use crate::link::Links;
use crate::memory::{HOLDERS, MemoryUse};

/// The capacity of an exchange's queue of directives; an answer may be queued behind the attempt
/// that it replaces.
pub const MAX_QUEUED_DIRECTIVES: usize = 8;

/// The longest wait for an input; the gateway gets a tick after it.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The shortest wait for an input, so that deadlines close to each other share one tick.
const MIN_WAIT: Duration = Duration::from_millis(2);

/// The interval between sweeps of idle upstream connections.
const SWEEP_INTERVAL: Millis = Millis(1_000);

/// An instruction from the control thread to an exchange.
#[derive(Debug)]
pub enum Directive {
    /// Send the request to an upstream, in place of the attempt before.
    Forward(Forward),
    /// Return the held failure response to the caller.
    Deliver,
    /// Decode the body as a batch job.
    ReadJob,
    /// Return this answer to the caller.
    Answer(Answer),
}

/// The destinations of the control thread's actions.
#[derive(Debug)]
pub struct Outputs {
    /// The runtime of the traffic thread.
    pub runtime: Arc<Runtime>,
    /// The state that the listeners share.
    pub server: Arc<ServerState>,
    /// Messages to other hosts.
    pub links: Links,
    /// The queue of the disk thread, where the host has a disk.
    pub disk: Option<DiskQueue>,
    /// The connections to upstreams.
    pub pool: Pool,
    /// The runs of batch items.
    pub items: ItemRuns,
    /// The reward calls.
    pub rewards: RewardCalls,
    /// The sender of orders to upstreams.
    pub orders: OrderSender,
    /// The client of the infrastructure provider.
    pub provider: ProviderClient,
}

/// The control thread's state.
#[derive(Debug)]
pub struct GatewayControl {
    gateway: Gateway,
    clock: Clock,
    inputs: Receiver<QueuedInput>,
    outputs: Outputs,
    exchanges: BTreeMap<RequestTag, mpsc::Sender<Directive>>,
    routing_version: u64,
    next_sweep: Millis,
    load: LoadMeter,
    /// Once the gateway has no work left: how long the answers that are being streamed may take.
    stream_timeout: Option<Millis>,
}

impl GatewayControl {
    /// Creates the control thread's state with no open exchange.
    #[must_use]
    pub fn new(
        gateway: Gateway,
        clock: Clock,
        inputs: Receiver<QueuedInput>,
        outputs: Outputs,
    ) -> Self {
        let load = LoadMeter::default().memory_limit(gateway.board().cfg.memory_limit);
        Self {
            gateway,
            clock,
            inputs,
            outputs,
            exchanges: BTreeMap::new(),
            routing_version: 0,
            next_sweep: Millis(0),
            load,
            stream_timeout: None,
        }
    }

    /// Runs until the gateway reports that it has no work left, and returns how long the answers
    /// that are being streamed may still take.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk fails.
    pub fn run(mut self) -> anyhow::Result<Millis> {
        while self.stream_timeout.is_none() {
            let received = self.inputs.recv_timeout(self.wait());
            let started = Instant::now();
            match received {
                Ok(queued) => {
                    self.load.record_wait(started.saturating_duration_since(queued.queued_at));
                    self.handle_input(queued.input)?;
                }
                Err(RecvTimeoutError::Timeout) => self.handle_event(&Event::Tick),
                Err(RecvTimeoutError::Disconnected) => break,
            }
            let Self { load, gateway, inputs, outputs, .. } = &mut self;
            load.record_handled(started.elapsed());
            let queued_bytes = outputs.links.queued_bytes() as u64;
            HOLDERS.link_queue_bytes.store(queued_bytes, Ordering::Relaxed);
            let input_bytes = outputs.orders.inputs.queued_bytes() as u64;
            HOLDERS.input_queue_bytes.store(input_bytes, Ordering::Relaxed);
            let memory = load.report(gateway.board(), inputs.len(), &outputs.runtime);
            if let Some(MemoryUse { allocated, .. }) = memory {
                self.handle_event(&Event::MemoryMeasured { allocated });
            }
        }
        self.outputs.links.close();
        Ok(self.stream_timeout.unwrap_or_default())
    }

    fn handle_input(&mut self, input: Input) -> anyhow::Result<()> {
        match input {
            Input::Event(event) => self.handle_event(&event),
            Input::Open(call, directives) => {
                self.exchanges.insert(call.tag, directives);
                self.handle_event(&Event::Opened(call));
            }
            Input::DiskFailed(detail) => anyhow::bail!("the disk failed: {detail}"),
        }
        Ok(())
    }

    fn wait(&self) -> Duration {
        let wait = self.clock.time_until(self.gateway.next_deadline());
        wait.clamp(MIN_WAIT, MAX_WAIT)
    }

    fn handle_event(&mut self, event: &Event) {
        if let Event::CallerGone { tag } = event {
            self.exchanges.remove(tag);
        }
        let now = self.clock.now();
        let actions = self.gateway.handle(now, event);
        self.execute_all(actions);
        self.update_request_limits();
        if now.mono >= self.next_sweep {
            self.next_sweep = now.mono + SWEEP_INTERVAL;
            self.outputs.pool.sweep();
        }
    }

    /// Executes actions, in order.
    pub fn execute_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Forward(forward) => {
                let tag = forward.tag;
                self.send_directive(tag, Directive::Forward(forward), false);
            }
            Action::Deliver { tag } => self.send_directive(tag, Directive::Deliver, true),
            Action::ReadJob { tag } => self.send_directive(tag, Directive::ReadJob, false),
            Action::Answer { tag, answer } => {
                self.send_directive(tag, Directive::Answer(answer), true);
            }
            Action::RunItem(run) => {
                self.outputs.runtime.spawn(self.outputs.items.clone().run(run));
            }
            Action::RequestReward(request) => {
                self.outputs.runtime.spawn(self.outputs.rewards.clone().run(request));
            }
            Action::Cancel { attempt } => {
                self.outputs.items.cancel(attempt);
                self.outputs.rewards.cancel(attempt);
            }
            Action::Order(order) => {
                self.outputs.runtime.spawn(self.outputs.orders.clone().run(order));
            }
            Action::CallProvider(call) => {
                self.outputs.runtime.spawn(self.outputs.provider.clone().run(call));
            }
            Action::Probe { upstream, connect } => {
                let pool = self.outputs.pool.clone();
                self.outputs.runtime.spawn(async move {
                    pool.probe(&upstream, Duration::from_millis(connect.0)).await;
                });
            }
            Action::CloseUpstream { upstream } => self.outputs.pool.close_upstream(&upstream),
            Action::Send { to, envelope } => self.outputs.links.send(to, envelope),
            Action::Persist { token, records, facts } => {
                let Some(disk) = &self.outputs.disk else { return };
                if disk.send(DiskJob::new(token, records).facts(facts)).is_err() {
                    log::error!(event = "disk-gone"; "the disk thread has ended");
                }
            }
            Action::Note(event) => write_event(log::Level::Info, &event),
            Action::Drain => self.outputs.server.drain(),
            Action::CloseIdle => self.outputs.server.close_idle(),
            Action::Exit { stream_timeout } => self.stream_timeout = Some(stream_timeout),
        }
    }

    fn send_directive(&mut self, tag: RequestTag, directive: Directive, last: bool) {
        let Some(exchange) = self.exchanges.get(&tag) else { return };
        if let Err(error) = exchange.try_send(directive) {
            log::debug!(event = "directive-dropped"; "the caller has disconnected: {error}");
        }
        if last {
            self.exchanges.remove(&tag);
        }
    }

    /// Passes the request limits of the active routing configuration on to the listeners.
    fn update_request_limits(&mut self) {
        let Some(routing) = &self.gateway.board().routing else { return };
        if routing.version == self.routing_version {
            return;
        }
        self.routing_version = routing.version;
        self.outputs.server.set_limits(routing.limits);
    }
}
