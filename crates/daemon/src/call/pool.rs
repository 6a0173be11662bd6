//! The threads that run attempts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use chestnutdrift_core::action::{Dispatch, Target};
use chestnutdrift_core::event::{AttemptEnd, UpstreamKind};
use chestnutdrift_core::{AttemptKey, Event};
use crossbeam::channel::{self, Receiver, Sender};

use super::engine::engine_request_id;
use super::{Adaptor, CallContext, EngineCommandPool, OrderJob};
use crate::control::Input;
use crate::exchange::Exchange;

/// The stack size of a thread that runs attempts.
const STACK_BYTES: usize = 256 * 1024;

/// How long a thread without work is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// An attempt to run.
#[derive(Debug)]
pub struct CallJob {
    /// The attempt, as the core dispatched it.
    pub dispatch: Dispatch,
    /// The exchange that the attempt answers; `None` for a sample.
    pub exchange: Option<Arc<Exchange>>,
}

/// The adaptors by kind of target.
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
struct QueuedJob {
    job: CallJob,
    cancelled: Arc<AtomicBool>,
}

#[derive(Debug)]
struct Running {
    cancelled: Arc<AtomicBool>,
    /// The address of the engine and the ID of the request there; `None` for other targets.
    engine: Option<(Box<str>, Box<str>)>,
}

/// The control thread's handle to the threads that run attempts.
#[derive(Debug)]
pub struct CallPool {
    jobs: Sender<QueuedJob>,
    queue: Receiver<QueuedJob>,
    shared: Arc<Shared>,
    running: BTreeMap<AttemptKey, Running>,
    commands: EngineCommandPool,
}

impl CallPool {
    /// Creates a pool for at most `max_calls` attempts at a time, a limit that the core keeps to.
    #[must_use]
    pub fn new(
        adaptors: Adaptors,
        commands: EngineCommandPool,
        inputs: Sender<Input>,
        max_calls: u32,
    ) -> Self {
        let (jobs, queue) = channel::bounded(max_calls as usize);
        let shared = Shared { adaptors, inputs, idle: AtomicUsize::new(0) };
        Self { jobs, queue, shared: Arc::new(shared), running: BTreeMap::new(), commands }
    }

    /// Starts an attempt on an idle thread, or on a new one if none is idle.
    pub fn submit(&mut self, job: CallJob) {
        let attempt = job.dispatch.attempt;
        let cancelled = Arc::new(AtomicBool::new(false));
        let engine = engine_request(&job);
        let running = Running { cancelled: Arc::clone(&cancelled), engine };
        self.running.insert(attempt, running);
        if self.shared.idle.load(Ordering::Acquire) <= self.queue.len() {
            self.spawn();
        }
        if self.jobs.try_send(QueuedJob { job, cancelled }).is_err() {
            let detail = "the queue of calls is full".into();
            report_end(&self.shared.inputs, attempt, AttemptEnd::NotSent { detail });
        }
    }

    fn spawn(&self) {
        let (queue, shared) = (self.queue.clone(), Arc::clone(&self.shared));
        let builder = std::thread::Builder::new().name("call".into()).stack_size(STACK_BYTES);
        if let Err(error) = builder.spawn(move || run_worker(&queue, &shared)) {
            log::error!(event = "no-thread"; "can't start a call thread: {error}");
        }
    }

    /// Cancels an attempt, also at the engine if it runs on one.
    pub fn cancel(&mut self, attempt: AttemptKey) {
        let Some(running) = self.running.get(&attempt) else { return };
        running.cancelled.store(true, Ordering::Release);
        if let Some((address, id)) = running.engine.clone() {
            self.commands.cancel(address, id);
        }
    }

    /// Removes an attempt that has ended.
    pub fn remove(&mut self, attempt: AttemptKey) {
        self.running.remove(&attempt);
    }

    /// Sends an order to an engine.
    pub fn send_order(&self, job: OrderJob) {
        self.commands.send_order(job);
    }

    /// Ends idle threads; busy ones end after their call.
    pub fn close(self) {
        self.commands.close();
        drop(self.jobs);
    }
}

/// Returns the address of the engine and the ID of the request there, by which the attempt can be
/// cancelled; `None` if the target is not an engine.
fn engine_request(job: &CallJob) -> Option<(Box<str>, Box<str>)> {
    let Target::Upstream { address, kind: UpstreamKind::Engine } = &job.dispatch.target else {
        return None;
    };
    let id = engine_request_id(job.dispatch.attempt, job.exchange.as_deref());
    Some((address.clone(), id))
}

fn run_worker(queue: &Receiver<QueuedJob>, shared: &Shared) {
    loop {
        shared.idle.fetch_add(1, Ordering::AcqRel);
        let queued = queue.recv_timeout(IDLE_TIMEOUT);
        shared.idle.fetch_sub(1, Ordering::AcqRel);
        let Ok(QueuedJob { job, cancelled }) = queued else { return };
        let attempt = job.dispatch.attempt;
        let end = run_attempt(&job, &cancelled, shared);
        report_end(&shared.inputs, attempt, end);
    }
}

fn run_attempt(job: &CallJob, cancelled: &AtomicBool, shared: &Shared) -> AttemptEnd {
    let (dispatch, exchange) = (&job.dispatch, job.exchange.as_deref());
    let cx = CallContext { dispatch, exchange, cancelled, inputs: &shared.inputs };
    let adaptor = match &dispatch.target {
        Target::Upstream { kind: UpstreamKind::Engine, .. } => &shared.adaptors.engine,
        Target::Upstream { kind: UpstreamKind::Plain, .. } => &shared.adaptors.plain,
        Target::Host { .. } => &shared.adaptors.host,
    };
    adaptor.run(&cx)
}

fn report_end(inputs: &Sender<Input>, attempt: AttemptKey, end: AttemptEnd) {
    let _ = inputs.send(Input::Event(Event::Ended { attempt, end }));
}
