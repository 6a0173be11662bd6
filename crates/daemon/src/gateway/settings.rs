//! The settings of a gateway, read from an INI file and checked whole.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use chestnutdrift_core::gateway::{DeploymentTimes, GatewaySettings, Role};
use chestnutdrift_core::{HostId, Millis};
use ini::Ini;
use log::LevelFilter;

use super::protocol::Listener;
use crate::logging::LogSettings;
use crate::settings::{Section, SettingsError, load, parse_duration};

const HOST_KEYS: [&str; 8] =
    ["name", "role", "ip", "zone", "data", "first_start", "seed", "election"];
const LISTEN_KEYS: [&str; 5] = ["callers", "readiness", "control", "metrics", "links"];
const SEED_KEYS: [&str; 1] = ["control"];
const LIMIT_KEYS: [&str; 2] = ["connections", "tolerated"];
const TIME_KEYS: [&str; 4] = ["announce_every", "order_lease", "grace", "results_kept"];
const LOG_KEYS: [&str; 1] = ["level"];
const SECTIONS: [&str; 7] = ["host", "regions", "listen", "seeds", "limits", "times", "log"];

/// Connections from callers, operators and upstreams at a time; descriptors are left for upstreams.
const CONNECTIONS: usize = 2_000;

/// Everything that a gateway is told before it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettingsFile {
    /// The file that it was read from.
    pub path: PathBuf,
    /// What the decisions are told; lives are filled in at the start.
    pub gateway: GatewaySettings,
    /// The data folder, where the host has a disk.
    pub data: Option<PathBuf>,
    /// Where it listens.
    pub listeners: BTreeMap<Listener, SocketAddr>,
    /// Where it takes links from other hosts; every host takes them at the same port.
    pub links: SocketAddr,
    /// Connections from outside at a time.
    pub connections: usize,
    /// The log.
    pub log: LogSettings,
}

impl GatewaySettingsFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns the first fault, with file, section, key and what would be right.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let ini = load(path, &|name| SECTIONS.contains(&name), "one of the sections of a gateway")?;
        let host = Section::named(path, &ini, "host", &HOST_KEYS)?;
        let listen = Section::named(path, &ini, "listen", &LISTEN_KEYS)?;
        let limits = Section::named(path, &ini, "limits", &LIMIT_KEYS)?;
        let file = Self {
            path: path.into(),
            gateway: gateway(path, &ini, &host, &limits)?,
            data: host.text("data").filter(|text| !text.is_empty()).map(PathBuf::from),
            listeners: doors(&listen)?,
            links: required_address(&listen, "links")?.into(),
            connections: limits.number("connections", CONNECTIONS)?,
            log: log(path, &ini)?,
        };
        file.check(&host)?;
        Ok(file)
    }

    fn check(&self, host: &Section<'_>) -> Result<(), SettingsError> {
        let stores = self.gateway.role == Role::Store;
        if stores == self.data.is_some() {
            return Ok(());
        }
        let wrong = if stores { "is missing" } else { "is set" };
        Err(host.fault("data", wrong, "a data folder exactly where role = store"))
    }
}

fn gateway(
    path: &Path,
    ini: &Ini,
    host: &Section<'_>,
    limits: &Section<'_>,
) -> Result<GatewaySettings, SettingsError> {
    let right = "an IPv4 address";
    let ip: Ipv4Addr = host
        .required("ip", right)?
        .parse()
        .map_err(|_| host.fault("ip", "can't be read", right))?;
    let role = match host.required("role", "entry or store")? {
        "entry" => Role::Entry,
        "store" => Role::Store,
        other => return Err(host.fault("role", format!("{other:?}"), "entry or store")),
    };
    let name = host.required("name", "the name of this host")?;
    let zone = host.required("zone", "the name of its availability zone")?;
    let first_start = host.with("first_start", false, "true or false", |text| text.parse().ok())?;
    let election = host.duration("election", Duration::from_millis(1_200))?;
    let settings = GatewaySettings::new(HostId(ip.to_bits()), name, zone, role)
        .seeds(seeds(path, ini)?)
        .regions(regions(path, ini)?)
        .first_start(first_start)
        .tolerated_losses(limits.number("tolerated", 1)?)
        .seed(host.number("seed", 0)?)
        .election_timeout(millis(election))
        .times(bounds(path, ini)?);
    Ok(settings)
}

fn seeds(path: &Path, ini: &Ini) -> Result<Vec<HostId>, SettingsError> {
    let section = Section::named(path, ini, "seeds", &SEED_KEYS)?;
    let mut seeds = Vec::new();
    for text in section.text("control").unwrap_or_default().split(',') {
        let text = text.trim();
        if text.is_empty() {
            continue;
        }
        let address: SocketAddrV4 = text.parse().map_err(|_| {
            let right = "IPv4 addresses with ports, with commas between them";
            section.fault("control", format!("{text:?} can't be read"), right)
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
            let right = "the region of the availability zone";
            return Err(SettingsError::new(path, "regions", zone, "is empty", right));
        }
        regions.insert(zone.into(), region.trim().into());
    }
    Ok(regions)
}

fn doors(listen: &Section<'_>) -> Result<BTreeMap<Listener, SocketAddr>, SettingsError> {
    let doors = [
        (Listener::Callers, "callers"),
        (Listener::Readiness, "readiness"),
        (Listener::Control, "control"),
        (Listener::Metrics, "metrics"),
    ];
    let mut found = BTreeMap::new();
    for (door, key) in doors {
        if listen.text(key).is_none_or(str::is_empty) {
            continue;
        }
        found.insert(door, required_address(listen, key)?.into());
    }
    Ok(found)
}

fn required_address(listen: &Section<'_>, key: &str) -> Result<SocketAddrV4, SettingsError> {
    let right = "an IPv4 address and port, such as 10.0.0.7:7100";
    let text = listen.required(key, right)?;
    text.parse().map_err(|_| listen.fault(key, format!("{text:?} can't be read"), right))
}

fn bounds(path: &Path, ini: &Ini) -> Result<DeploymentTimes, SettingsError> {
    let times = Section::named(path, ini, "times", &TIME_KEYS)?;
    let usual = DeploymentTimes::default();
    let read = |key: &str, usual: Millis| -> Result<Millis, SettingsError> {
        let right = "a time such as 250ms or 5.7s";
        times.with(key, usual, right, |text| parse_duration(text).map(millis))
    };
    Ok(DeploymentTimes {
        announce_interval: read("announce_every", usual.announce_interval)?,
        order_lease: read("order_lease", usual.order_lease)?,
        stop_timeout: read("grace", usual.stop_timeout)?,
        results_retention: read("results_kept", usual.results_retention)?,
    })
}

fn log(path: &Path, ini: &Ini) -> Result<LogSettings, SettingsError> {
    let section = Section::named(path, ini, "log", &LOG_KEYS)?;
    let right = "off, error, warn, info, debug or trace";
    let level = section.with("level", LevelFilter::Info, right, |text| text.parse().ok())?;
    Ok(LogSettings { level, file: None })
}

fn millis(time: Duration) -> Millis {
    Millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
