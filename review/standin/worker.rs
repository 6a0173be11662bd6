//! A plain worker: announces itself to the stores and serves requests on a bounded number of slots.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::{Random, Record};

/// The time between two heartbeats (`heartbeatMs` of the settings).
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// How long a worker waits for the answer to a heartbeat before it calls the next store.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that a worker began to run.
#[derive(Debug, Clone)]
pub struct Run {
    /// When it had arrived.
    pub at: Instant,
    /// The worker.
    pub worker: String,
    /// The id of the request.
    pub request: String,
}

/// What a worker does with requests.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name of the service.
    pub name: &'static str,
    /// The requests that run at once.
    pub slots: usize,
    /// The requests that may wait for a slot; further ones are refused as not run.
    pub queue: usize,
    /// How long a request runs.
    pub work: Duration,
    /// The length of an answer, which is sent in ten pieces spread over the work.
    pub answer_bytes: usize,
    /// Whether answers are streams of events.
    pub stream: bool,
    /// The model of an engine, whose weights have version 1; `None` for a plain service.
    pub model: Option<&'static str>,
    /// The pieces of a text, each the data of one event; only for streams.
    pub pieces: Vec<String>,
}

#[derive(Debug, Default)]
struct Life {
    /// The start of the current incarnation in Unix milliseconds.
    born: u64,
    announces: bool,
    /// The connections of the current incarnation.
    connections: Vec<TcpStream>,
}

/// The sending side of a connection, which keeps the last answer.
struct Sender {
    stream: TcpStream,
    answer: Vec<u8>,
}

impl Sender {
    fn write_all(&mut self, bytes: impl AsRef<[u8]>) -> std::io::Result<()> {
        self.answer.extend_from_slice(bytes.as_ref());
        self.stream.write_all(bytes.as_ref())
    }
}

/// A worker of one address, in one or several incarnations.
pub struct Worker {
    /// The instance id, which a restart keeps.
    pub id: String,
    address: SocketAddr,
    service: Service,
    control: Vec<SocketAddr>,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    life: Mutex<Life>,
    seq: AtomicU64,
    /// The answers in a hundred that are sent once more, where the next answer on their connection is
    /// expected.
    copies_percent: AtomicU64,
    up: AtomicBool,
    dark: AtomicBool,
    /// The free slots, and the requests that wait for one.
    free: Mutex<(usize, usize)>,
    freed: Condvar,
    random: Mutex<Random>,
    /// Held during a call to a store, so that a worker has one such call at a time.
    calling: Mutex<()>,
}

