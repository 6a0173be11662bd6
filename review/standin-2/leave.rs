//! A worker leaves and is acknowledged, all stores are killed, and a late heartbeat of the worker
//! arrives after they are back.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Deployment, Log};
use crate::trainer::{Job, config};
use crate::worker::{WeightStore, Worker, announce};

const DRAIN: Duration = Duration::from_millis(2_500);

/// How late the last heartbeat before the leave arrives.
const LATE: Duration = Duration::from_millis(3_500);

/// How long the stores are down.
const DOWN: Duration = Duration::from_millis(700);

pub fn play(log: &Log, temp: &Path, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(log.clone(), temp, 3, 3);
    deployment.start_all();
    let weights = WeightStore::open();
    let (stores, fronts) = (deployment.names("store"), deployment.names("entry"));
    let controls: Vec<_> = stores.iter().map(|name| deployment.control(name)).collect();
    let doors: Vec<_> = fronts.iter().map(|name| deployment.front(name)).collect();
    let mut workers = Vec::new();
    for (number, zone) in ["zone-a", "zone-b", "zone-c"].into_iter().cycle().take(6).enumerate() {
        workers.push(Worker::start(
            log,
            &weights,
            &format!("i-engine{number}"),
            "engines",
            zone,
            12,
        ));
    }
    workers.push(Worker::start(log, &weights, "i-desk0", "desk", "zone-a", 6));
    let second = Duration::from_secs(1);
    if !deployment.operator_call("PUT", "/api/config", &config(5), 20 * second) {
        return Verdict::CouldNotRun;
    }
    announce(&workers, controls.clone());
    if !deployment.wait_ready(20 * second) {
        return Verdict::CouldNotRun;
    }
    sleep(3 * second);
    let first = job("a1", 0);
    if !first.submit(log, &doors, 10 * second) || !first.wait(doors[0], 20 * second) {
        return Verdict::CouldNotRun;
    }
    // The worker never reports that it drains: it leaves first, and serves on for a while.
    let leaving = &workers[0];
    let late_beat = leaving.heartbeat();
    leaving.leaving.store(true, Ordering::SeqCst);
    log.note(format!("{} sends its last heartbeat, which is held up on its way", leaving.id));
    let Some(by) = leaving.tell(&controls, "DELETE", "") else { return Verdict::CouldNotRun };
    let left_at = log.now();
    log.note(format!("{}: DELETE is acknowledged by {by}", leaving.id));
    sleep(Duration::from_millis(300));
    if trouble {
        deployment.kill(&stores);
        sleep(DOWN);
        stores.iter().for_each(|name| deployment.start(name));
    } else {
        sleep(DOWN);
    }
    sleep((left_at + LATE).saturating_sub(log.now()));
    let by = leaving.tell(&controls, "PUT", &late_beat);
    log.note(format!("{}: the late heartbeat arrives: {by:?}: {late_beat}", leaving.id));
    // All machines are in touch again 4 s after the stores are back.
    sleep((left_at + Duration::from_millis(9_000)).saturating_sub(log.now()));
    let second_job = job("b2", 1);
    if !second_job.submit(log, &doors, 10 * second) {
        return Verdict::CouldNotRun;
    }
    second_job.wait(doors[1], 15 * second);
    let late = leaving.arrivals().into_iter().filter(|arrival| {
        arrival.at > left_at + DRAIN
            && arrival.status != 421
            && arrival.path.starts_with("/drafts/")
    });
    let late = late.count();
    log.note(format!("{late} items reached {} later than drainMs after its leave", leaving.id));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

fn job(id: &str, step: u64) -> Job {
    let item = |number: usize| (format!("{id}{number:04x}"), format!("g{id}{}", number / 4));
    Job {
        id: format!("{id}c0ffee"),
        step,
        min_version: 1,
        target_groups: 9,
        items: (0..40).map(item).collect(),
    }
}
