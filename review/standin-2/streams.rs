//! Streams begin, all stores are killed, and later the streams break off and are taken up.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, Log};
use crate::trainer::{HOST, config};
use crate::worker::{MODEL, WeightStore, Worker, announce};

/// The streams that are taken up, and as many new ones beside them.
const STREAMS: usize = 24;

/// How long the stores are down, and when the streams break off after they are back: all machines are
/// in touch again after 4 s.
const DOWN: Duration = Duration::from_millis(700);
const IN_TOUCH: Duration = Duration::from_millis(5_000);

const EVENTS: u64 = 90;

/// What a client attempt brought.
struct Attempt {
    status: u16,
    /// The id of the last whole event.
    last: u64,
}

pub fn play(log: &Log, temp: &Path, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(log.clone(), temp, 3, 3);
    deployment.start_all();
    let weights = WeightStore::open();
    let stores = deployment.names("store");
    let controls: Vec<_> = stores.iter().map(|name| deployment.control(name)).collect();
    let doors: Vec<_> =
        deployment.names("entry").iter().map(|name| deployment.front(name)).collect();
    let zones = ["zone-a", "zone-b", "zone-c"];
    let mut engines = Vec::new();
    for number in 0..6 {
        let id = format!("i-engine{number}");
        let engine = Worker::start(log, &weights, &id, "engines", zones[number % 3], 12);
        let mut pace = engine.pace.lock().expect("pace");
        (pace.events, pace.step) = (EVENTS, Duration::from_millis(110));
        drop(pace);
        engines.push(engine);
    }
    let desk = Worker::start(log, &weights, "i-desk0", "desk", "zone-a", 6);
    let second = Duration::from_secs(1);
    if !deployment.operator_call("PUT", "/api/config", &config(5), 20 * second) {
        return Verdict::CouldNotRun;
    }
    announce(&engines, controls.clone());
    announce(&[desk], controls);
    if !deployment.wait_ready(20 * second) {
        return Verdict::CouldNotRun;
    }
    sleep(3 * second);
    let doors = Arc::new(doors);
    let begin = |number: usize| {
        let (log, doors) = (log.clone(), Arc::clone(&doors));
        spawn(move || {
            let id = format!("s{number:04x}00");
            attempt(&log, doors[number % doors.len()], number, &id, None)
        })
    };
    let first: Vec<_> = (0..STREAMS).map(begin).collect();
    sleep(second);
    if trouble {
        deployment.kill(&stores);
        sleep(DOWN);
        stores.iter().for_each(|name| deployment.start(name));
    } else {
        sleep(DOWN);
    }
    sleep(IN_TOUCH);
    log.note("the engines break off the streams that are in progress");
    engines.iter().for_each(|engine| engine.break_streams());
    let mut taken_up = Vec::new();
    for (number, stream) in first.into_iter().enumerate() {
        let Ok(broken) = stream.join() else { return Verdict::CouldNotRun };
        if broken.last == 0 || broken.last >= EVENTS {
            continue;
        }
        let (log, doors) = (log.clone(), Arc::clone(&doors));
        taken_up.push(spawn(move || take_up(&log, &doors, number, broken.last)));
    }
    let new: Vec<_> = (STREAMS..2 * STREAMS).map(begin).collect();
    let asked = taken_up.len();
    let go_on =
        taken_up.into_iter().filter_map(|stream| stream.join().ok()).filter(|on| *on).count();
    let begun =
        new.into_iter().filter_map(|stream| stream.join().ok()).filter(|new| new.last > 0).count();
    log.note(format!("{go_on} of {asked} streams that were taken up went on"));
    log.note(format!("{begun} of {STREAMS} new streams began"));
    if asked < 12 || begun == 0 {
        return Verdict::CouldNotRun;
    }
    // Under half of the share of new streams that begin.
    if 2 * go_on * STREAMS < begun * asked { Verdict::Broken } else { Verdict::Held }
}

/// Takes a stream up at another front, twice at most as the client's retries allow.
fn take_up(log: &Log, doors: &[SocketAddr], number: usize, last: u64) -> bool {
    for retry in 1..=2 {
        let id = format!("s{number:04x}{retry:02x}");
        let door = doors[(number + retry) % doors.len()];
        let taken = attempt(log, door, number, &id, Some(last));
        if taken.status == 200 && taken.last > last {
            return true;
        }
        sleep(Duration::from_millis(600));
    }
    false
}

/// Asks for a stream, from the event after `last` on if it is taken up.
fn attempt(log: &Log, door: SocketAddr, number: usize, id: &str, last: Option<u64>) -> Attempt {
    let mut failed = Attempt { status: 0, last: 0 };
    let Ok(mut stream) = TcpStream::connect_timeout(&door, Duration::from_secs(1)) else {
        return failed;
    };
    let taken_up = last.map_or(String::new(), |last| {
        format!("Last-Event-Id: {last}\r\nResumes: s{number:04x}00\r\n")
    });
    let request = format!(
        "POST /chat/{number} HTTP/1.1\r\nHost: {HOST}\r\nChestnutdrift-Request-Id: {id}\r\n\
         Chestnutdrift-Deadline-Ms: 12000\r\nChestnutdrift-Model: {MODEL}\r\n\
         Chestnutdrift-Token-Count: 271,1728\r\nChestnutdrift-Prompt-Prefix: 9c2e41:255,{number:x}:16\r\n\
         {taken_up}Content-Length: 4\r\n\r\ntext"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return failed;
    }
    let until = Instant::now() + Duration::from_secs(13);
    let (mut bytes, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    while Instant::now() < until {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
        }
        let text = String::from_utf8_lossy(&bytes);
        let is_refusal = !text.starts_with("HTTP/1.1 200") && text.contains("\r\n\r\n");
        if is_refusal || text.ends_with("0\r\n\r\n") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    failed.status = text.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
    // An event counts once the empty line after it has come.
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let ids = whole.split("id: ").skip(1);
    let ids = ids.filter_map(|rest| rest.lines().next()?.trim().parse::<u64>().ok());
    failed.last = ids.max().unwrap_or(0);
    log.note(format!(
        "stream {number}, attempt {id} at {door}, after event {last:?}: {}, last event {}",
        failed.status, failed.last
    ));
    failed
}
