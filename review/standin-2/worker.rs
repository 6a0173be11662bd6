//! Workers: model engines and plain services, as the platform's pages describe them.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::Log;
use crate::http::{self, Message};

/// The name of the model.
pub const MODEL: &str = "drafts";

/// How long a change of version takes while few workers load.
const LOAD_TIME: Duration = Duration::from_millis(900);

/// The number of workers that load in this time; more share what the weights' store can send.
const FAST_LOADS: u32 = 2;

/// The weights' store, which sends weights to the workers that load.
#[derive(Default)]
pub struct WeightStore {
    /// What each load still needs, as the time that it takes at full speed.
    loads: Mutex<Vec<(String, u64, Duration)>>,
}

impl WeightStore {
    pub fn open() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                std::thread::sleep(Duration::from_millis(5));
                let elapsed = last.elapsed();
                last = Instant::now();
                let mut loads = serving.loads.lock().expect("loads");
                let count = u32::try_from(loads.len()).unwrap_or(u32::MAX);
                let step = elapsed * FAST_LOADS / count.max(FAST_LOADS);
                loads.iter_mut().for_each(|load| load.2 = load.2.saturating_sub(step));
            }
        });
        store
    }

    fn begin(&self, worker: &str, version: u64) {
        let load = (worker.to_string(), version, LOAD_TIME);
        self.loads.lock().expect("loads").push(load);
    }

    /// Removes the load of a worker if it is complete, and returns its version.
    fn finish(&self, worker: &str) -> Option<u64> {
        let mut loads = self.loads.lock().expect("loads");
        let done = loads.iter().position(|load| load.0 == worker && load.2.is_zero())?;
        Some(loads.remove(done).1)
    }

    fn is_loading(&self, worker: &str) -> bool {
        self.loads.lock().expect("loads").iter().any(|load| load.0 == worker)
    }
}

/// A request that reached a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub path: String,
    pub id: String,
    pub body: String,
    pub status: u16,
}

/// How a worker runs what is sent to it.
#[derive(Debug, Clone)]
pub struct Pace {
    /// The number of events of an item's text.
    pub events: u64,
    /// The time between two events, or the work of a plain request.
    pub step: Duration,
    /// The ids of items that fail at each run with this status.
    pub failing: Vec<(String, u16)>,
}

/// A worker.
pub struct Worker {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// The address that it announces.
    pub announced: Mutex<SocketAddr>,
    pub born: u64,
    pub pace: Mutex<Pace>,
    pub leaving: AtomicBool,
    pub draining: AtomicBool,
    /// Whether a partition keeps its heartbeats from the machines.
    pub is_cut_off: AtomicBool,
    /// Streams that began before this number of them are broken off in the middle of an event.
    pub broken_before: AtomicU64,
    streams: AtomicU64,
    seq: AtomicU64,
    version: AtomicU64,
    weights: Arc<WeightStore>,
    /// The number of requests in progress.
    running: AtomicU64,
    orders: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
    log: Log,
}

impl Worker {
    /// Starts a worker on a free loopback port.
    pub fn start(
        log: &Log,
        weights: &Arc<WeightStore>,
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: u32,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let pace = Pace { events: 8, step: Duration::from_millis(60), failing: Vec::new() };
        let worker = Arc::new(Self {
            id: id.into(),
            service,
            zone,
            slots,
            address,
            announced: Mutex::new(address),
            born: born as u64,
            pace: Mutex::new(pace),
            leaving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            is_cut_off: AtomicBool::new(false),
            broken_before: AtomicU64::new(0),
            streams: AtomicU64::new(0),
            seq: AtomicU64::new(0),
            version: AtomicU64::new(1),
            weights: Arc::clone(weights),
            running: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            arrivals: Mutex::default(),
            log: log.clone(),
        });
        let handler = Arc::clone(&worker);
        http::serve(listener, Arc::new(move |request, stream| handler.handle(request, stream)));
        worker
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("arrivals").clone()
    }

