//! Holder: determines whether this host performs singleton tasks.
//!
//! Reads: `group` (leadership, holder), `draining`, the clock.
//! Writes: `holder_lease`, `proposals`.
//!
//! Only one host performs them: the leader, under its lease, once the directory names it as the holder
//! by the command `SetOrderer`. A leader that is not yet the holder waits until what the previous one
//! sent can no longer take effect. A host that leads again after a restart is still the holder, and waits
//! until nothing of the process before is in transit.

use super::HolderLease;
use crate::directory::DirectoryCommand;
use crate::gateway::board::Board;
use crate::gateway::controller::Controller;
use crate::gateway::event::Event;
use crate::time::Millis;

/// How much longer than the order lease a new leader waits before it becomes the holder, because what
/// the previous holder sent may still be in transit.
const LEASE_MARGIN: Millis = Millis(300);

/// How long after a process has ended its orders may still arrive: the system drops bytes that are not
/// acknowledged within this time.
const TRANSIT_TIME: Millis = Millis(2_000);

/// Writes the lease of this host on the board.
#[derive(Debug, Default)]
pub struct Holder {
    /// The fencing token under which this host last proposed itself as the holder.
    proposed_fence: u64,
}

impl Controller for Holder {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        board.holder_lease = None;
        let is_due = acts_from(board).is_some_and(|from| board.now.mono >= from);
        if !is_due || board.draining.is_some() {
            return;
        }
        let Some(group) = &board.group else { return };
        let Some(valid_until) = group.replica.lease_end(board.now) else { return };
        let fence = group.replica.fencing_token();
        if is_holder(board) {
            board.holder_lease = Some(HolderLease { fence, valid_until });
            return;
        }
        if self.proposed_fence != fence {
            self.proposed_fence = fence;
            board.proposals.push((DirectoryCommand::SetOrderer { host: board.cfg.id }, None));
            board.another_round = true;
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        acts_from(board).filter(|from| *from > board.now.mono).unwrap_or(Millis::MAX)
    }
}

fn is_holder(board: &Board) -> bool {
    board.group.as_ref().is_some_and(|group| group.directory.orderer == Some(board.cfg.id))
}

/// Returns from when on this host may act as the holder, or may propose itself; `None` if it does not
/// lead.
fn acts_from(board: &Board) -> Option<Millis> {
    if !is_holder(board) {
        return calls_from(board);
    }
    // The monotonic clock begins with the process.
    let previous_process = TRANSIT_TIME + LEASE_MARGIN;
    Some(board.group.as_ref()?.replica.leader_since()?.max(previous_process))
}

/// Returns from when on nothing that was sent before this host began to lead can take effect; `None` if
/// it does not lead.
///
/// Calls to the provider wait for it on every leader, because a process of this host that ran before
/// may have sent some under an earlier fencing token.
#[must_use]
pub fn calls_from(board: &Board) -> Option<Millis> {
    let since = board.group.as_ref()?.replica.leader_since()?;
    Some(since + board.cfg.times.order_lease + LEASE_MARGIN)
}
