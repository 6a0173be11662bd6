//! Reads and validates the INI file; each error names the file, section and key.

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

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    path: PathBuf,
    section: Box<str>,
    key: Box<str>,
    problem: Box<str>,
    expected: Box<str>,
}

impl SettingsError {
    /// Creates an error of a key from the problem and the value that is expected instead.
    #[must_use]
    pub fn new(
        path: &Path,
        section: &str,
        key: &str,
        problem: impl Into<Box<str>>,
        expected: impl Into<Box<str>>,
    ) -> Self {
        let (section, key) = (section.into(), key.into());
        Self { path: path.into(), section, key, problem: problem.into(), expected: expected.into() }
    }
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: [{}] {}: ", self.path.display(), self.section, self.key)?;
        write!(f, "{}; expected {}", self.problem, self.expected)
    }
}

impl std::error::Error for SettingsError {}

const HOST_KEYS: [&str; 4] = ["name", "data", "seed", "election"];
const LIMIT_KEYS: [&str; 6] =
    ["calls", "connections", "body", "head_timeout", "body_timeout", "timeline"];
const LOG_KEYS: [&str; 2] = ["level", "file"];
const PEER_KEYS: [&str; 5] = ["id", "zone", "http", "link", "disk"];

/// Reads and validates a file.
pub(super) fn read(path: &Path) -> Result<Settings, SettingsError> {
    let known = |name: &str| ["host", "limits", "log"].contains(&name) || name.starts_with("peer ");
    let ini = load(path, &known, "[host], [limits], [log] or [peer NAME]")?;
    let settings = Settings {
        path: path.into(),
        host: host(&Section::open(path, &ini, "host", &HOST_KEYS)?)?,
        limits: limits(&Section::open(path, &ini, "limits", &LIMIT_KEYS)?)?,
        log: log(&Section::open(path, &ini, "log", &LOG_KEYS)?)?,
        fleet: fleet(path, &ini)?,
    };
    check_consistency(path, &settings)?;
    Ok(settings)
}

/// Loads an INI file, and returns an error for an unknown section or a key outside of all sections.
pub(crate) fn load(
    path: &Path,
    known: &dyn Fn(&str) -> bool,
    expected: &str,
) -> Result<Ini, SettingsError> {
    let ini = Ini::load_from_file(path).map_err(|error| {
        SettingsError::new(path, "file", "-", error.to_string(), "a readable INI file")
    })?;
    for name in ini.sections().flatten() {
        if !known(name) {
            return Err(SettingsError::new(path, name, "-", "no such section", expected));
        }
    }
    let stray = ini.general_section().iter().next();
    let Some((key, _)) = stray else { return Ok(ini) };
    Err(SettingsError::new(path, "", key, "is outside of all sections", "a section before it"))
}

/// One section, all of whose keys are known; a section that the file lacks has no keys.
pub(crate) struct Section<'a> {
    path: &'a Path,
    name: &'a str,
    keys: Option<&'a Properties>,
}

impl<'a> Section<'a> {
    /// Opens a section, and returns an error for an unknown key.
    pub(crate) fn open(
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
            return Err(section.error(key, "no such key", known.join(", ")));
        }
        Ok(section)
    }

    pub(crate) fn error(
        &self,
        key: &str,
        problem: impl Into<Box<str>>,
        expected: impl Into<Box<str>>,
    ) -> SettingsError {
        SettingsError::new(self.path, self.name, key, problem, expected)
    }

    /// Returns the trimmed value of a key, or `None` where it is not set.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.keys.and_then(|keys| keys.get(key)).map(str::trim)
    }

    /// Returns the value of a key that must be set and not be empty.
    pub(crate) fn required(&self, key: &str, expected: &str) -> Result<&str, SettingsError> {
        let text = self.text(key).filter(|text| !text.is_empty());
        text.ok_or_else(|| self.error(key, "is missing", expected))
    }

    /// Parses the value of a key, or returns `default` where it is not set.
    pub(crate) fn parse_or<T>(
        &self,
        key: &str,
        default: T,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let Some(text) = self.text(key) else { return Ok(default) };
        parse(text).ok_or_else(|| self.error(key, format!("{text:?} can't be read"), expected))
    }

    pub(crate) fn number<T: FromStr>(&self, key: &str, default: T) -> Result<T, SettingsError> {
        self.parse_or(key, default, "a whole number", |text| text.parse().ok())
    }

    pub(crate) fn duration(&self, key: &str, default: Duration) -> Result<Duration, SettingsError> {
        self.parse_or(
            key,
            default,
            "a time with its unit, such as 250ms, 10s or 5min",
            parse_duration,
        )
    }
}

