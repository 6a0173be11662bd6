//! Decisions: answers store requests from this host's replica, or proposes commands to its log.
//!
//! Reads: `decisions`, `readers`, `group`, `hosts`, `leader`, `draining`, the clock.
//! Writes: `wishes`, `readers`, `replies`, `actions`.
//!
//! Any replica may return the results and the item bodies that it holds, because results never
//! change their position. It returns an empty page only while it keeps up with the leader. Only the
//! leader, under its lease, reports that a job or an item does not exist, and only it answers all
//! other requests.

use std::sync::Arc;

use super::Controller;
use crate::directory::{Directory, DirectoryCommand, Job};
use crate::gateway::action::{Page, PageEntry};
use crate::gateway::board::{Board, Decision, Origin, Reader};
use crate::gateway::event::Event;
use crate::gateway::message::{Ask, Reply};
use crate::gateway::settings::Role;
use crate::key::HostId;
use crate::time::Millis;

/// The maximum size of a page with several results, well below the one megabyte that readers
/// accept.
const MAX_PAGE_BYTES: usize = 600 * 1024;

/// The size of each result in a page in addition to its text.
const RESULT_OVERHEAD_BYTES: usize = 128;

/// Answers store requests.
#[derive(Debug)]
pub(super) struct Decisions;

impl Controller for Decisions {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        for Decision { origin, ask } in std::mem::take(&mut board.decisions) {
            decide(board, origin, ask);
        }
        serve_readers(board);
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        board.readers.iter().map(|reader| reader.until).min().unwrap_or(Millis::MAX)
    }
}

fn decide(board: &mut Board, origin: Origin, ask: Ask) {
    match ask {
        Ask::Results { job, after, wait } => {
            let until = board.now.mono + wait;
            board.readers.push(Reader { origin, job, after, until });
        }
        Ask::ItemBody { job, item } => {
            let reply = item_body(board, &job, &item);
            board.reply(origin, reply);
        }
        _ if !board.leads() => {
            let leader = known_leader(board);
            board.reply(origin, Reply::AskLeader { leader });
        }
        Ask::GetRouting { have } => {
            let routing = directory(board).and_then(|directory| directory.routing.clone());
            let reply = match routing {
                Some(routing) if routing.version == have => Reply::Routing(None),
                Some(routing) => Reply::Routing(Some(routing)),
                None => Reply::Routing(None),
            };
            board.reply(origin, reply);
        }
        Ask::PutRouting(routing) => {
            let newest = directory(board).map_or(0, Directory::routing_version);
            if routing.version <= newest {
                board.reply(origin, Reply::Done);
            } else {
                propose(board, DirectoryCommand::Route(routing), origin);
            }
        }
        Ask::NameVersion { model, version } => {
            let newest = directory(board).map_or(0, |directory| directory.named_version(&model));
            if version <= newest {
                board.reply(origin, Reply::Done);
            } else {
                propose(board, DirectoryCommand::NameVersion { model, version }, origin);
            }
        }
        Ask::Submit(spec) => {
            if job(board, &spec.id).is_some() {
                board.reply(origin, Reply::Done);
            } else {
                let at = board.now.wall;
                propose(board, DirectoryCommand::Submit { spec: Arc::clone(&spec), at }, origin);
            }
        }
        Ask::EndJob { job: id } => match job(board, &id).map(|job| job.ended_at) {
            None => board.reply(origin, Reply::Unknown),
            Some(Some(_)) => board.reply(origin, Reply::Done),
            Some(None) => {
                let at = board.now.wall;
                propose(board, DirectoryCommand::EndJob { job: id, at }, origin);
            }
        },
        Ask::Retire { host } => retire(board, origin, &host),
        Ask::RetireStatus { host } => {
            let reply = retire_status(board, &host);
            board.reply(origin, reply);
        }
    }
}

fn propose(board: &mut Board, command: DirectoryCommand, origin: Origin) {
    board.wishes.push((command, Some(origin)));
    board.again = true;
}

fn directory(board: &Board) -> Option<&Directory> {
    board.group.as_ref().map(|group| &group.directory)
}

