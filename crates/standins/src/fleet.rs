//! A fleet of daemons on loopback, with generated settings files.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, bail};
use chestnutdrift_wire::api::operator::{ChangeAnswer, ChangeBody};

use crate::client::{Answer, Client};
use crate::ports::free_addresses;
use crate::process::{Process, Signal, sibling_program, wait_until};

/// The time limit of a call to a host.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The number of lines of a log that an error quotes.
const QUOTED_LINES: usize = 5;

/// The layout and the settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The availability zones.
    pub zones: Vec<Box<str>>,
    /// The number of hosts in each zone.
    pub hosts_per_zone: usize,
    /// The number of hosts with a disk in each zone; these come first.
    pub disks_per_zone: usize,
    /// The lines of the `[limits]` section of each host.
    pub limits: Box<str>,
    /// The log level of each host.
    pub log_level: Box<str>,
}

impl FleetPlan {
    /// Creates a plan of zones with three hosts each, one of which has a disk.
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

    /// Sets the number of hosts in each zone; the default is three.
    #[must_use]
    pub fn hosts_per_zone(mut self, hosts: usize) -> Self {
        self.hosts_per_zone = hosts;
        self
    }

    /// Sets the number of hosts with a disk in each zone; the default is one.
    #[must_use]
    pub fn disks_per_zone(mut self, disks: usize) -> Self {
        self.disks_per_zone = disks;
        self
    }

    /// Sets the lines of the `[limits]` section; the default is none.
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

/// A host of a fleet.
#[derive(Debug)]
pub struct FleetHost {
    /// The name of the host.
    pub name: Box<str>,
    /// The zone of the host.
    pub zone: Box<str>,
    /// The HTTP address.
    pub http: SocketAddr,
    /// The data folder; `None` for a host without a disk.
    pub data: Option<PathBuf>,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

impl FleetHost {
    fn has_exited(&self) -> bool {
        self.process.as_ref().is_some_and(Process::has_exited)
    }

    /// Returns the last lines of the daemon's log.
    fn log_end(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(QUOTED_LINES)..].join("\n")
    }
}

/// A fleet of daemon processes.
#[derive(Debug)]
pub struct Fleet {
    /// The hosts, zone by zone; methods take an index into this list.
    pub hosts: Vec<FleetHost>,
    /// The client for calls to the hosts.
    pub client: Client,
}

impl Fleet {
    /// Writes the settings files of a fleet into a folder and starts the daemons.
    ///
    /// # Errors
    ///
    /// Returns an error where a file can't be written or a daemon can't be started.
    pub fn start(plan: &FleetPlan, folder: &Path) -> anyhow::Result<Self> {
        let mut fleet = Self::prepare(plan, folder)?;
        for index in 0..fleet.hosts.len() {
            fleet.start_host(index)?;
        }
        Ok(fleet)
    }

    /// Writes the settings files of a fleet into a folder without starting a daemon.
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
        for index in 0..count {
            let zone = &plan.zones[index / plan.hosts_per_zone];
            let disk = index % plan.hosts_per_zone < plan.disks_per_zone;
            let name = format!("host-{}", index + 1);
            let (http, link) = (addresses[2 * index], addresses[2 * index + 1]);
            let disk_value = if disk { "yes" } else { "no" };
            writeln!(peers, "[peer {name}]\nid = {}\nzone = {zone}", index + 1)?;
            writeln!(peers, "http = {http}\nlink = {link}\ndisk = {disk_value}\n")?;
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
    /// Returns an error where the daemon can't be started.
    pub fn start_host(&mut self, index: usize) -> anyhow::Result<()> {
        let program = sibling_program("chestnutdriftd")?;
        let host = &mut self.hosts[index];
        let settings = host.settings.display().to_string();
        let args = ["--settings", &settings];
        host.process = Some(Process::start(host.name.clone(), &program, &args, &host.log)?);
        Ok(())
    }

    /// Returns the daemon process of a host.
    ///
    /// # Errors
    ///
    /// Returns an error where the daemon is not running.
    pub fn process(&mut self, index: usize) -> anyhow::Result<&mut Process> {
        let host = &mut self.hosts[index];
        host.process.as_mut().with_context(|| format!("{} is not running", host.name))
    }

    /// Kills the daemon of a host.
    ///
    /// # Errors
    ///
    /// Returns an error where the daemon is not running.
    pub fn kill_host(&mut self, index: usize) -> anyhow::Result<()> {
        let process = self.hosts[index].process.take().context("the host is not running")?;
        process.kill()
    }

    /// Returns the HTTP addresses of the hosts of a zone.
    #[must_use]
    pub fn zone_hosts(&self, zone: &str) -> Vec<Box<str>> {
        let hosts = self.hosts.iter().filter(|host| &*host.zone == zone);
        hosts.map(|host| host.http.to_string().into()).collect()
    }

    /// Returns the URL of a path on a host.
    #[must_use]
    pub fn url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.hosts[index].http)
    }

