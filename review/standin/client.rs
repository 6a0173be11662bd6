//! Clients and the operator.

use std::io::{BufReader, Read, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http;
use crate::record::Record;

/// The time in which all clients send their first requests.
const SPREAD: Duration = Duration::from_millis(1600);

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Sent {
    /// The id.
    pub id: String,
    /// When it was sent.
    pub at: Instant,
    /// How it ended; `None` while it has no final answer.
    pub end: Option<(Instant, End)>,
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A whole answer with a status.
    Answered(u16),
    /// The connection ended without a whole answer.
    Cut,
    /// The client left.
    Left,
}

/// What a client sends, and how long it waits.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The path prefix.
    pub prefix: &'static str,
    /// The time that a request has (`Chestnutdrift-Deadline-Ms`).
    pub deadline: Duration,
    /// The time without a byte after which the client leaves.
    pub patience: Duration,
}

/// Clients that send requests to all entries in turn.
pub struct Clients {
    fleet: Arc<Fleet>,
    record: Arc<Record>,
    sent: Arc<Mutex<Vec<Sent>>>,
    next: AtomicU64,
    stopped: AtomicBool,
}

impl Clients {
    /// Creates clients that send nothing yet.
    pub fn new(fleet: &Arc<Fleet>, record: &Arc<Record>) -> Arc<Self> {
        let (fleet, record) = (Arc::clone(fleet), Arc::clone(record));
        let (sent, next, stopped) = (Arc::default(), AtomicU64::new(1), AtomicBool::new(false));
        Arc::new(Self { fleet, record, sent, next, stopped })
    }

    /// Starts `count` clients, each of which sends its next request `pause` after an answer.
    pub fn start(self: &Arc<Self>, plan: Plan, count: usize, pause: Duration) {
        for number in 0..count {
            let clients = Arc::clone(self);
            std::thread::spawn(move || {
                // The clients begin one after the other, so that their requests are spread evenly.
                std::thread::sleep(
                    SPREAD * u32::try_from(number).unwrap_or(0) / u32::try_from(count).unwrap_or(1),
                );
                while !clients.stopped.load(Ordering::SeqCst) {
                    let retry_after = clients.send(plan);
                    std::thread::sleep(pause.max(retry_after));
                }
            });
        }
    }

    /// Stops sending.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns the requests so far.
    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("a lock").clone()
    }

    /// Sends a request, waits for its end, and returns when its client may come back.
    fn send(&self, plan: Plan) -> Duration {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let entry = number as usize % self.fleet.entries();
        self.record.line(&format!("client sends {id} on {} to entry {entry}", plan.prefix));
        let index = {
            let mut sent = self.sent.lock().expect("a lock");
            sent.push(Sent { id: id.clone(), at: Instant::now(), end: None });
            sent.len() - 1
        };
        let (end, retry_after) = self.exchange(plan, &id, entry);
        self.record.line(&format!("client of {id}: {end:?}"));
        self.sent.lock().expect("a lock")[index].end = Some((Instant::now(), end));
        retry_after
    }

    fn exchange(&self, plan: Plan, id: &str, entry: usize) -> (End, Duration) {
        let headers = [
            ("host", "desk.example".to_string()),
            ("chestnutdrift-request-id", id.to_string()),
            ("chestnutdrift-deadline-ms", plan.deadline.as_millis().to_string()),
            ("connection", "close".to_string()),
        ];
        let until = Instant::now() + plan.deadline;
        let Ok(mut stream) = http::connect(self.fleet.entry(entry), plan.patience) else {
            return (End::Cut, Duration::ZERO);
        };
        let request = http::request("POST", &format!("{}{id}", plan.prefix), &headers, b"shop=1");
        if stream.write_all(&request).is_err() {
            return (End::Cut, Duration::ZERO);
        }
        // The whole answer is read, within the deadline and without a pause longer than the patience.
        let (mut bytes, mut buf) = (Vec::new(), [0; 64 * 1024]);
        loop {
            let left = until.saturating_duration_since(Instant::now()).min(plan.patience);
            if left.is_zero() {
                return (End::Left, Duration::ZERO);
            }
            let _ = stream.set_read_timeout(Some(left));
            match stream.read(&mut buf) {
                Ok(0) => break,
                Ok(length) => bytes.extend_from_slice(&buf[..length]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    return (End::Left, Duration::ZERO);
                }
                Err(_) => return (End::Cut, Duration::ZERO),
            }
        }
        match whole_answer(&bytes) {
            Some((status, retry_after)) => (End::Answered(status), retry_after),
            None => (End::Cut, Duration::ZERO),
        }
    }
}

