//! The cases. Each returns whether its rule was broken, or `None` if it could not run.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{self, Clients, End, Plan, Route};
use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;
use crate::worker::{Run, Service, Worker};

/// `drainMs` of the sites.
const DRAIN: Duration = Duration::from_millis(2500);

type Runs = Arc<Mutex<Vec<Run>>>;

/// Runs a case by its name.
pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Option<bool> {
    match case {
        "late-heartbeat" => late_heartbeat(trouble, record),
        "late-copy" => late_copy(trouble, record),
        "line-feeds" => line_feeds(trouble, record),
        "dark-worker" => dark_worker(trouble, record),
        _ => None,
    }
}

const DESK: Service = Service {
    name: "order-desk",
    slots: 6,
    queue: 24,
    work: Duration::from_millis(60),
    answer_bytes: 800,
    stream: false,
    model: None,
    pieces: Vec::new(),
};

const BOOKING: Plan = Plan {
    prefix: "/book/",
    deadline: Duration::from_millis(3000),
    patience: Duration::from_millis(3000),
};

/// Returns the service of engines that stream a text.
fn drafters(work: Duration, pieces: Vec<String>) -> Service {
    Service {
        name: "quote-drafters",
        slots: 16,
        queue: 48,
        work,
        answer_bytes: 0,
        stream: true,
        model: Some("daka51"),
        pieces,
    }
}

fn start_workers(
    count: u64,
    service: &Service,
    fleet: &Fleet,
    record: &Arc<Record>,
    runs: &Runs,
) -> Vec<Arc<Worker>> {
    (1..=count)
        .map(|number| Worker::start(number, service, &fleet.control(), record, runs))
        .collect()
}

fn desk_route(kind: &'static str) -> Route {
    Route {
        prefix: "/book/",
        kind,
        timeout_ms: 3000,
        slo_ms: 200,
        service: "order-desk",
        max_attempts: 2,
    }
}

/// Returns the requests that reached a worker later than `drainMs` after the acknowledgement of its
/// leave.
fn late_arrivals(runs: &Runs, left: &BTreeMap<String, Instant>) -> Vec<(String, String, Duration)> {
    let mut late = Vec::new();
    for run in runs.lock().expect("a lock").iter() {
        let Some(acknowledged) = left.get(&run.worker) else { continue };
        let after = run.at.saturating_duration_since(*acknowledged);
        if after > DRAIN {
            late.push((run.worker.clone(), run.request.clone(), after));
        }
    }
    late
}

fn report_late(record: &Record, late: &[(String, String, Duration)], clients: &Clients) {
    for (worker, request, after) in late {
        record.line(&format!(
            "LATE {request} reached {worker} {} ms after the acknowledgement",
            after.as_millis()
        ));
    }
    let sent = clients.sent();
    let lost = |end: &Option<(Instant, End)>| matches!(end, Some((_, end)) if !matches!(end, End::Answered(200 | 503 | 429)));
    let lost: Vec<&str> =
        sent.iter().filter(|sent| lost(&sent.end)).map(|sent| &*sent.id).collect();
    record.say(&format!(
        "{} requests sent, {} reached a leaving worker later than drainMs, {} ended without success and without a promise",
        sent.len(),
        late.len(),
        lost.len()
    ));
}

/// A worker leaves by `DELETE` while its last heartbeat is still on its way to another store.
fn late_heartbeat(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    let fleet = Arc::new(Fleet::start(3, 3, record));
    let runs = Runs::default();
    client::configure(&fleet, record, 1, &[desk_route("non_idempotent")]);
    let workers = start_workers(6, &DESK, &fleet, record, &runs);
    client::wait_until_ready(&fleet);
    sleep(Duration::from_secs(5));
    let clients = Clients::new(&fleet, record);
    clients.start(BOOKING, 16, Duration::from_millis(40));
    sleep(Duration::from_secs(4));

    let leaving = &workers[0];
    leaving.stop_announcing();
    sleep(Duration::from_millis(300));
    let delay = if trouble { Duration::from_millis(2000) } else { Duration::ZERO };
    let to = client::delay_once(fleet.control()[2], delay);
    let heartbeat = leaving.heartbeat();
    http::connect(to, Duration::from_secs(1)).ok()?.write_all(&heartbeat).ok()?;
    record.line(&format!(
        "worker {} sends its last heartbeat to store 2; it takes {delay:?}",
        leaving.id
    ));
    sleep(Duration::from_millis(500));
    let acknowledged = leaving.leave(0);
    // It serves on for drainMs and a little longer, and exits.
    sleep(DRAIN + Duration::from_millis(3500));
    leaving.crash();
    sleep(Duration::from_secs(1));
    clients.stop();
    if !fleet.all_run() {
        return None;
    }
    let late = late_arrivals(&runs, &BTreeMap::from([(leaving.id.clone(), acknowledged)]));
    report_late(record, &late, &clients);
    Some(!late.is_empty())
}

