//! The settings of one host, read from an INI file and validated.

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

/// The settings of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The file that they were read from.
    pub path: PathBuf,
    /// The host that this process runs.
    pub host: HostSection,
    /// The resource limits of this process.
    pub limits: Limits,
    /// The log's settings.
    pub log: LogSettings,
    /// Every host of the fleet, this one included.
    pub fleet: Vec<Peer>,
}

/// The section `[host]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSection {
    /// The name, which is that of one of the peers.
    pub name: Box<str>,
    /// The data folder; `None` where the host has no disk.
    pub data_dir: Option<PathBuf>,
    /// The seed of random choices. It is combined with the host's incarnation, so that hosts with
    /// equal seeds choose differently.
    pub seed: u64,
    /// The shortest time without a message from a leader before an election.
    pub election_timeout: Duration,
}

/// The section `[limits]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of concurrent calls to upstreams and other hosts; each has a thread.
    pub max_calls: u32,
    /// The maximum number of open connections from callers, upstreams and operators.
    pub max_connections: u32,
    /// The largest request body.
    pub max_body_bytes: u64,
    /// The time-out for receiving the head of a request.
    pub head_timeout: Duration,
    /// The time-out for receiving a body.
    pub body_timeout: Duration,
    /// The number of events that the time line keeps.
    pub timeline_capacity: u32,
}

/// One section `[peer NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The host's description for the core.
    pub spec: PeerSpec,
    /// The address on which it serves HTTP.
    pub http: SocketAddr,
    /// The address on which it accepts links from other hosts.
    pub link: SocketAddr,
}

impl Settings {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns the first error, with the file, section and key, and the expected value.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        reader::read(path)
    }

    /// Returns this host's entry among the peers.
    #[must_use]
    pub fn local_peer(&self) -> &Peer {
        let found = self.fleet.iter().find(|peer| peer.spec.name == self.host.name);
        found.unwrap_or(&self.fleet[0])
    }

    /// Returns the peer with an id.
    #[must_use]
    pub fn peer(&self, id: HostId) -> Option<&Peer> {
        self.fleet.iter().find(|peer| peer.spec.id == id)
    }

    /// Checks that this host's addresses can be bound.
    ///
    /// # Errors
    ///
    /// Returns the address that can't be bound, and the key that sets it.
    pub fn check_addresses(&self) -> Result<(), SettingsError> {
        let local = self.local_peer();
        for (key, address) in [("http", local.http), ("link", local.link)] {
            let Err(error) = TcpListener::bind(address) else { continue };
            let section = format!("peer {}", local.spec.name);
            let problem = format!("{address} can't be bound: {error}");
            let expected = "an address of this machine that no other process listens on";
            return Err(SettingsError::new(&self.path, &section, key, problem, expected));
        }
        Ok(())
    }
}
