//! The leader sends an order into a cut, is killed, starts again and orders anew; the first order
//! arrives after the second one.

use std::path::Path as FilePath;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, Log};
use crate::path::Path;
use crate::trainer::{Job, config};
use crate::worker::{Arrival, MODEL, WeightStore, Worker, announce};

/// How long after the order its sender is killed, and how long after that it starts again.
const KILL_DELAY: Duration = Duration::from_millis(50);
const DOWN: Duration = Duration::from_millis(880);

/// How long after the order the cut heals.
const HEAL_DELAY: Duration = Duration::from_millis(750);

/// Orders that arrive so soon after a cut has healed don't count.
const THAW: Duration = Duration::from_millis(300);

pub fn play(log: &Log, temp: &FilePath, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(log.clone(), temp, 3, 3);
    deployment.start_all();
    let weights = WeightStore::open();
    let stores = deployment.names("store");
    let controls: Vec<_> = stores.iter().map(|name| deployment.control(name)).collect();
    let doors: Vec<_> =
        deployment.names("entry").iter().map(|name| deployment.front(name)).collect();
    let (mut workers, mut paths) = (Vec::new(), Vec::new());
    for (number, zone) in ["zone-a", "zone-b", "zone-c"].into_iter().cycle().take(6).enumerate() {
        let worker =
            Worker::start(log, &weights, &format!("i-engine{number}"), "engines", zone, 12);
        let path = Path::open(worker.address);
        *worker.announced.lock().expect("address") = path.address;
        workers.push(worker);
        paths.push(path);
    }
    workers.push(Worker::start(log, &weights, "i-desk0", "desk", "zone-a", 6));
    let second = Duration::from_secs(1);
    if !deployment.operator_call("PUT", "/api/config", &config(5), 20 * second) {
        return Verdict::CouldNotRun;
    }
    announce(&workers, controls);
    if !deployment.wait_ready(20 * second) {
        return Verdict::CouldNotRun;
    }
    sleep(3 * second);
    if !name_version(&deployment, 2) || !wait_loaded(&workers[..6], 2, 25) {
        return Verdict::CouldNotRun;
    }
    sleep(2 * second);
    // A step of the trainer, after which it names the next version and asks for the next step.
    let first = step(0, 60);
    if !first.submit(log, &doors, 10 * second) || !first.wait(doors[0], 20 * second) {
        return Verdict::CouldNotRun;
    }
    first.end(log, &doors);
    for worker in &workers[..6] {
        let mut pace = worker.pace.lock().expect("pace");
        (pace.events, pace.step) = (27, Duration::from_millis(100));
    }
    if !name_version(&deployment, 3) || !step(1, 60).submit(log, &doors, 10 * second) {
        return Verdict::CouldNotRun;
    }
    let Some(last) = wait_last(&workers[..6], 20) else { return Verdict::CouldNotRun };
    let mut healed_at = None;
    if trouble {
        // One of the six engines is cut off from all machines.
        let (cut, id) = (&paths[last], &workers[last].id);
        cut.cut();
        workers[last].is_cut_off.store(true, Ordering::SeqCst);
        log.note(format!("{id} is cut off from all machines"));
        let Some(sent) = wait_order(cut, 12) else { return Verdict::CouldNotRun };
        let holder = stores.iter().find(|store| cut.held_since(&format!("{store}\"")).is_some());
        let Some(holder) = holder.cloned() else { return Verdict::CouldNotRun };
        log.note(format!("{holder} sends an order into the cut"));
        let (healing, log) = (Arc::clone(cut), log.clone());
        let worker = Arc::clone(&workers[last]);
        let healer = std::thread::spawn(move || {
            sleep((sent + HEAL_DELAY).saturating_duration_since(Instant::now()));
            healing.heal();
            worker.is_cut_off.store(false, Ordering::SeqCst);
            log.note("the cut has healed");
            log.now()
        });
        sleep((sent + KILL_DELAY).saturating_duration_since(Instant::now()));
        deployment.kill(&[holder.clone()]);
        sleep(DOWN);
        deployment.start(&holder);
        healed_at = healer.join().ok();
    }
    sleep(8 * second);
    wait_loaded(&workers[..6], 3, 15);
    let mut broken = false;
    for worker in &workers[..6] {
        let mut highest = 0;
        for order in worker.arrivals().iter().filter(|arrival| arrival.path == "/api/order") {
            let fence = fence(order);
            let is_excused = healed_at.is_some_and(|at| order.at >= at && order.at < at + THAW);
            if fence < highest && !is_excused {
                log.note(format!(
                    "{} got an order with fence {fence} at {:.3} s, after one with fence {highest}",
                    worker.id,
                    order.at.as_secs_f64()
                ));
                broken = true;
            }
            if !is_excused {
                highest = highest.max(fence);
            }
        }
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}

fn step(number: u64, items: usize) -> Job {
    let item = |item: usize| (format!("a{number}{item:04x}"), format!("g{number}-{}", item / 4));
    let items = (0..items).map(item).collect();
    Job { id: format!("a{number}c0ffee"), step: number, min_version: 1, target_groups: 14, items }
}

/// Waits until all engines but one have got the order for version 3, and returns the number of that one.
fn wait_last(workers: &[Arc<Worker>], seconds: u64) -> Option<usize> {
    for _ in 0..seconds * 200 {
        let is_due = |number: &usize| {
            let arrivals = workers[*number].arrivals();
            !arrivals.iter().any(|a| a.path == "/api/order" && a.body.contains("\"version\":3"))
        };
        let mut due = (0..workers.len()).filter(is_due);
        if let (Some(last), None) = (due.next(), due.next()) {
            return Some(last);
        }
        sleep(Duration::from_millis(5));
    }
    None
}

fn name_version(deployment: &Deployment, version: u64) -> bool {
    let body = format!(r#"{{"model":"{MODEL}","version":{version}}}"#);
    deployment.operator_call("POST", "/api/version-put", &body, Duration::from_secs(10))
}

fn wait_loaded(workers: &[Arc<Worker>], version: u64, seconds: u64) -> bool {
    for _ in 0..seconds * 10 {
        if workers.iter().all(|worker| worker.version() >= version) {
            return true;
        }
        sleep(Duration::from_millis(100));
    }
    false
}

fn wait_order(path: &Path, seconds: u64) -> Option<Instant> {
    for _ in 0..seconds * 100 {
        if let Some(at) = path.held_since("POST /api/order") {
            return Some(at);
        }
        sleep(Duration::from_millis(10));
    }
    None
}

fn fence(order: &Arrival) -> u64 {
    let rest = order.body.split("\"fence\":").nth(1).unwrap_or_default();
    rest.split(|c: char| !c.is_ascii_digit()).next().unwrap_or_default().parse().unwrap_or(0)
}