/// A full service refuses requests as not run, and one of its two workers sends some of its answers
/// once more, late.
fn late_copy(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    let fleet = Arc::new(Fleet::start(3, 3, record));
    let runs = Runs::default();
    let route = Route { max_attempts: 3, ..desk_route("non_idempotent") };
    client::configure(&fleet, record, 1, &[route]);
    let full = Service { queue: 2, ..DESK };
    let workers = start_workers(2, &full, &fleet, record, &runs);
    client::wait_until_ready(&fleet);
    sleep(Duration::from_secs(5));
    let clients = Clients::new(&fleet, record);
    clients.start(BOOKING, 64, Duration::from_millis(20));
    for _ in 0..10 {
        sleep(Duration::from_secs(2));
        workers[0].send_copies(if trouble { 3 } else { 0 });
        sleep(Duration::from_secs(5));
        workers[0].send_copies(0);
    }
    clients.stop();
    sleep(Duration::from_secs(4));
    if !fleet.all_run() {
        return None;
    }
    let mut ran: BTreeMap<String, usize> = BTreeMap::new();
    for run in runs.lock().expect("a lock").iter() {
        *ran.entry(run.request.clone()).or_default() += 1;
    }
    let (mut refused, mut wrong) = (0, 0);
    for sent in clients.sent() {
        if !matches!(sent.end, Some((_, End::Answered(408 | 421 | 429 | 503)))) {
            continue;
        }
        refused += 1;
        if let Some(times) = ran.get(&sent.id) {
            wrong += 1;
            record.line(&format!("RAN {} was answered as not run, and ran {times} times", sent.id));
        }
    }
    let twice = ran.values().filter(|times| **times > 1).count();
    record.say(&format!(
        "{refused} requests answered as not run, {wrong} of them ran; {twice} requests ran more than once"
    ));
    Some(wrong > 0 || twice > 0)
}

/// A worker goes dark while it sends answers.
fn dark_worker(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    const TIMEOUT: Duration = Duration::from_millis(2000);
    // The client leaves after four times the objective without an event.
    const STREAM: Plan = Plan {
        prefix: "/draft/",
        deadline: Duration::from_millis(12_000),
        patience: Duration::from_millis(6000),
    };
    let fleet = Arc::new(Fleet::start(3, 3, record));
    let runs = Runs::default();
    let route = Route {
        prefix: "/draft/",
        kind: "stream",
        timeout_ms: 2000,
        slo_ms: 1500,
        service: "quote-drafters",
        max_attempts: 2,
    };
    client::configure(&fleet, record, 1, &[route]);
    let workers = start_workers(
        6,
        &drafters(
            Duration::from_millis(1600),
            (1..=10).map(|number| format!("piece {number}")).collect(),
        ),
        &fleet,
        record,
        &runs,
    );
    client::wait_until_ready(&fleet);
    sleep(Duration::from_secs(5));
    let clients = Clients::new(&fleet, record);
    clients.start(STREAM, 48, Duration::from_millis(20));
    sleep(Duration::from_secs(5));
    for worker in &workers[..3] {
        if trouble {
            worker.go_dark();
        }
        // It stays dark for five seconds; then its process ends and a new one comes.
        sleep(Duration::from_secs(5));
        if trouble {
            worker.crash();
            worker.restart();
        }
        sleep(Duration::from_secs(3));
    }
    clients.stop();
    sleep(Duration::from_secs(3));
    if !fleet.all_run() {
        return None;
    }
    let (mut long, mut unanswered) = (0, 0);
    for sent in clients.sent() {
        let Some((ended, end)) = &sent.end else { continue };
        let lasted = ended.duration_since(sent.at);
        if lasted <= TIMEOUT {
            continue;
        }
        long += 1;
        if lasted > TIMEOUT + Duration::from_millis(500) {
            unanswered += 1;
            record.line(&format!(
                "LATE {} had no final answer after {} ms: {end:?}",
                sent.id,
                lasted.as_millis()
            ));
        }
    }
    record.say(&format!("{long} requests lasted longer than timeoutMs, {unanswered} had no final answer 0.5 s after it"));
    Some(unanswered >= 8 && unanswered * 4 > long)
}

/// Engines write a text of which some pieces begin with a line feed.
fn line_feeds(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    const ITEMS: usize = 8;
    let fleet = Arc::new(Fleet::start(3, 3, record));
    let runs = Runs::default();
    client::configure_rollout(&fleet, record);
    let begin = if trouble { "\n" } else { "" };
    let pieces: Vec<String> = (1..=10)
        .map(|number| {
            if number % 3 == 0 {
                format!("{begin}- point {number}\nfor the clerk")
            } else {
                format!("words {number}")
            }
        })
        .collect();
    let whole = pieces.join("\n");
    let _workers =
        start_workers(3, &drafters(Duration::from_millis(1000), pieces), &fleet, record, &runs);
    client::wait_until_ready(&fleet);
    sleep(Duration::from_secs(5));
    let ids: Vec<String> = (0..ITEMS).map(|number| format!("e5b2907c{number:08x}")).collect();
    client::submit(&fleet, record, "7c41e09b52d6a3f8", &ids)?;
    let results = client::read_results(&fleet, record, "7c41e09b52d6a3f8", ITEMS)?;
    if !fleet.all_run() {
        return None;
    }
    let (mut completed, mut wrong) = (0, 0);
    for (id, state, output) in results {
        if state != "completed" {
            continue;
        }
        completed += 1;
        if output != whole {
            wrong += 1;
            record.line(&format!("WRONG {id}: {output:?} instead of {whole:?}"));
        }
    }
    record.say(&format!(
        "{completed} results completed, {wrong} of them with another text than the engine wrote"
    ));
    (completed > 0).then_some(wrong > 0)
}