fn host(section: &Section<'_>) -> Result<HostSection, SettingsError> {
    const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
    Ok(HostSection {
        name: section.required("name", "the NAME of one of the [peer NAME] sections")?.into(),
        data_dir: section.text("data").map(PathBuf::from),
        seed: section.number("seed", 0)?,
        election_timeout: section.duration("election", DEFAULT_ELECTION_TIMEOUT)?,
    })
}

fn limits(section: &Section<'_>) -> Result<Limits, SettingsError> {
    const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;
    const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
    const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);
    Ok(Limits {
        max_calls: section.number("calls", 256)?,
        max_connections: section.number("connections", 1_024)?,
        max_body_bytes: section.parse_or(
            "body",
            DEFAULT_MAX_BODY_BYTES,
            "a size with its unit, such as 4MiB",
            parse_bytes,
        )?,
        head_timeout: section.duration("head_timeout", DEFAULT_HEAD_TIMEOUT)?,
        body_timeout: section.duration("body_timeout", DEFAULT_BODY_TIMEOUT)?,
        timeline_capacity: section.number("timeline", 4_096)?,
    })
}

fn log(section: &Section<'_>) -> Result<LogSettings, SettingsError> {
    let expected = "off, error, warn, info, debug or trace";
    Ok(LogSettings {
        level: section.parse_or("level", LevelFilter::Info, expected, |text| text.parse().ok())?,
        file: section.text("file").map(PathBuf::from),
    })
}

fn fleet(path: &Path, ini: &Ini) -> Result<Vec<Peer>, SettingsError> {
    let mut fleet = Vec::new();
    for name in ini.sections().flatten() {
        let Some(peer) = name.strip_prefix("peer ") else { continue };
        let section = Section::open(path, ini, name, &PEER_KEYS)?;
        fleet.push(read_peer(&section, peer)?);
    }
    Ok(fleet)
}

fn read_peer(section: &Section<'_>, name: &str) -> Result<Peer, SettingsError> {
    let address = "an IP address and port, such as 10.0.0.7:7100";
    let id = section.required("id", "a number from 1 to 65535")?;
    let id = id.parse().ok().filter(|id| *id > 0);
    let id = id.ok_or_else(|| section.error("id", "can't be used", "a number from 1 to 65535"))?;
    let read = |key: &str| -> Result<SocketAddr, SettingsError> {
        let text = section.required(key, address)?;
        text.parse().map_err(|_| section.error(key, format!("{text:?} can't be read"), address))
    };
    let http = read("http")?;
    let spec = PeerSpec {
        id: HostId(id),
        name: name.into(),
        zone: section.required("zone", "the name of its availability zone")?.into(),
        disk: section.parse_or("disk", false, "yes or no", |text| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        })?,
        http: http.to_string().into(),
    };
    Ok(Peer { spec, http, link: read("link")? })
}

fn check_consistency(path: &Path, settings: &Settings) -> Result<(), SettingsError> {
    let mut ids = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for peer in &settings.fleet {
        let section = format!("peer {}", peer.spec.name);
        if !ids.insert(peer.spec.id) {
            let expected = "a number that no other peer has";
            return Err(SettingsError::new(path, &section, "id", "is used twice", expected));
        }
        for (key, address) in [("http", peer.http), ("link", peer.link)] {
            if addresses.insert(address) {
                continue;
            }
            let expected = "an address that no other key has";
            return Err(SettingsError::new(path, &section, key, "is used twice", expected));
        }
    }
    let local = settings.fleet.iter().find(|peer| peer.spec.name == settings.host.name);
    let Some(local) = local else {
        let problem = format!("there is no [peer {}]", settings.host.name);
        return Err(SettingsError::new(path, "host", "name", problem, "a section for this host"));
    };
    if local.spec.disk == settings.host.data_dir.is_some() {
        return Ok(());
    }
    let problem = "does not agree with disk in this host's [peer] section";
    let expected = "a data folder exactly where disk = yes";
    Err(SettingsError::new(path, "host", "data", problem, expected))
}
