//! Usage: counts the requests of each workspace that began to run, and reports them to the provider.
//!
//! An entry host writes the starts of requests into its [`StartLog`] and sends them to the leader of
//! the directory group ([`recording`]). The leader counts them by window of true time, has the counts
//! settled by the directory, and then reports them ([`settlement`]). Nothing is sent or counted unless
//! the settings name a usage window and the routing names workspaces.

mod messages;
pub mod recording;
pub mod settlement;
mod starts;
mod tally;
mod true_time;

pub use messages::{ClockReading, UsageAck, UsageStarts};
pub use starts::{StartLog, WorkspaceNames};
