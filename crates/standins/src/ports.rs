//! Loopback addresses that no other process takes until their daemons have bound them.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

use anyhow::Context;
use tokio::net::TcpSocket;

/// The first port of the first block. All blocks are below the range from which the system takes
/// the ports of outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// The number of ports of a block, the first of which is its guard.
const PORTS_PER_BLOCK: u16 = 200;

/// The number of blocks of ports.
const PORT_BLOCKS: u16 = 90;

/// A range of ports that belongs to this process until it ends.
#[derive(Debug)]
struct PortBlock {
    /// Listens on the first port of the block, which other processes that claim it find in use.
    _guard: TcpListener,
    next: u16,
    end: u16,
}

impl PortBlock {
    /// Claims a block; the process id picks the first one to try.
    fn claim() -> anyhow::Result<Self> {
        let picked = std::process::id() % u32::from(PORT_BLOCKS);
        let picked = u16::try_from(picked)?;
        for offset in 0..PORT_BLOCKS {
            let first = FIRST_PORT + (picked + offset) % PORT_BLOCKS * PORTS_PER_BLOCK;
            let Ok(guard) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) else { continue };
            return Ok(Self { _guard: guard, next: first + 1, end: first + PORTS_PER_BLOCK });
        }
        anyhow::bail!("all {PORT_BLOCKS} blocks of ports are in use")
    }

    /// Returns the next free address; `None` where the block has no more.
    fn next_address(&mut self) -> Option<SocketAddr> {
        while self.next < self.end {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            if is_free(address) {
                return Some(address);
            }
        }
        None
    }
}

/// Returns whether no socket listens on an address.
///
/// The probing socket does not listen: a child that another thread starts holds a copy of it until
/// its exec, and a listening copy would keep the daemon from its address.
fn is_free(address: SocketAddr) -> bool {
    let Ok(socket) = TcpSocket::new_v4() else { return false };
    socket.set_reuseaddr(true).and_then(|()| socket.bind(address)).is_ok()
}

/// The blocks of this process; addresses come from the last one.
static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Returns free loopback addresses; each is handed out once in the life of this process.
///
/// # Errors
///
/// Returns an error where all blocks of ports are in use.
pub fn free_addresses(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    let mut addresses = Vec::new();
    while addresses.len() < count {
        if let Some(address) = blocks.last_mut().and_then(PortBlock::next_address) {
            addresses.push(address);
            continue;
        }
        let block = PortBlock::claim().with_context(|| format!("{count} ports are needed"))?;
        blocks.push(block);
    }
    Ok(addresses)
}
