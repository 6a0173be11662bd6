//! Decisions: answers store requests from this host's replica, or proposes commands to its log.
//!
//! Reads: `pending_decisions`, `results_readers`, `group`, `hosts`, `leader`, `draining`,
//! `memory`, the clock.
//! Writes: `proposals`, `results_readers`, `replies`, `counters`, `actions`.
//!
//! Any replica may return the results and the item bodies that it holds, because results never
//! change their position. It returns an empty page only while it keeps up with the leader. Only the
//! leader, under its lease, reports that a job or an item does not exist, and only it answers all
//! other requests. It refuses a job that does not fit into the memory of the process.

mod job_memory;

use std::sync::Arc;

use self::job_memory::JobMemory;
use super::store_requests::nearest_replica;
use super::{Controller, access};
use crate::directory::{Directory, DirectoryCommand, Job, JobSpec};
use crate::gateway::action::{ResultsEntry, ResultsPage};
use crate::gateway::board::{Board, Origin, PendingDecision, ResultsReader};
use crate::gateway::event::Event;
use crate::gateway::message::{StoreReply, StoreRequest};
use crate::gateway::settings::Role;
use crate::key::HostId;
use crate::time::Millis;
use crate::timeline::EventKind;

/// The maximum size of a page with several results, well below the one megabyte that readers
/// accept.
const MAX_PAGE_BYTES: usize = 600 * 1024;

/// The maximum size of a page with several results while memory is scarce.
///
/// Reads are not refused then: a job whose results are read can be removed.
const MAX_SCARCE_PAGE_BYTES: usize = 64 * 1024;

/// The size of each result in a page in addition to its text.
const RESULT_OVERHEAD_BYTES: usize = 128;

/// Answers store requests.
#[derive(Debug)]
pub(super) struct Decisions;

impl Controller for Decisions {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        for PendingDecision { origin, request } in std::mem::take(&mut board.pending_decisions) {
            decide(board, origin, request);
        }
        serve_readers(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.results_readers.iter().map(|reader| reader.until).min().unwrap_or(Millis::MAX)
    }
}

fn decide(board: &mut Board, origin: Origin, request: StoreRequest) {
    match request {
        StoreRequest::Results { workspace, host, .. }
        | StoreRequest::ItemBody { workspace, host, .. }
        | StoreRequest::EndJob { workspace, host, .. }
            if access::lacks_key(board, workspace.as_deref(), host.as_deref()) =>
        {
            board.reply(origin, StoreReply::Unauthorized);
        }
        StoreRequest::Results { job, after, wait, workspace, .. } => {
            let until = board.now.mono + wait;
            board.results_readers.push(ResultsReader { origin, job, workspace, after, until });
        }
        StoreRequest::ItemBody { job, item, workspace, .. } => {
            let reply = item_body(board, &job, &item, workspace.as_deref());
            board.reply(origin, reply);
        }
        _ if !board.leads() => {
            let leader = known_leader(board);
            board.reply(origin, StoreReply::NotLeader { leader });
        }
        StoreRequest::GetRouting { have } => {
            let routing = directory(board).and_then(|directory| directory.routing.clone());
            let reply = match routing {
                Some(routing) if routing.version == have => StoreReply::Routing(None),
                Some(routing) => StoreReply::Routing(Some(routing)),
                None => StoreReply::Routing(None),
            };
            board.reply(origin, reply);
        }
        StoreRequest::PutRouting(routing) => {
            let newest = directory(board).map_or(0, Directory::routing_version);
            if routing.version <= newest {
                board.reply(origin, StoreReply::Done);
            } else {
                propose(board, DirectoryCommand::PutRouting(routing), origin);
            }
        }
        StoreRequest::NameVersion { model, version } => {
            let newest = directory(board).map_or(0, |directory| directory.named_version(&model));
            if version <= newest {
                board.reply(origin, StoreReply::Done);
            } else {
                propose(board, DirectoryCommand::SetNamedVersion { model, version }, origin);
            }
        }
        StoreRequest::Submit(spec) => {
            let known = job(board, &spec.id).map(|job| Arc::clone(&job.spec));
            if let Some(known) = known {
                let may_access = known.is_accessible_to(spec.workspace.as_deref());
                let reply = if may_access { StoreReply::Done } else { StoreReply::JobIdTaken };
                board.reply(origin, reply);
            } else if !has_memory_for(board, &spec) {
                board.counters.jobs_without_memory += 1;
                board.reply(origin, StoreReply::NoMemory);
            } else {
                let at = board.now.wall;
                propose(board, DirectoryCommand::SubmitJob { spec: Arc::clone(&spec), at }, origin);
            }
        }
        StoreRequest::EndJob { job: id, workspace, .. } => {
            match accessible_job(board, &id, workspace.as_deref()).map(|job| job.ended_at) {
                None => board.reply(origin, StoreReply::Unknown),
                Some(Some(_)) => board.reply(origin, StoreReply::Done),
                Some(None) => {
                    let at = board.now.wall;
                    propose(board, DirectoryCommand::EndJob { job: id, at }, origin);
                }
            }
        }
        StoreRequest::Retire { host } => retire(board, origin, &host),
        StoreRequest::RetireStatus { host } => {
            let reply = retire_status(board, &host);
            board.reply(origin, reply);
        }
    }
}