/// Returns the status and the `Retry-After` of an answer, or `None` if it is not complete.
fn whole_answer(bytes: &[u8]) -> Option<(u16, Duration)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let body = &bytes[end + 4..];
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let is_whole = match length {
        Some(length) => body.len() == length.trim().parse::<usize>().ok()?,
        None if head.contains("transfer-encoding: chunked") => body.ends_with(b"0\r\n\r\n"),
        None => true,
    };
    let retry_after = head.lines().find_map(|line| line.strip_prefix("retry-after:"));
    let retry_after = retry_after.and_then(|text| text.trim().parse().ok()).unwrap_or(0.0);
    is_whole.then_some((status, Duration::from_secs_f64(retry_after)))
}

/// A route of the configuration.
pub struct Route {
    /// The path prefix.
    pub prefix: &'static str,
    /// The kind.
    pub kind: &'static str,
    /// `timeoutMs`.
    pub timeout_ms: u64,
    /// `sloMs`.
    pub slo_ms: u64,
    /// The service.
    pub service: &'static str,
    /// `maxAttempts`.
    pub max_attempts: u32,
}

/// Puts a configuration with these routes in force.
pub fn configure(fleet: &Fleet, record: &Record, version: u64, routes: &[Route]) {
    let mut encoded = Vec::new();
    let mut services: Vec<&str> = Vec::new();
    for (number, route) in routes.iter().enumerate() {
        let Route { prefix, kind, timeout_ms, slo_ms, service, max_attempts } = route;
        encoded.push(format!(
            "{{\"name\":\"r-{number}\",\"host\":\"desk.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"sloMs\":{slo_ms},\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":{max_attempts}}}"
        ));
        if !services.contains(service) {
            services.push(service);
        }
    }
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":200,\"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let services: Vec<String> = services.iter().map(service).collect();
    let body = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        encoded.join(","),
        services.join(",")
    );
    put_configuration(fleet, record, &body);
}

/// Puts a configuration in force whose only route takes batch jobs of trainers.
pub fn configure_rollout(fleet: &Fleet, record: &Record) {
    let body = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\",\"pathPrefix\":\"/draft/\",\
                \"kind\":\"rollout\",\"timeoutMs\":10000,\"sloMs\":400,\"priority\":0,\"service\":\"quote-drafters\",\
                \"maxAttempts\":3,\"maxQueueS\":40.0,\"dueMs\":7500,\"singleVersion\":false,\"sticky\":true,\"resumable\":true}],\
                \"services\":[{\"name\":\"quote-drafters\",\"healthPath\":\"/health\",\"maxConns\":170,\"protocol\":\"h1\",\
                \"tls\":false,\"engine\":{\"slots\":12,\"kvCapacity\":43133,\"stride\":56,\"models\":[{\"name\":\"daka51\"}]}}],\
                \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    put_configuration(fleet, record, body);
}

