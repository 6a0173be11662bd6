//! A stand-in for a model engine.
//!
//! It admits requests in arrival order up to its slots, generates one token of each running
//! request at a time (continuous batching), stamps each line with the version that it runs, loads
//! versions from the weight store, and obeys or refuses orders by their fencing number. Its tokens
//! are a function of the prompt and their place, so a reader can tell whether an answer is whole.

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use chestnutdrift_core::checksum;
use chestnutdrift_core::event::UpstreamKind;
use chestnutdrift_wire::api::engine::{
    CancelBody, EngineState, GenerateBody, LoadBody, StreamEnd, Tokens,
};
use chestnutdrift_wire::api::upstream::AnnounceBody;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, mpsc};

use crate::announcer::Announcer;
use crate::server::{Body, IncomingRequest, Server, json};
use crate::store;

/// Prompts whose stamps are kept for tests.
const STAMPED_PROMPTS: usize = 256;

/// What an engine is told.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Its name.
    pub name: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// The HTTP addresses of its zone's hosts.
    pub hosts: Vec<Box<str>>,
    /// The weight store, where it has one.
    pub store: Option<Box<str>>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// The time of one token.
    pub token_interval: Duration,
    /// The time that a version takes to be put in place once it is fetched.
    pub load_time: Duration,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
}

impl EngineSettings {
    /// Makes the settings of an engine with 8 slots, 2 ms a token and 50 ms a load.
    #[must_use]
    pub fn new(name: impl Into<Box<str>>, service: impl Into<Box<str>>) -> Self {
        Self {
            name: name.into(),
            service: service.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            hosts: Vec::new(),
            store: None,
            slots: 8,
            token_interval: Duration::from_millis(2),
            load_time: Duration::from_millis(50),
            checks_fence: true,
        }
    }

    /// Sets where it listens; the default is a free port on 127.0.0.1.
    #[must_use]
    pub fn address(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }

    /// Sets the hosts that it announces itself to; the default is none.
    #[must_use]
    pub fn hosts(mut self, hosts: impl Into<Vec<Box<str>>>) -> Self {
        self.hosts = hosts.into();
        self
    }

    /// Sets the weight store; the default is none.
    #[must_use]
    pub fn store(mut self, store: impl Into<Box<str>>) -> Self {
        self.store = Some(store.into());
        self
    }

    /// Sets the requests that it runs at a time; the default is 8.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time of one token; the default is 2 ms.
    #[must_use]
    pub fn token_interval(mut self, interval: Duration) -> Self {
        self.token_interval = interval;
        self
    }

    /// Sets whether it checks fencing numbers; the default is yes.
    #[must_use]
    pub fn checks_fence(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }
}

/// A fault that a test asks for, as the body of `POST /fault`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Tokens take this many times as long; 0 leaves it as it is.
    #[serde(rename = "slow_times")]
    pub slowdown_factor: u32,
    /// Break this many streams off in the middle.
    pub break_streams: u32,
    /// Fail this many loads.
    pub fail_loads: u32,
}

/// What a test reads of an engine: the answer to `GET /stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineStats {
    /// Requests admitted.
    pub started: u64,
    /// Requests ended with their end mark.
    pub finished: u64,
    /// Requests cancelled or whose reader went away.
    pub dropped: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// What the engine has taken on by order.
#[derive(Debug, Clone, Default)]
struct Taken {
    adapters: Vec<Box<str>>,
    role: Box<str>,
}

