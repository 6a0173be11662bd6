//! The settings of a gateway, read from an INI file and validated.

mod provider;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use chestnutdrift_core::gateway::{DeploymentTimes, GatewaySettings, Role, WorkspaceSettings};
use chestnutdrift_core::{HostId, Millis};
use ini::Ini;
use log::LevelFilter;

use super::protocol::Listener;
use crate::gateway::settings::provider::Provider;
use crate::logging::LogSettings;
use crate::settings::{Section, SettingsError, load, parse_bytes, parse_duration};

const HOST_KEYS: [&str; 8] =
    ["name", "role", "ip", "zone", "data", "first_start", "seed", "election"];
const LISTEN_KEYS: [&str; 5] = ["callers", "readiness", "control", "metrics", "links"];
const SEED_KEYS: [&str; 1] = ["control"];
const LIMIT_KEYS: [&str; 3] = ["connections", "tolerated", "memory"];
const TIME_KEYS: [&str; 4] = ["announce_every", "order_lease", "grace", "results_kept"];
const CAPACITY_KEYS: [&str; 1] = ["learned"];
const LOG_KEYS: [&str; 1] = ["level"];
const WORKSPACE_KEYS: [&str; 2] = ["fail_closed", "revocation"];
const SECTIONS: [&str; 10] = [
    "host",
    "regions",
    "listen",
    "seeds",
    "limits",
    "times",
    "workspaces",
    "provider",
    "capacity",
    "log",
];

/// The default limit of open connections from callers, operators and upstreams; it leaves file
/// descriptors for connections to upstreams.
const DEFAULT_MAX_CONNECTIONS: usize = 2_000;

/// The smallest memory limit, in bytes: a process that holds no jobs needs most of it.
const MIN_MEMORY_LIMIT_BYTES: u64 = 32 << 20;

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettingsFile {
    /// The file that they were read from.
    pub path: PathBuf,
    /// The settings of the core; the instance ids are set when the host starts.
    pub gateway: GatewaySettings,
    /// The data folder; `None` where the host has no disk.
    pub data_dir: Option<PathBuf>,
    /// The address of each listener; one without an address is left out.
    pub listeners: BTreeMap<Listener, SocketAddr>,
    /// The address for links from other hosts; all hosts use the same port.
    pub link_address: SocketAddr,
    /// The address of the infrastructure provider; `None` if the deployment has none.
    pub provider_address: Option<Arc<str>>,
    /// The maximum number of open connections to the listeners.
    pub max_connections: usize,
    /// The log's settings.
    pub log: LogSettings,
}

impl GatewaySettingsFile {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns the first error, with the file, section and key, and the expected value.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let ini = load(path, &|name| SECTIONS.contains(&name), "one of the sections of a gateway")?;
        let host = Section::open(path, &ini, "host", &HOST_KEYS)?;
        let listen = Section::open(path, &ini, "listen", &LISTEN_KEYS)?;
        let limits = Section::open(path, &ini, "limits", &LIMIT_KEYS)?;
        let Provider { address, settings } = provider::read(path, &ini)?;
        let file = Self {
            path: path.into(),
            gateway: gateway(path, &ini, &host, &limits)?.provider(settings),
            provider_address: address,
            data_dir: host.text("data").filter(|text| !text.is_empty()).map(PathBuf::from),
            listeners: listeners(&listen)?,
            link_address: required_address(&listen, "links")?.into(),
            max_connections: limits.number("connections", DEFAULT_MAX_CONNECTIONS)?,
            log: log(path, &ini)?,
        };
        file.check(&host)?;
        Ok(file)
    }

    fn check(&self, host: &Section<'_>) -> Result<(), SettingsError> {
        let is_store = self.gateway.role == Role::Store;
        if is_store == self.data_dir.is_some() {
            return Ok(());
        }
        let problem = if is_store { "is missing" } else { "is set" };
        Err(host.error("data", problem, "a data folder exactly where role = store"))
    }
}

fn gateway(
    path: &Path,
    ini: &Ini,
    host: &Section<'_>,
    limits: &Section<'_>,
) -> Result<GatewaySettings, SettingsError> {
    let expected = "an IPv4 address";
    let ip: Ipv4Addr = host
        .required("ip", expected)?
        .parse()
        .map_err(|_| host.error("ip", "can't be read", expected))?;
    let role = match host.required("role", "entry or store")? {
        "entry" => Role::Entry,
        "store" => Role::Store,
        other => return Err(host.error("role", format!("{other:?}"), "entry or store")),
    };
    let name = host.required("name", "the name of this host")?;
    let zone = host.required("zone", "the name of its availability zone")?;
    let first_start =
        host.parse_or("first_start", false, "true or false", |text| text.parse().ok())?;
    let election = host.duration("election", Duration::from_millis(1_200))?;
    let settings = GatewaySettings::new(HostId(ip.to_bits()), name, zone, role)
        .seeds(seeds(path, ini)?)
        .regions(regions(path, ini)?)
        .first_start(first_start)
        .tolerated_losses(limits.number("tolerated", 1)?)
        .seed(host.number("seed", 0)?)
        .election_timeout(millis(election))
        .times(deployment_times(path, ini)?)
        .memory_limit(memory_limit(limits)?)
        .workspaces(workspaces(path, ini)?)
        .learned_capacity(learned_capacity(path, ini)?);
    Ok(settings)
}

