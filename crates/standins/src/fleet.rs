//! A fleet of daemons on loopback, with settings of its own making.

use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use anyhow::Context;
use chestnutdrift_wire::api::operator::{ChangeAnswer, ChangeBody};

use crate::client::{Answer, Client};
use crate::process::{Process, Signal, sibling_program, wait_until};

/// How long a call to a host may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// How many hosts of a fleet are made, and how.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The availability zones.
    pub zones: Vec<Box<str>>,
    /// Hosts in each zone.
    pub hosts_per_zone: usize,
    /// Hosts with a disk in each zone.
    pub disks_per_zone: usize,
    /// Lines for each host's `[limits]` section.
    pub limits: Box<str>,
    /// The log level.
    pub log_level: Box<str>,
}

impl FleetPlan {
    /// Makes a plan of zones with three hosts each, one of them with a disk.
    #[must_use]
    pub fn new(zones: &[&str]) -> Self {
        Self {
            zones: zones.iter().map(|zone| (*zone).into()).collect(),
            hosts_per_zone: 3,
            disks_per_zone: 1,
            limits: Box::default(),
            log_level: "info".into(),
        }
    }

    /// Sets the hosts in each zone; the default is three.
    #[must_use]
    pub fn hosts_per_zone(mut self, hosts: usize) -> Self {
        self.hosts_per_zone = hosts;
        self
    }

    /// Sets the hosts with a disk in each zone; the default is one.
    #[must_use]
    pub fn disks_per_zone(mut self, disks: usize) -> Self {
        self.disks_per_zone = disks;
        self
    }

    /// Sets lines for the `[limits]` section; the default is none.
    #[must_use]
    pub fn limits(mut self, limits: impl Into<Box<str>>) -> Self {
        self.limits = limits.into();
        self
    }

    /// Sets the log level; the default is `info`.
    #[must_use]
    pub fn log_level(mut self, level: impl Into<Box<str>>) -> Self {
        self.log_level = level.into();
        self
    }
}

/// One host of a fleet.
#[derive(Debug)]
pub struct FleetHost {
    /// Its name.
    pub name: Box<str>,
    /// Its zone.
    pub zone: Box<str>,
    /// Where it takes HTTP.
    pub http: SocketAddr,
    /// Its data folder, where it has a disk.
    pub data: Option<PathBuf>,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

/// A fleet of daemons.
#[derive(Debug)]
pub struct Fleet {
    /// The hosts.
    pub hosts: Vec<FleetHost>,
    /// The client that the fleet is called with.
    pub client: Client,
}

impl Fleet {
    /// Writes the settings of a fleet into a folder and starts its daemons.
    ///
    /// # Errors
    ///
    /// Returns an error where a file can't be written or a daemon can't be started.
    pub fn start(plan: &FleetPlan, folder: &Path) -> anyhow::Result<Self> {
        let mut fleet = Self::prepare(plan, folder)?;
        for at in 0..fleet.hosts.len() {
            fleet.start_host(at)?;
        }
        Ok(fleet)
    }

    /// Writes the settings of a fleet into a folder and starts nothing.
    ///
    /// # Errors
    ///
    /// Returns an error where a file can't be written.
    pub fn prepare(plan: &FleetPlan, folder: &Path) -> anyhow::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let count = plan.zones.len() * plan.hosts_per_zone;
        let addresses = free_addresses(count * 2)?;
        let mut hosts = Vec::new();
        let mut peers = String::new();
        for at in 0..count {
            let zone = &plan.zones[at / plan.hosts_per_zone];
            let disk = at % plan.hosts_per_zone < plan.disks_per_zone;
            let name = format!("host-{}", at + 1);
            let (http, link) = (addresses[2 * at], addresses[2 * at + 1]);
            let yes = if disk { "yes" } else { "no" };
            writeln!(peers, "[peer {name}]\nid = {}\nzone = {zone}", at + 1)?;
            writeln!(peers, "http = {http}\nlink = {link}\ndisk = {yes}\n")?;
            hosts.push(FleetHost {
                data: disk.then(|| folder.join(format!("data-{name}"))),
                settings: folder.join(format!("{name}.ini")),
                log: folder.join(format!("{name}.log")),
                name: name.into(),
                zone: zone.clone(),
                http,
                process: None,
            });
        }
        for host in &hosts {
            let data = host.data.as_ref().map(|path| format!("data = {}\n", path.display()));
            let text = format!(
                "[host]\nname = {}\n{}\n[limits]\n{}\n\n[log]\nlevel = {}\n\n{peers}",
                host.name,
                data.unwrap_or_default(),
                plan.limits,
                plan.log_level,
            );
            std::fs::write(&host.settings, text)
                .with_context(|| format!("{} can't be written", host.settings.display()))?;
        }
        Ok(Self { hosts, client: Client::new(CALL_TIMEOUT) })
    }

