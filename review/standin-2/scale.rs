//! Empty engines are added while a trainer goes on; items of its last step are left lying.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, Log};
use crate::trainer::{Job, config};
use crate::worker::{MODEL, WeightStore, Worker, announce};

/// The engines at first, and those that are added each time: 0.3 of them.
const ENGINES: usize = 12;
const ADDED: [usize; 2] = [4, 5];
const SLOTS: u64 = 12;

/// When engines are added, after the first step.
const ADDED_AT: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(8)];

/// The time between steps, how long the trainer waits for one, and how long it trains.
const CADENCE: Duration = Duration::from_secs(4);
const GIVE_UP: Duration = Duration::from_secs(12);
const TRAINING: Duration = Duration::from_secs(1);

/// How long the trainer asks for steps.
const TRAFFIC: Duration = Duration::from_secs(27);

const GROUPS: usize = 50;
const GROUP_SIZE: usize = 4;
const TARGET: usize = 45;

/// How long an item may be at no worker, and how long before that no version may have been named.
const LYING: Duration = Duration::from_secs(5);
const AFTER_VERSION: Duration = Duration::from_secs(6);

/// A step that ran out of time.
struct Overdue {
    items: Vec<String>,
    listed: String,
    asked: Duration,
    ended: Duration,
}

#[derive(Default)]
struct Trainer {
    named: u64,
    named_at: Vec<Duration>,
    overdue: Vec<Overdue>,
    done: usize,
}

