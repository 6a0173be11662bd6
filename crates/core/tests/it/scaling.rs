//! Orders for upstreams: the decisions for load patterns and faults, on the board of one host that
//! holds the lease. The provider is a closure.

use std::sync::Arc;

use chestnutdrift_core::directory::{Directory, JobSpec, RoutingConfig, ScalingSpec};
use chestnutdrift_core::gateway::board::{Item, ItemState, JobRun, LeaveNotice, Upstream};
use chestnutdrift_core::gateway::policy::Policies;
use chestnutdrift_core::gateway::scaling::{ItemWork, Scaling, Serving, needed_upstreams};
use chestnutdrift_core::gateway::{
    Board, Controller, CountOrder, GatewaySettings, HolderLease, ProviderCallEnd, ProviderRequest,
    ProviderSettings, Role,
};
use chestnutdrift_core::key::{HostId, JobKey, Key, UpstreamKey};
use chestnutdrift_core::{Millis, Now};

use crate::deployment::documents::{routing, submitted_job};
use crate::leaving::announcement;

const ZONES: [(&str, u32); 6] =
    [("a", 800), ("b", 890), ("c", 980), ("d", 1_070), ("e", 1_160), ("f", 1_250)];

/// The time between two runs of the controller.
const STEP_MS: u64 = 50;

/// The time after which the number of upstreams present is recorded, with a margin.
const SETTLE_MS: u64 = 7_000;

fn scaling_routing() -> Arc<RoutingConfig> {
    let mut routing = routing(1);
    let engines = Arc::make_mut(&mut routing).services.iter_mut().find(|s| s.engine.is_some());
    let prices = ZONES.map(|(zone, price)| (zone.into(), price));
    engines.expect("the engines").scaling = Some(ScalingSpec {
        min: 1,
        max: 16,
        start_time: Millis(4_000),
        reclaimable_price: 220,
        zone_prices: prices.into(),
    });
    routing
}

/// A host that holds the lease, and the provider.
struct Holder {
    board: Board,
    scaling: Scaling,
    provider: Box<dyn FnMut(&CountOrder) -> ProviderCallEnd>,
    /// The orders that were sent, with the time.
    orders: Vec<(u64, CountOrder)>,
    upstreams: u64,
    /// Whether orders stay in the queue.
    holds_orders: bool,
}

impl Holder {
    fn new(fence: u64, directory: Directory) -> Self {
        let provider = ProviderSettings {
            calls_per_second: 50,
            usage_window: None,
            usage_due: Millis(10_000),
            scaling: true,
        };
        let cfg = GatewaySettings::new(HostId(1), "store-1", "a", Role::Store).provider(provider);
        let mut board = Board::new(cfg, Now::new(Millis(1_000), Millis(0)));
        board.holder_lease = Some(HolderLease { fence, valid_until: Millis::MAX });
        board.routing = Some(scaling_routing());
        board.group.as_mut().expect("a store").directory = directory;
        Self {
            board,
            scaling: Scaling::new(Policies::default().scaling),
            provider: Box::new(|_| ProviderCallEnd::Accepted),
            orders: Vec::new(),
            upstreams: 0,
            holds_orders: false,
        }
    }

    /// Creates a holder that has recorded the engines present: `fixed` and `reclaimable` ones
    /// in each zone.
    fn settled(fixed: u32, reclaimable: u32) -> Self {
        let mut holder = Self::new(1, Directory::default());
        for (zone, _) in ZONES {
            holder.add(zone, false, fixed);
            holder.add(zone, true, reclaimable);
        }
        holder.run(SETTLE_MS);
        holder
    }

    fn add(&mut self, zone: &str, reclaimable: bool, count: u32) {
        for _ in 0..count {
            self.upstreams += 1;
            let mut announced = announcement(&format!("engine-{}", self.upstreams), 1, 1);
            (announced.service, announced.zone) = ("engines".into(), zone.into());
            announced.reclaimable = reclaimable;
            self.board.upstreams.insert(Upstream::new(announced, self.board.now.mono));
        }
    }

    fn keys(&self, zone: &str, reclaimable: bool) -> Vec<UpstreamKey> {
        let upstreams = self.board.upstreams.iter().filter(|(_, upstream)| {
            *upstream.announced.zone == *zone && upstream.announced.reclaimable == reclaimable
        });
        upstreams.map(|(key, _)| key).collect()
    }

