//! The journal: writes the other controllers' commands to the logs.
//!
//! Reads: `groups.proposals`. Writes: `groups` (logs, purposes, refused commands).

use super::Controller;
use crate::board::{Board, CommandOutcome, CommandResult, Proposal};
use crate::error::{ErrorKind, Problem};
use crate::event::Event;

/// Writes commands to the logs.
#[derive(Debug)]
pub(super) struct Journal;

impl Controller for Journal {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        for wish in std::mem::take(&mut board.groups.proposals) {
            write(board, wish);
        }
    }
}

fn write(board: &mut Board, wish: Proposal) {
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