impl Worker {
    /// Starts a worker with its first incarnation.
    pub fn start(
        number: u64,
        service: &Service,
        control: &[SocketAddr],
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            id: format!("i-{}-{number}", service.name),
            address: listener.local_addr().expect("an address"),
            service: service.clone(),
            control: control.to_vec(),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            life: Mutex::default(),
            seq: AtomicU64::new(0),
            copies_percent: AtomicU64::new(0),
            up: AtomicBool::new(false),
            dark: AtomicBool::new(false),
            free: Mutex::new((service.slots, 0)),
            freed: Condvar::new(),
            random: Mutex::new(Random::new(number + u64::from(std::process::id()) * 1_000)),
            calling: Mutex::default(),
        });
        worker.begin(listener);
        let beating = Arc::clone(&worker);
        std::thread::spawn(move || beating.beat());
        worker
    }

    fn begin(self: &Arc<Self>, listener: TcpListener) {
        let now =
            SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_millis();
        let born = u64::try_from(now).expect("a time in this era");
        *self.life.lock().expect("a lock") = Life { born, announces: true, ..Life::default() };
        self.seq.store(0, Ordering::SeqCst);
        *self.free.lock().expect("a lock") = (self.service.slots, 0);
        self.dark.store(false, Ordering::SeqCst);
        self.up.store(true, Ordering::SeqCst);
        let worker = Arc::clone(self);
        std::thread::spawn(move || worker.accept(listener, born));
    }

    /// Ends the process of the worker: its connections are reset and nothing listens any more.
    pub fn crash(&self) {
        self.up.store(false, Ordering::SeqCst);
        let mut life = self.life.lock().expect("a lock");
        life.announces = false;
        for connection in life.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(life);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        self.record.line(&format!("worker {} ended", self.id));
    }

    /// Starts the worker again at its address, under the id that it had.
    pub fn restart(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        self.begin(listener);
        self.record.line(&format!("worker {} started again", self.id));
    }

    /// Makes the worker silent: it keeps its connections and sends nothing more.
    pub fn go_dark(&self) {
        self.dark.store(true, Ordering::SeqCst);
        self.life.lock().expect("a lock").announces = false;
        self.record.line(&format!("worker {} went dark", self.id));
    }

    /// Makes the worker send some of its answers once more, late.
    pub fn send_copies(&self, percent: u64) {
        self.copies_percent.store(percent, Ordering::SeqCst);
    }

    /// Stops the heartbeats.
    pub fn stop_announcing(&self) {
        self.life.lock().expect("a lock").announces = false;
    }

    /// Encodes the next heartbeat.
    pub fn heartbeat(&self) -> Vec<u8> {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let life = self.life.lock().expect("a lock");
        let models = self
            .service
            .model
            .map(|model| format!("{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}"));
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"hybrid\",\"models\":[{}],\"seq\":{seq},\"born\":{}}}",
            self.service.name,
            self.address,
            self.service.slots,
            models.unwrap_or_default(),
            life.born
        );
        drop(life);
        http::request("PUT", &self.path(), &[("host", "control".into())], body.as_bytes())
    }

    fn path(&self) -> String {
        format!("/api/instances/{}", self.id)
    }

    /// Sends a heartbeat to the stores, beginning with a random one, until one acknowledges it.
    fn announce(&self) {
        let _calling = self.calling.lock().expect("a lock");
        if !self.life.lock().expect("a lock").announces {
            return;
        }
        let stores = self.control.len();
        let first = self.random.lock().expect("a lock").below(stores as u64) as usize;
        for next in 0..stores {
            if self.announce_to((first + next) % stores) {
                return;
            }
        }
    }

    fn announce_to(&self, store: usize) -> bool {
        let heartbeat = self.heartbeat();
        let send = || {
            let mut stream = http::connect(self.control[store], HEARTBEAT_TIMEOUT)?;
            stream.write_all(&heartbeat)?;
            http::read_head(&mut BufReader::new(stream))
        };
        send().ok().flatten().is_some_and(|head| (200..300).contains(&head.status()))
    }

    /// Says to one store that the worker leaves, without having drained; returns when that was
    /// acknowledged.
    pub fn leave(&self, store: usize) -> Instant {
        self.stop_announcing();
        let _calling = self.calling.lock().expect("a lock");
        loop {
            let headers = [("host", "control".to_string())];
            let target = ("DELETE", &*self.path());
            let answer = http::call(self.control[store], target, &headers, &[], HEARTBEAT_TIMEOUT);
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                self.record
                    .line(&format!("worker {} leaves, acknowledged by store {store}", self.id));
                return Instant::now();
            }
        }
    }

    fn beat(&self) {
        loop {
            self.announce();
            let jitter = self.random.lock().expect("a lock").below(100);
            let mut left = HEARTBEAT - Duration::from_millis(50) + Duration::from_millis(jitter);
            let born = self.life.lock().expect("a lock").born;
            // A new incarnation announces itself at once.
            while left > Duration::ZERO && self.life.lock().expect("a lock").born == born {
                let step = left.min(Duration::from_millis(10));
                std::thread::sleep(step);
                left -= step;
            }
        }
    }

    fn accept(self: Arc<Self>, listener: TcpListener, born: u64) {
        for stream in listener.incoming() {
            if !self.is_life(born) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let Ok(copy) = stream.try_clone() else { continue };
            self.life.lock().expect("a lock").connections.push(copy);
            let worker = Arc::clone(&self);
            std::thread::spawn(move || worker.serve(stream, born));
        }
    }

    fn is_life(&self, born: u64) -> bool {
        self.up.load(Ordering::SeqCst) && self.life.lock().expect("a lock").born == born
    }

    fn serve(&self, stream: TcpStream, born: u64) {
        let Ok(copy) = stream.try_clone() else { return };
        let (mut from, mut to) = (BufReader::new(copy), Sender { stream, answer: Vec::new() });
        let mut late_copy = None;
        while let Ok(Some(head)) = http::read_head(&mut from) {
            if http::read_body(&mut from, &head, true).is_err() || !self.is_life(born) {
                break;
            }
            if self.dark.load(Ordering::SeqCst) {
                std::thread::park();
            }
            if let Some(copy) = late_copy.take()
                && to.write_all(copy).is_err()
            {
                break;
            }
            to.answer.clear();
            if self.answer(&mut to, &head, born).is_err() {
                break;
            }
            let drawn = self.random.lock().expect("a lock").below(100);
            if drawn < self.copies_percent.load(Ordering::SeqCst) {
                late_copy = Some(to.answer.clone());
                let id = head.header("chestnutdrift-request-id").unwrap_or_default();
                self.record.line(&format!("worker {} will send its answer to {id} again", self.id));
            }
        }
        // Other copies of the stream keep the connection open.
        let _ = to.stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, stream: &mut Sender, head: &http::Message, born: u64) -> std::io::Result<()> {
        let at = Instant::now();
        let request = head.header("chestnutdrift-request-id").unwrap_or_default().to_string();
        let named = format!(
            "chestnutdrift-request-id: {request}\r\nchestnutdrift-instance-id: {}\r\n\
             chestnutdrift-response-seal: 3e1b.{request}\r\nkeep-alive: timeout=5\r\n",
            self.id
        );
        if head.header("chestnutdrift-expect-instance").is_some_and(|id| id != self.id) {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected\r\n{named}chestnutdrift-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(refusal.as_bytes());
        }
        if head.target().1 == "/api/report" {
            let report = "{\"stage\":\"hybrid\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0}";
            let length = report.len();
            return stream.write_all(
                format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{report}").as_bytes(),
            );
        }
        // A worker stops work at the deadline that it receives.
        let deadline = head.header("chestnutdrift-deadline-ms").and_then(|text| text.parse().ok());
        let until = at + Duration::from_millis(deadline.unwrap_or(60_000));
        if !self.take_slot(until) {
            let refusal = format!(
                "HTTP/1.1 503 Full\r\n{named}chestnutdrift-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            self.record.line(&format!("worker {} refuses {request} as not run", self.id));
            return stream.write_all(refusal.as_bytes());
        }
        self.record.line(&format!("worker {} runs {request}", self.id));
        self.runs.lock().expect("a lock").push(Run {
            at,
            worker: self.id.clone(),
            request: request.clone(),
        });
        let written = self.write_answer(stream, &named, born, until);
        self.free.lock().expect("a lock").0 += 1;
        self.freed.notify_one();
        written
    }

    /// Waits for a slot; returns `false` if too many wait already, or at the deadline.
    fn take_slot(&self, until: Instant) -> bool {
        let mut free = self.free.lock().expect("a lock");
        if free.0 == 0 && free.1 >= self.service.queue {
            return false;
        }
        free.1 += 1;
        while free.0 == 0 {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                free.1 -= 1;
                return false;
            }
            free = self.freed.wait_timeout(free, left).expect("a lock").0;
        }
        *free = (free.0 - 1, free.1 - 1);
        true
    }

    /// Writes an answer in parts, the pieces of the text in a stream. A worker that goes dark stops between two of them.
    fn write_answer(
        &self,
        stream: &mut Sender,
        named: &str,
        born: u64,
        until: Instant,
    ) -> std::io::Result<()> {
        const PARTS: usize = 10;
        let Service { work, answer_bytes, stream: is_stream, .. } = self.service;
        let part = vec![b'x'; answer_bytes / PARTS];
        let parts = if is_stream { self.service.pieces.len() } else { PARTS };
        for number in 1..=parts {
            std::thread::sleep(work / u32::try_from(parts).unwrap_or(1));
            if self.dark.load(Ordering::SeqCst) {
                std::thread::park();
            }
            if !self.is_life(born) || Instant::now() > until {
                return Err(std::io::Error::other(
                    "the worker has ended, or the deadline has passed",
                ));
            }
            if number == 1 {
                let framing = if is_stream {
                    "content-type: text/event-stream\r\nchestnutdrift-weight-versions: 1\r\ntransfer-encoding: chunked".to_string()
                } else {
                    format!("content-type: text/plain\r\ncontent-length: {}", part.len() * PARTS)
                };
                stream
                    .write_all(format!("HTTP/1.1 200 OK\r\n{named}{framing}\r\n\r\n").as_bytes())?;
            }
            if is_stream {
                // Each line of the data has a field of its own, as the format wants it.
                let data: Vec<String> = self.service.pieces[number - 1]
                    .split('\n')
                    .map(|line| format!("data: {line}\n"))
                    .collect();
                let event = format!("id: {number}\n{}\n", data.concat());
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            } else {
                stream.write_all(&part)?;
            }
        }
        if is_stream {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}
