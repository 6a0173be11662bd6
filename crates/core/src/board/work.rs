//! Samples being generated, and work that controllers pass to each other.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::event::OrderTask;
use crate::key::{HostId, RequestKey, UpstreamKey};
use crate::message::{SampleJob, SampleResult};
use crate::records::{IntentKey, Outcome, Output, SampleId};
use crate::time::Millis;

/// The most results that a host keeps in case its leader assigns a sample again.
const MAX_RECENT_RESULTS: usize = 512;

/// The assignment of a sample to a host, on the leader.
#[derive(Debug, Clone, Copy)]
pub struct AssignedSample {
    /// The host.
    pub host: HostId,
    /// When the assignment is sent again, or made anew if it failed, on the monotonic clock.
    pub retry_at: Millis,
    /// Whether the host reported that it could not generate the sample.
    pub failed: bool,
}

/// An order to be issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedOrder {
    /// The engine.
    pub upstream: UpstreamKey,
    /// What the engine is ordered to do.
    pub order: OrderTask,
    /// The operator's request that waits for it; `None` for orders of the controllers.
    pub request: Option<RequestKey>,
}

/// Samples being generated, and work that controllers pass to each other.
#[derive(Debug, Default)]
pub struct Work {
    /// On the leader: the host that generates each sample.
    pub assignments: BTreeMap<SampleId, AssignedSample>,
    /// On each host: the request of each sample that it generates.
    pub running: BTreeMap<SampleId, RequestKey>,
    /// Results to send, each with the leader to send it to.
    pub results: Vec<(HostId, SampleResult)>,
    /// The latest results, kept in case the leader assigns a sample again.
    pub recent_results: VecDeque<SampleResult>,
    /// Trainers' fetches that wait for samples.
    pub pending_fetches: Vec<RequestKey>,
    /// Outcomes of non-idempotent requests that are not in the log yet.
    pub conclusions: BTreeMap<IntentKey, Outcome>,
    /// Recorded non-idempotent requests whose entries are not synced to disk yet, each with its
    /// index in the log.
    pub awaiting_sync: Vec<(u64, RequestKey, IntentKey)>,
    /// Requests that wait for the outcome of an earlier request with the same key.
    pub waiters: BTreeMap<IntentKey, Vec<RequestKey>>,
    /// Orders to be issued.
    pub queued_orders: Vec<QueuedOrder>,
    /// Requests to forward to another host.
    pub forwards: VecDeque<RequestKey>,
}

impl Work {
    /// Queues the result of a sample for the leader that assigned it.
    pub fn report(
        &mut self,
        leader: HostId,
        job: &SampleJob,
        output: Result<Arc<Output>, Box<str>>,
    ) {
        self.running.remove(&job.sample);
        let result = SampleResult { sample: job.sample, round: job.round, output };
        if result.output.is_ok() {
            self.recent_results.push_back(result.clone());
        }
        if self.recent_results.len() > MAX_RECENT_RESULTS {
            self.recent_results.pop_front();
        }
        self.results.push((leader, result));
    }

    /// Returns the result of a job if it is still kept.
    #[must_use]
    pub fn recent_result(&self, job: &SampleJob) -> Option<&SampleResult> {
        self.recent_results
            .iter()
            .find(|result| result.sample == job.sample && result.round == job.round)
    }
}
