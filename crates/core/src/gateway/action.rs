//! Typed actions: the outputs of a gateway.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::agreement::Record;
use crate::directory::{ConfigDocument, ItemOutcome, JobSpec, RewardCall};
use crate::error::Problem;
use crate::gateway::facts::FactBatch;
use crate::gateway::provider::ProviderCall;
use crate::gateway::settings::Role;
use crate::key::{AttemptKey, Fingerprint, HostId, OrderKey, RequestTag, SyncToken, UpstreamKey};
use crate::message::Envelope;
use crate::time::Millis;
use crate::timeline::TimelineEvent;

/// An action for the shell to carry out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Sends a request to an upstream.
    Forward(Forward),
    /// Delivers to the caller the failed response of an upstream that the shell holds.
    Deliver {
        /// The exchange.
        tag: RequestTag,
    },
    /// Decodes the body of a request as a batch job and reports the result.
    ReadJob {
        /// The exchange.
        tag: RequestTag,
    },
    /// Answers an exchange.
    Answer {
        /// The exchange.
        tag: RequestTag,
        /// The answer.
        answer: Answer,
    },
    /// Runs an item of a job.
    RunItem(RunItem),
    /// Requests the score of an item's text.
    RequestReward(RewardRequest),
    /// Cancels an attempt by closing its connection.
    Cancel {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Orders an upstream to load a weight version.
    Order(Order),
    /// Sends a call to the infrastructure provider.
    CallProvider(ProviderCall),
    /// Opens a connection to an upstream over this host's own links and keeps it for later requests.
    Probe {
        /// The upstream.
        upstream: UpstreamAddress,
        /// The time-out for opening the connection.
        connect: Millis,
    },
    /// Closes the idle connections to an upstream, and each of the others when its answer ends.
    CloseUpstream {
        /// The upstream.
        upstream: UpstreamAddress,
    },
    /// Sends a message to another host.
    Send {
        /// The receiving host.
        to: HostId,
        /// The message.
        envelope: Envelope,
    },
    /// Writes records to the disk, syncs them, and reports the token.
    Persist {
        /// Identifies the batch in the report.
        token: SyncToken,
        /// The records, in the order in which they are written.
        records: Vec<Record>,
        /// The facts, which are kept apart from the records.
        #[serde(default, skip_serializing_if = "FactBatch::is_empty")]
        facts: FactBatch,
    },
    /// Writes a timeline event as a log line.
    Note(TimelineEvent),
    /// Starts draining connections: each answer from now on announces that its connection closes.
    Drain,
    /// Closes the connections that have no request in progress.
    CloseIdle,
    /// Ends the process; nothing waits for a decision any more.
    Exit {
        /// How long the answers that are being streamed may still take.
        stream_timeout: Millis,
    },
}

/// The address of an upstream, and the instance that is expected there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamAddress {
    /// The upstream's key on the board of the host, by which reports name it.
    pub key: UpstreamKey,
    /// The instance id.
    pub id: Box<str>,
    /// The IP address and port.
    pub address: Box<str>,
    /// Whether it has named a limit, so that an answer without one is reported too.
    pub limited: bool,
    /// How a new connection is opened.
    #[serde(default)]
    pub path: UpstreamPath,
}

/// How a host opens connections to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamPath {
    /// Whether this host's own links are used; otherwise connections are relayed.
    pub direct: bool,
    /// The hosts that relay connections, in the order in which they are asked. Where own links are used,
    /// they are asked whether an upstream that refuses connections here refuses them too.
    pub relays: Vec<HostId>,
}

impl Default for UpstreamPath {
    fn default() -> Self {
        Self { direct: true, relays: Vec::new() }
    }
}

/// A request to send to an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Forward {
    /// The exchange, whose head and body the shell holds.
    pub tag: RequestTag,
    /// The attempt.
    pub attempt: AttemptKey,
    /// Identifies the request when it comes again.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// How long the upstream may take to answer.
    pub deadline: Millis,
    /// The time-out for opening a new connection.
    pub connect: Millis,
    /// Whether events are passed on as they arrive; otherwise the answer is passed on when whole.
    pub streamed: bool,
    /// Whether the request is sent without the caller's key, and with no other name of a workspace
    /// than the one given here.
    pub strips_key: bool,
    /// The workspace, whose name the upstream is sent; `None` if there is none.
    pub workspace: Option<Box<str>>,
}

/// An item to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunItem {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// The job.
    pub job: Arc<JobSpec>,
    /// The index of the item in the job.
    pub item: u32,
    /// The id of the event after which the text continues; `None` where it starts anew.
    pub resume_after: Option<u64>,
    /// The weight version that the upstream is known to run; `None` where the job names no model.
    pub version: Option<u64>,
    /// The maximum time without a response or an event from the upstream.
    pub silence: Millis,
    /// The time-out for the whole run.
    pub deadline: Millis,
    /// Whether the item is sent without headers that carry a key, and with no other name of a
    /// workspace than the job's.
    pub strips_key: bool,
}