    /// Starts the daemon of a host.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be started.
    pub fn start_host(&mut self, at: usize) -> anyhow::Result<()> {
        let program = sibling_program("chestnutdriftd")?;
        let host = &mut self.hosts[at];
        let settings = host.settings.display().to_string();
        let args = ["--settings", &settings];
        host.process = Some(Process::start(host.name.clone(), &program, &args, &host.log)?);
        Ok(())
    }

    /// Returns the process of a host.
    ///
    /// # Errors
    ///
    /// Returns an error where it does not run.
    pub fn process(&mut self, at: usize) -> anyhow::Result<&mut Process> {
        let host = &mut self.hosts[at];
        host.process.as_mut().with_context(|| format!("{} does not run", host.name))
    }

    /// Kills the daemon of a host.
    ///
    /// # Errors
    ///
    /// Returns an error where it does not run.
    pub fn kill_host(&mut self, at: usize) -> anyhow::Result<()> {
        let process = self.hosts[at].process.take().context("the host does not run")?;
        process.kill()
    }

    /// Returns the HTTP addresses of a zone's hosts.
    #[must_use]
    pub fn zone_hosts(&self, zone: &str) -> Vec<Box<str>> {
        let hosts = self.hosts.iter().filter(|host| &*host.zone == zone);
        hosts.map(|host| host.http.to_string().into()).collect()
    }

    /// Returns the URL of a path at a host.
    #[must_use]
    pub fn url(&self, at: usize, path: &str) -> String {
        format!("http://{}{path}", self.hosts[at].http)
    }

    /// Tells whether a host takes work.
    #[must_use]
    pub fn is_ready(&self, at: usize) -> bool {
        self.client.get(&self.url(at, "/readyz")).is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until every host takes work and the zones and the fleet have their leaders.
    ///
    /// # Errors
    ///
    /// Returns an error where that is not so in time.
    pub fn wait_ready(&self, within: Duration) -> anyhow::Result<Duration> {
        let count = self.hosts.len();
        wait_until("every host ready, every group led", within, || {
            (0..count).all(|at| self.is_ready(at)) && (0..count).all(|at| self.reports_leaders(at))
        })
    }

    /// Tells whether a host knows the leaders of the fleet and of each zone.
    #[must_use]
    pub fn reports_leaders(&self, at: usize) -> bool {
        let zones: std::collections::BTreeSet<&str> =
            self.hosts.iter().map(|host| &*host.zone).collect();
        let Ok(hosts) = self.client.get_json(&self.url(at, "/v1/operator/hosts")) else {
            return false;
        };
        let Some(hosts) = hosts.as_array() else { return false };
        let leads = hosts.iter().filter_map(|host| host["leads"].as_array());
        leads.map(Vec::len).sum::<usize>() > zones.len()
    }

    /// Returns the version of the settings in force on a host.
    ///
    /// # Errors
    ///
    /// Returns an error where the host does not answer.
    pub fn settings_version(&self, at: usize) -> anyhow::Result<u64> {
        let report = self.client.get_json(&self.url(at, "/v1/operator/settings"))?;
        report["version"].as_u64().context("no version")
    }

    /// Proposes a change at a host.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came.
    pub fn propose_change(&self, at: usize, change: &ChangeBody) -> anyhow::Result<ChangeAnswer> {
        let answer: Answer = self.client.post(&self.url(at, "/v1/operator/changes"), change)?;
        answer.json()
    }

    /// Has every daemon finish what it holds and end, and tells whether all ended well.
    ///
    /// # Errors
    ///
    /// Returns an error where one does not end in time or ends with a failure.
    pub fn close(mut self, within: Duration) -> anyhow::Result<()> {
        let mut processes = Vec::new();
        for host in &mut self.hosts {
            let Some(process) = host.process.take() else { continue };
            process.signal(Signal::TERM)?;
            processes.push(process);
        }
        for process in &mut processes {
            let status = process.wait(within)?;
            anyhow::ensure!(status.success(), "{} ended with {status}", process.name());
        }
        Ok(())
    }
}

/// The first port that is given out; ports below the range from which the system takes those of
/// outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// Ports that one process may give out before it begins again.
const PORTS_PER_PROCESS: u16 = 400;

/// Processes that give out different ports.
const PORT_BLOCKS: u32 = 45;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns free addresses on loopback.
///
/// # Errors
///
/// Returns an error where there are none.
pub fn free_addresses(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let block = u16::try_from(std::process::id() % PORT_BLOCKS)?;
    let first = FIRST_PORT + block * PORTS_PER_PROCESS;
    let mut addresses = Vec::new();
    for _ in 0..PORTS_PER_PROCESS {
        if addresses.len() == count {
            break;
        }
        let port = first + NEXT_PORT.fetch_add(1, Ordering::AcqRel) % PORTS_PER_PROCESS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            addresses.push(address);
        }
    }
    anyhow::ensure!(addresses.len() == count, "there are not {count} free ports from {first} on");
    Ok(addresses)
}
