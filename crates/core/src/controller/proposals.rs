//! Proposals: writes the commands that other controllers propose to the logs of the groups.
//!
//! Reads: `groups.proposals`. Writes: `groups` (logs, purposes, refused commands).

use super::Controller;
use crate::board::{Board, CommandOutcome, CommandResult, Proposal};
use crate::error::{ErrorKind, Problem};
use crate::event::Event;

/// Writes proposed commands to the logs.
#[derive(Debug)]
pub(super) struct Proposals;

impl Controller for Proposals {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        for proposal in std::mem::take(&mut board.groups.proposals) {
            propose(board, proposal);
        }
    }
}

fn propose(board: &mut Board, proposal: Proposal) {
    let now = board.now;
    let purpose = proposal.purpose;
    if let Some(group) = board.groups.group_mut(proposal.group) {
        let appended = group.replica.propose(now, proposal.command, &mut group.outbox);
        if let Ok(index) = appended {
            group.pending_commits.insert(index, (group.replica.term(), purpose));
            return;
        }
    }
    let problem = Problem::not_run(ErrorKind::HomeUnreachable, "this host does not lead the group");
    board.groups.rejected.push(CommandResult {
        purpose,
        index: 0,
        outcome: CommandOutcome::NotWritten(problem),
    });
}