    /// Breaks off the streams that are in progress.
    pub fn break_streams(&self) {
        self.broken_before.store(self.streams.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    pub fn running(&self) -> u64 {
        self.running.load(Ordering::SeqCst)
    }

    pub fn version(&self) -> u64 {
        self.is_loading();
        self.version.load(Ordering::SeqCst)
    }

    /// Returns the next heartbeat, with its number.
    pub fn heartbeat(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let address = *self.announced.lock().expect("address");
        let models = format!(r#"{{"name":"{MODEL}","version":{},"adapters":[]}}"#, self.version());
        let models = if self.service == "engines" { models } else { String::new() };
        format!(
            r#"{{"service":"{}","address":"{address}","zone":"{}","version":"v1","slots":{},"state":"{state}","coldRemainingMs":0,"stage":"hybrid","models":[{models}],"seq":{seq},"born":{}}}"#,
            self.service, self.zone, self.slots, self.born
        )
    }

    /// Makes a call to the control addresses in turn until one acknowledges it; returns which one.
    pub fn tell(&self, stores: &[SocketAddr], method: &str, body: &str) -> Option<SocketAddr> {
        let path = format!("/api/instances/{}", self.id);
        for store in stores {
            let headers = [("Content-Type", "application/json")];
            let second = Duration::from_secs(1);
            let answer = http::call(*store, method, &path, &headers, body.as_bytes(), second);
            if answer.is_some_and(|answer| (200..300).contains(&answer.status)) {
                return Some(*store);
            }
        }
        None
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("Chestnutdrift-Request-Id").unwrap_or_default().to_string();
        let at = self.log.now();
        let mut headers = vec![("Chestnutdrift-Instance-Id".to_string(), self.id.clone())];
        if !id.is_empty() {
            headers.push(("Chestnutdrift-Request-Id".into(), id.clone()));
        }
        if self.leaving.load(Ordering::SeqCst) || self.draining.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving".into(), "1".into()));
        }
        let arrive = |status: u16| {
            let (path, id, body) = (request.path.clone(), id.clone(), request.text());
            let shown = if path.starts_with("/api/order") { body.as_str() } else { "" };
            self.log.note(format!(
                "{} {path} {id} reaches {} (answer {status}) {shown}",
                request.method, self.id
            ));
            let arrival = Arrival { at, path, id, body, status };
            self.arrivals.lock().expect("arrivals").push(arrival);
        };
        let is_other = request
            .header("Chestnutdrift-Expect-Instance")
            .is_some_and(|instance| instance != self.id);
        let model_version = request.header("Chestnutdrift-Expect-Version");
        let is_other_version =
            model_version.is_some_and(|version| version != self.version().to_string());
        let waits_for_load = is_other_version && self.is_loading();
        if is_other || (is_other_version && !waits_for_load) {
            headers.push(("Chestnutdrift-Not-Executed".into(), "1".into()));
            arrive(421);
            return http::respond(stream, 421, &headers, b"");
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => http::respond(stream, 200, &headers, b"ok"),
            ("GET", "/api/report") => {
                let body = format!(
                    r#"{{"stage":"hybrid","models":[{{"name":"{MODEL}","version":{},"adapters":[]}}],"busy":{},"seq":{},"queued":0,"running":0,"kvUsed":0,"kvTotal":40000,"handles":0}}"#,
                    self.version(),
                    self.is_loading(),
                    self.orders.load(Ordering::SeqCst)
                );
                headers.push(("Content-Type".into(), "application/json".into()));
                http::respond(stream, 200, &headers, body.as_bytes())
            }
            ("POST", "/api/order") => {
                let status = self.take_order(&request.text());
                arrive(status);
                http::respond(stream, status, &headers, b"")
            }
            _ => {
                if self.is_loading() {
                    headers.push(("Chestnutdrift-Not-Executed".into(), "1".into()));
                    arrive(503);
                    return http::respond(stream, 503, &headers, b"");
                }
                let pace = self.pace.lock().expect("pace").clone();
                headers.push(("Chestnutdrift-Response-Seal".into(), format!("seal-{id}")));
                let failing = pace.failing.iter().find(|(item, _)| *item == id);
                if let Some((_, status)) = failing {
                    std::thread::sleep(pace.step);
                    arrive(*status);
                    return http::respond(stream, *status, &headers, b"");
                }
                arrive(200);
                if self.service != "engines" {
                    std::thread::sleep(pace.step);
                    return http::respond(stream, 200, &headers, b"booked");
                }
                self.running.fetch_add(1, Ordering::SeqCst);
                let streamed = self.stream_text(request, stream, headers, &pace);
                self.running.fetch_sub(1, Ordering::SeqCst);
                streamed.is_some()
            }
        }
    }

    /// Carries out an order, and returns the status of its answer.
    fn take_order(&self, body: &str) -> u16 {
        let number = |name: &str| -> Option<u64> {
            let rest = &body[body.find(&format!("\"{name}\":"))? + name.len() + 3..];
            let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
            rest[..end].parse().ok()
        };
        let (Some(version), Some(_)) = (number("version"), number("fence")) else { return 400 };
        let expected = number("precondition");
        if self.is_loading()
            || expected.is_some_and(|seq| seq != self.orders.load(Ordering::SeqCst))
        {
            return 409;
        }
        if version <= self.version() {
            return 200;
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        self.weights.begin(&self.id, version);
        202
    }

    fn is_loading(&self) -> bool {
        if let Some(version) = self.weights.finish(&self.id) {
            self.version.store(version, Ordering::SeqCst);
        }
        self.weights.is_loading(&self.id)
    }

    fn stream_text(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        mut headers: Vec<(String, String)>,
        pace: &Pace,
    ) -> Option<()> {
        let after = request.header("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0u64);
        let item = request.header("Chestnutdrift-Request-Id").unwrap_or_default();
        headers.push(("Content-Type".into(), "text/event-stream".into()));
        headers.push(("Chestnutdrift-Weight-Versions".into(), self.version().to_string()));
        let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n".to_string();
        for (name, value) in &headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let number = self.streams.fetch_add(1, Ordering::SeqCst);
        stream.write_all(head.as_bytes()).ok()?;
        for event in after + 1..=pace.events {
            std::thread::sleep(pace.step);
            let text = format!("id: {event}\ndata: {item} {event}\n\n");
            if number < self.broken_before.load(Ordering::SeqCst) {
                let part = &text[..text.len() / 2];
                let _ = stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
                let _ = stream.shutdown(Shutdown::Both);
                return None;
            }
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}

/// Starts a thread that sends the heartbeats of workers until they leave.
pub fn announce(workers: &[Arc<Worker>], stores: Vec<SocketAddr>) {
    const INTERVAL: Duration = Duration::from_millis(1_200);
    for (number, worker) in workers.iter().enumerate() {
        let (worker, mut stores) = (Arc::clone(worker), stores.clone());
        let first = number % stores.len().max(1);
        stores.rotate_left(first);
        std::thread::spawn(move || {
            while !worker.leaving.load(Ordering::SeqCst) {
                let beat = worker.heartbeat();
                if !worker.is_cut_off.load(Ordering::SeqCst) {
                    worker.tell(&stores, "PUT", &beat);
                }
                std::thread::sleep(INTERVAL);
            }
        });
    }
}
