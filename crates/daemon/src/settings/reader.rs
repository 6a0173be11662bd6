//! Reads the INI file, and says exactly what is wrong with it.

use std::collections::BTreeSet;
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use chestnutdrift_core::{HostId, PeerSpec};
use ini::{Ini, Properties};
use log::LevelFilter;

use super::{HostSection, Limits, LogSettings, Peer, Settings, parse_bytes, parse_duration};

/// A fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    path: PathBuf,
    section: Box<str>,
    key: Box<str>,
    wrong: Box<str>,
    right: Box<str>,
}

impl SettingsError {
    /// Makes a fault of a key: what is wrong, and what would be right.
    #[must_use]
    pub fn new(
        path: &Path,
        section: &str,
        key: &str,
        wrong: impl Into<Box<str>>,
        right: impl Into<Box<str>>,
    ) -> Self {
        let (section, key) = (section.into(), key.into());
        Self { path: path.into(), section, key, wrong: wrong.into(), right: right.into() }
    }
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: [{}] {}: ", self.path.display(), self.section, self.key)?;
        write!(f, "{}; expected {}", self.wrong, self.right)
    }
}

impl std::error::Error for SettingsError {}

const HOST_KEYS: [&str; 4] = ["name", "data", "seed", "election"];
const LIMIT_KEYS: [&str; 6] =
    ["calls", "connections", "body", "head_timeout", "body_timeout", "timeline"];
const LOG_KEYS: [&str; 2] = ["level", "file"];
const PEER_KEYS: [&str; 5] = ["id", "zone", "http", "link", "disk"];

/// Reads and checks a file.
pub(super) fn read(path: &Path) -> Result<Settings, SettingsError> {
    let known = |name: &str| ["host", "limits", "log"].contains(&name) || name.starts_with("peer ");
    let ini = load(path, &known, "[host], [limits], [log] or [peer NAME]")?;
    let settings = Settings {
        path: path.into(),
        host: host(&Section::named(path, &ini, "host", &HOST_KEYS)?)?,
        limits: limits(&Section::named(path, &ini, "limits", &LIMIT_KEYS)?)?,
        log: log(&Section::named(path, &ini, "log", &LOG_KEYS)?)?,
        fleet: fleet(path, &ini)?,
    };
    check_whole(path, &settings)?;
    Ok(settings)
}

/// Reads an INI file whose sections are all known.
pub(crate) fn load(
    path: &Path,
    known: &dyn Fn(&str) -> bool,
    right: &str,
) -> Result<Ini, SettingsError> {
    let ini = Ini::load_from_file(path).map_err(|error| {
        SettingsError::new(path, "file", "-", error.to_string(), "a readable INI file")
    })?;
    for name in ini.sections().flatten() {
        if !known(name) {
            return Err(SettingsError::new(path, name, "-", "no such section", right));
        }
    }
    let outside = ini.general_section().iter().next();
    let Some((key, _)) = outside else { return Ok(ini) };
    Err(SettingsError::new(path, "", key, "stands outside every section", "a section before it"))
}

/// One section, whose keys have been checked.
pub(crate) struct Section<'a> {
    path: &'a Path,
    name: &'a str,
    keys: Option<&'a Properties>,
}

impl<'a> Section<'a> {
    pub(crate) fn named(
        path: &'a Path,
        ini: &'a Ini,
        name: &'a str,
        known: &[&str],
    ) -> Result<Self, SettingsError> {
        let section = Self { path, name, keys: ini.section(Some(name)) };
        for (key, _) in section.keys.into_iter().flat_map(Properties::iter) {
            if known.contains(&key) {
                continue;
            }
            return Err(section.fault(key, "no such key", known.join(", ")));
        }
        Ok(section)
    }

    pub(crate) fn fault(
        &self,
        key: &str,
        wrong: impl Into<Box<str>>,
        right: impl Into<Box<str>>,
    ) -> SettingsError {
        SettingsError::new(self.path, self.name, key, wrong, right)
    }

    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.keys.and_then(|keys| keys.get(key)).map(str::trim)
    }

    pub(crate) fn required(&self, key: &str, right: &str) -> Result<&str, SettingsError> {
        let text = self.text(key).filter(|text| !text.is_empty());
        text.ok_or_else(|| self.fault(key, "is missing", right))
    }

    pub(crate) fn with<T>(
        &self,
        key: &str,
        default: T,
        right: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let Some(text) = self.text(key) else { return Ok(default) };
        parse(text).ok_or_else(|| self.fault(key, format!("{text:?} can't be read"), right))
    }

    pub(crate) fn number<T: FromStr>(&self, key: &str, default: T) -> Result<T, SettingsError> {
        self.with(key, default, "a whole number", |text| text.parse().ok())
    }

    pub(crate) fn duration(&self, key: &str, default: Duration) -> Result<Duration, SettingsError> {
        self.with(key, default, "a time with its unit, such as 250ms, 10s or 5min", parse_duration)
    }
}

