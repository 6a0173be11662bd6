//! Periodic announcements of an upstream to the hosts of its zone.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use chestnutdrift_wire::api::upstream::{AnnounceBody, LeaveBody};

use crate::client::Client;

/// The pause between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// A thread that announces an upstream until it is stopped.
#[derive(Debug)]
pub struct Announcer {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
    hosts: Vec<Box<str>>,
    name: Box<str>,
}

impl Announcer {
    /// Starts to announce the upstream of `body` to the HTTP addresses in `hosts`.
    ///
    /// Each announcement carries the current value of `version`.
    #[must_use]
    pub fn start(hosts: Vec<Box<str>>, body: AnnounceBody, version: Arc<AtomicU64>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (stop_flag, targets, name) = (Arc::clone(&stop), hosts.clone(), body.name.clone());
        let thread = std::thread::spawn(move || run(&targets, body, &version, &stop_flag));
        Self { stop, thread, hosts, name }
    }

    /// Stops the announcements without notice, as when the process is killed.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        self.thread.thread().unpark();
    }

    /// Stops the announcements and sends the hosts a notice that the upstream leaves.
    pub fn close(self) {
        self.stop();
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
        std::thread::park_timeout(ANNOUNCE_INTERVAL);
    }
}
