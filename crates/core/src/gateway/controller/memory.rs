//! Memory: keeps the measured memory of the process, and reports when it becomes scarce.
//!
//! Reads: measurements of the memory.
//! Writes: `memory`, `actions`.

use super::Controller;
use crate::gateway::board::Board;
use crate::gateway::event::Event;
use crate::timeline::EventKind;

/// Follows the memory of the process.
#[derive(Debug)]
pub(super) struct Memory;

impl Controller for Memory {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        let Some(Event::MemoryMeasured { allocated }) = event else { return };
        let was_scarce = board.memory.is_scarce();
        board.memory.allocated = *allocated;
        let is_scarce = board.memory.is_scarce();
        if is_scarce == was_scarce {
            return;
        }
        let name = board.cfg.name.clone();
        let limit = board.memory.limit.unwrap_or_default();
        let detail = format!("memory_scarce={is_scarce} allocated={allocated} limit={limit}");
        board.note(EventKind::Dependency, name, detail);
    }
}