#[derive(Debug)]
struct State {
    cfg: EngineSettings,
    slots: Arc<Semaphore>,
    version: Arc<AtomicU64>,
    fence: AtomicU64,
    loading: tokio::sync::Mutex<()>,
    running: AtomicU32,
    waiting: AtomicU32,
    cancelled: Mutex<BTreeSet<Box<str>>>,
    taken: Mutex<Taken>,
    stamps: Mutex<BTreeMap<Box<str>, Vec<u64>>>,
    slowdown_factor: AtomicU32,
    break_streams: AtomicU32,
    fail_loads: AtomicU32,
    started: AtomicU64,
    finished: AtomicU64,
    dropped: AtomicU64,
    tokens: AtomicU64,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    announcer: Announcer,
    name: Box<str>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns an error where its address can't be bound.
    pub fn start(cfg: EngineSettings) -> anyhow::Result<Self> {
        let version = Arc::new(AtomicU64::new(1));
        let state = Arc::new(State::new(cfg.clone(), Arc::clone(&version)));
        let server = Server::start(cfg.address, move |request| {
            let state = Arc::clone(&state);
            async move { handle(state, request).await }
        })?;
        let body = AnnounceBody {
            name: cfg.name.clone(),
            boot_id: boot_id(),
            service: cfg.service.clone(),
            address: server.address().to_string().into(),
            kind: UpstreamKind::Engine,
            slots: cfg.slots,
            version: 1,
            checks_fence: cfg.checks_fence,
            idempotent: true,
        };
        let announcer = Announcer::start(cfg.hosts, body, version);
        Ok(Self { server, announcer, name: cfg.name })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Leaves and stops.
    pub fn close(self) {
        self.announcer.close();
        self.server.close();
    }

    /// Ends as a process that is killed does: nothing is said, all connections break.
    pub fn kill(self) {
        self.announcer.silence();
        self.server.close();
    }
}

/// Returns a number that grows with each start.
pub(crate) fn boot_id() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the token at a place of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, at: u32) -> String {
    const SHORT: u64 = 0xffff;
    format!("{:04x} ", checksum(&[prompt, &at.to_string()]) & SHORT)
}

/// Returns the whole answer to a prompt.
#[must_use]
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|at| token(prompt, at)).collect()
}

impl State {
    fn new(cfg: EngineSettings, version: Arc<AtomicU64>) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(cfg.slots as usize)),
            cfg,
            version,
            fence: AtomicU64::new(0),
            loading: tokio::sync::Mutex::new(()),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            cancelled: Mutex::default(),
            taken: Mutex::default(),
            stamps: Mutex::default(),
            slowdown_factor: AtomicU32::new(1),
            break_streams: AtomicU32::new(0),
            fail_loads: AtomicU32::new(0),
            started: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
        }
    }

    fn report(&self) -> EngineState {
        let taken = self.taken.lock().map(|taken| taken.clone()).unwrap_or_default();
        EngineState {
            adapters: taken.adapters,
            role: taken.role,
            version: self.version.load(Ordering::Acquire),
            fence: self.fence.load(Ordering::Acquire),
            running: self.running.load(Ordering::Acquire),
            waiting: self.waiting.load(Ordering::Acquire),
        }
    }

    /// Returns, for each prompt, the version that each token of its last answer was stamped with.
    fn stamps(&self) -> BTreeMap<Box<str>, Vec<u64>> {
        self.stamps.lock().map(|stamps| stamps.clone()).unwrap_or_default()
    }

    fn stamp(&self, prompt: &str, at: u32, version: u64) {
        let Ok(mut stamps) = self.stamps.lock() else { return };
        if stamps.len() >= STAMPED_PROMPTS && !stamps.contains_key(prompt) {
            return;
        }
        let versions = stamps.entry(prompt.into()).or_default();
        versions.truncate(at as usize);
        versions.push(version);
    }

    fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled.lock().is_ok_and(|mut cancelled| cancelled.remove(id))
    }

    fn token_time(&self) -> Duration {
        self.cfg.token_interval * self.slowdown_factor.load(Ordering::Acquire).max(1)
    }
}

async fn handle(state: Arc<State>, request: IncomingRequest) -> Response<Body> {
    match (&*request.method, &*request.path) {
        ("POST", "/generate") => match serde_json::from_slice(&request.body) {
            Ok(body) => generate(state, body),
            Err(error) => json(400, &error.to_string()),
        },
        ("POST", "/cancel") => cancel(&state, &request.body),
        ("POST", "/load") => match serde_json::from_slice(&request.body) {
            Ok(body) => load(&state, body).await,
            Err(error) => json(400, &error.to_string()),
        },
        ("POST", "/fault") => fault(&state, &request.body),
        ("GET", "/state") => json(200, &state.report()),
        ("GET", "/stats") => json(200, &stats(&state)),
        ("GET", "/stamps") => json(200, &state.stamps()),
        _ => json(404, &"no such path"),
    }
}

fn cancel(state: &State, body: &[u8]) -> Response<Body> {
    let Ok(body) = serde_json::from_slice::<CancelBody>(body) else {
        return json(400, &"no id");
    };
    if let Ok(mut cancelled) = state.cancelled.lock() {
        cancelled.insert(body.id);
    }
    json(200, &"cancelled")
}

fn fault(state: &State, body: &[u8]) -> Response<Body> {
    let Ok(fault) = serde_json::from_slice::<Fault>(body) else {
        return json(400, &"no fault");
    };
    if fault.slowdown_factor > 0 {
        state.slowdown_factor.store(fault.slowdown_factor, Ordering::Release);
    }
    state.break_streams.fetch_add(fault.break_streams, Ordering::AcqRel);
    state.fail_loads.fetch_add(fault.fail_loads, Ordering::AcqRel);
    json(200, &"done")
}