    /// Returns whether a host accepts work, that is, answers `/readyz` with 200.
    #[must_use]
    pub fn is_ready(&self, index: usize) -> bool {
        self.client.get(&self.url(index, "/readyz")).is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until every host accepts work and reports a leader for the fleet and for each zone.
    ///
    /// # Errors
    ///
    /// Returns an error where a daemon has exited or the fleet is not ready within `timeout`.
    pub fn wait_ready(&self, timeout: Duration) -> anyhow::Result<Duration> {
        let count = self.hosts.len();
        let mut exited = None;
        let time = wait_until("every host is ready and every group has a leader", timeout, || {
            exited = self.hosts.iter().find(|host| host.has_exited());
            exited.is_some()
                || ((0..count).all(|index| self.is_ready(index))
                    && (0..count).all(|index| self.reports_leaders(index)))
        })?;
        if let Some(host) = exited {
            bail!("{} has exited:\n{}", host.name, host.log_end());
        }
        Ok(time)
    }

    /// Returns whether a host reports a leader for the fleet and for each zone.
    #[must_use]
    pub fn reports_leaders(&self, index: usize) -> bool {
        let zones: std::collections::BTreeSet<&str> =
            self.hosts.iter().map(|host| &*host.zone).collect();
        let Ok(hosts) = self.client.get_json(&self.url(index, "/v1/operator/hosts")) else {
            return false;
        };
        let Some(hosts) = hosts.as_array() else { return false };
        let led_groups = hosts.iter().filter_map(|host| host["leads"].as_array());
        led_groups.map(Vec::len).sum::<usize>() > zones.len()
    }

    /// Returns the version of the settings that are in force on a host.
    ///
    /// # Errors
    ///
    /// Returns an error where the host does not answer.
    pub fn settings_version(&self, index: usize) -> anyhow::Result<u64> {
        let report = self.client.get_json(&self.url(index, "/v1/operator/settings"))?;
        report["version"].as_u64().context("the settings report has no version")
    }

    /// Proposes a change of the settings to a host.
    ///
    /// # Errors
    ///
    /// Returns an error where no complete answer arrives. A rejected change is an answer.
    pub fn propose_change(
        &self,
        index: usize,
        change: &ChangeBody,
    ) -> anyhow::Result<ChangeAnswer> {
        let answer: Answer = self.client.post(&self.url(index, "/v1/operator/changes"), change)?;
        answer.json()
    }

    /// Stops all daemons with SIGTERM, on which they finish their open work.
    ///
    /// # Errors
    ///
    /// Returns an error where a daemon does not exit within `timeout` or exits with a failure.
    pub fn close(mut self, timeout: Duration) -> anyhow::Result<()> {
        let mut processes = Vec::new();
        for host in &mut self.hosts {
            let Some(process) = host.process.take() else { continue };
            process.signal(Signal::TERM)?;
            processes.push(process);
        }
        for process in &mut processes {
            let status = process.wait(timeout)?;
            anyhow::ensure!(status.success(), "{} exited with {status}", process.name());
        }
        Ok(())
    }
}