    /// Lets the reclaimable engines of a zone announce that they leave, and returns when they are gone.
    fn reclaim(&mut self, zone: &str) -> Millis {
        let since = self.board.now.mono;
        let until = since + Millis(2_300);
        for key in self.keys(zone, true) {
            let upstream = &mut self.board.upstreams[key];
            upstream.announced.leaving = true;
            upstream.leave_notice = Some(LeaveNotice { since, until });
        }
        until
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.board.now.mono = self.board.now.mono + Millis(STEP_MS);
            self.scaling.run(&mut self.board, None);
            for (command, _) in std::mem::take(&mut self.board.proposals) {
                self.board.group.as_mut().expect("a store").directory.apply(&command);
            }
            if self.holds_orders {
                continue;
            }
            for request in std::mem::take(&mut self.board.provider.waiting) {
                let ProviderRequest::SetUpstreamCount(order) = &request else { continue };
                let end = (self.provider)(order);
                self.orders.push((self.board.now.mono.0, order.clone()));
                self.board.provider.ended.push((request, end));
            }
            self.board.actions.clear();
        }
    }

    /// Adds a job of which some items run, evenly over the engines, and others wait.
    fn submit(&mut self, running: u32, waiting: u32) -> JobKey {
        self.submit_job(submitted_job("job", running + waiting), running, waiting)
    }

    fn submit_job(&mut self, spec: JobSpec, running: u32, waiting: u32) -> JobKey {
        let spec = Arc::new(spec);
        let now = self.board.now.mono;
        let due = now + Millis(60_000);
        let job = JobRun { spec, due, give_up_at: Millis::MAX, open_items: Vec::new() };
        let job = self.board.jobs.insert(job);
        let engines: Vec<UpstreamKey> = self.board.upstreams.keys().collect();
        for index in 0..running + waiting {
            let mut item = Item::new(job, index, now);
            if index < running {
                item.state = ItemState::Running(Key::null());
                let engine = engines[index as usize % engines.len()];
                self.board.upstreams[engine].in_flight += 1;
            }
            self.board.items.insert(item);
        }
        job
    }

    fn end_jobs(&mut self) {
        self.board.items.clear();
        self.board.upstreams.values_mut().for_each(|upstream| upstream.in_flight = 0);
    }

    /// Adds the engines that were ordered and are not present yet.
    fn deliver(&mut self) {
        for (_, order) in self.orders.clone() {
            let present = self.keys(&order.zone, order.reclaimable).len() as u32;
            self.add(&order.zone, order.reclaimable, order.count.saturating_sub(present));
        }
    }

    /// Returns the zone, kind and number of each order.
    fn contents(&self) -> Vec<(&str, bool, u32)> {
        let orders = self.orders.iter();
        orders.map(|(_, order)| (&*order.zone, order.reclaimable, order.count)).collect()
    }
}

/// Guards against orders that cost something and change nothing.
#[test]
fn a_steady_load_needs_no_order() {
    let mut holder = Holder::settled(8, 0);
    for _ in 0..30 {
        holder.submit(300, 0);
        holder.run(3_000);
        holder.end_jobs();
        holder.run(1_000);
    }
    assert_eq!(holder.contents(), []);
    assert_eq!(holder.board.counters.upstreams_intended, 48);
}

/// Guards against items that wait while engines could be had, and against engines that are paid for
/// after the need has ended.
#[test]
fn engines_are_added_while_items_wait_without_room_and_removed_after_the_hold_time() {
    let mut holder = Holder::settled(8, 0);
    holder.submit(384, 64);
    holder.run(1_000);
    assert_eq!(holder.contents(), [], "the wait is too short");
    holder.run(2_000);
    // The cheapest are the reclaimable ones of zone a, which has room for 8.
    assert_eq!(holder.contents(), [("a", true, 8)]);
    holder.add("a", true, 8);
    holder.end_jobs();
    holder.run(20_000);
    assert_eq!(holder.contents().len(), 1, "the demand is low for too short a time");
    holder.run(20_000);
    assert_eq!(holder.contents(), [("a", true, 8), ("a", true, 0)]);
}

/// Guards against a zone's reclaimed engines being ordered while there are none, or not replaced.
#[test]
fn reclaimed_engines_are_replaced_elsewhere_until_they_can_be_had_again() {
    let mut holder = Holder::settled(4, 4);
    let taken_at = holder.reclaim("c");
    holder.run(1_000);
    // More reclaimable engines in another zone would leave too few if that zone lost them.
    assert_eq!(holder.contents(), [("a", false, 8)]);
    holder.add("a", false, 4);
    holder.run(30_000);
    let (at, _) = holder.orders[1];
    assert_eq!(holder.contents()[1], ("c", true, 4));
    assert!(at >= taken_at.0 + 10_000, "ordered again at {at}, taken at {}", taken_at.0);
    holder.add("c", true, 4);
    holder.run(40_000);
    assert_eq!(holder.contents().last(), Some(&("a", false, 4)), "the replacement is removed");
}

