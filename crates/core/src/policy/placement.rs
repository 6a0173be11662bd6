//! The border of placement.

use std::fmt::Debug;

use rand_pcg::Pcg64Mcg;

use crate::key::UpstreamKey;

/// An upstream that has room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// This host's requests in flight there.
    pub in_flight: u32,
    /// The most that this host keeps in flight there.
    pub limit: u32,
    /// Requests that the upstream itself reported as waiting, zero where the report is too old.
    pub waiting: u32,
    /// The smoothed time of a request there, in milliseconds; zero where none has ended yet.
    pub latency_ms: u32,
}

/// Chooses the upstream of a request.
pub trait Placement: Debug + Send {
    /// Returns the place of the chosen candidate, or none where there is no candidate.
    fn choose(&mut self, candidates: &[Candidate], rng: &mut Pcg64Mcg) -> Option<usize>;
}