/// Returns whether a job fits into the memory of the process; logs the reason if it does not.
///
/// A job that was proposed before is never refused, because it may be accepted.
fn has_memory_for(board: &mut Board, spec: &JobSpec) -> bool {
    let memory = board.memory;
    let (Some(group), Some(budget)) = (&board.group, memory.directory_budget()) else {
        return true;
    };
    let need = JobMemory::with_job(board, group, spec);
    let unsynced = group.unsynced_bytes();
    let disk_keeps_up = memory.unsynced_budget().is_none_or(|budget| unsynced <= budget);
    let fits = need.total() <= budget && disk_keeps_up && !memory.is_scarce();
    if fits || job_memory::is_proposed(board, group, &spec.id) {
        return true;
    }
    let detail = format!(
        "no memory: held={} expected={} job={} budget={budget} unsynced={unsynced} allocated={} limit={}",
        need.held,
        need.expected,
        need.job,
        memory.allocated,
        memory.limit.unwrap_or_default()
    );
    board.note(EventKind::Refused, spec.id.clone(), detail);
    false
}

fn propose(board: &mut Board, command: DirectoryCommand, origin: Origin) {
    board.proposals.push((command, Some(origin)));
    board.another_round = true;
}

fn directory(board: &Board) -> Option<&Directory> {
    board.group.as_ref().map(|group| &group.directory)
}

fn job<'a>(board: &'a Board, id: &str) -> Option<&'a Job> {
    directory(board).and_then(|directory| directory.jobs.get(id))
}

/// Returns a job that callers of a workspace may read and end; for all others it does not exist.
fn accessible_job<'a>(board: &'a Board, id: &str, workspace: Option<&str>) -> Option<&'a Job> {
    job(board, id).filter(|job| job.spec.is_accessible_to(workspace))
}

fn known_leader(board: &Board) -> Option<HostId> {
    let group = board.group.as_ref()?;
    let leader = group.replica.leader().or_else(|| board.leader.map(|(_, leader)| leader));
    leader.filter(|leader| *leader != board.cfg.id)
}

/// Returns whether this host leads or its replica lags only briefly behind the leader.
fn is_caught_up(board: &Board) -> bool {
    let Some(group) = &board.group else { return false };
    board.leads() || group.replica.is_caught_up(board.now)
}

fn item_body(board: &Board, id: &str, item: &str, workspace: Option<&str>) -> StoreReply {
    let found = accessible_job(board, id, workspace).and_then(|job| {
        let (index, spec) = job.item(item)?;
        (!job.has_result(index)).then(|| spec.body.clone())
    });
    match found {
        Some(body) => StoreReply::Body(body),
        None if board.leads() => StoreReply::Unknown,
        None => StoreReply::NotLeader { leader: replica_elsewhere(board) },
    }
}

/// Returns another host that holds the directory, for a read that this one can't answer.
fn replica_elsewhere(board: &Board) -> Option<HostId> {
    let follows = board.group.as_ref().is_some_and(|group| group.replica.hears_leader(board.now));
    // A replica that follows the leader lacks only what the leader alone may know.
    if follows { known_leader(board) } else { nearest_replica(board, &board.reachable_stores()) }
}

