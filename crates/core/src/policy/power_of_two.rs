//! Placement by the power of two random choices.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::policy::{Candidate, Placement};

/// Picks two candidates at random and chooses the one with the shorter expected wait.
///
/// Hosts that share upstreams pick at random each for itself, so they do not all choose the
/// upstream that reported itself idle.
#[derive(Debug, Clone, Copy, Default)]
pub struct PowerOfTwo;

impl Placement for PowerOfTwo {
    fn choose(&mut self, candidates: &[Candidate], rng: &mut Pcg64Mcg) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        let better = cost(&candidates[second]) < cost(&candidates[first]);
        Some(if better { second } else { first })
    }
}

/// Returns the expected wait, in arbitrary units that are only comparable to each other.
fn cost(candidate: &Candidate) -> u64 {
    let ahead = u64::from(candidate.in_flight + candidate.waiting + 1);
    let pace = u64::from(candidate.latency_ms.max(1));
    ahead * pace / u64::from(candidate.limit.max(1))
}