/// Guards against orders for engines beyond the baseline in the zone that has just lost them.
#[test]
fn reclaimed_engines_beyond_the_baseline_are_replaced_in_another_zone() {
    let mut holder = Holder::settled(8, 0);
    holder.submit(384, 64);
    holder.run(3_000);
    holder.add("a", true, 8);
    holder.run(5_000);
    let before = holder.orders.len();
    let taken_at = holder.reclaim("a");
    holder.run(3_000);
    assert_eq!(holder.contents()[before..], [("b", true, 8)]);
    holder.add("b", true, 8);
    holder.run(12_000);
    // The number of zone a is lowered too, or the provider would bring its engines back.
    let last = &holder.orders[before + 1..];
    assert!(last.iter().all(|(at, _)| *at >= taken_at.0 + 10_000), "{last:?}");
}

/// Guards against a refused order that is repeated at once, or whose engines nobody else provides.
#[test]
fn a_refused_order_goes_to_other_upstreams() {
    let mut holder = Holder::settled(8, 0);
    holder.provider = Box::new(|order| match (&*order.zone, order.reclaimable) {
        ("a", true) => ProviderCallEnd::Unavailable,
        _ => ProviderCallEnd::Accepted,
    });
    holder.submit(384, 64);
    holder.run(4_500);
    assert_eq!(holder.contents(), [("a", true, 8), ("b", true, 8)]);
}

/// Guards against a new holder that orders another number than the one before it, whose order may
/// have been carried out.
#[test]
fn an_order_with_an_unknown_end_is_repeated_with_the_same_content() {
    let mut first = Holder::settled(8, 0);
    first.provider = Box::new(|_| ProviderCallEnd::Unknown { detail: "no answer".into() });
    first.submit(384, 64);
    first.run(4_000);
    let content = ("a", true, 8);
    assert!(first.orders.len() > 1, "it is repeated");
    assert!(first.contents().iter().all(|order| *order == content), "{:?}", first.contents());
    let directory = &first.board.group.as_ref().expect("a store").directory;
    for present in [0, 8, 10] {
        let mut second = Holder::new(2, directory.clone());
        for (zone, _) in ZONES {
            second.add(zone, false, 8);
        }
        second.add("a", true, present);
        second.run(5_000);
        let expected = if present == 0 { vec![content] } else { Vec::new() };
        assert_eq!(second.contents(), expected, "with {present} present");
    }
}

/// Guards against orders for engines that come back by themselves, and against none for those that
/// do not.
#[test]
fn a_flapping_engine_is_not_replaced_and_a_lost_one_is() {
    let mut holder = Holder::settled(8, 0);
    let key = holder.keys("d", false)[0];
    for _ in 0..6 {
        holder.board.upstreams[key].silent = true;
        holder.run(5_000);
        holder.board.upstreams[key].silent = false;
        holder.run(3_000);
    }
    assert_eq!(holder.contents(), []);
    holder.board.upstreams.remove(key);
    holder.run(9_000);
    assert_eq!(holder.contents(), []);
    holder.run(3_000);
    assert_eq!(holder.contents(), [("d", false, 8)], "the recorded number");
}

/// Guards against engines that are ordered too late for work that can't end by its due time.
#[test]
fn work_that_exceeds_the_engines_before_it_is_due_needs_more() {
    let serving = Serving { upstreams: 2, slots: 8, has_room: true, start_time: Millis(3_500) };
    let needed = |running, waiting, due| {
        let item = |waits| ItemWork { due: Millis(due), remaining: Millis(5_000), waits };
        let mut items = [vec![item(false); running], vec![item(true); waiting]].concat();
        needed_upstreams(&mut items, Millis(0), serving)
    };
    assert_eq!(needed(16, 0, 6_000), 2, "80 s of work, 96 s of slots");
    assert_eq!(needed(16, 0, 4_500), 2, "no engine makes an item faster");
    assert_eq!(needed(16, 8, 6_000), 4, "120 s of work, and new engines serve for 2 s");
    assert_eq!(needed(16, 8, 3_000), 2, "new engines would come too late");
}

