//! The decision on the numbers of upstreams, a pure function behind a trait.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt::Debug;

use crate::directory::ScalingSpec;
use crate::key::PoolKey;

/// The share of all upstreams, as one part in this many, that is added at least for waiting work, and
/// exactly for shared upstreams: an order costs as much as a reclaimable upstream does in some 20 s.
const GROWTH_PARTS: u32 = 8;

/// A pool as it is now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolView {
    /// The pool.
    pub key: PoolKey,
    /// The availability zone.
    pub zone: Box<str>,
    /// Whether the provider may reclaim its upstreams at short notice.
    pub reclaimable: bool,
    /// The number without any order.
    pub baseline: u32,
    /// The intended number.
    pub count: u32,
    /// The number of live upstreams that do not leave.
    pub present: u32,
    /// The number of those that run nothing.
    pub idle: u32,
    /// Whether the provider may have upstreams to give.
    pub is_available: bool,
}

impl PoolView {
    /// Returns the number to expect: missing upstreams come back or are replaced, unless none are to
    /// be had.
    fn expected(&self) -> u32 {
        if self.is_available { self.count.max(self.present) } else { self.present }
    }

    /// Returns the number that the limit of the zone must leave room for.
    fn reserved(&self) -> u32 {
        self.count.max(self.present)
    }
}

/// What a decision is based on.
#[derive(Debug, Clone, Copy)]
pub struct ScalingInput<'a> {
    /// The limits and prices.
    pub spec: &'a ScalingSpec,
    /// The pools of the service: both kinds in each zone that has upstreams.
    pub pools: &'a [PoolView],
    /// How many upstreams have been needed for some time.
    pub needed: u32,
    /// How many upstreams are needed so that few items share one.
    pub shared: u32,
    /// The greatest need within the hold time, or `None` if it is not known yet.
    pub peak: Option<u32>,
}

/// A new intended number of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CountChange {
    /// The pool.
    pub key: PoolKey,
    /// The new number.
    pub count: u32,
    /// Whether present upstreams are to be removed.
    pub reduces: bool,
}

/// Decides on the numbers of upstreams.
pub trait ScalingPolicy: Debug + Send {
    /// Returns the changes of intended numbers.
    fn decide(&self, input: ScalingInput<'_>) -> Vec<CountChange>;
}

/// Keeps the baseline, adds upstreams for demand above it, and removes only those again.
///
/// Upstreams that are reclaimed, or can't be had, are replaced by others until they are back. The
/// cheapest ones are added first. The loss of all reclaimable upstreams of a zone leaves as many as
/// it does at the baseline.
#[derive(Debug, Clone, Copy)]
pub struct KeepBaseline;

impl ScalingPolicy for KeepBaseline {
    fn decide(&self, input: ScalingInput<'_>) -> Vec<CountChange> {
        let mut plan = Plan::new(input);
        plan.drop_refused();
        let wanted = plan.baseline().max(input.needed);
        let expected = plan.expected();
        if expected < wanted {
            let is_demand = input.needed > plan.baseline();
            let least = if is_demand { expected / GROWTH_PARTS } else { 0 };
            plan.grow((wanted - expected).max(least));
        } else if expected < input.shared {
            plan.grow((expected / GROWTH_PARTS).max(1));
        } else if let Some(peak) = input.peak {
            plan.release(peak);
        }
        plan.changes(input.pools)
    }
}

/// The numbers that a decision works out.
#[derive(Debug)]
struct Plan<'a> {
    spec: &'a ScalingSpec,
    pools: Vec<PoolView>,
    /// The pools from which upstreams are removed.
    released: Vec<PoolKey>,
}

impl<'a> Plan<'a> {
    fn new(input: ScalingInput<'a>) -> Self {
        Self { spec: input.spec, pools: input.pools.to_vec(), released: Vec::new() }
    }

    fn baseline(&self) -> u32 {
        self.pools.iter().map(|pool| pool.baseline).sum()
    }

    fn expected(&self) -> u32 {
        self.pools.iter().map(PoolView::expected).sum()
    }

