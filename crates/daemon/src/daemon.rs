//! Starts the threads of a host and shuts them down.

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
use crate::control::{Control, Input, MAX_QUEUED_EVENTS, Outputs};
use crate::disk::{DiskQueue, DiskReport, DiskThread, RestoredData};
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
    /// Returns an error if the data folder can't be used or an address can't be bound.
    pub fn start(settings: &Settings) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let (inputs, events) = channel::bounded(MAX_QUEUED_EVENTS);
        let (data_dir, name) = (settings.host.data_dir.as_deref(), &settings.host.name);
        let restored = RestoredData::open(data_dir, name, &inputs, disk_input)?;
        let mut core = Core::new(host_settings(settings, restored.incarnation), clock.now());
        let restore_actions = core.handle(clock.now(), Event::Restored(restored.records));
        let outputs = outputs(settings, &inputs, restored.jobs)?;
        let http = HttpServer::start(http_settings(settings), inputs.clone())?;
        watch_signals(inputs)?;
        let mut control = Control::new(core, clock, events, outputs);
        control.execute_all(restore_actions);
        Ok(Self { control, http, disk: restored.thread })
    }

    /// Runs until the host has been told to stop and has no work left.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk fails.
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
    let local = &settings.local_peer().spec;
    let fleet: Vec<_> = settings.fleet.iter().map(|peer| peer.spec.clone()).collect();
    let election_timeout =
        u64::try_from(settings.host.election_timeout.as_millis()).unwrap_or(u64::MAX);
    HostSettings::new(local.name.clone(), local.zone.clone())
        .fleet(local.id, fleet)
        .disk(local.disk)
        .incarnation(incarnation)
        .seed(settings.host.seed ^ incarnation)
        .max_calls(settings.limits.max_calls)
        .timeline_capacity(settings.limits.timeline_capacity as usize)
        .election_timeout(Millis(election_timeout))
}

fn outputs(
    settings: &Settings,
    inputs: &Sender<Input>,
    disk: Option<DiskQueue>,
) -> anyhow::Result<Outputs> {
    let clients = HttpClients::new();
    let http_addresses: BTreeMap<HostId, _> =
        settings.fleet.iter().map(|peer| (peer.spec.id, peer.http)).collect();
    let link_addresses: BTreeMap<HostId, _> =
        settings.fleet.iter().map(|peer| (peer.spec.id, peer.link)).collect();
    let adaptors = Adaptors {
        engine: Box::new(EngineAdaptor::new(clients.clone())),
        plain: Box::new(PlainAdaptor::new(clients.clone())),
        host: Box::new(HostAdaptor::new(clients.clone(), http_addresses)),
    };
    let commands = EngineCommandPool::start(&clients, inputs);
    let calls = CallPool::new(adaptors, commands, inputs.clone(), settings.limits.max_calls);
    let core_inputs = inputs.clone();
    let deliver = Arc::new(move |envelope| {
        core_inputs.try_send(Input::Event(Event::Received(envelope))).is_ok()
    });
    let runtime = link::socket_runtime("link")?;
    let links =
        Links::start(runtime, settings.local_peer().link, Box::new(link_addresses), deliver, None)?;
    Ok(Outputs { calls, links, disk })
}

fn http_settings(settings: &Settings) -> HttpServerSettings {
    HttpServerSettings {
        address: settings.local_peer().http,
        host: settings.host.name.clone(),
        boot_id: clock::wall().0,
        limits: settings.limits,
    }
}

/// Starts a thread that turns the first SIGTERM or SIGINT into an event; a second one ends the
/// process at once.
fn watch_signals(inputs: Sender<Input>) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signals can't be watched")?;
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        let mut stopping = false;
        for signal in signals.forever() {
            if stopping {
                log::error!(event = "cut-short", signal = signal; "second signal: exiting at once");
                std::process::exit(1);
            }
            stopping = true;
            let _ = inputs.send(Input::Event(Event::Stop));
        }
    })?;
    Ok(())
}
