//! Orders and cancellations to engines, sent by other threads than those that run attempts.

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

/// The number of threads that send orders and wait for the engines to load.
const ORDER_THREADS: usize = 8;

/// The number of threads that send cancellations.
const CANCEL_THREADS: usize = 2;

/// The most jobs that may wait in each queue.
const MAX_QUEUED_JOBS: usize = 1_024;

/// How long an engine may take to answer a state query or a cancellation.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// An order to an engine.
#[derive(Debug, Clone)]
pub struct OrderJob {
    /// The key of the order.
    pub order: OrderKey,
    /// The engine's address.
    pub address: Box<str>,
    /// What the engine is ordered to do.
    pub task: OrderTask,
    /// The fencing token.
    pub fence: u64,
    /// The clock by which `valid_until` is measured.
    pub clock: Clock,
    /// When the lease ends under which the order was issued; it is not sent after that.
    pub valid_until: Millis,
    /// How long to wait for the engine to finish.
    pub timeout: Millis,
}

#[derive(Debug)]
struct CancelJob {
    address: Box<str>,
    id: Box<str>,
}

/// The threads that send orders and cancellations to engines.
#[derive(Debug)]
pub struct EngineCommandPool {
    orders: Sender<OrderJob>,
    cancels: Sender<CancelJob>,
    threads: Vec<JoinHandle<()>>,
}

impl EngineCommandPool {
    /// Starts the threads.
    #[must_use]
    pub fn start(clients: &HttpClients, inputs: &Sender<Input>) -> Self {
        let (orders, order_jobs) = channel::bounded(MAX_QUEUED_JOBS);
        let (cancels, cancel_jobs) = channel::bounded(MAX_QUEUED_JOBS);
        let mut threads = Vec::new();
        for _ in 0..ORDER_THREADS {
            let (clients, jobs, inputs) = (clients.clone(), order_jobs.clone(), inputs.clone());
            threads.push(std::thread::spawn(move || run_orders(&clients, &jobs, &inputs)));
        }
        for _ in 0..CANCEL_THREADS {
            let (clients, jobs) = (clients.clone(), cancel_jobs.clone());
            threads.push(std::thread::spawn(move || run_cancels(&clients, &jobs)));
        }
        Self { orders, cancels, threads }
    }

    /// Queues an order; if the queue is full it is dropped, and the core sends it again.
    pub fn send_order(&self, job: OrderJob) {
        let _ = self.orders.try_send(job);
    }

    /// Queues the cancellation of a request at an engine; it is dropped if the queue is full.
    pub fn cancel(&self, address: Box<str>, id: Box<str>) {
        let _ = self.cancels.try_send(CancelJob { address, id });
    }

    /// Ends idle threads; busy ones end after their call.
    pub fn close(self) {
        drop((self.orders, self.cancels, self.threads));
    }
}

fn run_orders(clients: &HttpClients, jobs: &Receiver<OrderJob>, inputs: &Sender<Input>) {
    for job in jobs {
        let obeyed = send(clients, &job);
        let version = fetch_version(clients, &job.address);
        let event = Event::OrderEnded { order: job.order, obeyed, version };
        if inputs.send(Input::Event(event)).is_err() {
            return;
        }
    }
}

/// Sends an order while its lease lasts; returns whether the engine carried it out.
fn send(clients: &HttpClients, job: &OrderJob) -> bool {
    if job.clock.time_until(job.valid_until).is_zero() {
        return false;
    }
    let timeout = Duration::from_millis(job.timeout.0.max(1));
    let url = format!("http://{}/load", job.address);
    let body = LoadBody::new(&job.task, job.fence);
    let request = clients.unpooled.post(&url).config().timeout_global(Some(timeout)).build();
    request.send_json(body).is_ok_and(|answer| answer.status().is_success())
}

/// Fetches the weight version that an engine runs.
fn fetch_version(clients: &HttpClients, address: &str) -> Option<u64> {
    let url = format!("http://{address}/state");
    let request = clients.unpooled.get(&url).config().timeout_global(Some(REQUEST_TIMEOUT)).build();
    let state: EngineState = request.call().ok()?.body_mut().read_json().ok()?;
    Some(state.version)
}

fn run_cancels(clients: &HttpClients, jobs: &Receiver<CancelJob>) {
    for job in jobs {
        let url = format!("http://{}/cancel", job.address);
        let request = clients.unpooled.post(&url).config().timeout_global(Some(REQUEST_TIMEOUT));
        let _ = request.build().send_json(CancelBody { id: job.id });
    }
}
