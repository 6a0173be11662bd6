//! The applied state of the directory group.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::directory::{
    DirectoryCommand, DirectoryOutcome, Job, RoutingConfig, UpstreamTarget, UsageWindows,
};
use crate::key::HostId;

/// The state that the directory group replicates.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Directory {
    /// The routing configuration in force, or `None` until an operator has put one.
    pub routing: Option<Arc<RoutingConfig>>,
    /// The newest named weight version of each model.
    pub versions: BTreeMap<Box<str>, u64>,
    /// The batch jobs.
    pub jobs: BTreeMap<Box<str>, Job>,
    /// The host that sends orders to upstreams, or was the last to do so; `None` before the first.
    pub orderer: Option<HostId>,
    /// The hosts that were removed from the voter set for good, with their incarnations.
    pub retired: BTreeMap<HostId, u64>,
    /// The usage windows.
    #[serde(skip_serializing_if = "UsageWindows::is_unused")]
    pub usage: UsageWindows,
    /// The intended numbers of upstreams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstream_targets: Vec<UpstreamTarget>,
}

impl Directory {
    /// Applies a command.
    pub fn apply(&mut self, command: &DirectoryCommand) -> DirectoryOutcome {
        match command {
            DirectoryCommand::PutRouting(routing) => self.put_routing(routing),
            DirectoryCommand::SetNamedVersion { model, version } => {
                let newest = self.versions.entry(model.clone()).or_default();
                *newest = (*newest).max(*version);
            }
            DirectoryCommand::SubmitJob { spec, at } => {
                let job = || Job::new(Arc::clone(spec), *at);
                let job = self.jobs.entry(spec.id.clone()).or_insert_with(job);
                if !job.spec.is_accessible_to(spec.workspace.as_deref()) {
                    return DirectoryOutcome::JobIdTaken;
                }
            }
            DirectoryCommand::AppendResults { job, results } => {
                let Some(job) = self.jobs.get_mut(job) else { return DirectoryOutcome::UnknownJob };
                for result in results {
                    job.append_result(result);
                }
            }
            DirectoryCommand::SaveTextParts { job, parts } => {
                let Some(job) = self.jobs.get_mut(job) else { return DirectoryOutcome::UnknownJob };
                for part in parts {
                    job.save_text_part(part);
                }
            }
            DirectoryCommand::EndJob { job, at } => {
                let Some(job) = self.jobs.get_mut(job) else { return DirectoryOutcome::UnknownJob };
                job.ended_at.get_or_insert(*at);
            }
            DirectoryCommand::RemoveJobs { jobs } => {
                for job in jobs {
                    self.jobs.remove(job);
                }
            }
            DirectoryCommand::SetOrderer { host } => self.orderer = Some(*host),
            DirectoryCommand::RetireVoter { host, incarnation } => {
                self.retired.insert(*host, *incarnation);
            }
            DirectoryCommand::StartUsage { window } => self.usage.start(*window),
            DirectoryCommand::SettleUsage { window, counts } => self.usage.settle(*window, counts),
            DirectoryCommand::UsageReported { through } => self.usage.remove_reported(*through),
            DirectoryCommand::SetUpstreamTargets(targets) => {
                for target in targets {
                    self.upstream_targets.retain(|known| !known.is_same_pool(target));
                    self.upstream_targets.push(target.clone());
                }
            }
        }
        DirectoryOutcome::Applied
    }

    /// Returns the approximate size of the jobs in a message, in bytes.
    #[must_use]
    pub fn job_bytes(&self) -> usize {
        self.jobs.values().map(Job::bytes).sum()
    }

    /// Returns the version of the routing configuration in force, or zero if there is none.
    #[must_use]
    pub fn routing_version(&self) -> u64 {
        self.routing.as_ref().map_or(0, |routing| routing.version)
    }

    /// Returns the newest named weight version of a model, or zero if none was named.
    #[must_use]
    pub fn named_version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or_default()
    }

    fn put_routing(&mut self, routing: &Arc<RoutingConfig>) {
        if routing.version > self.routing_version() {
            self.routing = Some(Arc::clone(routing));
        }
    }
}