fn put_configuration(fleet: &Fleet, record: &Record, body: &str) {
    let control = fleet.control();
    for attempt in 0..200 {
        let to = control[attempt % control.len()];
        let headers = [("host", "control".to_string())];
        let answer = http::call(
            to,
            ("PUT", "/api/config"),
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        if answer.is_ok_and(|answer| answer.status() == 200) {
            record.line("the configuration is acknowledged");
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("no store acknowledged the configuration");
}

/// Waits until all entries are ready.
pub fn wait_until_ready(fleet: &Fleet) {
    for _ in 0..200 {
        if (0..fleet.entries()).all(|at| fleet.is_ready(at)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("the entries are not ready");
}

/// Holds a message for some time on its way: what is sent to the returned address reaches `to` later.
pub fn delay_once(to: std::net::SocketAddr, by: Duration) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (from, _) = listener.accept().expect("a connection");
        let _ = from.set_read_timeout(Some(Duration::from_millis(300)));
        let mut from = BufReader::new(from);
        let Ok(Some(head)) = http::read_head(&mut from) else { return };
        let body = http::read_body(&mut from, &head, true).unwrap_or_default();
        std::thread::sleep(by);
        let (method, path) = head.target();
        let headers = [("host", "control".to_string())];
        // The sender no longer waits for the answer.
        let _ = http::call(to, (method, path), &headers, &body, Duration::from_secs(1));
    });
    address
}

/// Submits a batch job until it is accepted.
pub fn submit(fleet: &Fleet, record: &Record, job: &str, items: &[String]) -> Option<()> {
    let item = |id: &String| {
        format!(
            "{{\"id\":\"{id}\",\"path\":\"/draft/3/{id}\",\"headers\":{{\"Chestnutdrift-Model\":\"daka51\",\
             \"Chestnutdrift-Token-Count\":\"270,400\"}},\"body\":\"q83vEjRWeJA=\",\"tokens\":670,\"group\":\"g1\"}}"
        )
    };
    let encoded: Vec<String> = items.iter().map(item).collect();
    let body = format!(
        "{{\"step\":0,\"model\":\"daka51\",\"minVersion\":0,\"targetGroups\":1,\"requests\":[{}]}}",
        encoded.join(",")
    );
    let headers = [
        ("host", "desk.example".to_string()),
        ("chestnutdrift-request-id", job.to_string()),
        ("content-type", "application/json".to_string()),
    ];
    for attempt in 0..20 {
        let target = ("POST", &*format!("/draft/{job}"));
        let answer = http::call(
            fleet.entry(attempt),
            target,
            &headers,
            body.as_bytes(),
            Duration::from_secs(5),
        );
        if answer.is_ok_and(|answer| answer.status() == 202) {
            record.line(&format!("batch job {job} with {} items accepted", items.len()));
            return Some(());
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    None
}

/// Reads the results of a batch job until all are listed, each with its id, state and output.
pub fn read_results(
    fleet: &Fleet,
    record: &Record,
    job: &str,
    total: usize,
) -> Option<Vec<(String, String, String)>> {
    let mut results = Vec::new();
    for attempt in 0..60 {
        let target = ("GET", &*format!("/api/lots/{job}?after={}", results.len()));
        let headers =
            [("host", "desk.example".to_string()), ("chestnutdrift-wait-ms", "1000".to_string())];
        let Ok(answer) =
            http::call(fleet.entry(attempt), target, &headers, &[], Duration::from_secs(3))
        else {
            continue;
        };
        if answer.status() != 200 {
            std::thread::sleep(Duration::from_millis(200));
            continue;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        record.line(&format!("read from position {}: {text}", results.len()));
        let entries = text.split_once("\"results\":[").map_or("", |(_, entries)| entries);
        for entry in entries.split("{\"id\":").skip(1) {
            let field = |name: &str| {
                let (_, rest) = entry.split_once(&format!("\"{name}\":\""))?;
                Some(unescape(rest))
            };
            let id = unescape(entry.strip_prefix('"')?);
            results.push((id, field("state")?, field("output")?));
        }
        if results.len() >= total {
            return Some(results);
        }
    }
    None
}

/// Decodes a JSON text up to its closing quote; other escapes than those of JSON's short forms do not occur.
fn unescape(text: &str) -> String {
    let (mut decoded, mut chars) = (String::new(), text.chars());
    while let Some(char) = chars.next() {
        match char {
            '"' => break,
            '\\' => match chars.next() {
                Some('n') => decoded.push('\n'),
                Some(other) => decoded.push(other),
                None => break,
            },
            char => decoded.push(char),
        }
    }
    decoded
}