/// A reward call to send to an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RewardRequest {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// The service of the upstream.
    pub service: Box<str>,
    /// The call.
    pub call: RewardCall,
    /// How many calls were started for the text, this one included.
    pub number: u32,
    /// The time since the text was complete.
    pub waited: Millis,
    /// How long the upstream may take to answer.
    pub deadline: Millis,
    /// The time-out for opening a new connection.
    pub connect: Millis,
}

/// An order to load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// The key of the order in reports.
    pub order: OrderKey,
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// The model.
    pub model: Box<str>,
    /// The version.
    pub version: u64,
    /// Whether running requests finish under the old version before the new one is loaded.
    pub runs_end_first: bool,
    /// The name of the host that gives the order.
    pub holder: Box<str>,
    /// The fencing token of that host's leadership.
    pub fence: u64,
    /// The number of orders that the upstream has accepted so far; if it is `None`, the shell
    /// requests it from the upstream first.
    pub orders_before: Option<u64>,
    /// The time on the monotonic clock after which the order must not be sent.
    pub valid_until: Millis,
}

/// An answer to an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// An error.
    Problem(Problem),
    /// The job is accepted.
    Accepted,
    /// The requested change is done, or was in effect already.
    Done,
    /// Results of a job.
    Results(ResultsPage),
    /// The request body of an item.
    Body(Bytes),
    /// The newest routing configuration, byte for byte as the operator sent it.
    Routing(ConfigDocument),
    /// Whether the retirement of a host is complete.
    Retiring {
        /// Whether the host may be removed.
        complete: bool,
    },
    /// The address to which the connection is relayed.
    RelayTo {
        /// The IP address and port of the upstream.
        address: Box<str>,
    },
    /// Whether the host takes requests.
    Ready(bool),
    /// The counters of the host.
    Counters(Box<Counters>),
    /// The hosts that this one knows, including itself.
    Hosts(Vec<HostView>),
    /// The upstreams that this host knows.
    Upstreams(Vec<UpstreamView>),
    /// The workspaces of the routing configuration in force here.
    Workspaces(Vec<WorkspaceView>),
}

/// Results of a job, starting at a requested position.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResultsPage {
    /// The number of items of the job.
    pub total: u32,
    /// The position after the last result on this page, where the next page starts.
    pub next: u32,
    /// The results, in order of position.
    pub results: Vec<ResultsEntry>,
}

impl ResultsPage {
    /// Returns the approximate size of the page in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const OVERHEAD: usize = 128;
        self.results.iter().map(|result| OVERHEAD + result.outcome.text_bytes()).sum()
    }
}

/// A result with the id of its item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResultsEntry {
    /// The id of the item.
    pub id: Box<str>,
    /// The outcome of the item.
    pub outcome: ItemOutcome,
}

/// A host, as the answering host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostView {
    /// The host id.
    pub id: HostId,
    /// The name; empty until its first hello or view has arrived.
    pub name: Box<str>,
    /// The availability zone; empty until its first hello or view has arrived.
    pub zone: Box<str>,
    /// The role.
    pub role: Role,
    /// Milliseconds since its last message; `None` before the first.
    #[serde(rename = "heard_ms_ago")]
    pub last_seen_ms_ago: Option<u64>,
    /// Whether it leads the directory group, as far as the answering host knows.
    pub leads: bool,
    /// Whether it votes in the directory group, as far as the answering host knows; an entry host
    /// reports no voters.
    pub votes: bool,
}

/// An upstream, as the answering host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamView {
    /// The instance id.
    pub id: Box<str>,
    /// The service.
    pub service: Box<str>,
    /// The IP address and port.
    pub address: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// `ready`, `leaving`, `ended`, `unreachable`, `avoided` or `silent`.
    pub state: Box<str>,
    /// Requests of the answering host in flight there.
    pub in_flight: u32,
    /// The weight version of each model.
    pub versions: Vec<(Box<str>, u64)>,
    /// What the answering host has learned of it; `None` unless capacity is learned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<CapacityView>,
}

/// What a host has learned of the capacity of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CapacityView {
    /// Number of slots that it announces.
    pub slots: u32,
    /// Number of requests that it is given at a time.
    pub request_limit: u32,
    /// Time until its answer to a request, in microseconds; zero where unknown.
    pub response_time_us: u64,
    /// Time since that was last observed; `None` if it never was.
    pub response_seen_ms_ago: Option<u64>,
    /// Number of items that it is given at a time.
    pub item_limit: u32,
    /// Time between two events of an item, in microseconds; zero where unknown.
    pub event_interval_us: u64,
    /// Time since that was last observed; `None` if it never was.
    pub events_seen_ms_ago: Option<u64>,
    /// Whether a store host says that it is clearly slower than its peers.
    pub slow: bool,
}

