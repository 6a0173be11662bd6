//! The directory: the state that the hosts with disks replicate for a whole deployment.
//!
//! The directory group keeps the operators' routing configuration, the named weight versions, the
//! batch jobs with their results, and the retired hosts. Each replica applies the same
//! [`DirectoryCommand`]s in the same order to its [`Directory`].

mod command;
mod difference;
mod document;
mod job;
mod rebuild;
mod review;
mod reward_call;
mod routing;
mod scaling;
mod state;
mod text;
mod usage;
mod workspace;

pub use command::{DirectoryCommand, DirectoryOutcome};
pub use difference::{Change, ChangeKind, Subject};
pub use document::ConfigDocument;
pub use job::{ItemOutcome, ItemResult, ItemSpec, Job, JobSpec, NewResult};
pub use review::{Finding, RequestLimit, Severity};
pub use reward_call::RewardCall;
pub use routing::{
    EngineSpec, RequestLimits, Route, RouteKind, RoutingConfig, RoutingError, ServiceSpec, Target,
};
pub use scaling::{ScalingSpec, UpstreamTarget};
pub use state::Directory;
pub use text::{ItemText, PartialText, TextPart};
pub use usage::{MAX_SETTLED_WINDOWS, UsageCounts, UsageWindows};
pub use workspace::{AccessError, ApiKey, Workspace, WorkspaceError};
