//! An emulated model engine.
//!
//! It admits requests in arrival order up to its slots, generates one token of each running
//! request at a time (continuous batching), adds the current version to each line, loads versions
//! from the weight store, and accepts or rejects orders by their fencing number. A token is a
//! function of the prompt and of its position, so a client can check that an answer is complete.

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

/// Prompts whose token versions are kept for `GET /stamps`; those of further prompts are dropped.
const MAX_STAMPED_PROMPTS: usize = 256;

/// The settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The name of the engine.
    pub name: Box<str>,
    /// The service that it belongs to.
    pub service: Box<str>,
    /// The address to listen on; with port 0 the system picks a free port.
    pub address: SocketAddr,
    /// The HTTP addresses of the hosts that it announces itself to, those of its zone.
    pub hosts: Vec<Box<str>>,
    /// The address of the weight store; `None` loads versions without a fetch.
    pub store: Option<Box<str>>,
    /// The number of requests that run at a time.
    pub slots: u32,
    /// The time to generate a token.
    pub token_interval: Duration,
    /// The time to load a version once it is fetched.
    pub load_time: Duration,
    /// Whether it rejects orders with an outdated fencing number.
    pub checks_fence: bool,
}

impl EngineSettings {
    /// Creates the settings of an engine with 8 slots, 2 ms per token and 50 ms per load.
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

    /// Sets the address to listen on; the default is a free port on 127.0.0.1.
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

    /// Sets the address of the weight store; the default is none.
    #[must_use]
    pub fn store(mut self, store: impl Into<Box<str>>) -> Self {
        self.store = Some(store.into());
        self
    }

    /// Sets the number of requests that run at a time; the default is 8.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time to generate a token; the default is 2 ms.
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

/// The faults to inject: the body of `POST /fault`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// The factor by which the time of a token grows; 0 leaves the current factor.
    #[serde(rename = "slow_times")]
    pub slowdown_factor: u32,
    /// The number of further streams that break off halfway.
    pub break_streams: u32,
    /// The number of further loads that fail.
    pub fail_loads: u32,
}

/// The counters of an engine: the answer to `GET /stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineStats {
    /// Requests admitted.
    pub started: u64,
    /// Requests that ended with an end mark.
    pub finished: u64,
    /// Requests that were cancelled, broken off by a fault, or whose client disconnected.
    pub dropped: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// The adapters and the role that orders have given the engine.
#[derive(Debug, Clone, Default)]
struct OrderedState {
    adapters: Vec<Box<str>>,
    role: Box<str>,
}

/// The state that the requests of an engine share.
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
    ordered: Mutex<OrderedState>,
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
    /// Returns an error where the address can't be bound.
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

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the name of the engine.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Announces to the hosts that the engine leaves, and stops it.
    pub fn close(self) {
        self.announcer.close();
        self.server.close();
    }

    /// Stops it like a killed process: the hosts get no notice, and all connections break.
    pub fn kill(self) {
        self.announcer.stop();
        self.server.close();
    }
}

/// Returns an id of this start, in microseconds of wall time; a later start has a greater id.
pub(crate) fn boot_id() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the token at a position, from 0, of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, position: u32) -> String {
    const TOKEN_MASK: u64 = 0xffff;
    format!("{:04x} ", checksum(&[prompt, &position.to_string()]) & TOKEN_MASK)
}

/// Returns the complete answer to a prompt.
#[must_use]
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|position| token(prompt, position)).collect()
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
            ordered: Mutex::default(),
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
        let ordered = self.ordered.lock().map(|ordered| ordered.clone()).unwrap_or_default();
        EngineState {
            adapters: ordered.adapters,
            role: ordered.role,
            version: self.version.load(Ordering::Acquire),
            fence: self.fence.load(Ordering::Acquire),
            running: self.running.load(Ordering::Acquire),
            waiting: self.waiting.load(Ordering::Acquire),
        }
    }

    /// Returns, for each prompt, the version of each token of its last answer.
    fn stamps(&self) -> BTreeMap<Box<str>, Vec<u64>> {
        self.stamps.lock().map(|stamps| stamps.clone()).unwrap_or_default()
    }

    /// Records the version of a token; one that is generated again replaces the former.
    fn stamp(&self, prompt: &str, position: u32, version: u64) {
        let Ok(mut stamps) = self.stamps.lock() else { return };
        if stamps.len() >= MAX_STAMPED_PROMPTS && !stamps.contains_key(prompt) {
            return;
        }
        let versions = stamps.entry(prompt.into()).or_default();
        versions.truncate(position as usize);
        versions.push(version);
    }

    /// Returns whether a request was cancelled, and forgets the cancellation.
    fn take_cancellation(&self, id: &str) -> bool {
        self.cancelled.lock().is_ok_and(|mut cancelled| cancelled.remove(id))
    }

    /// Returns the time to generate a token at the current slowdown.
    fn current_token_interval(&self) -> Duration {
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
            Ok(body) => handle_order(&state, body).await,
            Err(error) => json(400, &error.to_string()),
        },
        ("POST", "/fault") => inject_fault(&state, &request.body),
        ("GET", "/state") => json(200, &state.report()),
        ("GET", "/stats") => json(200, &stats(&state)),
        ("GET", "/stamps") => json(200, &state.stamps()),
        _ => json(404, &"path not found"),
    }
}

