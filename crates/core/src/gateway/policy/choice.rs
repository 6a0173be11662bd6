//! The choice of an upstream for a request.

use std::fmt::Debug;

use rand::RngCore;

use crate::key::UpstreamKey;

/// Minimum response time that another region adds, in microseconds: 20 ms each way.
const OTHER_REGION_US: u64 = 40_000;

/// Response time that another availability zone of the region adds, in microseconds.
const OTHER_ZONE_US: u64 = 1_000;

/// Response time assumed of an upstream that has not answered yet, in microseconds.
const DEFAULT_RESPONSE_TIME_US: u64 = 20_000;

/// An upstream that can take a request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCandidate {
    /// The upstream.
    pub key: UpstreamKey,
    /// Distance: 0 in this zone, 1 in this region, 2 elsewhere.
    pub distance: u8,
    /// Number of this host's requests in flight there.
    pub in_flight: u32,
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Moving average of its response time, in microseconds; zero before the first response.
    pub response_time_us: u64,
    /// Whether an earlier attempt of the request went there.
    pub tried: bool,
    /// Whether it is avoided after recent failures.
    pub avoided: bool,
    /// Whether it is clearly slower than its peers.
    pub slow: bool,
    /// Whether every live store host counts it as silent.
    pub silent: bool,
}

/// Chooses the upstream of a request.
pub trait UpstreamChoice: Debug + Send {
    /// Returns the upstream, or `None` where the request must wait.
    fn choose(
        &self,
        candidates: &[UpstreamCandidate],
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamKey>;
}

/// Chooses the free upstream with the shortest expected response time.
///
/// Upstreams that the request has not tried come first, then those that are not avoided, then those
/// that are not silent. Among these the shortest expected response time wins; ties are broken at
/// random.
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
            (candidate.tried, candidate.avoided, candidate.silent, response_time_bucket(candidate))
        };
        let best = free.clone().map(|candidate| rank(&candidate)).min()?;
        let tied: Vec<&UpstreamCandidate> =
            free.filter(|candidate| rank(candidate) == best).collect();
        let index = rng.next_u32() as usize % tied.len().max(1);
        tied.get(index).map(|candidate| candidate.key)
    }
}

/// Returns the expected response time in buckets of 5 ms.
///
/// Each request in flight adds the response time divided by the number of slots.
pub(super) fn response_time_bucket(candidate: &UpstreamCandidate) -> u64 {
    let distance = match candidate.distance {
        0 => 0,
        1 => OTHER_ZONE_US,
        _ => OTHER_REGION_US,
    };
    let measured = candidate.response_time_us;
    let response = if measured == 0 { DEFAULT_RESPONSE_TIME_US + distance } else { measured };
    let queueing = u64::from(candidate.in_flight) * response / u64::from(candidate.slots.max(1));
    // Similar response times share a bucket, so that the choice among them is random.
    const BUCKET_US: u64 = 5_000;
    (response + queueing) / BUCKET_US
}

/// Chooses any free upstream at random: a simple policy, as a baseline for comparison.
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
        let index = rng.next_u32() as usize % free.len().max(1);
        free.get(index).map(|candidate| candidate.key)
    }
}
