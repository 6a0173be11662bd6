//! The trait of placement policies.

use std::fmt::Debug;

use rand_pcg::Pcg64Mcg;

use crate::key::UpstreamKey;

/// An upstream with free capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// The most that this host keeps in flight there.
    pub limit: u32,
    /// The waiting requests that the upstream reported; 0 if the report is too old.
    pub waiting: u32,
    /// The moving average of a request's duration there, in milliseconds; 0 before the first.
    pub latency_ms: u32,
}

/// Chooses the upstream for a request.
pub trait Placement: Debug + Send {
    /// Returns the index of the chosen candidate; `None` if there is no candidate.
    fn choose(&mut self, candidates: &[Candidate], rng: &mut Pcg64Mcg) -> Option<usize>;
}
