//! An emulation of the platform's load balancer: sends each connection to the next ready host.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

use crate::client::Client;

/// The pause between two readiness checks of the hosts.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct Shared {
    hosts: Vec<SocketAddr>,
    ready: Mutex<Vec<SocketAddr>>,
    turn: AtomicUsize,
    stop: AtomicBool,
}

/// A running balancer.
#[derive(Debug)]
pub struct Balancer {
    runtime: Runtime,
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Balancer {
    /// Starts a balancer in front of hosts.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be bound.
    pub fn start(address: SocketAddr, hosts: Vec<SocketAddr>) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .context("the runtime of the balancer can't be started")?;
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            hosts,
            ready: Mutex::default(),
            turn: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
        });
        check_readiness(&shared);
        let checked = Arc::clone(&shared);
        std::thread::spawn(move || {
            while !checked.stop.load(Ordering::Acquire) {
                check_readiness(&checked);
                std::thread::sleep(CHECK_INTERVAL);
            }
        });
        runtime.spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { runtime, address, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the balancer; open connections break.
    pub fn close(self) {
        self.shared.stop.store(true, Ordering::Release);
        self.runtime.shutdown_background();
    }
}

/// Replaces the list of ready hosts by those that answer `/readyz` with 200.
fn check_readiness(shared: &Shared) {
    let client = Client::new(Duration::from_millis(500));
    let mut ready = Vec::new();
    for host in &shared.hosts {
        let answer = client.get(&format!("http://{host}/readyz"));
        if answer.is_ok_and(|answer| answer.status == 200) {
            ready.push(*host);
        }
    }
    if let Ok(mut known) = shared.ready.lock() {
        *known = ready;
    }
}

/// Forwards connections; one that comes while no host is ready is closed.
async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((mut caller, _)) = listener.accept().await else { continue };
        let ready = shared.ready.lock().map(|ready| ready.clone()).unwrap_or_default();
        if ready.is_empty() {
            continue;
        }
        let turn = shared.turn.fetch_add(1, Ordering::AcqRel);
        let host = ready[turn % ready.len()];
        tokio::spawn(async move {
            let Ok(mut host) = TcpStream::connect(host).await else { return };
            let _ = caller.set_nodelay(true);
            let _ = host.set_nodelay(true);
            let _ = copy_bidirectional(&mut caller, &mut host).await;
        });
    }
}
