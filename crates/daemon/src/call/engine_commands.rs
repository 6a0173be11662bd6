//! Small calls beside the attempts: orders to engines, and word that an attempt is given up.

use std::thread::JoinHandle;
use std::time::Duration;

use chestnutdrift_core::event::OrderTask;
use chestnutdrift_core::key::OrderKey;
use chestnutdrift_core::{Event, Millis};
use chestnutdrift_wire::api::engine::{CancelBody, EngineState, LoadBody};
use crossbeam::channel::{self, Receiver, Sender};

use super::HttpClients;
use crate::clock::Clock;
use crate::control::Input;

/// Threads that wait for loads.
const LOAD_THREADS: usize = 8;

/// Threads that tell engines of attempts that are given up.
const CANCEL_THREADS: usize = 2;

/// Jobs that may wait.
const JOBS_WAITING: usize = 1_024;

/// How long an engine may take to answer a small question.
const SMALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An order to an engine.
#[derive(Debug, Clone)]
pub struct OrderJob {
    /// The order.
    pub order: OrderKey,
    /// The engine's address.
    pub address: Box<str>,
    /// What it is to do.
    pub task: OrderTask,
    /// The fencing number.
    pub fence: u64,
    /// The clock on which the lease is counted.
    pub clock: Clock,
    /// When the lease ends under which it is given; it is not sent afterwards.
    pub valid_until: Millis,
    /// How long to wait.
    pub timeout: Millis,
}

#[derive(Debug)]
struct CancelJob {
    address: Box<str>,
    id: Box<str>,
}

/// The threads for small calls.
#[derive(Debug)]
pub struct EngineCommandPool {
    loads: Sender<OrderJob>,
    cancels: Sender<CancelJob>,
    threads: Vec<JoinHandle<()>>,
}

impl EngineCommandPool {
    /// Starts the threads.
    #[must_use]
    pub fn start(clients: &HttpClients, inputs: &Sender<Input>) -> Self {
        let (loads, load_jobs) = channel::bounded(JOBS_WAITING);
        let (cancels, cancel_jobs) = channel::bounded(JOBS_WAITING);
        let mut threads = Vec::new();
        for _ in 0..LOAD_THREADS {
            let (clients, jobs, inputs) = (clients.clone(), load_jobs.clone(), inputs.clone());
            threads.push(std::thread::spawn(move || run_loads(&clients, &jobs, &inputs)));
        }
        for _ in 0..CANCEL_THREADS {
            let (clients, jobs) = (clients.clone(), cancel_jobs.clone());
            threads.push(std::thread::spawn(move || run_cancels(&clients, &jobs)));
        }
        Self { loads, cancels, threads }
    }

    /// Gives an order; one that finds no room is lost, and the core gives it again.
    pub fn send_order(&self, job: OrderJob) {
        let _ = self.loads.try_send(job);
    }

    /// Tells an engine that an attempt is given up.
    pub fn cancel(&self, address: Box<str>, id: Box<str>) {
        let _ = self.cancels.try_send(CancelJob { address, id });
    }

    /// Ends the threads that are idle; those in a call end with it.
    pub fn close(self) {
        drop((self.loads, self.cancels, self.threads));
    }
}

fn run_loads(clients: &HttpClients, jobs: &Receiver<OrderJob>, inputs: &Sender<Input>) {
    for job in jobs {
        let obeyed = give(clients, &job);
        let version = read_back(clients, &job.address);
        let event = Event::OrderEnded { order: job.order, obeyed, version };
        if inputs.send(Input::Event(event)).is_err() {
            return;
        }
    }
}

/// Gives an order while its lease lasts, and tells whether the engine obeyed.
fn give(clients: &HttpClients, job: &OrderJob) -> bool {
    if job.clock.time_until(job.valid_until).is_zero() {
        return false;
    }
    let timeout = Duration::from_millis(job.timeout.0.max(1));
    let url = format!("http://{}/load", job.address);
    let body = LoadBody::new(&job.task, job.fence);
    let request = clients.unpooled.post(&url).config().timeout_global(Some(timeout)).build();
    request.send_json(body).is_ok_and(|answer| answer.status().is_success())
}

/// Reads back what an engine runs.
fn read_back(clients: &HttpClients, address: &str) -> Option<u64> {
    let url = format!("http://{address}/state");
    let request = clients.unpooled.get(&url).config().timeout_global(Some(SMALL_TIMEOUT)).build();
    let state: EngineState = request.call().ok()?.body_mut().read_json().ok()?;
    Some(state.version)
}

fn run_cancels(clients: &HttpClients, jobs: &Receiver<CancelJob>) {
    for job in jobs {
        let url = format!("http://{}/cancel", job.address);
        let request = clients.unpooled.post(&url).config().timeout_global(Some(SMALL_TIMEOUT));
        let _ = request.build().send_json(CancelBody { id: job.id });
    }
}
