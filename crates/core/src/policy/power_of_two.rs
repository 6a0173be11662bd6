//! Placement by two random choices.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::policy::{Candidate, Placement};

/// Draws two candidates and takes the one with less expected wait.
///
/// Hosts that share upstreams draw differently, so they do not all run to the one that was
/// reported as idle.
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

/// Returns the expected wait, in units that only serve to compare.
fn cost(candidate: &Candidate) -> u64 {
    let ahead = u64::from(candidate.in_flight + candidate.waiting + 1);
    let pace = u64::from(candidate.latency_ms.max(1));
    ahead * pace / u64::from(candidate.limit.max(1))
}
