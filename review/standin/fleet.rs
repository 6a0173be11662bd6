//! The project's own program as separate processes on loopback addresses, with the settings that the
//! platform renders from `deploy/host.ini`.

use std::fs;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http;
use crate::record::Record;

const LINK_PORT: u16 = 7300;
const CALLER_PORT: u16 = 7310;
const READY_PORT: u16 = 7311;
const CONTROL_PORT: u16 = 7312;
const METRICS_PORT: u16 = 9464;

/// The program that `deploy/system.toml` runs.
const PROGRAM: &str = "target/release/chestnutdrift-platform";

type SharedChild = Arc<Mutex<Option<Child>>>;

/// The processes that were started.
static STARTED: Mutex<Vec<SharedChild>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for child in STARTED.lock().expect("a lock").drain(..) {
        let Some(mut child) = child.lock().expect("a lock").take() else { continue };
        // Both calls fail for a process that has ended, which is fine.
        let _ = child.kill();
        let _ = child.wait();
    }
}

struct Host {
    name: String,
    ip: Ipv4Addr,
    is_store: bool,
    child: SharedChild,
}

/// The hosts of a small deployment: entries first, then stores, in three zones.
pub struct Fleet {
    hosts: Vec<Host>,
    entries: usize,
    folder: PathBuf,
}

impl Fleet {
    /// Starts all hosts for the first time, with empty disks.
    pub fn start(entries: usize, stores: usize, record: &Record) -> Self {
        let folder = std::env::var_os("REVIEW_FOLDER")
            .map(PathBuf::from)
            .expect("REVIEW_FOLDER is set by run.sh");
        let subnet = free_subnet();
        let mut hosts = Vec::new();
        for at in 0..entries + stores {
            let is_store = at >= entries;
            let (role, number) = if is_store { ("store", at - entries) } else { ("entry", at) };
            let ip = Ipv4Addr::new(
                127,
                subnet.0,
                subnet.1,
                u8::try_from(at + 1).expect("a small fleet"),
            );
            let child = SharedChild::default();
            STARTED.lock().expect("a lock").push(Arc::clone(&child));
            hosts.push(Host { name: format!("{role}-{number}"), ip, is_store, child });
        }
        let fleet = Self { hosts, entries, folder };
        for at in 0..fleet.hosts.len() {
            fleet.write_settings(at);
            fleet.spawn(at);
        }
        record.line(&format!("started {entries} entries and {stores} stores"));
        fleet
    }

    /// Returns the address of an entry for callers.
    pub fn entry(&self, at: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.hosts[at % self.entries].ip), CALLER_PORT)
    }

    /// Returns the number of entries.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Returns the addresses of the stores for operators and workers.
    pub fn control(&self) -> Vec<SocketAddr> {
        let stores = self.hosts.iter().filter(|host| host.is_store);
        stores.map(|host| SocketAddr::new(IpAddr::V4(host.ip), CONTROL_PORT)).collect()
    }

    /// Returns whether an entry reports that it is ready.
    pub fn is_ready(&self, at: usize) -> bool {
        let to = SocketAddr::new(IpAddr::V4(self.hosts[at].ip), READY_PORT);
        http::call(to, ("GET", "/api/ready"), &[], &[], Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns whether all processes run.
    pub fn all_run(&self) -> bool {
        let runs = |host: &Host| {
            let mut child = host.child.lock().expect("a lock");
            child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        };
        self.hosts.iter().all(runs)
    }

    fn spawn(&self, at: usize) {
        let host = &self.hosts[at];
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", host.name)));
        let child = Command::new(PROGRAM)
            .env("CHESTNUTDRIFT_SETTINGS", self.folder.join(format!("{}.ini", host.name)))
            .stdout(Stdio::from(log.expect("a log file")))
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file is built");
        // run.sh ends what is listed here if this process dies first.
        let mut pids = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"))
            .expect("a file");
        writeln!(pids, "{}", child.id()).expect("a written line");
        *host.child.lock().expect("a lock") = Some(child);
    }

    fn write_settings(&self, at: usize) {
        let Host { name, ip, is_store, .. } = &self.hosts[at];
        let seeds: Vec<String> = self.control().iter().take(3).map(SocketAddr::to_string).collect();
        let data = if *is_store {
            self.folder.join(format!("data-{name}")).display().to_string()
        } else {
            String::new()
        };
        let listen = if *is_store {
            format!("callers = \nreadiness = \ncontrol = {ip}:{CONTROL_PORT}")
        } else {
            format!("callers = {ip}:{CALLER_PORT}\nreadiness = {ip}:{READY_PORT}\ncontrol = ")
        };
        let (role, memory) = if *is_store { ("store", 340) } else { ("entry", 260) };
        let text = format!(
            "[host]\nname = {name}\nrole = {role}\nip = {ip}\nzone = zone-{}\ndata = {data}\n\
             first_start = true\n\n[regions]\nzone-0 = region-0\nzone-1 = region-1\nzone-2 = region-2\n\n\
             [listen]\n{listen}\nlinks = {ip}:{LINK_PORT}\nmetrics = {ip}:{METRICS_PORT}\n\n\
             [seeds]\ncontrol = {}\n\n[limits]\ntolerated = 1\nmemory = {memory}000000B\n\n\
             [times]\nannounce_every = 1200ms\norder_lease = 3000ms\ngrace = 8s\nresults_kept = 120s\n\n\
             [log]\nlevel = info\n",
            at % 3,
            seeds.join(",")
        );
        fs::write(self.folder.join(format!("{name}.ini")), text).expect("a settings file");
    }
}

/// Returns the middle bytes of a loopback subnet whose ports are free.
fn free_subnet() -> (u8, u8) {
    let mut number = std::process::id();
    for _ in 0..1_000 {
        number = number.wrapping_mul(1_103_515_245).wrapping_add(12_345);
        let subnet = (
            u8::try_from(1 + (number >> 8) % 250).unwrap_or(1),
            u8::try_from((number >> 16) % 250).unwrap_or(0),
        );
        let is_free = |host: u8| {
            let ports = [LINK_PORT, CALLER_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT];
            ports.iter().all(|port| {
                TcpListener::bind((Ipv4Addr::new(127, subnet.0, subnet.1, host), *port)).is_ok()
            })
        };
        if (1..=12).all(is_free) {
            return subnet;
        }
    }
    panic!("no free loopback addresses");
}
