//! The commands that rebuild a directory from an empty one.
//!
//! They are how a snapshot travels: in pieces of bounded size, which the receiver applies as they
//! arrive.

use std::sync::Arc;

use crate::directory::{Directory, DirectoryCommand, Job, NewResult};

/// The size of a command in addition to [`DirectoryCommand::bytes`], in bytes.
const COMMAND_OVERHEAD: usize = 64;

/// Collects commands into chunks of bounded size.
struct Chunks {
    max_bytes: usize,
    chunks: Vec<Vec<DirectoryCommand>>,
    last_bytes: usize,
}

impl Chunks {
    fn push(&mut self, command: DirectoryCommand) {
        let bytes = COMMAND_OVERHEAD + command.bytes();
        if self.last_bytes + bytes > self.max_bytes || self.chunks.is_empty() {
            self.chunks.push(Vec::new());
            self.last_bytes = 0;
        }
        self.last_bytes += bytes;
        if let Some(last) = self.chunks.last_mut() {
            last.push(command);
        }
    }
}

impl Directory {
    /// Returns the commands that rebuild this directory from an empty one, in order, in chunks of
    /// at most `max_bytes`. A single command that is larger has a chunk of its own. There is at
    /// least one chunk.
    #[must_use]
    pub fn rebuild_commands(&self, max_bytes: usize) -> Vec<Vec<DirectoryCommand>> {
        let mut chunks = Chunks { max_bytes, chunks: vec![Vec::new()], last_bytes: 0 };
        if let Some(routing) = &self.routing {
            chunks.push(DirectoryCommand::PutRouting(Arc::clone(routing)));
        }
        for (model, &version) in &self.versions {
            chunks.push(DirectoryCommand::SetNamedVersion { model: model.clone(), version });
        }
        if let Some(host) = self.orderer {
            chunks.push(DirectoryCommand::SetOrderer { host });
        }
        for (&host, &incarnation) in &self.retired {
            chunks.push(DirectoryCommand::RetireVoter { host, incarnation });
        }
        self.push_usage(&mut chunks);
        if !self.upstream_targets.is_empty() {
            let targets = self.upstream_targets.clone();
            chunks.push(DirectoryCommand::SetUpstreamTargets(targets));
        }
        for job in self.jobs.values() {
            push_job(&mut chunks, job);
        }
        chunks.chunks
    }

    /// Adds the commands that settle the windows which are not reported, in their order.
    fn push_usage(&self, chunks: &mut Chunks) {
        let first = self.usage.settled.keys().next().copied().or(self.usage.next);
        let Some(first) = first else { return };
        chunks.push(DirectoryCommand::StartUsage { window: first });
        for (&window, counts) in &self.usage.settled {
            chunks.push(DirectoryCommand::SettleUsage { window, counts: counts.clone() });
        }
    }

    /// Makes a command that rebuilds another directory share the texts and items that this one
    /// holds as well, so that both together need little more memory than one.
    pub fn share_with(&self, command: &mut DirectoryCommand) {
        match command {
            DirectoryCommand::SubmitJob { spec, .. } => {
                let Some(known) = self.jobs.get(&spec.id) else { return };
                if known.spec == *spec {
                    *spec = Arc::clone(&known.spec);
                }
            }
            DirectoryCommand::AppendResults { job, results } => {
                let Some(known) = self.jobs.get(job) else { return };
                for new in results {
                    let item = new.result.item;
                    let same = known.results.iter().find(|result| result.item == item);
                    let Some(same) = same.filter(|result| **result == new.result) else { continue };
                    new.result = same.clone();
                }
            }
            _ => {}
        }
    }
}

fn push_job(chunks: &mut Chunks, job: &Job) {
    let id = &job.spec.id;
    chunks.push(DirectoryCommand::SubmitJob { spec: Arc::clone(&job.spec), at: job.accepted_at });
    for result in &job.results {
        let results = vec![NewResult::with_whole_text(result.clone())];
        chunks.push(DirectoryCommand::AppendResults { job: id.clone(), results });
    }
    for part in job.text_parts() {
        let parts = vec![part.clone()];
        chunks.push(DirectoryCommand::SaveTextParts { job: id.clone(), parts });
    }
    if let Some(at) = job.ended_at {
        chunks.push(DirectoryCommand::EndJob { job: id.clone(), at });
    }
}
