//! The network path between the machines and a worker, which a partition can cut.
//!
//! It follows the retransmission of TCP: what is sent during a cut arrives with the first
//! retransmission after the cut has healed. A connection that is reset, or whose bytes stay
//! unacknowledged for the user time-out, loses them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The first retransmission time-out; it doubles each time.
const FIRST_TIMEOUT: Duration = Duration::from_millis(240);

/// The first retransmission time-out of a connection that is being opened.
const FIRST_OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What the path does.
#[derive(Default)]
struct State {
    /// When the path was cut, and whether it still is.
    cut_at: Option<Instant>,
    healed_at: Option<Instant>,
    /// What was sent towards the worker while the path was cut, and when.
    held: Vec<(Instant, Vec<u8>)>,
}

pub struct Path {
    pub address: SocketAddr,
    worker: SocketAddr,
    state: Mutex<State>,
}

impl Path {
    pub fn open(worker: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let path = Arc::new(Self { address, worker, state: Mutex::default() });
        let accepted = Arc::clone(&path);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let path = Arc::clone(&accepted);
                std::thread::spawn(move || path.carry(stream));
            }
        });
        path
    }

    pub fn cut(&self) {
        let mut state = self.state.lock().expect("path");
        (state.cut_at, state.healed_at) = (Some(Instant::now()), None);
    }

    pub fn heal(&self) {
        self.state.lock().expect("path").healed_at = Some(Instant::now());
    }

    /// Returns when something that contains `part` was sent into the cut.
    pub fn held_since(&self, part: &str) -> Option<Instant> {
        let state = self.state.lock().expect("path");
        let held = state.held.iter();
        held.filter(|(_, bytes)| String::from_utf8_lossy(bytes).contains(part))
            .map(|(at, _)| *at)
            .next()
    }

    fn is_cut(&self) -> bool {
        let state = self.state.lock().expect("path");
        state.cut_at.is_some() && state.healed_at.is_none()
    }

    /// Waits until what was sent at `at` arrives.
    fn wait(&self, at: Instant, first: Duration) {
        let (mut next, mut timeout) = (at, first);
        while self.is_cut() {
            next += timeout;
            timeout *= 2;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }

    fn carry(&self, mut caller: TcpStream) {
        let is_opened_in_cut = self.is_cut();
        self.wait(Instant::now(), FIRST_OPEN_TIMEOUT);
        let mut first = Vec::new();
        if is_opened_in_cut {
            // A caller that gave up meanwhile never had a connection.
            let _ = caller.set_nonblocking(true);
            let has_closed = caller.read_to_end(&mut first).is_ok();
            let _ = caller.set_nonblocking(false);
            if has_closed {
                return;
            }
        }
        let Ok(mut worker) = TcpStream::connect(self.worker) else { return };
        let _ = (caller.set_nodelay(true), worker.set_nodelay(true));
        if worker.write_all(&first).is_err() {
            return;
        }
        let (Ok(mut answers), Ok(mut back)) = (worker.try_clone(), caller.try_clone()) else {
            return;
        };
        std::thread::scope(|scope| {
            scope.spawn(|| {
                let mut chunk = [0; 16 * 1024];
                while let Ok(read @ 1..) = answers.read(&mut chunk) {
                    self.wait(Instant::now(), FIRST_TIMEOUT);
                    if back.write_all(&chunk[..read]).is_err() {
                        break;
                    }
                }
                let _ = back.shutdown(Shutdown::Both);
            });
            let mut chunk = [0; 16 * 1024];
            while let Ok(read @ 1..) = caller.read(&mut chunk) {
                let at = Instant::now();
                if self.is_cut() {
                    self.state.lock().expect("path").held.push((at, chunk[..read].to_vec()));
                }
                self.wait(at, FIRST_TIMEOUT);
                if worker.write_all(&chunk[..read]).is_err() {
                    break;
                }
            }
            let _ = worker.shutdown(Shutdown::Write);
        });
    }
}
