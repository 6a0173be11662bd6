//! Starts the threads of a gateway, and watches its signals and settings file.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use anyhow::Context;
use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::{Event, Gateway, Role};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::Semaphore;

use super::bodies::BodyMemory;
use super::control::{GatewayControl, Outputs};
use super::input::{self, Input, InputSender, QueuedInput};
use super::items::ItemRuns;
use super::orders::OrderSender;
use super::pool::Pool;
use super::protocol::Protocol;
use super::provider::ProviderClient;
use super::relay::RelayServer;
use super::rewards::RewardCalls;
use super::server::{Server, ServerState};
use super::settings::GatewaySettingsFile;
use crate::clock::{self, Clock};
use crate::disk::{DiskReport, RestoredData};
use crate::link::{self, LinkHandlers, Links, RelayService, SharedPort};
use crate::memory;

/// The interval between checks whether the settings file has changed.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// How long open connections may take to close once the gateway has no work left and no answer is
/// being streamed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a host until it has been told to stop and has no work left.
///
/// # Errors
///
/// Returns an error if the data folder can't be used, an address can't be bound, or the disk fails.
pub fn run(file: &GatewaySettingsFile, protocol: Arc<dyn Protocol>) -> anyhow::Result<()> {
    let clock = Clock::start();
    let memory_limit = file.gateway.memory_limit;
    let (inputs, events) = input::queue();
    let inputs = inputs.memory_limit(memory_limit);
    let watch = Arc::new(Mutex::new(FileWatch::new(file)));
    watch_signals(Arc::clone(&watch), inputs.clone())?;
    let (data_dir, name) = (file.data_dir.as_deref(), &file.gateway.name);
    let restored = RestoredData::open(data_dir, name, inputs.raw(), disk_input)?;
    let boot_id = clock::wall().0;
    let cfg = file.gateway.clone().instance_ids(restored.incarnation, boot_id);
    let mut gateway = Gateway::new(cfg, clock.now());
    let mut restore_actions = gateway.handle(clock.now(), &Event::Restored(restored.records));
    restore_actions.extend(gateway.handle(clock.now(), &Event::RestoredFacts(restored.facts)));
    memory::log_use("restored");
    let runtime = link::socket_runtime("traffic")?;
    runtime.spawn(watch_file(watch, inputs.clone()));
    let reports = (file.gateway.role == Role::Entry).then(|| inputs.clone());
    let link_port = SharedPort(file.link_address.port());
    let orders_upstreams = file.gateway.role == Role::Store;
    let pool = Pool::default().reports(reports).relays(link_port);
    let pool = pool.drops_unacknowledged(orders_upstreams);
    let state = Arc::new(ServerState::default());
    let connections = Arc::new(Semaphore::new(file.max_connections));
    let streams = Arc::new(Semaphore::new(file.max_connections));
    let server = Arc::new(Server {
        protocol: Arc::clone(&protocol),
        pool: pool.clone(),
        inputs: inputs.clone(),
        state: Arc::clone(&state),
        bodies: BodyMemory::new(memory_limit),
        connections: Arc::clone(&connections),
        streams: Arc::clone(&streams),
        next_tag: AtomicU64::new(1),
    });
    let gateway_inputs = inputs.clone();
    let deliver = Arc::new(move |envelope| {
        gateway_inputs.try_send(Input::Event(Event::Received(envelope))).is_ok()
    });
    let addresses = Box::new(link_port);
    let relays = (file.gateway.role == Role::Store)
        .then(|| Arc::new(RelayServer { server: Arc::clone(&server) }) as Arc<dyn RelayService>);
    let handlers = LinkHandlers::from(deliver).relays(relays);
    let links =
        Links::start(Arc::clone(&runtime), file.link_address, addresses, handlers, memory_limit)?;
    for (listener, address) in &file.listeners {
        server.listen(&runtime, *listener, *address)?;
    }
    let outputs = Outputs {
        items: ItemRuns::new(Arc::clone(&protocol), pool.clone(), inputs.clone()),
        rewards: RewardCalls::new(Arc::clone(&protocol), pool.clone(), inputs.clone()),
        provider: ProviderClient {
            protocol: Arc::clone(&protocol),
            address: file.provider_address.clone(),
            clock,
            inputs: inputs.clone(),
        },
        orders: OrderSender { protocol, pool: pool.clone(), clock, inputs },
        runtime: Arc::clone(&runtime),
        server: Arc::clone(&state),
        links,
        disk: restored.jobs,
        pool,
    };
    let mut control = GatewayControl::new(gateway, clock, events, outputs);
    control.execute_all(restore_actions);
    let ran = control.run();
    state.close_idle();
    let stream_timeout = Duration::from_millis(ran.as_ref().map_or(0, |timeout| timeout.0));
    let permits = u32::try_from(file.max_connections).unwrap_or(u32::MAX);
    let (streamed, closed) = runtime.block_on(async {
        let streamed = tokio::time::timeout(stream_timeout, streams.acquire_many(permits)).await;
        let closed = tokio::time::timeout(CLOSE_TIMEOUT, connections.acquire_many(permits)).await;
        (streamed.is_ok(), closed.is_ok())
    });
    log::info!(
        event = "stopped",
        streams_ended = streamed,
        connections_closed = closed;
        "the host has stopped"
    );
    if let Some(disk) = restored.thread.filter(|_| ran.is_ok()) {
        disk.close();
    }
    ran.map(drop)
}

