//! The pools of upstreams, as the host that orders them sees them.

use std::collections::BTreeMap;

use slotmap::SlotMap;

use super::demand::DemandHistory;
use crate::directory::UpstreamTarget;
use crate::gateway::board::{Board, Upstream};
use crate::key::PoolKey;
use crate::time::Millis;

/// The most pools. Zone names come from announcements, and each pool costs memory.
const MAX_POOLS: usize = 512;

/// How long after reclaimable upstreams were taken away none are ordered in their place.
const RECLAIM_HOLD_TIME: Millis = Millis(10_000);

/// The upstreams of one kind, of a service in an availability zone.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The service.
    pub service: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// Whether the provider may reclaim the upstreams at short notice.
    pub reclaimable: bool,
    /// The number of live upstreams that do not leave.
    pub present: u32,
    /// The number of known upstreams that have not said they leave, silent ones included.
    pub known: u32,
    /// The greatest number that this host has seen.
    pub most_present: u32,
    /// The number of those that run nothing.
    pub idle: u32,
    /// When the last of them that were reclaimed was gone; zero if none was.
    pub reclaimed_at: Millis,
    /// Since when fewer are present than intended; `None` while that is not so.
    pub missing_since: Option<Millis>,
    /// Since when more are present than intended; `None` while that is not so.
    pub surplus_since: Option<Millis>,
    /// Whether more are present than intended because the provider still has to remove some.
    pub is_removing: bool,
    /// The number that the provider is known to have; `None` if that is not known.
    pub accepted: Option<u32>,
    /// Until when ordered upstreams may not serve yet.
    pub starting_until: Millis,
    /// The number of the order that has not ended; `None` if there is none.
    pub in_call: Option<u32>,
    /// When the next order may be sent.
    pub retry_at: Millis,
    /// Until when the provider is taken to have no upstreams to give, after a refusal.
    pub refused_until: Millis,
    /// How many orders in a row had no success.
    pub failures: u32,
    /// How many orders in a row have not brought back the missing upstreams.
    pub replacements: u32,
}

impl Pool {
    fn new(service: &str, zone: &str, reclaimable: bool) -> Self {
        Self {
            service: service.into(),
            zone: zone.into(),
            reclaimable,
            present: 0,
            known: 0,
            most_present: 0,
            idle: 0,
            reclaimed_at: Millis(0),
            missing_since: None,
            surplus_since: None,
            is_removing: false,
            accepted: None,
            starting_until: Millis(0),
            in_call: None,
            retry_at: Millis(0),
            refused_until: Millis(0),
            failures: 0,
            replacements: 0,
        }
    }

    /// Returns whether the provider may have upstreams to give.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        let is_reclaimed =
            self.reclaimed_at > Millis(0) && now < self.reclaimed_at + RECLAIM_HOLD_TIME;
        !is_reclaimed && now >= self.refused_until
    }

    /// Returns whether ordered upstreams may not serve yet.
    #[must_use]
    pub fn is_starting(&self, now: Millis) -> bool {
        now < self.starting_until
    }

    /// Returns the name of the pool in the log.
    #[must_use]
    pub fn name(&self) -> Box<str> {
        pool_name(&self.service, &self.zone, self.reclaimable)
    }

    /// Returns the target of the pool, out of those in the directory.
    #[must_use]
    pub fn target<'a>(&self, targets: &'a [UpstreamTarget]) -> Option<&'a UpstreamTarget> {
        targets.iter().find(|target| {
            let kind = (&target.service, &target.zone, target.reclaimable);
            kind == (&self.service, &self.zone, self.reclaimable)
        })
    }

    /// Compares the upstreams that are present with the intended number.
    fn compare(&mut self, intended: u32, now: Millis) {
        let since = |is_so: bool, since: Option<Millis>| is_so.then(|| since.unwrap_or(now));
        self.missing_since = since(self.present < intended, self.missing_since);
        self.surplus_since = since(self.present > intended, self.surplus_since);
        self.is_removing &= self.surplus_since.is_some();
        if self.missing_since.is_none() {
            self.replacements = 0;
        }
    }
}

/// Returns the name in the log of the pool of a kind.
pub(super) fn pool_name(service: &str, zone: &str, reclaimable: bool) -> Box<str> {
    let kind = if reclaimable { "reclaimable" } else { "non-reclaimable" };
    format!("{service}/{zone}/{kind}").into()
}

