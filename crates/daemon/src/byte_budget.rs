//! Budgets of bytes that several holders share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A maximum number of bytes, and how many of them are reserved. Clones share them.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    max: usize,
    used: Arc<AtomicUsize>,
}

impl ByteBudget {
    /// Creates a budget of `max` bytes.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self { max, used: Arc::default() }
    }

    /// Returns the maximum, in bytes.
    #[must_use]
    pub fn max(&self) -> usize {
        self.max
    }

    /// Returns the reserved bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Reserves bytes; returns `None` if they are not left.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<ByteReservation> {
        let mut reservation = self.reservation();
        reservation.try_grow(bytes).then_some(reservation)
    }

    /// Reserves bytes; returns `None` if they are not left, unless nothing else is reserved: what is
    /// larger than the whole budget passes alone.
    #[must_use]
    pub fn try_reserve_or_alone(&self, bytes: usize) -> Option<ByteReservation> {
        if let Some(reservation) = self.try_reserve(bytes) {
            return Some(reservation);
        }
        let swap = self.used.compare_exchange(0, bytes, Ordering::Relaxed, Ordering::Relaxed);
        swap.is_ok().then(|| ByteReservation { budget: self.clone(), bytes })
    }

    /// Creates a reservation of no bytes, which can grow.
    #[must_use]
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation { budget: self.clone(), bytes: 0 }
    }
}

/// Reserved bytes, which are released when it is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteReservation {
    /// Returns the budget.
    #[must_use]
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Returns the reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes; returns `false` and keeps what it has if they are not left.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let max = self.budget.max;
        let grow = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= max);
        let grown = self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