fn cancel(state: &State, body: &[u8]) -> Response<Body> {
    let Ok(body) = serde_json::from_slice::<CancelBody>(body) else {
        return json(400, &"the request id is missing");
    };
    if let Ok(mut cancelled) = state.cancelled.lock() {
        cancelled.insert(body.id);
    }
    json(200, &"cancelled")
}

/// Applies the faults of a `POST /fault`.
fn inject_fault(state: &State, body: &[u8]) -> Response<Body> {
    let Ok(fault) = serde_json::from_slice::<Fault>(body) else {
        return json(400, &"not a valid fault");
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

/// Decrements a count of pending faults; returns whether it was above zero.
fn take_fault(count: &AtomicU32) -> bool {
    count.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| left.checked_sub(1)).is_ok()
}

/// Carries out an order: loads a version, or takes an adapter or a role.
///
/// An engine that checks fencing numbers answers 409 to an order with an outdated one. Versions
/// load one at a time.
async fn handle_order(state: &State, body: LoadBody) -> Response<Body> {
    if state.cfg.checks_fence && body.fence < state.fence.load(Ordering::Acquire) {
        return json(409, &state.report());
    }
    state.fence.fetch_max(body.fence, Ordering::AcqRel);
    let Some(version) = body.version else { return apply_role_or_adapter(state, body) };
    let _guard = state.loading.lock().await;
    if take_fault(&state.fail_loads) {
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

/// Adds an adapter or sets the role.
fn apply_role_or_adapter(state: &State, body: LoadBody) -> Response<Body> {
    if let Ok(mut ordered) = state.ordered.lock() {
        ordered.adapters.extend(body.adapter);
        ordered.role = body.role.unwrap_or_else(|| ordered.role.clone());
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

/// Waits for a slot and generates the answer in it.
async fn run(state: Arc<State>, body: GenerateBody, tx: mpsc::Sender<Bytes>) {
    state.waiting.fetch_add(1, Ordering::AcqRel);
    let permit = Arc::clone(&state.slots).acquire_owned().await;
    state.waiting.fetch_sub(1, Ordering::AcqRel);
    let Ok(_permit) = permit else { return };
    state.running.fetch_add(1, Ordering::AcqRel);
    state.started.fetch_add(1, Ordering::AcqRel);
    let completed = run_tokens(&state, &body, &tx).await;
    state.running.fetch_sub(1, Ordering::AcqRel);
    let count = if completed { &state.finished } else { &state.dropped };
    count.fetch_add(1, Ordering::AcqRel);
}

/// Generates the tokens from `resume_at` on; returns whether the stream ended with its end mark.
async fn run_tokens(state: &State, body: &GenerateBody, tx: &mpsc::Sender<Bytes>) -> bool {
    let will_break = take_fault(&state.break_streams);
    let break_at = body.resume_at + (body.max_tokens - body.resume_at.min(body.max_tokens)) / 2;
    let ended = AtomicBool::new(false);
    for position in body.resume_at..body.max_tokens {
        tokio::time::sleep(state.current_token_interval()).await;
        if state.take_cancellation(&body.id) || (will_break && position >= break_at) {
            ended.store(true, Ordering::Release);
            break;
        }
        let version = state.version.load(Ordering::Acquire);
        state.stamp(&body.prompt, position, version);
        let tokens = vec![token(&body.prompt, position).into()];
        if !send(tx, &Tokens { first_index: position, tokens, version }).await {
            return false;
        }
        state.tokens.fetch_add(1, Ordering::AcqRel);
    }
    if ended.load(Ordering::Acquire) {
        return false;
    }
    send(tx, &StreamEnd { finish_reason: "length".into(), token_count: body.max_tokens }).await
}

/// Sends a line of JSON; returns whether the client still reads.
async fn send(tx: &mpsc::Sender<Bytes>, line: &impl Serialize) -> bool {
    let mut buf = serde_json::to_vec(line).unwrap_or_default();
    buf.push(b'\n');
    tx.send(buf.into()).await.is_ok()
}