/// What the host that orders upstreams knows; empty on the others.
#[derive(Debug, Clone, Default)]
pub struct ScalingState {
    /// The pools.
    pub pools: SlotMap<PoolKey, Pool>,
    /// The demand for each service.
    pub demand: BTreeMap<Box<str>, DemandHistory>,
    /// When a pool last had more upstreams than before. One that restarts does not count.
    pub last_growth: Millis,
    /// When upstreams were last added for the demand.
    pub last_addition: Millis,
    /// The numbers that were decided last, and until when their record is awaited; `None` once they
    /// are recorded.
    pub recording: Option<(Vec<UpstreamTarget>, Millis)>,
    /// The fencing token under which this state was built.
    pub fence: u64,
}

impl ScalingState {
    /// Returns the pools of a service.
    pub fn pools_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (PoolKey, &'a Pool)> + 'a {
        self.pools.iter().filter(move |(_, pool)| *pool.service == *service)
    }

    /// Returns whether the record of the last decision is awaited.
    pub(super) fn is_recording(&mut self, recorded: &[UpstreamTarget], now: Millis) -> bool {
        let awaits = self.recording.as_ref().is_some_and(|(targets, until)| {
            now < *until && !targets.iter().all(|target| recorded.contains(target))
        });
        if !awaits {
            self.recording = None;
        }
        awaits
    }

    /// Returns the pool of a kind.
    pub(super) fn key_of(&self, service: &str, zone: &str, reclaimable: bool) -> Option<PoolKey> {
        let is_same_pool = |pool: &Pool| {
            *pool.service == *service && *pool.zone == *zone && pool.reclaimable == reclaimable
        };
        self.pools.iter().find(|(_, pool)| is_same_pool(pool)).map(|(key, _)| key)
    }

    /// Returns the pool of a kind, which is added where it is new; `None` if there are too many.
    fn ensure(&mut self, service: &str, zone: &str, reclaimable: bool) -> Option<PoolKey> {
        if let Some(key) = self.key_of(service, zone, reclaimable) {
            return Some(key);
        }
        let has_room = self.pools.len() < MAX_POOLS;
        has_room.then(|| self.pools.insert(Pool::new(service, zone, reclaimable)))
    }
}

/// Counts the upstreams of a service by pool, and compares them with the intended numbers.
pub(super) fn count_upstreams(board: &mut Board, service: &str) {
    let now = board.now.mono;
    let mut state = std::mem::take(&mut board.scaling);
    for pool in state.pools.values_mut().filter(|pool| *pool.service == *service) {
        (pool.present, pool.known, pool.idle) = (0, 0, 0);
    }
    let mut known: BTreeMap<(&str, bool), Option<PoolKey>> = BTreeMap::new();
    for upstream in board.upstreams.values() {
        let announced = &upstream.announced;
        if *announced.service != *service {
            continue;
        }
        // Both kinds of a zone are needed, since upstreams of either kind may be ordered there.
        let key = *known.entry((&*announced.zone, announced.reclaimable)).or_insert_with(|| {
            let other = state.ensure(service, &announced.zone, !announced.reclaimable);
            let key = state.ensure(service, &announced.zone, announced.reclaimable);
            key.filter(|_| other.is_some())
        });
        let Some(key) = key else { continue };
        let pool = &mut state.pools[key];
        if let Some(notice) = upstream.leave_notice.filter(|_| announced.reclaimable) {
            pool.reclaimed_at = pool.reclaimed_at.max(notice.until);
        }
        pool.known += u32::from(upstream.accepts_requests());
        if is_present(upstream, now) {
            pool.present += 1;
            pool.idle += u32::from(upstream.in_flight == 0);
        }
    }
    for pool in state.pools.values_mut() {
        if pool.present > pool.most_present {
            pool.most_present = pool.present;
            state.last_growth = now;
        }
    }
    if let Some(group) = &board.group {
        let targets = &group.directory.upstream_targets;
        for target in targets.iter().filter(|target| *target.service == *service) {
            state.ensure(service, &target.zone, target.reclaimable);
            state.ensure(service, &target.zone, !target.reclaimable);
        }
        for pool in state.pools.values_mut().filter(|pool| *pool.service == *service) {
            let intended = pool.target(targets).map_or(0, |target| target.count);
            pool.compare(intended, now);
        }
    }
    board.scaling = state;
}

/// Returns whether an upstream is live and does not leave.
fn is_present(upstream: &Upstream, now: Millis) -> bool {
    upstream.accepts_requests() && !upstream.silent && upstream.ended_until(now).is_none()
}