/// Guards against a refused order that later takes away engines that have come after all.
#[test]
fn a_refused_order_never_reduces_what_is_present_later() {
    let mut holder = Holder::settled(8, 0);
    holder.provider = Box::new(|order| match (&*order.zone, order.reclaimable) {
        ("a", true) => ProviderCallEnd::Unavailable,
        _ => ProviderCallEnd::Accepted,
    });
    holder.submit(384, 64);
    holder.run(4_500);
    holder.add("a", true, 8);
    holder.add("b", true, 8);
    holder.run(15_000);
    let orders = holder.contents();
    assert!(orders.iter().all(|(zone, _, count)| *zone != "a" || *count >= 8), "{orders:?}");
}

/// Guards against a new holder that repeats a reduction which the provider has carried out.
#[test]
fn an_accepted_reduction_is_not_repeated_by_the_next_holder() {
    let mut first = Holder::settled(8, 0);
    first.submit(384, 64);
    first.run(3_000);
    first.deliver();
    first.end_jobs();
    first.run(40_000);
    assert_eq!(first.contents().last(), Some(&("a", true, 0)));
    let directory = &first.board.group.as_ref().expect("a store").directory;
    let mut second = Holder::new(2, directory.clone());
    for (zone, _) in ZONES {
        second.add(zone, false, 8);
    }
    second.add("a", true, 3);
    second.run(5_000);
    assert_eq!(second.contents(), []);
}

/// Guards against orders that take away engines which are only silent, or which have joined while
/// the order waited.
#[test]
fn no_order_to_add_engines_goes_below_those_that_are_known() {
    let mut holder = Holder::settled(8, 0);
    holder.add("d", false, 2);
    for key in holder.keys("d", false) {
        holder.board.upstreams[key].silent = true;
    }
    holder.holds_orders = true;
    holder.run(11_000);
    let count = |holder: &Holder| match &holder.board.provider.waiting[..] {
        [ProviderRequest::SetUpstreamCount(order)] if &*order.zone == "d" => order.count,
        waiting => panic!("{waiting:?}"),
    };
    assert_eq!(count(&holder), 10);
    holder.add("d", false, 3);
    holder.run(500);
    assert_eq!(count(&holder), 13);
}

/// Guards against the end of an earlier call that is taken for that of the present order.
#[test]
fn the_end_of_another_call_leaves_the_order_open() {
    let mut holder = Holder::settled(8, 0);
    holder.submit(384, 64);
    holder.holds_orders = true;
    holder.run(3_000);
    let Some(ProviderRequest::SetUpstreamCount(order)) = holder.board.provider.waiting.first()
    else {
        panic!("no order waits")
    };
    let earlier = ProviderRequest::SetUpstreamCount(CountOrder { count: 3, ..order.clone() });
    holder.board.provider.ended.push((earlier, ProviderCallEnd::Accepted));
    holder.run(500);
    let pools = holder.board.scaling.pools.values();
    let open = pools.filter(|pool| pool.in_call.is_some());
    assert_eq!(
        open.map(|pool| (pool.in_call, pool.accepted)).collect::<Vec<_>>(),
        [(Some(8), None)]
    );
}

/// Guards against an overflow for limits that nobody expects.
#[test]
fn the_largest_numbers_do_not_overflow() {
    let serving =
        Serving { upstreams: u32::MAX, slots: u32::MAX, has_room: true, start_time: Millis(0) };
    let item = ItemWork { due: Millis::MAX, remaining: Millis::MAX, waits: false };
    assert_eq!(needed_upstreams(&mut [item, item], Millis(0), serving), 1);
}

/// Guards against results that are late because items slow each other: steps every 4 s of 100 items
/// of 150 events of 49.6 ms, due after 7.5 s, run on 48 engines.
#[test]
fn items_that_alone_take_nearly_until_they_are_due_share_an_engine_with_few_others() {
    let mut holder = Holder::settled(8, 0);
    for upstream in holder.board.upstreams.values_mut() {
        upstream.health.event_interval_us = 49_600;
    }
    let mut totals = vec![48];
    for _ in 0..8 {
        let mut spec = submitted_job("job", 100);
        spec.items[7].expected_tokens = 150 * 64;
        holder.submit_job(spec, 100, 0);
        holder.run(4_000);
        holder.end_jobs();
        holder.deliver();
        totals.push(holder.board.counters.upstreams_intended);
    }
    // 100 items are one and a half on each of 67 engines.
    totals.dedup();
    assert_eq!(totals, [48, 54, 60, 67]);
    let orders = holder.contents();
    assert!(orders.iter().all(|(zone, reclaimable, _)| *reclaimable && *zone <= "c"), "{orders:?}");
    let grown = orders.len();
    holder.run(25_000);
    assert_eq!(holder.contents().len(), grown, "the load is low for too short a time");
    holder.run(20_000);
    assert_eq!(holder.board.counters.upstreams_intended, 48);
}