fn disk_input(report: DiskReport) -> QueuedInput {
    match report {
        DiskReport::Synced(token) => Input::Event(Event::Synced(token)).into(),
        DiskReport::Failed(detail) => Input::DiskFailed(detail).into(),
    }
}

/// Starts a thread that turns signals into events: SIGHUP reloads the settings file, SIGTERM and
/// SIGINT stop the host.
fn watch_signals(watch: Arc<Mutex<FileWatch>>, inputs: InputSender) -> anyhow::Result<()> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).context("signals can't be watched")?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                if inputs.send(Input::Event(Event::Stop)).is_err() {
                    return;
                }
                continue;
            }
            if let Ok(mut watch) = watch.lock() {
                watch.reload(&inputs, "signal");
            }
        }
    })?;
    Ok(())
}

/// Polls the settings file, to reload it where it has changed without a signal.
async fn watch_file(watch: Arc<Mutex<FileWatch>>, inputs: InputSender) {
    loop {
        tokio::time::sleep(FILE_POLL_INTERVAL).await;
        if let Ok(mut watch) = watch.lock() {
            watch.poll(&inputs);
        }
    }
}

/// The state of the settings file when it was last read.
struct FileWatch {
    path: PathBuf,
    last_modified: Option<SystemTime>,
    seeds: Vec<HostId>,
}

impl FileWatch {
    fn new(file: &GatewaySettingsFile) -> Self {
        let seeds = file.gateway.seeds.clone();
        Self { path: file.path.clone(), last_modified: modified_at(&file.path), seeds }
    }

    /// Reloads the file if it has changed since it was last read.
    fn poll(&mut self, inputs: &InputSender) {
        let modified = modified_at(&self.path);
        if modified != self.last_modified {
            self.reload(inputs, "file");
        }
    }

    fn reload(&mut self, inputs: &InputSender, trigger: &str) {
        self.last_modified = modified_at(&self.path);
        let file = match GatewaySettingsFile::read(&self.path) {
            Ok(file) => file,
            Err(error) => {
                log::warn!(event = "reload-refused", why = trigger; "{error}; old settings kept");
                return;
            }
        };
        let seeds = file.gateway.seeds;
        let same = seeds == self.seeds;
        log::info!(event = "reloaded", why = trigger, seeds_changed = !same; "settings reloaded");
        if same {
            return;
        }
        self.seeds.clone_from(&seeds);
        if inputs.send(Input::Event(Event::Reloaded { seeds })).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|meta| meta.modified()).ok()
}