fn stats(state: &State) -> EngineStats {
    EngineStats {
        started: state.started.load(Ordering::Acquire),
        finished: state.finished.load(Ordering::Acquire),
        dropped: state.dropped.load(Ordering::Acquire),
        tokens: state.tokens.load(Ordering::Acquire),
    }
}

/// Takes one from a count of faults, and tells whether there was one.
fn take_one(count: &AtomicU32) -> bool {
    count.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| left.checked_sub(1)).is_ok()
}

async fn load(state: &State, body: LoadBody) -> Response<Body> {
    if state.cfg.checks_fence && body.fence < state.fence.load(Ordering::Acquire) {
        return json(409, &state.report());
    }
    state.fence.fetch_max(body.fence, Ordering::AcqRel);
    let Some(version) = body.version else { return obey(state, body) };
    let _one_at_a_time = state.loading.lock().await;
    if take_one(&state.fail_loads) {
        return json(500, &state.report());
    }
    if let Some(store) = state.cfg.store.clone() {
        let fetched = tokio::task::spawn_blocking(move || store::fetch(&store, version)).await;
        if !matches!(fetched, Ok(Ok(()))) {
            return json(502, &state.report());
        }
    }
    tokio::time::sleep(state.cfg.load_time).await;
    state.version.store(version, Ordering::Release);
    json(200, &state.report())
}

/// Takes an adapter or a role.
fn obey(state: &State, body: LoadBody) -> Response<Body> {
    if let Ok(mut taken) = state.taken.lock() {
        taken.adapters.extend(body.adapter);
        taken.role = body.role.unwrap_or_else(|| taken.role.clone());
    }
    json(200, &state.report())
}

fn generate(state: Arc<State>, body: GenerateBody) -> Response<Body> {
    let (tx, rx) = mpsc::channel::<Bytes>(16);
    tokio::spawn(run(state, body, tx));
    let frames = stream::unfold(rx, |mut rx| async {
        let line = rx.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(line)), rx))
    });
    let body = StreamBody::new(Box::pin(frames)).boxed_unsync();
    let builder = Response::builder().header("content-type", "application/x-ndjson");
    builder.body(body).unwrap_or_default()
}

async fn run(state: Arc<State>, body: GenerateBody, tx: mpsc::Sender<Bytes>) {
    state.waiting.fetch_add(1, Ordering::AcqRel);
    let permit = Arc::clone(&state.slots).acquire_owned().await;
    state.waiting.fetch_sub(1, Ordering::AcqRel);
    let Ok(_permit) = permit else { return };
    state.running.fetch_add(1, Ordering::AcqRel);
    state.started.fetch_add(1, Ordering::AcqRel);
    let whole = run_tokens(&state, &body, &tx).await;
    state.running.fetch_sub(1, Ordering::AcqRel);
    let count = if whole { &state.finished } else { &state.dropped };
    count.fetch_add(1, Ordering::AcqRel);
}

async fn run_tokens(state: &State, body: &GenerateBody, tx: &mpsc::Sender<Bytes>) -> bool {
    let breaks = take_one(&state.break_streams);
    let break_at = body.resume_at + (body.max_tokens - body.resume_at.min(body.max_tokens)) / 2;
    let ended = AtomicBool::new(false);
    for at in body.resume_at..body.max_tokens {
        tokio::time::sleep(state.token_time()).await;
        if state.is_cancelled(&body.id) || (breaks && at >= break_at) {
            ended.store(true, Ordering::Release);
            break;
        }
        let version = state.version.load(Ordering::Acquire);
        state.stamp(&body.prompt, at, version);
        let tokens = vec![token(&body.prompt, at).into()];
        if !send(tx, &Tokens { first_index: at, tokens, version }).await {
            return false;
        }
        state.tokens.fetch_add(1, Ordering::AcqRel);
    }
    if ended.load(Ordering::Acquire) {
        return false;
    }
    send(tx, &StreamEnd { finish_reason: "length".into(), token_count: body.max_tokens }).await
}

async fn send(tx: &mpsc::Sender<Bytes>, line: &impl Serialize) -> bool {
    let mut buf = serde_json::to_vec(line).unwrap_or_default();
    buf.push(b'\n');
    tx.send(buf.into()).await.is_ok()
}
