//! Round-robin placement, as a baseline.

use rand_pcg::Pcg64Mcg;

use crate::policy::{Candidate, Placement};

/// Chooses the candidates in turn.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Placement for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _rng: &mut Pcg64Mcg) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(self.turn % candidates.len())
    }
}
