//! The threads that run attempts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use chestnutdrift_core::action::{Dispatch, Target};
use chestnutdrift_core::event::{AttemptEnd, UpstreamKind};
use chestnutdrift_core::{AttemptKey, Event};
use crossbeam::channel::{self, Receiver, Sender};

use super::engine::attempt_name;
use super::{Adaptor, CallContext, EngineCommandPool, OrderJob};
use crate::control::Input;
use crate::exchange::Exchange;

/// The stack of a thread that runs attempts, in bytes.
const STACK: usize = 256 * 1024;

/// How long a thread without work is kept.
const IDLE: Duration = Duration::from_secs(10);

/// One attempt to be run.
#[derive(Debug)]
pub struct CallJob {
    /// What the core wants.
    pub dispatch: Dispatch,
    /// The exchange that it is for, where it is for one.
    pub exchange: Option<Arc<Exchange>>,
}

/// The protocols of those who are called.
#[derive(Debug)]
pub struct Adaptors {
    /// Model engines.
    pub engine: Box<dyn Adaptor>,
    /// Plain services.
    pub plain: Box<dyn Adaptor>,
    /// Other hosts.
    pub host: Box<dyn Adaptor>,
}

#[derive(Debug)]
struct Shared {
    adaptors: Adaptors,
    inputs: Sender<Input>,
    idle: AtomicUsize,
}

#[derive(Debug)]
struct Started {
    job: CallJob,
    cancelled: Arc<AtomicBool>,
}

#[derive(Debug)]
struct Running {
    cancelled: Arc<AtomicBool>,
    engine: Option<(Box<str>, Box<str>)>,
}

/// The threads that run attempts, as the control thread holds them.
#[derive(Debug)]
pub struct CallPool {
    jobs: Sender<Started>,
    queue: Receiver<Started>,
    shared: Arc<Shared>,
    running: BTreeMap<AttemptKey, Running>,
    commands: EngineCommandPool,
}

impl CallPool {
    /// Makes a pool for at most `calls` attempts at a time, a bound that the core keeps.
    #[must_use]
    pub fn new(
        adaptors: Adaptors,
        commands: EngineCommandPool,
        inputs: Sender<Input>,
        calls: u32,
    ) -> Self {
        let (jobs, queue) = channel::bounded(calls as usize);
        let shared = Shared { adaptors, inputs, idle: AtomicUsize::new(0) };
        Self { jobs, queue, shared: Arc::new(shared), running: BTreeMap::new(), commands }
    }

    /// Starts an attempt.
    pub fn submit(&mut self, job: CallJob) {
        let attempt = job.dispatch.attempt;
        let cancelled = Arc::new(AtomicBool::new(false));
        let engine = engine_name(&job);
        let running = Running { cancelled: Arc::clone(&cancelled), engine };
        self.running.insert(attempt, running);
        if self.shared.idle.load(Ordering::Acquire) <= self.queue.len() {
            self.spawn();
        }
        if self.jobs.try_send(Started { job, cancelled }).is_err() {
            let detail = "the pool of calls is full".into();
            report(&self.shared.inputs, attempt, AttemptEnd::NotSent { detail });
        }
    }

    fn spawn(&self) {
        let (queue, shared) = (self.queue.clone(), Arc::clone(&self.shared));
        let builder = std::thread::Builder::new().name("call".into()).stack_size(STACK);
        if let Err(error) = builder.spawn(move || work(&queue, &shared)) {
            log::error!(event = "no-thread"; "a thread for a call can't be started: {error}");
        }
    }

    /// Gives an attempt up, and tells the engine where it runs on one.
    pub fn cancel(&mut self, attempt: AttemptKey) {
        let Some(running) = self.running.get(&attempt) else { return };
        running.cancelled.store(true, Ordering::Release);
        if let Some((address, id)) = running.engine.clone() {
            self.commands.cancel(address, id);
        }
    }

    /// Forgets an attempt that has ended.
    pub fn remove(&mut self, attempt: AttemptKey) {
        self.running.remove(&attempt);
    }

    /// Gives an order to an engine.
    pub fn send_order(&self, job: OrderJob) {
        self.commands.send_order(job);
    }

    /// Ends the threads that are idle; those in a call end with it.
    pub fn close(self) {
        self.commands.close();
        drop(self.jobs);
    }
}

/// Returns where an engine runs an attempt and by which name, to be able to tell it to stop.
fn engine_name(job: &CallJob) -> Option<(Box<str>, Box<str>)> {
    let Target::Upstream { address, kind: UpstreamKind::Engine } = &job.dispatch.target else {
        return None;
    };
    let name = attempt_name(job.dispatch.attempt, job.exchange.as_deref());
    Some((address.clone(), name))
}

fn work(queue: &Receiver<Started>, shared: &Shared) {
    loop {
        shared.idle.fetch_add(1, Ordering::AcqRel);
        let started = queue.recv_timeout(IDLE);
        shared.idle.fetch_sub(1, Ordering::AcqRel);
        let Ok(Started { job, cancelled }) = started else { return };
        let attempt = job.dispatch.attempt;
        let end = run(&job, &cancelled, shared);
        report(&shared.inputs, attempt, end);
    }
}

fn run(job: &CallJob, cancelled: &AtomicBool, shared: &Shared) -> AttemptEnd {
    let (dispatch, exchange) = (&job.dispatch, job.exchange.as_deref());
    let cx = CallContext { dispatch, exchange, cancelled, inputs: &shared.inputs };
    let adaptor = match &dispatch.target {
        Target::Upstream { kind: UpstreamKind::Engine, .. } => &shared.adaptors.engine,
        Target::Upstream { kind: UpstreamKind::Plain, .. } => &shared.adaptors.plain,
        Target::Host { .. } => &shared.adaptors.host,
    };
    adaptor.run(&cx)
}

fn report(inputs: &Sender<Input>, attempt: AttemptKey, end: AttemptEnd) {
    let _ = inputs.send(Input::Event(Event::Ended { attempt, end }));
}
