//! The memory for the bodies of requests in flight.

use chestnutdrift_core::{ErrorKind, Millis, Problem};

use super::metrics;
use crate::byte_budget::{ByteBudget, ByteReservation};

/// The share of the memory limit, in percent, that the bodies of all requests in flight may take.
///
/// Decoding and encoding a job takes its size some three times in all.
const BODIES_PERCENT: u64 = 25;

/// The size in bytes up to which a body is always read: announcements and reads are smaller, and the
/// number of connections bounds them.
const SMALL_BODY_BYTES: u64 = 4 * 1024;

/// The delay after which a caller may send a request again that was refused for its body.
const RETRY_AFTER: Millis = Millis(1_000);

/// The budget for the bodies of a host.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    budget: ByteBudget,
}

impl BodyMemory {
    /// Creates the budget of a host with a memory limit in bytes; without one, nothing is refused.
    #[must_use]
    pub fn new(memory_limit: Option<u64>) -> Self {
        let max = memory_limit.map(|limit| limit / 100 * BODIES_PERCENT);
        let max = max.and_then(|max| usize::try_from(max).ok()).unwrap_or(usize::MAX);
        Self { budget: ByteBudget::new(max) }
    }

    /// Creates the reservation of a request, for a body of unknown length.
    #[must_use]
    pub fn reservation(&self) -> BodyReservation {
        BodyReservation { reserved: self.budget.reservation() }
    }
}

/// The memory that is reserved for one body.
#[derive(Debug)]
pub struct BodyReservation {
    reserved: ByteReservation,
}

impl BodyReservation {
    /// Reserves memory for a body of `bytes` bytes, in addition to what is reserved for it.
    ///
    /// # Errors
    ///
    /// Returns the problem to answer with if the memory is not left; the request did not run.
    pub fn extend_to(&mut self, bytes: u64) -> Result<(), Problem> {
        let wanted = usize::try_from(bytes).unwrap_or(usize::MAX);
        let more = wanted.saturating_sub(self.reserved.bytes());
        if bytes <= SMALL_BODY_BYTES || more == 0 || self.reserved.try_grow(more) {
            return Ok(());
        }
        metrics::count_refused_body();
        let budget = self.reserved.budget();
        let (used, max) = (budget.used() as u64, budget.max() as u64);
        log::info!(event = "body-refused", bytes = bytes, used = used, budget = max; "no memory");
        let detail = "the host has no memory for the body";
        Err(Problem::not_run(ErrorKind::Overloaded, detail).retry_after(RETRY_AFTER))
    }
}
