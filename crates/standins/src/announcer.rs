//! Tells the hosts of a zone, again and again, that an upstream is there.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use chestnutdrift_wire::api::upstream::{AnnounceBody, LeaveBody};

use crate::client::Client;

/// The time between two announcements.
const EVERY: Duration = Duration::from_millis(400);

/// Announces an upstream until it is closed.
#[derive(Debug)]
pub struct Announcer {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
    hosts: Vec<Box<str>>,
    name: Box<str>,
}

impl Announcer {
    /// Starts announcing to the hosts' HTTP addresses; `version` is read anew each time.
    #[must_use]
    pub fn start(hosts: Vec<Box<str>>, body: AnnounceBody, version: Arc<AtomicU64>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, to, name) = (Arc::clone(&stop), hosts.clone(), body.name.clone());
        let thread = std::thread::spawn(move || run(&to, body, &version, &stopped));
        Self { stop, thread, hosts, name }
    }

    /// Falls silent without a word, as a process that is killed does.
    pub fn silence(&self) {
        self.stop.store(true, Ordering::Release);
        self.thread.thread().unpark();
    }

    /// Says that the upstream leaves, and stops.
    pub fn close(self) {
        self.silence();
        let _ = self.thread.join();
        let client = Client::new(Duration::from_secs(1));
        for host in &self.hosts {
            let url = format!("http://{host}/v1/upstreams/leave");
            let _ = client.post(&url, &LeaveBody { name: self.name.clone() });
        }
    }
}

fn run(hosts: &[Box<str>], mut body: AnnounceBody, version: &AtomicU64, stop: &AtomicBool) {
    let client = Client::new(Duration::from_millis(500));
    while !stop.load(Ordering::Acquire) {
        body.version = version.load(Ordering::Acquire);
        for host in hosts {
            let url = format!("http://{host}/v1/upstreams/announce");
            let _ = client.post(&url, &body);
        }
        std::thread::park_timeout(EVERY);
    }
}
