//! The settings of one host, read from an INI file and checked whole.

mod reader;
mod units;

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use chestnutdrift_core::{HostId, PeerSpec};

pub use crate::logging::LogSettings;
pub use reader::SettingsError;
pub(crate) use reader::{Section, load};
pub use units::{parse_bytes, parse_duration};

/// Everything that a host is told before it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The file that it was read from.
    pub path: PathBuf,
    /// This host.
    pub host: HostSection,
    /// The bounds of this process.
    pub limits: Limits,
    /// The log.
    pub log: LogSettings,
    /// Every host of the fleet, this one too.
    pub fleet: Vec<Peer>,
}

/// The section `[host]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSection {
    /// The name; one of the peers.
    pub name: Box<str>,
    /// The data folder, where the host has a disk.
    pub data: Option<PathBuf>,
    /// The seed of random choices; different on each host even where it is the same here.
    pub seed: u64,
    /// The shortest time without word from a leader before an election.
    pub election_timeout: Duration,
}

/// The section `[limits]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Calls to upstreams and other hosts at a time; one thread each.
    pub max_calls: u32,
    /// Connections from callers, upstreams and operators at a time.
    pub max_connections: u32,
    /// The longest body, in bytes.
    pub max_body_bytes: u64,
    /// How long a connection may take to send the head of a request.
    pub head_timeout: Duration,
    /// How long a connection may take to send a body.
    pub body_timeout: Duration,
    /// Events that the time line keeps.
    pub timeline_capacity: u32,
}

/// One section `[peer NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// What the core is told of the host.
    pub spec: PeerSpec,
    /// Where it takes HTTP.
    pub http: SocketAddr,
    /// Where it takes messages from other hosts.
    pub link: SocketAddr,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns the first fault, with file, section, key and what would be right.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        reader::read(path)
    }

    /// Returns this host among the peers.
    #[must_use]
    pub fn me(&self) -> &Peer {
        let found = self.fleet.iter().find(|peer| peer.spec.name == self.host.name);
        found.unwrap_or(&self.fleet[0])
    }

    /// Returns the peer with a number.
    #[must_use]
    pub fn peer(&self, id: HostId) -> Option<&Peer> {
        self.fleet.iter().find(|peer| peer.spec.id == id)
    }

    /// Checks that this host's addresses can be bound.
    ///
    /// # Errors
    ///
    /// Returns the address that is in use, and by which key it is set.
    pub fn check_addresses(&self) -> Result<(), SettingsError> {
        let me = self.me();
        for (key, address) in [("http", me.http), ("link", me.link)] {
            let Err(error) = TcpListener::bind(address) else { continue };
            let section = format!("peer {}", me.spec.name);
            let wrong = format!("{address} can't be bound: {error}");
            let right = "an address of this machine that no other process listens on";
            return Err(SettingsError::new(&self.path, &section, key, wrong, right));
        }
        Ok(())
    }
}
