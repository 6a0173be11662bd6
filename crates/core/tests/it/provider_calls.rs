//! The queue of calls to the infrastructure provider.

use chestnutdrift_core::gateway::board::Board;
use chestnutdrift_core::gateway::provider::calls::ProviderCalls;
use chestnutdrift_core::gateway::{
    Action, Controller, CountOrder, Event, GatewaySettings, HolderLease, ProviderCall,
    ProviderCallEnd, ProviderRequest, Role,
};
use chestnutdrift_core::{HostId, Millis, Now};
use test_case::test_case;

use crate::deployment::provider::settings;

/// A holder with its queue, on a clock that the test advances.
struct Queue {
    board: Board,
    calls: ProviderCalls,
}

impl Queue {
    fn new() -> Self {
        let cfg = GatewaySettings::new(HostId(1), "store-1", "zone-a", Role::Store);
        let board = Board::new(cfg.provider(settings()), Now::default());
        let mut queue = Self { board, calls: ProviderCalls::default() };
        queue.lease(5);
        queue
    }

    fn lease(&mut self, fence: u64) {
        self.board.holder_lease = Some(HolderLease { fence, valid_until: Millis(900) });
    }

    fn push(&mut self, zone: u32, count: u32) {
        let (service, zone) = ("tiles".into(), format!("zone-{zone}").into());
        let order = CountOrder { service, zone, count, reclaimable: false };
        self.board.provider.waiting.push(ProviderRequest::SetUpstreamCount(order));
    }

    /// Handles an event at a time and returns the calls that are sent.
    fn run(&mut self, at: u64, event: &Event) -> Vec<ProviderCall> {
        self.board.now = Now::new(Millis(at), Millis(at));
        self.calls.run(&mut self.board, Some(event));
        let mut sent = Vec::new();
        for action in std::mem::take(&mut self.board.actions) {
            let Action::CallProvider(call) = action else { continue };
            sent.push(call);
        }
        sent
    }

    /// Ticks at each deadline until a time and returns the calls that are sent.
    fn run_until(&mut self, mut at: u64, end: u64) -> Vec<(u64, ProviderCall)> {
        let mut sent = Vec::new();
        while at <= end {
            sent.extend(self.run(at, &Event::Tick).into_iter().map(|call| (at, call)));
            at = self.calls.next_deadline(&self.board).0.max(at + 1);
        }
        sent
    }
}

/// Guards against calls above the provider's rate, which it answers with 429.
#[test]
fn calls_stay_within_the_rate() {
    let mut queue = Queue::new();
    (0..200).for_each(|zone| queue.push(zone, 1));
    let sent = queue.run_until(0, 1_000);
    assert!((45..=50).contains(&sent.len()), "{} calls within a second", sent.len());
}

/// Guards against a second call for what a first one may still change, and against another content of a
/// call that is repeated too soon.
#[test_case(&ProviderCallEnd::Unknown { detail: "silent".into() }; "silent")]
#[test_case(&ProviderCallEnd::Rejected { status: 500 }; "server error")]
fn a_subject_has_one_call_at_a_time_and_waits_after_a_failure(end: &ProviderCallEnd) {
    let mut queue = Queue::new();
    queue.push(1, 4);
    let [first] = &queue.run(0, &Event::Tick)[..] else { panic!("one call") };
    queue.push(1, 5);
    assert!(queue.run_until(1, 50).is_empty(), "the first call has not ended");
    let ended = Event::ProviderCallEnded { call: first.call, end: end.clone() };
    assert!(queue.run(60, &ended).is_empty(), "the subject waits after a failure");
    assert_eq!(queue.board.provider.ended, [(first.request.clone(), end.clone())]);
    let sent = queue.run_until(61, 1_000);
    assert!(sent[0].0 >= 260, "{sent:?}");
}

/// Guards against a provider that gets a lower token after a higher one, and against calls without a
/// lease.
#[test]
fn calls_wait_for_those_under_an_earlier_token_and_end_without_a_lease() {
    let mut queue = Queue::new();
    queue.push(1, 4);
    let [first] = &queue.run(0, &Event::Tick)[..] else { panic!("one call") };
    queue.push(2, 4);
    queue.lease(6);
    assert!(queue.run_until(30, 500).is_empty());
    let next = queue.calls.next_deadline(&queue.board);
    assert!(next > Millis(500), "a tick at {next:?}, although only an end can change anything");
    let ended = Event::ProviderCallEnded { call: first.call, end: ProviderCallEnd::Accepted };
    assert_eq!(queue.run(501, &ended)[0].fence, 6);
    queue.push(3, 4);
    queue.board.holder_lease = None;
    assert!(queue.run(600, &Event::Tick).is_empty());
    let ends: Vec<_> = queue.board.provider.ended.iter().map(|(_, end)| end.clone()).collect();
    assert_eq!(ends, [ProviderCallEnd::Accepted, ProviderCallEnd::Expired]);
}