fn job<'a>(board: &'a Board, id: &str) -> Option<&'a Job> {
    directory(board).and_then(|directory| directory.jobs.get(id))
}

fn known_leader(board: &Board) -> Option<HostId> {
    let group = board.group.as_ref()?;
    let leader = group.replica.leader().or_else(|| board.leader.map(|(_, leader)| leader));
    leader.filter(|leader| *leader != board.cfg.id)
}

/// Returns whether this host leads or its replica lags only briefly behind the leader.
fn is_caught_up(board: &Board) -> bool {
    let Some(group) = &board.group else { return false };
    board.leads() || group.replica.keeps_up(board.now)
}

fn item_body(board: &Board, id: &str, item: &str) -> Reply {
    let found = job(board, id).and_then(|job| {
        let (index, spec) = job.item(item)?;
        (!job.is_listed(index)).then(|| spec.body.clone())
    });
    match found {
        Some(body) => Reply::Body(body),
        None if board.leads() => Reply::Unknown,
        None => Reply::AskLeader { leader: known_leader(board) },
    }
}

/// Replies to the readers for whom results have arrived or whose wait has ended.
fn serve_readers(board: &mut Board) {
    if board.readers.is_empty() {
        return;
    }
    let now = board.now.mono;
    let draining = board.draining.is_some();
    let caught_up = is_caught_up(board);
    let mut waiting = Vec::new();
    for reader in std::mem::take(&mut board.readers) {
        let Some(job) = job(board, &reader.job) else {
            let reply = if board.leads() {
                Reply::Unknown
            } else {
                Reply::AskLeader { leader: known_leader(board) }
            };
            board.reply(reader.origin, reply);
            continue;
        };
        let has_result = job.results.len() > reader.after as usize;
        let is_complete = job.results.len() >= job.spec.items.len();
        if !has_result && !is_complete && now < reader.until && !draining {
            waiting.push(reader);
            continue;
        }
        let page = page(job, reader.after);
        let reply = if has_result || caught_up { Reply::Results(page) } else { Reply::NotSure };
        board.reply(reader.origin, reply);
    }
    board.readers = waiting;
}

fn page(job: &Job, after: u32) -> Page {
    let total = u32::try_from(job.spec.items.len()).unwrap_or(u32::MAX);
    let (mut results, mut bytes) = (Vec::new(), 0);
    for result in job.results.iter().skip(after as usize) {
        bytes += RESULT_OVERHEAD_BYTES + result.outcome.text_bytes();
        if !results.is_empty() && bytes > MAX_PAGE_BYTES {
            break;
        }
        let id = job.spec.items[result.item as usize].id.clone();
        results.push(PageEntry { id, outcome: result.outcome.clone() });
    }
    let next = after + u32::try_from(results.len()).unwrap_or(u32::MAX);
    Page { total, next, results }
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
        board.reply(origin, Reply::Unknown);
        return;
    };
    let Some(group) = &board.group else { return };
    if group.directory.retired.get(&host) == Some(&incarnation) {
        board.reply(origin, Reply::Done);
        return;
    }
    let retired = &group.directory.retired;
    let stores = board.live_stores().into_iter().chain([board.cfg.id]);
    let remaining = stores.filter(|id| *id != host && !retired.contains_key(id)).count();
    if remaining < board.cfg.voters_wanted() {
        board.reply(origin, Reply::TooFew);
        return;
    }
    propose(board, DirectoryCommand::Retire { host, incarnation }, origin);
}

fn retire_status(board: &Board, name: &str) -> Reply {
    let Some((host, incarnation)) = host_by_name(board, name) else { return Reply::Unknown };
    let Some(group) = &board.group else { return Reply::NotSure };
    if group.directory.retired.get(&host) != Some(&incarnation) {
        return Reply::Unknown;
    }
    let voters = group.replica.voters();
    let is_removed = voters.iter().all(|voter| voter.host != host);
    let has_enough = voters.len() >= board.cfg.voters_wanted();
    // A majority of the voters holds every committed entry, so nothing depends on the retired host
    // once the voter set without it is committed.
    Reply::Retiring { complete: is_removed && has_enough && group.replica.voters_are_settled() }
}
