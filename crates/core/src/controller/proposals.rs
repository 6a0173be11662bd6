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
        for wish in std::mem::take(&mut board.groups.proposals) {
            propose(board, wish);
        }
    }
}

fn propose(board: &mut Board, wish: Proposal) {
    let now = board.now;
    let purpose = wish.purpose;
    if let Some(group) = board.groups.group_mut(wish.group) {
        let written = group.replica.propose(now, wish.command, &mut group.outbox);
        if let Ok(index) = written {
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
