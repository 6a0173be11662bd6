//! Messages between the hosts of a deployment.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::directory::{JobSpec, RoutingConfig};
use crate::gateway::action::ResultsPage;
use crate::gateway::event::Announcement;
use crate::gateway::settings::Role;
use crate::key::HostId;
use crate::time::Millis;

/// What one host tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GatewayMessage {
    /// The sender is alive and wants to hear of changes.
    Hello(Hello),
    /// What a store host knows, as far as the receiver lacks it.
    View(View),
    /// The sender asks for a decision or for data.
    #[serde(rename = "ask")]
    Request {
        /// The sender's process.
        #[serde(rename = "life")]
        boot_id: u64,
        /// The sender's name for the question.
        key: u64,
        /// The question.
        #[serde(rename = "ask")]
        request: StoreRequest,
    },
    /// The answer to an `Ask`.
    Reply {
        /// The process that asked.
        #[serde(rename = "life")]
        boot_id: u64,
        /// The name of the question.
        key: u64,
        /// The answer.
        reply: StoreReply,
    },
}

/// A host presents itself to a store host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Hello {
    /// The name.
    pub name: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// The role.
    pub role: Role,
    /// The life of the sender's state.
    pub incarnation: u64,
    /// The version of the routing configuration that it serves under.
    #[serde(rename = "routing")]
    pub routing_version: u64,
    /// The receiver's process and the revision of its registry that the sender has.
    #[serde(rename = "seen")]
    pub known_revision: (u64, u64),
    /// Upstreams that the sender has heard itself since its last hello, with the number of their
    /// last announcement.
    #[serde(rename = "heard")]
    pub seen_upstreams: Vec<(Box<str>, u64)>,
}

/// What a store host tells those who said hello.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct View {
    /// The sender's name.
    pub name: Box<str>,
    /// The sender's availability zone.
    pub zone: Box<str>,
    /// The fencing number and leader of the directory group, as far as the sender knows.
    pub leader: Option<(u64, HostId)>,
    /// The store hosts that the sender has heard from lately.
    pub stores: Vec<HostId>,
    /// A newer routing configuration.
    pub routing: Option<Arc<RoutingConfig>>,
    /// The sender's process and the revision of its registry that these records lead to.
    pub revision: (u64, u64),
    /// Upstreams that changed.
    pub upstreams: Vec<UpstreamRecord>,
}

/// One upstream in a store host's registry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamRecord {
    /// Its latest announcement.
    pub announced: Announcement,
    /// Whether no store host that the sender hears from has heard it lately.
    pub silent: bool,
    /// Whether it is gone for good.
    pub gone: bool,
}

/// A question to a store host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreRequest {
    /// Put a routing configuration in force.
    PutRouting(Arc<RoutingConfig>),
    /// Read the newest routing configuration.
    GetRouting {
        /// The version that the asker has; it is not sent again.
        have: u64,
    },
    /// Name a weight version.
    NameVersion {
        /// The model.
        model: Box<str>,
        /// The version.
        version: u64,
    },
    /// Accept a job.
    Submit(Arc<JobSpec>),
    /// Read results of a job.
    Results {
        /// The job.
        job: Box<str>,
        /// The first position wanted.
        after: u32,
        /// How long to wait for it.
        wait: Millis,
    },
    /// Read the body of an item.
    ItemBody {
        /// The job.
        job: Box<str>,
        /// The item.
        item: Box<str>,
    },
    /// End a job.
    EndJob {
        /// The job.
        job: Box<str>,
    },
    /// Retire a store host.
    Retire {
        /// The name of the host.
        host: Box<str>,
    },
    /// Ask how far a retirement is.
    RetireStatus {
        /// The name of the host.
        host: Box<str>,
    },
}

/// The answer to an [`StoreRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// It is done, or held before.
    Done,
    /// The newest routing configuration, or none where the asker has it.
    Routing(Option<Arc<RoutingConfig>>),
    /// Results.
    Results(ResultsPage),
    /// A body.
    Body(Bytes),
    /// Whether a retirement is complete.
    Retiring {
        /// Whether the host may be removed.
        complete: bool,
    },
    /// What is asked for does not exist.
    Unknown,
    /// Too few hosts would remain.
    TooFew,
    /// The sender does not lead and can't answer for sure.
    #[serde(rename = "ask_leader")]
    NotLeader {
        /// The leader, as far as the sender knows.
        leader: Option<HostId>,
    },
    /// The sender can't be sure at the moment.
    #[serde(rename = "not_sure")]
    Undetermined,
}

impl StoreRequest {
    /// Tells whether only the leader can answer; others can tell results that they hold.
    #[must_use]
    pub fn needs_leader(&self) -> bool {
        !matches!(self, Self::Results { .. } | Self::ItemBody { .. })
    }

    /// Tells whether an answer that is lost leaves open whether something was changed.
    #[must_use]
    pub fn changes(&self) -> bool {
        !matches!(
            self,
            Self::GetRouting { .. }
                | Self::Results { .. }
                | Self::ItemBody { .. }
                | Self::RetireStatus { .. }
        )
    }

    /// Returns the name that logs use.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::PutRouting(_) => "put-routing",
            Self::GetRouting { .. } => "get-routing",
            Self::NameVersion { .. } => "name-version",
            Self::Submit(_) => "submit",
            Self::Results { .. } => "results",
            Self::ItemBody { .. } => "item-body",
            Self::EndJob { .. } => "end-job",
            Self::Retire { .. } => "retire",
            Self::RetireStatus { .. } => "retire-status",
        }
    }
}