    /// Returns how many upstreams the loss of all reclaimable ones of any zone leaves of the
    /// baseline.
    fn safe_number(&self) -> u32 {
        let mut reclaimable: BTreeMap<&str, u32> = BTreeMap::new();
        for pool in self.pools.iter().filter(|pool| pool.reclaimable) {
            *reclaimable.entry(&pool.zone).or_default() += pool.baseline;
        }
        self.baseline() - reclaimable.into_values().max().unwrap_or(0)
    }

    /// Returns how many more upstreams the limit of a zone allows.
    fn room(&self, zone: &str) -> u32 {
        let pools = self.pools.iter().filter(|pool| *pool.zone == *zone);
        self.spec.max.saturating_sub(pools.map(PoolView::reserved).sum())
    }

    /// Drops the intended upstreams beyond the baseline that can't be had, so that others take their
    /// place. They may come after all, so this does not count as a reduction.
    fn drop_refused(&mut self) {
        for pool in &mut self.pools {
            if !pool.is_available {
                pool.count = pool.count.min(pool.baseline.max(pool.present));
            }
        }
    }

    /// Adds upstreams, the cheapest first.
    fn grow(&mut self, missing: u32) {
        let spec = self.spec;
        let (total, safe) = (self.expected() + missing, self.safe_number());
        let mut missing = missing;
        let mut order: Vec<usize> = (0..self.pools.len()).collect();
        order.sort_by_key(|index| {
            let pool = &self.pools[*index];
            spec.price(&pool.zone, pool.reclaimable)
        });
        for index in order {
            let pool = &self.pools[index];
            if !pool.is_available || missing == 0 {
                continue;
            }
            let mut added = missing.min(self.room(&pool.zone));
            if pool.reclaimable {
                added = added.min(total.saturating_sub(safe + pool.expected()));
            }
            if added > 0 {
                self.pools[index].count = pool.expected() + added;
                missing -= added;
            }
        }
    }

    /// Removes idle upstreams beyond the baseline, reclaimable and expensive ones first, once every pool
    /// has what it should and the demand has been low enough.
    fn release(&mut self, peak: u32) {
        let spec = self.spec;
        if self.pools.iter().any(|pool| pool.present < pool.count.max(pool.baseline)) {
            return;
        }
        let mut order: Vec<usize> = (0..self.pools.len()).collect();
        order.sort_by_key(|index| {
            let pool = &self.pools[*index];
            (!pool.reclaimable, Reverse(spec.price(&pool.zone, pool.reclaimable)))
        });
        let mut total: u32 = self.pools.iter().map(|pool| pool.present).sum();
        let safe = self.safe_number();
        for index in order {
            let pool = &self.pools[index];
            let removed = pool.count.saturating_sub(pool.baseline);
            // The lower number would also remove those that are present without an order.
            if removed == 0 || pool.present > pool.count || pool.idle < removed {
                continue;
            }
            if total - removed < peak.max(self.baseline()) {
                continue;
            }
            let zone = self.pools.iter().filter(|other| other.zone == pool.zone);
            let left_in_zone = zone.map(|other| other.present).sum::<u32>() - removed;
            let reclaimable = self.pools.iter().enumerate().filter(|(_, pool)| pool.reclaimable);
            let left = reclaimable
                .map(|(other, pool)| pool.present - if other == index { removed } else { 0 });
            let worst_loss = left.max().unwrap_or(0);
            if left_in_zone < spec.min || total - removed < safe + worst_loss {
                continue;
            }
            total -= removed;
            self.pools[index].count -= removed;
            self.pools[index].present -= removed;
            self.released.push(self.pools[index].key);
        }
    }

    /// Returns the changes against the numbers in `before`.
    fn changes(&self, before: &[PoolView]) -> Vec<CountChange> {
        let pairs = self.pools.iter().zip(before);
        let changed = pairs.filter(|(pool, before)| pool.count != before.count);
        let change = |pool: &PoolView| CountChange {
            key: pool.key,
            count: pool.count,
            reduces: self.released.contains(&pool.key),
        };
        changed.map(|(pool, _)| change(pool)).collect()
    }
}
