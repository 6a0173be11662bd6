//! The choice of an upstream for a request by learned capacity.

use rand::RngCore;

use super::choice::{UpstreamCandidate, UpstreamChoice, response_time_bucket};
use crate::key::UpstreamKey;

/// One in this many requests goes to a slow upstream, to find out whether it still is.
const REQUESTS_PER_PROBE: u32 = 256;

/// Chooses the free upstream with the shortest expected response time, and slow ones last.
///
/// Upstreams that the request has not tried come first, then those that are not avoided, those that
/// are not silent, and those that are not slow. Among these the shortest expected response time
/// wins; ties are broken at random, so that hosts with the same knowledge choose differently.
#[derive(Debug, Clone, Copy)]
pub struct LearnedChoice;

impl UpstreamChoice for LearnedChoice {
    fn choose(
        &self,
        candidates: &[UpstreamCandidate],
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamKey> {
        let free = candidates.iter().filter(|candidate| candidate.in_flight < candidate.slots);
        let rank = |candidate: &UpstreamCandidate| {
            let UpstreamCandidate { tried, avoided, silent, slow, .. } = *candidate;
            (tried, avoided, silent, slow, response_time_bucket(candidate))
        };
        let is_probe = |candidate: &UpstreamCandidate| {
            let UpstreamCandidate { tried, avoided, silent, slow, in_flight, .. } = *candidate;
            slow && in_flight == 0 && !tried && !avoided && !silent
        };
        let mut chosen: Vec<&UpstreamCandidate> = Vec::new();
        if candidates.iter().any(is_probe) && rng.next_u32().is_multiple_of(REQUESTS_PER_PROBE) {
            chosen = free.clone().filter(|candidate| is_probe(candidate)).collect();
        }
        if chosen.is_empty() {
            let best = free.clone().map(rank).min()?;
            chosen = free.filter(|candidate| rank(candidate) == best).collect();
        }
        let index = rng.next_u32() as usize % chosen.len().max(1);
        chosen.get(index).map(|candidate| candidate.key)
    }
}