/// A workspace of the routing configuration, without its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WorkspaceView {
    /// The name.
    pub name: Box<str>,
    /// The number of its keys.
    pub keys: usize,
    /// The priority of its requests, or `None` if that of the route applies.
    pub priority: Option<u32>,
}

/// Counters of one host since its process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Requests received for forwarding.
    pub requests: u64,
    /// Requests answered with the response of an upstream.
    pub delivered: u64,
    /// Requests rejected without having run.
    pub refused: u64,
    /// Requests answered with an error that may have run.
    pub failed: u64,
    /// Requests whose callers disconnected.
    pub abandoned: u64,
    /// Attempts to forward.
    pub forwards: u64,
    /// Attempts that ended with the process of their upstream.
    pub upstreams_ended: u64,
    /// Requests not sent on because upstreams ended under them before.
    pub quarantined: u64,
    /// Requests under which upstreams ended, as far as the host knows.
    pub suspects: u64,
    /// Jobs accepted, counted on every store host.
    pub jobs: u64,
    /// Jobs refused for lack of memory, counted on the host that refused them.
    pub jobs_without_memory: u64,
    /// Number of appends whose entries were not taken because too many bytes waited for the disk.
    pub appends_without_memory: u64,
    /// Runs of items that were started.
    pub item_runs: u64,
    /// Items with a completed result.
    pub items_completed: u64,
    /// Items with an errored result.
    pub items_errored: u64,
    /// Runs that ended without an outcome for their item, which then runs again.
    pub items_moved: u64,
    /// Runs that were moved from an upstream before it was gone.
    pub items_moved_in_time: u64,
    /// Orders for numbers of upstreams that were sent.
    pub scaling_orders: u64,
    /// Those orders that the provider refused.
    pub scaling_refused: u64,
    /// The intended number of upstreams of all services, on the host that orders them.
    pub upstreams_intended: u64,
    /// Texts of items that were dropped because no engine could continue them in time.
    pub texts_dropped: u64,
    /// Reward calls sent to upstreams.
    pub reward_calls: u64,
    /// Items whose texts wait for their reward calls.
    pub unscored_items: u64,
    /// Orders sent to upstreams.
    pub orders: u64,
    /// Upstreams that the host knows.
    pub upstreams: u64,
    /// Upstreams that have said in an answer that they leave, and are not gone.
    pub upstreams_leaving: u64,
    /// Upstreams that have named a limit, and are not gone.
    pub upstreams_limited: u64,
    /// Upstreams to which the last connection of this host failed, and that are not gone.
    pub upstreams_unreachable: u64,
    /// Whether connections to several upstreams failed, and none was opened since.
    pub links_lost: bool,
    /// Attempts whose connections were relayed by another host.
    pub forwards_relayed: u64,
    /// Connections to upstreams that this host relays for others at the moment.
    pub relayed_connections: u64,
    /// Connections that this host refused to relay.
    pub relays_refused: u64,
    /// Requests for permits to send requests to upstreams with a limit.
    pub quota_requests: u64,
    /// Permits granted by this host, those for its own sends included.
    pub permits_granted: u64,
    /// Streams taken up by callers that no upstream could continue.
    pub streams_refused: u64,
    /// Requests refused because they exceeded the limits of upstreams.
    pub over_limit: u64,
    /// Calls sent to the infrastructure provider.
    pub provider_calls: u64,
    /// Those that failed, so that the same content is sent again.
    pub provider_failures: u64,
    /// Starts of callers' requests that this host has recorded.
    pub usage_starts: u64,
    /// Starts that were merged in coarse steps because there were too many records.
    pub usage_merges: u64,
    /// Starts that were dropped because too many were not acknowledged.
    pub usage_lost_starts: u64,
    /// Starts that came after their window was settled, counted on the leader since it leads.
    pub usage_late_starts: u64,
    /// Usage windows settled by this host.
    pub usage_settled: u64,
    /// Usage windows reported by this host.
    pub usage_reported: u64,
    /// Those that were reported after they were due.
    pub usage_late: u64,
    /// Usage windows dropped because too many were not reported.
    pub usage_dropped: u64,
    /// The last usage window that this host has reported; zero before the first.
    pub usage_last_window: u64,
    /// Requests refused because upstreams could not serve them in time at their learned capacity.
    pub over_capacity: u64,
    /// Upstreams that a store host says are clearly slower than their peers.
    pub upstreams_slow: u64,
    /// Sum of the slots that upstreams announce.
    pub announced_slots: u64,
    /// Sum of the numbers of items that upstreams are given at a time.
    pub learned_slots: u64,
    /// The longest time since a learned event interval or response time was last observed, in
    /// milliseconds.
    pub oldest_estimate_ms: u64,
    /// The version of the routing configuration in force.
    pub routing_version: u64,
    /// Whether the host takes requests.
    pub ready: bool,
    /// Whether the host leads the directory group.
    pub leads: bool,
}