pub fn play(log: &Log, temp: &Path, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(log.clone(), temp, 3, 3);
    deployment.start_all();
    let weights = WeightStore::open();
    let controls: Vec<_> =
        deployment.names("store").iter().map(|name| deployment.control(name)).collect();
    let doors: Vec<_> =
        deployment.names("entry").iter().map(|name| deployment.front(name)).collect();
    let zones = ["zone-a", "zone-b", "zone-c"];
    let engine = |number: usize| {
        let id = format!("i-engine{number}");
        let worker = Worker::start(log, &weights, &id, "engines", zones[number % 3], SLOTS as u32);
        let mut pace = worker.pace.lock().expect("pace");
        (pace.events, pace.step) = (27, Duration::from_millis(60));
        drop(pace);
        worker
    };
    let mut engines: Vec<_> = (0..ENGINES).map(engine).collect();
    let desk = Worker::start(log, &weights, "i-desk0", "desk", "zone-a", 6);
    let second = Duration::from_secs(1);
    if !deployment.operator_call("PUT", "/api/config", &config(5), 20 * second) {
        return Verdict::CouldNotRun;
    }
    announce(&engines, controls.clone());
    announce(&[desk], controls.clone());
    if !deployment.wait_ready(20 * second) {
        return Verdict::CouldNotRun;
    }
    sleep(3 * second);
    let trainer = Arc::new(Mutex::new(Trainer { named: 1, ..Trainer::default() }));
    let (start, began) = (Instant::now(), log.now());
    let mut steps = Vec::new();
    let (mut step, mut additions, mut busiest) = (0, 0, Vec::new());
    while start.elapsed() < TRAFFIC {
        if trouble && additions < ADDED.len() && start.elapsed() >= ADDED_AT[additions] {
            let from = engines.len();
            let added: Vec<_> = (from..from + ADDED[additions]).map(engine).collect();
            log.note(format!("{} engines are added", added.len()));
            announce(&added, controls.clone());
            engines.extend(added);
            additions += 1;
        }
        if step == 1 && start.elapsed() >= CADENCE && trainer.lock().expect("trainer").named == 1 {
            name(&deployment, &trainer, 2, log);
        }
        let named = trainer.lock().expect("trainer").named;
        if named > step && start.elapsed() >= CADENCE * step as u32 {
            let job = job(step);
            let (log, doors, trainer) = (log.clone(), doors.clone(), Arc::clone(&trainer));
            steps.push(std::thread::spawn(move || run_step(&log, &doors, &trainer, job)));
            step += 1;
        }
        // A finished step lets the trainer name the next version.
        let done = trainer.lock().expect("trainer").done as u64;
        if done + 2 > named && named >= 2 && start.elapsed() < TRAFFIC {
            name(&deployment, &trainer, named + 1, log);
        }
        busiest.push((log.now(), engines.iter().map(|engine| engine.running()).sum::<u64>()));
        sleep(Duration::from_millis(20));
    }
    log.note("the trainer asks for no more steps");
    while steps.iter().any(|step| !step.is_finished()) {
        busiest.push((log.now(), engines.iter().map(|engine| engine.running()).sum::<u64>()));
        sleep(Duration::from_millis(20));
    }
    let trainer = trainer.lock().expect("trainer");
    log.note(format!("{step} steps asked, {} ran out of time", trainer.overdue.len()));
    let mut broken = false;
    let places = engines.len() as u64 * SLOTS;
    for overdue in &trainer.overdue {
        broken |= is_left_lying(log, &engines, &trainer, overdue, &busiest, places, began);
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}

fn name(deployment: &Deployment, trainer: &Mutex<Trainer>, version: u64, log: &Log) {
    let body = format!(r#"{{"model":"{MODEL}","version":{version}}}"#);
    if deployment.operator_call("POST", "/api/version-put", &body, Duration::from_secs(5)) {
        let mut trainer = trainer.lock().expect("trainer");
        trainer.named = version;
        trainer.named_at.push(log.now());
    }
}

fn job(step: u64) -> Job {
    let item =
        |item: usize| (format!("a{step:02x}{item:04x}"), format!("g{step}-{}", item / GROUP_SIZE));
    Job {
        id: format!("a{step:02x}c0ffee"),
        step,
        min_version: step.max(1),
        target_groups: TARGET,
        items: (0..GROUPS * GROUP_SIZE).map(item).collect(),
    }
}

fn run_step(log: &Log, doors: &[SocketAddr], trainer: &Mutex<Trainer>, job: Job) {
    let asked = log.now();
    let accepted = job.submit(log, doors, GIVE_UP);
    let mut listed = String::new();
    let is_done = |listed: &str| {
        let has = |id: &String| listed.contains(&format!("\"{id}\""));
        let whole =
            job.items.chunks(GROUP_SIZE).filter(|group| group.iter().all(|(id, _)| has(id)));
        whole.count() >= TARGET
    };
    while accepted && log.now() < asked + GIVE_UP && !is_done(&listed) {
        sleep(Duration::from_millis(500));
        listed = job.read(doors[job.step as usize % doors.len()]).unwrap_or(listed);
    }
    let ended = log.now();
    let in_time = is_done(&listed);
    let count = listed.matches("\"state\"").count();
    log.note(format!("step {}: {count} items listed, in time: {in_time}", job.step));
    job.end(log, doors);
    sleep(TRAINING);
    let mut trainer = trainer.lock().expect("trainer");
    trainer.done += 1;
    if !in_time {
        let items = job.items.into_iter().map(|(id, _)| id).collect();
        trainer.overdue.push(Overdue { items, listed, asked, ended });
    }
}

/// Returns whether an item of a step that ran out of time was at no worker for 5 s, as the rule says.
fn is_left_lying(
    log: &Log,
    engines: &[Arc<Worker>],
    trainer: &Trainer,
    step: &Overdue,
    running: &[(Duration, u64)],
    places: u64,
    began: Duration,
) -> bool {
    let arrivals: Vec<_> = engines.iter().flat_map(|engine| engine.arrivals()).collect();
    let begun = |id: &str| arrivals.iter().any(|a| a.id == id && a.status == 200);
    if !step.items.iter().any(|id| begun(id)) {
        return false;
    }
    let mut lying = 0;
    for id in step.items.iter().filter(|id| !step.listed.contains(&format!("\"{id}\""))) {
        let mut at: Vec<Duration> = arrivals.iter().filter(|a| a.id == *id).map(|a| a.at).collect();
        at.push(step.asked);
        at.push(step.ended);
        at.sort();
        let is_lying = at.windows(2).any(|gap| {
            let named = trainer.named_at.iter().filter(|named| **named < step.ended).max();
            let from = named.map_or(gap[0], |named| gap[0].max(*named + AFTER_VERSION));
            let is_long = gap[1] >= from + LYING && from > began;
            let mut within = running.iter().filter(|(at, _)| *at >= from && *at <= gap[1]);
            is_long && within.all(|(_, running)| running * 2 < places)
        });
        // An item whose last run goes on is at a worker.
        let runs_on = arrivals.iter().any(|a| a.id == *id && a.status == 200);
        if is_lying && !runs_on {
            lying += 1;
        }
    }
    if lying > 0 {
        log.note(format!(
            "step asked at {:.3} s: {lying} items were at no worker for 5 s, and the workers were under half full",
            step.asked.as_secs_f64()
        ));
    }
    lying > 0
}