fn host(section: &Section<'_>) -> Result<HostSection, SettingsError> {
    const ELECTION: Duration = Duration::from_millis(1_000);
    Ok(HostSection {
        name: section.required("name", "the NAME of one of the [peer NAME] sections")?.into(),
        data: section.text("data").map(PathBuf::from),
        seed: section.number("seed", 0)?,
        election_timeout: section.duration("election", ELECTION)?,
    })
}

fn limits(section: &Section<'_>) -> Result<Limits, SettingsError> {
    const BODY: u64 = 4 << 20;
    const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
    const BODY_TIMEOUT: Duration = Duration::from_secs(10);
    Ok(Limits {
        max_calls: section.number("calls", 256)?,
        max_connections: section.number("connections", 1_024)?,
        max_body_bytes: section.with(
            "body",
            BODY,
            "a size with its unit, such as 4MiB",
            parse_bytes,
        )?,
        head_timeout: section.duration("head_timeout", HEAD_TIMEOUT)?,
        body_timeout: section.duration("body_timeout", BODY_TIMEOUT)?,
        timeline_capacity: section.number("timeline", 4_096)?,
    })
}

fn log(section: &Section<'_>) -> Result<LogSettings, SettingsError> {
    let right = "off, error, warn, info, debug or trace";
    Ok(LogSettings {
        level: section.with("level", LevelFilter::Info, right, |text| text.parse().ok())?,
        file: section.text("file").map(PathBuf::from),
    })
}

fn fleet(path: &Path, ini: &Ini) -> Result<Vec<Peer>, SettingsError> {
    let mut fleet = Vec::new();
    for name in ini.sections().flatten() {
        let Some(peer) = name.strip_prefix("peer ") else { continue };
        let section = Section::named(path, ini, name, &PEER_KEYS)?;
        fleet.push(one_peer(&section, peer)?);
    }
    Ok(fleet)
}

fn one_peer(section: &Section<'_>, name: &str) -> Result<Peer, SettingsError> {
    let address = "an IP number and port, such as 10.0.0.7:7100";
    let id = section.required("id", "a number from 1 to 65535")?;
    let id = id.parse().ok().filter(|id| *id > 0);
    let id = id.ok_or_else(|| section.fault("id", "can't be used", "a number from 1 to 65535"))?;
    let read = |key: &str| -> Result<SocketAddr, SettingsError> {
        let text = section.required(key, address)?;
        text.parse().map_err(|_| section.fault(key, format!("{text:?} can't be read"), address))
    };
    let http = read("http")?;
    let spec = PeerSpec {
        id: HostId(id),
        name: name.into(),
        zone: section.required("zone", "the name of its availability zone")?.into(),
        disk: section.with("disk", false, "yes or no", |text| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })?,
        http: http.to_string().into(),
    };
    Ok(Peer { spec, http, link: read("link")? })
}

fn check_whole(path: &Path, settings: &Settings) -> Result<(), SettingsError> {
    let mut ids = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for peer in &settings.fleet {
        let section = format!("peer {}", peer.spec.name);
        if !ids.insert(peer.spec.id) {
            let right = "a number that no other peer has";
            return Err(SettingsError::new(path, &section, "id", "is used twice", right));
        }
        for (key, address) in [("http", peer.http), ("link", peer.link)] {
            if addresses.insert(address) {
                continue;
            }
            let right = "an address that no other key has";
            return Err(SettingsError::new(path, &section, key, "is used twice", right));
        }
    }
    let me = settings.fleet.iter().find(|peer| peer.spec.name == settings.host.name);
    let Some(me) = me else {
        let wrong = format!("there is no [peer {}]", settings.host.name);
        return Err(SettingsError::new(path, "host", "name", wrong, "a section for this host"));
    };
    if me.spec.disk == settings.host.data.is_some() {
        return Ok(());
    }
    let wrong = "does not agree with disk in this host's [peer] section";
    let right = "a data folder exactly where disk = yes";
    Err(SettingsError::new(path, "host", "data", wrong, right))
}