fn memory_limit(limits: &Section<'_>) -> Result<Option<u64>, SettingsError> {
    const KEY: &str = "memory";
    let Some(text) = limits.text(KEY).filter(|text| !text.is_empty()) else { return Ok(None) };
    let expected = "a size of at least 32MiB with its unit, such as 128MiB";
    let bytes = parse_bytes(text)
        .ok_or_else(|| limits.error(KEY, format!("{text:?} can't be read"), expected))?;
    if bytes < MIN_MEMORY_LIMIT_BYTES {
        return Err(limits.error(KEY, format!("{text:?} is too small"), expected));
    }
    Ok(Some(bytes))
}

fn learned_capacity(path: &Path, ini: &Ini) -> Result<bool, SettingsError> {
    let section = Section::open(path, ini, "capacity", &CAPACITY_KEYS)?;
    section.parse_or("learned", false, "true or false", |text| text.parse().ok())
}

fn seeds(path: &Path, ini: &Ini) -> Result<Vec<HostId>, SettingsError> {
    let section = Section::open(path, ini, "seeds", &SEED_KEYS)?;
    let mut seeds = Vec::new();
    for text in section.text("control").unwrap_or_default().split(',') {
        let text = text.trim();
        if text.is_empty() {
            continue;
        }
        let address: SocketAddrV4 = text.parse().map_err(|_| {
            let expected = "IPv4 addresses with ports, with commas between them";
            section.error("control", format!("{text:?} can't be read"), expected)
        })?;
        seeds.push(HostId(address.ip().to_bits()));
    }
    Ok(seeds)
}

fn regions(path: &Path, ini: &Ini) -> Result<BTreeMap<Box<str>, Box<str>>, SettingsError> {
    let mut regions = BTreeMap::new();
    let Some(section) = ini.section(Some("regions")) else { return Ok(regions) };
    for (zone, region) in section {
        if region.trim().is_empty() {
            let expected = "the region of the availability zone";
            return Err(SettingsError::new(path, "regions", zone, "is empty", expected));
        }
        regions.insert(zone.into(), region.trim().into());
    }
    Ok(regions)
}

fn listeners(listen: &Section<'_>) -> Result<BTreeMap<Listener, SocketAddr>, SettingsError> {
    let listeners = [
        (Listener::Callers, "callers"),
        (Listener::Readiness, "readiness"),
        (Listener::Control, "control"),
        (Listener::Metrics, "metrics"),
    ];
    let mut found = BTreeMap::new();
    for (listener, key) in listeners {
        if listen.text(key).is_none_or(str::is_empty) {
            continue;
        }
        found.insert(listener, required_address(listen, key)?.into());
    }
    Ok(found)
}

fn required_address(listen: &Section<'_>, key: &str) -> Result<SocketAddrV4, SettingsError> {
    let expected = "an IPv4 address and port, such as 10.0.0.7:7100";
    let text = listen.required(key, expected)?;
    text.parse().map_err(|_| listen.error(key, format!("{text:?} can't be read"), expected))
}

fn deployment_times(path: &Path, ini: &Ini) -> Result<DeploymentTimes, SettingsError> {
    let times = Section::open(path, ini, "times", &TIME_KEYS)?;
    let defaults = DeploymentTimes::default();
    let read = |key: &str, default: Millis| -> Result<Millis, SettingsError> {
        let expected = "a time such as 250ms or 5.7s";
        times.parse_or(key, default, expected, |text| parse_duration(text).map(millis))
    };
    Ok(DeploymentTimes {
        announce_interval: read("announce_every", defaults.announce_interval)?,
        order_lease: read("order_lease", defaults.order_lease)?,
        stop_timeout: read("grace", defaults.stop_timeout)?,
        results_retention: read("results_kept", defaults.results_retention)?,
    })
}

fn workspaces(path: &Path, ini: &Ini) -> Result<WorkspaceSettings, SettingsError> {
    let section = Section::open(path, ini, "workspaces", &WORKSPACE_KEYS)?;
    let defaults = WorkspaceSettings::default();
    // The template leaves the value empty where the deployment does not set it.
    let parse = |text: &str| if text.is_empty() { Some(false) } else { text.parse().ok() };
    let fail_closed = section.parse_or("fail_closed", false, "true or false", parse)?;
    let parse = |text: &str| parse_duration(text).filter(|time| !time.is_zero()).map(millis);
    let expected = "a time above zero, such as 5s";
    let revocation = section.parse_or("revocation", defaults.revocation, expected, parse)?;
    Ok(WorkspaceSettings { fail_closed, revocation })
}

fn log(path: &Path, ini: &Ini) -> Result<LogSettings, SettingsError> {
    let section = Section::open(path, ini, "log", &LOG_KEYS)?;
    let expected = "off, error, warn, info, debug or trace";
    let level = section.parse_or("level", LevelFilter::Info, expected, |text| text.parse().ok())?;
    Ok(LogSettings { level, file: None })
}

fn millis(time: Duration) -> Millis {
    Millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
