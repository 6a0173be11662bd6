//! Puts the threads of a gateway together.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use anyhow::Context;
use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::{Event, Gateway};
use crossbeam::channel::{self, Sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::Semaphore;

use super::control::{EVENTS_WAITING, GatewayControl, Input, Outlets};
use super::front::{Front, FrontState};
use super::items::ItemRuns;
use super::orders::Orders;
use super::pool::Pool;
use super::protocol::Protocol;
use super::settings::GatewaySettingsFile;
use crate::clock::{self, Clock};
use crate::disk::{DiskReport, RestoredData};
use crate::link::{self, Links, SharedPort};

/// The time between two looks whether the settings file has changed.
const FILE_LOOK: Duration = Duration::from_secs(2);

/// How long open connections may take to end when nothing is held any more.
const CLOSING: Duration = Duration::from_millis(500);

/// Runs a host until it is told to stop and holds nothing any more.
///
/// # Errors
///
/// Returns an error where the data folder can't be used, an address can't be bound, or the disk
/// fails.
pub fn run(file: &GatewaySettingsFile, protocol: Arc<dyn Protocol>) -> anyhow::Result<()> {
    let clock = Clock::start();
    let (inputs, events) = channel::bounded(EVENTS_WAITING);
    let watch = Arc::new(Mutex::new(FileWatch::new(file)));
    watch_signals(Arc::clone(&watch), inputs.clone())?;
    let (data, name) = (file.data.as_deref(), &file.gateway.name);
    let restored = RestoredData::open(data, name, &inputs, disk_input)?;
    let life = clock::wall().0;
    let cfg = file.gateway.clone().instance_ids(restored.incarnation, life);
    let mut gateway = Gateway::new(cfg, clock.now());
    let restore_actions = gateway.handle(clock.now(), &Event::Restored(restored.records));
    let runtime = link::socket_runtime("traffic")?;
    runtime.spawn(watch_file(watch, inputs.clone()));
    let (pool, state) = (Pool::default(), Arc::new(FrontState::default()));
    let to_core = inputs.clone();
    let deliver =
        Arc::new(move |envelope| to_core.try_send(Input::Event(Event::Received(envelope))).is_ok());
    let addresses = Box::new(SharedPort(file.links.port()));
    let links = Links::start(Arc::clone(&runtime), file.links, addresses, deliver)?;
    let connections = Arc::new(Semaphore::new(file.connections));
    let front = Arc::new(Front {
        protocol: Arc::clone(&protocol),
        pool: pool.clone(),
        inputs: inputs.clone(),
        state: Arc::clone(&state),
        connections: Arc::clone(&connections),
        tags: AtomicU64::new(1),
    });
    for (door, address) in &file.listeners {
        front.listen(&runtime, *door, *address)?;
    }
    let outlets = Outlets {
        items: ItemRuns::new(Arc::clone(&protocol), pool.clone(), inputs.clone()),
        orders: Orders { protocol, pool: pool.clone(), clock, inputs },
        runtime: Arc::clone(&runtime),
        front: Arc::clone(&state),
        links,
        disk: restored.jobs,
        pool,
    };
    let mut control = GatewayControl::new(gateway, clock, events, outlets);
    control.perform_all(restore_actions);
    let ran = control.run();
    state.close_idle();
    let all = u32::try_from(file.connections).unwrap_or(u32::MAX);
    let closed = runtime.block_on(async {
        tokio::time::timeout(CLOSING, connections.acquire_many(all)).await.is_ok()
    });
    log::info!(event = "stopped", connections_closed = closed; "the host has stopped");
    if let Some(disk) = restored.thread.filter(|_| ran.is_ok()) {
        disk.close();
    }
    ran
}

fn disk_input(report: DiskReport) -> Input {
    match report {
        DiskReport::Synced(token) => Input::Event(Event::Synced(token)),
        DiskReport::Failed(detail) => Input::DiskFailed(detail),
    }
}

/// Turns signals into events.
fn watch_signals(watch: Arc<Mutex<FileWatch>>, inputs: Sender<Input>) -> anyhow::Result<()> {
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

/// Looks from time to time whether the settings file has changed without a signal.
async fn watch_file(watch: Arc<Mutex<FileWatch>>, inputs: Sender<Input>) {
    loop {
        tokio::time::sleep(FILE_LOOK).await;
        if let Ok(mut watch) = watch.lock() {
            watch.look(&inputs);
        }
    }
}

/// The settings file, as it was last read.
struct FileWatch {
    path: PathBuf,
    changed: Option<SystemTime>,
    seeds: Vec<HostId>,
}

impl FileWatch {
    fn new(file: &GatewaySettingsFile) -> Self {
        let seeds = file.gateway.seeds.clone();
        Self { path: file.path.clone(), changed: changed(&file.path), seeds }
    }

    /// Reads the file again where it has changed without a signal.
    fn look(&mut self, inputs: &Sender<Input>) {
        let now = changed(&self.path);
        if now != self.changed {
            self.reload(inputs, "file");
        }
    }

    fn reload(&mut self, inputs: &Sender<Input>, why: &str) {
        self.changed = changed(&self.path);
        let file = match GatewaySettingsFile::read(&self.path) {
            Ok(file) => file,
            Err(error) => {
                log::warn!(event = "reload-refused", why = why; "{error}; the old settings stay");
                return;
            }
        };
        let seeds = file.gateway.seeds;
        let same = seeds == self.seeds;
        log::info!(event = "reloaded", why = why, seeds_changed = !same; "settings read again");
        if same {
            return;
        }
        self.seeds.clone_from(&seeds);
        if inputs.send(Input::Event(Event::Reloaded { seeds })).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }
}

fn changed(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|meta| meta.modified()).ok()
}
