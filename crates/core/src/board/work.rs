//! Samples that are being generated, on the board.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::event::OrderTask;
use crate::key::{HostId, RequestKey, UpstreamKey};
use crate::message::{SampleJob, SampleResult};
use crate::records::{IntentKey, Outcome, Output, SampleId};
use crate::time::Millis;

/// How many results a host keeps in case its leader asks for a sample again.
const KEPT_RESULTS: usize = 512;

/// A sample that this leader has given to a host.
#[derive(Debug, Clone, Copy)]
pub struct AssignedSample {
    /// The host.
    pub host: HostId,
    /// When the host is told again, or the sample is given out anew where it failed.
    pub retry_at: Millis,
    /// Whether the host has reported that it could not generate the sample.
    pub failed: bool,
}

/// An order that is to be given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedOrder {
    /// The engine.
    pub upstream: UpstreamKey,
    /// What it is to do.
    pub order: OrderTask,
    /// The operator's request that waits for it, where one does.
    pub request: Option<RequestKey>,
}

/// Samples that are being generated, and what else controllers leave for one another.
#[derive(Debug, Default)]
pub struct Work {
    /// On the leader: who generates which sample.
    pub assignments: BTreeMap<SampleId, AssignedSample>,
    /// On each host: the requests of the samples that it generates.
    pub running: BTreeMap<SampleId, RequestKey>,
    /// Results that are to be handed to the leader named.
    pub results: Vec<(HostId, SampleResult)>,
    /// The latest results, kept in case the leader asks again.
    pub recent_results: VecDeque<SampleResult>,
    /// Fetches that wait for samples.
    pub pending_fetches: Vec<RequestKey>,
    /// Ends of non-idempotent requests that the log does not have yet.
    pub conclusions: BTreeMap<IntentKey, Outcome>,
    /// Recorded non-idempotent requests that are not on a disk yet, by index in the log.
    pub awaiting_sync: Vec<(u64, RequestKey, IntentKey)>,
    /// Requests that wait for the end of a non-idempotent request recorded before.
    pub waiters: BTreeMap<IntentKey, Vec<RequestKey>>,
    /// Orders that are to be given.
    pub queued_orders: Vec<QueuedOrder>,
    /// Requests that are to be handed to another host.
    pub forwards: VecDeque<RequestKey>,
}

impl Work {
    /// Leaves the result of a sample for the leader that asked for it.
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
        if self.recent_results.len() > KEPT_RESULTS {
            self.recent_results.pop_front();
        }
        self.results.push((leader, result));
    }

    /// Returns the kept result of a job.
    #[must_use]
    pub fn recent_result(&self, job: &SampleJob) -> Option<&SampleResult> {
        self.recent_results
            .iter()
            .find(|result| result.sample == job.sample && result.round == job.round)
    }
}
