//! Measures what the leader of the directory group spends on the items of jobs: in decisions, by
//! kind of event, and in encoding messages to other hosts.
//!
//! `cargo run --release -p chestnutdrift-wire --example leader_cost [SECONDS]`
//!
//! The deployment is the in-memory one of the core's tests, at the size of a large site.

#[path = "../../core/tests/it"]
mod simulation {
    #[allow(dead_code)]
    pub(crate) mod deployment;
}

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::{Call, Event, GatewayMessage, JobCaller};
use chestnutdrift_core::message::Message;
use chestnutdrift_wire::frame::Encoder;

use crate::simulation::deployment::{Deployment, SimEngine, job};

const STORES: u32 = 11;
const ENTRIES: u32 = 55;
const ENGINES: u32 = 48;

/// Items of the jobs that are submitted together, one job for each trainer.
const JOB_ITEMS: [u32; 3] = [192, 176, 192];

/// The time between two steps of a trainer, in milliseconds.
const STEP_INTERVAL_MS: u64 = 4_000;

/// The interval at which a trainer reads results, in milliseconds.
const READ_INTERVAL_MS: u64 = 500;

#[derive(Default)]
struct Cost {
    count: u64,
    bytes: u64,
    time: Duration,
}

impl Cost {
    fn add(&mut self, time: Duration, bytes: usize) {
        self.count += 1;
        self.bytes += bytes as u64;
        self.time += time;
    }
}

type Costs = BTreeMap<(HostId, &'static str), Cost>;

fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::Tick => "handle tick",
        Event::Received(envelope) => match &envelope.message {
            Message::Group(_) => "handle group message",
            Message::Gateway(message) => match **message {
                GatewayMessage::Hello(_) => "handle hello",
                GatewayMessage::View(_) => "handle view",
                _ => "handle store request",
            },
            _ => "handle other message",
        },
        Event::Opened(_) => "handle call",
        Event::ItemEnded { .. } => "handle item ended",
        Event::ItemProgress(_) => "handle item progress",
        Event::Synced(_) => "handle synced",
        _ => "handle other event",
    }
}

fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::Group(_) => "encode group message",
        Message::Gateway(message) => match **message {
            GatewayMessage::Hello(_) => "encode hello",
            GatewayMessage::View(_) => "encode view",
            _ => "encode store message",
        },
        _ => "encode other message",
    }
}

fn main() {
    let seconds: u64 = std::env::args().nth(1).map_or(12, |arg| arg.parse().expect("seconds"));
    let mut deployment = Deployment::new(1, STORES, ENTRIES);
    deployment.event_padding_bytes = 400;
    deployment.events_per_item = Some(21);
    deployment.engine_slots = 8;
    deployment.event_interval_ms = 60;
    for number in 1..=ENGINES {
        deployment.add_engine(SimEngine::new(number));
    }
    let leader = deployment.start_serving();

    let costs: Rc<RefCell<Costs>> = Rc::default();
    let (on_event, on_send) = (Rc::clone(&costs), Rc::clone(&costs));
    deployment.on_event = Some(Box::new(move |host, event, time| {
        on_event.borrow_mut().entry((host, event_kind(event))).or_default().add(time, 0);
    }));
    let mut encoders: BTreeMap<HostId, Encoder> = BTreeMap::new();
    deployment.on_send = Some(Box::new(move |host, envelope| {
        let encoder = encoders.entry(host).or_default();
        let start = Instant::now();
        let bytes = encoder.encode(envelope).expect("an encoded message");
        let kind = message_kind(&envelope.message);
        on_send.borrow_mut().entry((host, kind)).or_default().add(start.elapsed(), bytes.len());
    }));
    let (mut step, mut items) = (0, 0);
    for at in (0..seconds * 1_000).step_by(usize::try_from(READ_INTERVAL_MS).expect("a step")) {
        if at % STEP_INTERVAL_MS == 0 {
            step += 1;
            for (trainer, count) in JOB_ITEMS.iter().enumerate() {
                let body = job(&format!("job-{trainer}-{step}"), *count, 1);
                deployment.submit(HostId(101 + step * 7 % ENTRIES), body);
                items += u64::from(*count);
            }
        }
        for trainer in 0..JOB_ITEMS.len() {
            let job = format!("job-{trainer}-{step}");
            deployment.send_call(
                HostId(101 + (step * 5) % ENTRIES),
                Call::Results {
                    job: job.into(),
                    after: 0,
                    wait: chestnutdrift_core::Millis(0),
                    caller: JobCaller::default(),
                },
            );
        }
        deployment.run(READ_INTERVAL_MS);
    }
    let completed: usize =
        deployment.engines.iter().map(|engine| engine.completed_runs.len()).sum();
    println!("{completed} of {items} items completed in {seconds} s; leader {}", leader.0);
    print_costs(&costs.borrow(), leader, seconds, completed);
}

fn print_costs(costs: &Costs, leader: HostId, seconds: u64, completed: usize) {
    println!(
        "{:<24} {:>8} {:>9} {:>9} {:>10}",
        "leader", "a second", "us each", "KB/s", "core share"
    );
    let mut total = Duration::ZERO;
    for ((host, kind), cost) in costs {
        if *host != leader {
            continue;
        }
        total += cost.time;
        print_row(kind, cost, seconds);
    }
    let per_item = total.as_secs_f64() * 1e3 / f64::from(u32::try_from(completed).expect("items"));
    println!("leader: {:.4} cores, {per_item:.3} core-ms an item", share(total, seconds));
    let others: Duration = costs
        .iter()
        .filter(|((host, _), _)| *host != leader && host.0 <= STORES)
        .map(|(_, c)| c.time)
        .sum();
    println!("another store, mean: {:.4} cores", share(others, seconds) / f64::from(STORES - 1));
}

fn print_row(kind: &str, cost: &Cost, seconds: u64) {
    let seconds_f = seconds as f64;
    println!(
        "{kind:<24} {:>8.0} {:>9.1} {:>9.1} {:>10.4}",
        cost.count as f64 / seconds_f,
        cost.time.as_secs_f64() * 1e6 / cost.count as f64,
        cost.bytes as f64 / 1024.0 / seconds_f,
        share(cost.time, seconds),
    );
}

fn share(time: Duration, seconds: u64) -> f64 {
    time.as_secs_f64() / seconds as f64
}
