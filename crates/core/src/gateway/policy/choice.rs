//! Which upstream gets a request.

use std::fmt::Debug;

use rand::RngCore;

use crate::key::UpstreamKey;

/// An answering time that another region costs at least, in microseconds: two ways of 20 ms.
const REGION_US: u64 = 40_000;

/// An answering time that another availability zone of the region costs, in microseconds.
const ZONE_US: u64 = 1_000;

/// The answering time assumed of an upstream that has not answered yet, in microseconds.
const UNKNOWN_US: u64 = 20_000;

/// An upstream that may be given a request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// How far it is: 0 in this zone, 1 in this region, 2 elsewhere.
    pub distance: u8,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// The moving average of its answering time, in microseconds; zero where nothing is known.
    pub response_time_us: u64,
    /// Whether the request was sent there before.
    pub tried: bool,
    /// Whether it failed lately.
    pub avoided: bool,
    /// Whether no store host has heard it lately.
    pub silent: bool,
}

/// Chooses the upstream of a request.
pub trait UpstreamChoice: Debug + Send {
    /// Returns the upstream, or none where the request is to wait.
    fn choose(
        &self,
        candidates: &[UpstreamCandidate],
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamKey>;
}

/// The upstream with the shortest expected answering time, those that failed lately last.
#[derive(Debug, Clone, Copy)]
pub struct ShortestExpectedTime;

impl UpstreamChoice for ShortestExpectedTime {
    fn choose(
        &self,
        candidates: &[UpstreamCandidate],
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamKey> {
        let free = candidates.iter().filter(|candidate| candidate.in_flight < candidate.slots);
        let rank = |candidate: &&UpstreamCandidate| {
            (candidate.tried, candidate.avoided, candidate.silent, expected_us(candidate))
        };
        let best = free.clone().map(|candidate| rank(&candidate)).min()?;
        let equal: Vec<&UpstreamCandidate> =
            free.filter(|candidate| rank(candidate) == best).collect();
        let at = rng.next_u32() as usize % equal.len().max(1);
        equal.get(at).map(|candidate| candidate.key)
    }
}

/// Returns the expected answering time, in microseconds: the queue counts as whole answers.
fn expected_us(candidate: &UpstreamCandidate) -> u64 {
    let distance = match candidate.distance {
        0 => 0,
        1 => ZONE_US,
        _ => REGION_US,
    };
    let known = candidate.response_time_us;
    let answer = if known == 0 { UNKNOWN_US + distance } else { known };
    let busy = u64::from(candidate.in_flight) * answer / u64::from(candidate.slots.max(1));
    // Answers of equal speed fall into one class, so that the choice among them is random.
    const CLASS_US: u64 = 5_000;
    (answer + busy) / CLASS_US
}

/// Any free upstream, in turn: the plainest policy that works, to compare with.
#[derive(Debug, Clone, Copy)]
pub struct RandomFree;

impl UpstreamChoice for RandomFree {
    fn choose(
        &self,
        candidates: &[UpstreamCandidate],
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamKey> {
        let free: Vec<&UpstreamCandidate> =
            candidates.iter().filter(|candidate| candidate.in_flight < candidate.slots).collect();
        let at = rng.next_u32() as usize % free.len().max(1);
        free.get(at).map(|candidate| candidate.key)
    }
}
