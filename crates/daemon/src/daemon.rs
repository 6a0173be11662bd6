//! Puts the threads of a host together, and takes them apart again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::JoinHandle;

use anyhow::Context;
use chestnutdrift_core::{Core, Event, HostId, HostSettings, Millis};
use crossbeam::channel::{self, Sender};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::call::{
    Adaptors, CallPool, EngineAdaptor, EngineCommandPool, HostAdaptor, HttpClients, PlainAdaptor,
};
use crate::clock::{self, Clock};
use crate::control::{Control, EVENTS_WAITING, Input, Outlets};
use crate::disk::{DiskJob, DiskReport, DiskThread, RestoredData};
use crate::http::{HttpServer, HttpServerSettings};
use crate::link::{self, Links};
use crate::settings::Settings;

/// A host that has been started.
#[derive(Debug)]
pub struct Daemon {
    control: Control,
    http: HttpServer,
    disk: Option<DiskThread>,
}

impl Daemon {
    /// Starts the threads of a host.
    ///
    /// # Errors
    ///
    /// Returns an error where the data folder can't be used or an address can't be bound.
    pub fn start(settings: &Settings) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let (inputs, events) = channel::bounded(EVENTS_WAITING);
        let (data, name) = (settings.host.data.as_deref(), &settings.host.name);
        let restored = RestoredData::open(data, name, &inputs, disk_input)?;
        let mut core = Core::new(host_settings(settings, restored.incarnation), clock.now());
        let restore_actions = core.handle(clock.now(), Event::Restored(restored.records));
        let outlets = outlets(settings, &inputs, restored.jobs)?;
        let http = HttpServer::start(http_settings(settings), inputs.clone())?;
        watch_signals(inputs)?;
        let mut control = Control::new(core, clock, events, outlets);
        control.perform_all(restore_actions);
        Ok(Self { control, http, disk: restored.thread })
    }

    /// Runs until the host is told to stop and holds nothing any more.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk failed.
    pub fn run(self) -> anyhow::Result<()> {
        let thread: JoinHandle<anyhow::Result<()>> = std::thread::Builder::new()
            .name("control".into())
            .spawn(move || self.control.run())
            .context("the control thread can't be started")?;
        let ran = thread.join().map_err(|_| anyhow::anyhow!("the control thread panicked"))?;
        self.http.close();
        if let Some(disk) = self.disk.filter(|_| ran.is_ok()) {
            disk.close();
        }
        ran
    }
}

fn disk_input(report: DiskReport) -> Input {
    match report {
        DiskReport::Synced(token) => Input::Event(Event::Synced(token)),
        DiskReport::Failed(detail) => Input::DiskFailed(detail),
    }
}

fn host_settings(settings: &Settings, incarnation: u64) -> HostSettings {
    let me = &settings.me().spec;
    let fleet: Vec<_> = settings.fleet.iter().map(|peer| peer.spec.clone()).collect();
    let election = u64::try_from(settings.host.election_timeout.as_millis()).unwrap_or(u64::MAX);
    HostSettings::new(me.name.clone(), me.zone.clone())
        .fleet(me.id, fleet)
        .disk(me.disk)
        .incarnation(incarnation)
        .seed(settings.host.seed ^ incarnation)
        .max_calls(settings.limits.max_calls)
        .timeline_capacity(settings.limits.timeline_capacity as usize)
        .election_timeout(Millis(election))
}

fn outlets(
    settings: &Settings,
    inputs: &Sender<Input>,
    disk: Option<Sender<DiskJob>>,
) -> anyhow::Result<Outlets> {
    let clients = HttpClients::new();
    let http: BTreeMap<HostId, _> =
        settings.fleet.iter().map(|peer| (peer.spec.id, peer.http)).collect();
    let links: BTreeMap<HostId, _> =
        settings.fleet.iter().map(|peer| (peer.spec.id, peer.link)).collect();
    let adaptors = Adaptors {
        engine: Box::new(EngineAdaptor::new(clients.clone())),
        plain: Box::new(PlainAdaptor::new(clients.clone())),
        host: Box::new(HostAdaptor::new(clients.clone(), http)),
    };
    let commands = EngineCommandPool::start(&clients, inputs);
    let calls = CallPool::new(adaptors, commands, inputs.clone(), settings.limits.max_calls);
    let to_core = inputs.clone();
    let deliver =
        Arc::new(move |envelope| to_core.try_send(Input::Event(Event::Received(envelope))).is_ok());
    let runtime = link::socket_runtime("link")?;
    let links = Links::start(runtime, settings.me().link, Box::new(links), deliver)?;
    Ok(Outlets { calls, links, disk })
}

fn http_settings(settings: &Settings) -> HttpServerSettings {
    HttpServerSettings {
        address: settings.me().http,
        host: settings.host.name.clone(),
        boot_id: clock::wall().0,
        limits: settings.limits,
    }
}

/// Turns the first signal to stop into an event; a second one ends the process at once.
fn watch_signals(inputs: Sender<Input>) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signals can't be watched")?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut told = false;
        for signal in signals.forever() {
            if told {
                log::error!(event = "cut-short", signal = signal; "a second signal: what is held is cut");
                std::process::exit(1);
            }
            told = true;
            let _ = inputs.send(Input::Event(Event::Stop));
        }
    })?;
    Ok(())
}