/// Replies to the readers for whom results have arrived or whose wait has ended.
fn serve_readers(board: &mut Board) {
    if board.results_readers.is_empty() {
        return;
    }
    let now = board.now.mono;
    let draining = board.draining.is_some();
    let caught_up = is_caught_up(board);
    let hears_leader = board.leads()
        || board.group.as_ref().is_some_and(|group| group.replica.hears_leader(board.now));
    let max_bytes = if board.memory.is_scarce() { MAX_SCARCE_PAGE_BYTES } else { MAX_PAGE_BYTES };
    let mut waiting = Vec::new();
    for reader in std::mem::take(&mut board.results_readers) {
        let job = accessible_job(board, &reader.job, reader.workspace.as_deref());
        let Some(job) = job else {
            let reply = if board.leads() {
                StoreReply::Unknown
            } else {
                StoreReply::NotLeader { leader: replica_elsewhere(board) }
            };
            board.reply(reader.origin, reply);
            continue;
        };
        let has_result = job.results.len() > reader.after as usize;
        let is_complete = job.results.len() >= job.spec.items.len();
        if !has_result
            && !hears_leader
            && let Some(replica) = replica_elsewhere(board)
        {
            let reply = StoreReply::NotLeader { leader: Some(replica) };
            board.reply(reader.origin, reply);
            continue;
        }
        if !has_result && !is_complete && now < reader.until && !draining {
            waiting.push(reader);
            continue;
        }
        let page = page(job, reader.after, max_bytes);
        let reply = if has_result || caught_up {
            StoreReply::Results(page)
        } else {
            StoreReply::Undetermined
        };
        board.reply(reader.origin, reply);
    }
    board.results_readers = waiting;
}

fn page(job: &Job, after: u32, max_bytes: usize) -> ResultsPage {
    let total = u32::try_from(job.spec.items.len()).unwrap_or(u32::MAX);
    let (mut results, mut bytes) = (Vec::new(), 0);
    for result in job.results.iter().skip(after as usize) {
        bytes += RESULT_OVERHEAD_BYTES + result.outcome.text_bytes();
        if !results.is_empty() && bytes > max_bytes {
            break;
        }
        let id = job.spec.items[result.item as usize].id.clone();
        results.push(ResultsEntry { id, outcome: result.outcome.clone() });
    }
    let next = after + u32::try_from(results.len()).unwrap_or(u32::MAX);
    ResultsPage { total, next, results }
}

fn host_by_name(board: &Board, name: &str) -> Option<(HostId, u64)> {
    if *name == *board.cfg.name {
        return Some((board.cfg.id, board.cfg.incarnation));
    }
    let named =
        |host: &&crate::gateway::board::Host| *host.name == *name && host.role == Role::Store;
    board.hosts.values().find(named).map(|host| (host.id, host.incarnation))
}

fn retire(board: &mut Board, origin: Origin, name: &str) {
    let Some((host, incarnation)) = host_by_name(board, name) else {
        board.reply(origin, StoreReply::Unknown);
        return;
    };
    let Some(group) = &board.group else { return };
    if group.directory.retired.get(&host) == Some(&incarnation) {
        board.reply(origin, StoreReply::Done);
        return;
    }
    let retired = &group.directory.retired;
    let stores = board.live_stores().into_iter().chain([board.cfg.id]);
    let remaining = stores.filter(|id| *id != host && !retired.contains_key(id)).count();
    if remaining < board.cfg.target_voters() {
        board.reply(origin, StoreReply::TooFew);
        return;
    }
    propose(board, DirectoryCommand::RetireVoter { host, incarnation }, origin);
}

fn retire_status(board: &Board, name: &str) -> StoreReply {
    let Some((host, incarnation)) = host_by_name(board, name) else { return StoreReply::Unknown };
    let Some(group) = &board.group else { return StoreReply::Undetermined };
    if group.directory.retired.get(&host) != Some(&incarnation) {
        return StoreReply::Unknown;
    }
    let voters = group.replica.voters();
    let is_removed = voters.iter().all(|voter| voter.host != host);
    let has_enough = voters.len() >= board.cfg.target_voters();
    // A majority of the voters holds every committed entry, so nothing depends on the retired host
    // once the voter set without it is committed.
    StoreReply::Retiring {
        complete: is_removed && has_enough && group.replica.is_voter_set_stable(),
    }
}
