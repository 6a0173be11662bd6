//! The memory that the jobs of the directory need until they end.

use crate::agreement::Command;
use crate::directory::{Directory, DirectoryCommand, ItemOutcome, ItemSpec, Job, JobSpec};
use crate::gateway::board::{Board, DirectoryGroup};

/// The assumed length of a token's text, in bytes, as long as no result is known.
const DEFAULT_TEXT_BYTES_PER_TOKEN: u64 = 8;

/// What the directory would hold with one more job, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobMemory {
    /// The jobs and the log as they are, with the commands that are not applied yet.
    pub(super) held: u64,
    /// The texts that the open jobs can still produce.
    pub(super) expected: u64,
    /// The job, with the texts that it can produce.
    pub(super) job: u64,
}

impl JobMemory {
    /// Adds up what `group` holds and what `spec` adds to it.
    pub(super) fn with_job(board: &Board, group: &DirectoryGroup, spec: &JobSpec) -> Self {
        let directory = &group.directory;
        let rate = TextRate::measure(directory);
        let open = directory.jobs.values().filter(|job| job.is_open());
        let expected = rate.bytes(open.map(open_tokens).sum());
        let tokens = spec.items.iter().map(output_tokens).sum();
        let (mut pending, mut pending_tokens) = (0, 0);
        for command in unapplied(board, group) {
            pending += bytes(command.bytes());
            let DirectoryCommand::SubmitJob { spec, .. } = command else { continue };
            pending_tokens += spec.items.iter().map(output_tokens).sum::<u64>();
        }
        // The log has room of its own; one that holds more than the jobs counts in their place.
        let held = directory.job_bytes().max(group.replica.log().bytes());
        Self {
            held: bytes(held) + pending,
            expected: expected + rate.bytes(pending_tokens),
            job: bytes(spec.bytes()) + rate.bytes(tokens),
        }
    }

    /// Returns the sum.
    pub(super) fn total(&self) -> u64 {
        self.held + self.expected + self.job
    }
}

/// Returns whether a job is proposed and not applied yet.
pub(super) fn is_proposed(board: &Board, group: &DirectoryGroup, id: &str) -> bool {
    unapplied(board, group).any(
        |command| matches!(command, DirectoryCommand::SubmitJob { spec, .. } if *spec.id == *id),
    )
}

/// Returns the commands that are in the log or about to be proposed, and not applied.
fn unapplied<'a>(
    board: &'a Board,
    group: &'a DirectoryGroup,
) -> impl Iterator<Item = &'a DirectoryCommand> {
    let replica = &group.replica;
    let logged = replica.log().entries_from(replica.applied_index() + 1, usize::MAX);
    let logged = logged.filter_map(|entry| match &entry.command {
        Command::Directory(command) => Some(command),
        _ => None,
    });
    logged.chain(board.proposals.iter().map(|(command, _)| command))
}

/// The length of the texts of known results in relation to the tokens that their items stated.
#[derive(Debug, Clone, Copy, Default)]
struct TextRate {
    bytes: u64,
    tokens: u64,
}

impl TextRate {
    fn measure(directory: &Directory) -> Self {
        let mut rate = Self::default();
        for job in directory.jobs.values() {
            for result in &job.results {
                let ItemOutcome::Completed { text, .. } = &result.outcome else { continue };
                let Some(item) = job.spec.items.get(result.item as usize) else { continue };
                rate.bytes += bytes(text.len());
                rate.tokens += output_tokens(item);
            }
        }
        rate
    }

    /// Returns the expected length of the text of `tokens` tokens, in bytes.
    fn bytes(self, tokens: u64) -> u64 {
        if self.tokens == 0 {
            return tokens * DEFAULT_TEXT_BYTES_PER_TOKEN;
        }
        let bytes = u128::from(tokens) * u128::from(self.bytes) / u128::from(self.tokens);
        u64::try_from(bytes).unwrap_or(u64::MAX)
    }
}

/// Returns the output tokens of the items of a job that have no result.
fn open_tokens(job: &Job) -> u64 {
    let items = (0..).zip(&job.spec.items);
    items.filter(|(index, _)| !job.has_result(*index)).map(|(_, item)| output_tokens(item)).sum()
}

/// Returns the output tokens that an item expects, or the most that it allows where it states none.
fn output_tokens(item: &ItemSpec) -> u64 {
    let tokens = match item.expected_tokens {
        0 => item.tokens.saturating_sub(item.prompt_tokens),
        expected => expected,
    };
    u64::from(tokens)
}

fn bytes(len: usize) -> u64 {
    u64::try_from(len).unwrap_or(u64::MAX)
}
