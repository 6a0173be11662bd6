//! Which engines are to load which version next.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::directory::ServiceSpec;
use crate::gateway::board::{Board, Upstream};
use crate::key::UpstreamKey;

/// The share of a service's engines that load at a time, as a divisor: more of them slow each other
/// down at the weight store.
const LOADING_DIVISOR: usize = 5;

/// The share of a service's engines that are to run a model's jobs at least, as a divisor: two
/// models with a third each leave one for loads.
const SCARCE_DIVISOR: usize = 3;

/// A model of a service with a version that was named.
struct Named<'a> {
    model: &'a str,
    version: u64,
    /// The oldest version that its open jobs take, where that is to be had at too few engines, and
    /// the number of those that have it or load it.
    scarce: Option<(u64, usize)>,
}

/// An engine that may load a version.
pub(super) struct Due {
    /// The engines that can run the model's jobs, where those are too few and this is none of them.
    able: usize,
    /// Versions behind the named one.
    behind: u64,
    in_flight: u32,
    pub(super) key: UpstreamKey,
    pub(super) model: Box<str>,
    pub(super) version: u64,
}

/// Returns the engines of a service that take work.
fn engines<'a>(
    board: &'a Board,
    service: &'a ServiceSpec,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
    let serves = |upstream: &Upstream| upstream.announced.service == service.name;
    board
        .upstreams
        .iter()
        .filter(move |(_, upstream)| serves(upstream) && upstream.accepts_requests())
}

/// Returns the models of a service of which a version was named.
fn named_models<'a>(board: &'a Board, service: &'a ServiceSpec) -> Vec<Named<'a>> {
    let Some(group) = &board.group else { return Vec::new() };
    let models = service.engine.iter().flat_map(|engine| &engine.models);
    let named = models.map(|model| {
        let version = group.directory.named_version(model);
        Named { model, version, scarce: scarcity(board, service, model) }
    });
    named.filter(|named| named.version > 0).collect()
}

/// Returns the oldest version that the open jobs of a model take, and how many engines have it or
/// load the model, where those are too few.
fn scarcity(board: &Board, service: &ServiceSpec, model: &str) -> Option<(u64, usize)> {
    let jobs = board.jobs.values().filter(|job| job.spec.model.as_deref() == Some(model));
    let wanted = jobs.map(|job| job.spec.min_version).max()?;
    let (mut count, mut able) = (0, 0);
    for (_, upstream) in engines(board, service) {
        count += 1;
        able += usize::from(upstream.version_of(model) >= wanted || upstream.load.blocks(model));
    }
    (able * SCARCE_DIVISOR < count).then_some((wanted, able))
}

/// Returns the engines of a service that are to be ordered now, one model each: those that a model
/// lacks for its jobs, then those that are furthest behind, and of those the idlest.
///
/// An engine that is one version behind still runs the jobs of the newest, so it waits for those of
/// every model that are further behind.
pub(super) fn due_engines(board: &Board, service: &ServiceSpec) -> Vec<Due> {
    let models = named_models(board, service);
    let now = board.now.mono;
    let (mut count, mut busy, mut due) = (0, 0, Vec::new());
    for (key, upstream) in engines(board, service) {
        count += 1;
        busy += usize::from(upstream.load.is_busy());
        if upstream.load.is_busy() || now < upstream.load.retry_at {
            continue;
        }
        for named in &models {
            let runs = upstream.version_of(named.model);
            if runs >= named.version {
                continue;
            }
            let lacking = named.scarce.filter(|(wanted, _)| runs < *wanted);
            due.push(Due {
                able: lacking.map_or(usize::MAX, |(_, able)| able),
                behind: named.version - runs,
                in_flight: upstream.in_flight,
                key,
                model: named.model.into(),
                version: named.version,
            });
        }
    }
    due.sort_by_key(|due| (due.able, Reverse(due.behind), due.in_flight, due.key));
    let mut taken = BTreeSet::new();
    due.retain(|due| taken.insert(due.key));
    let at_once = ((count + LOADING_DIVISOR / 2) / LOADING_DIVISOR).max(1);
    due.truncate(at_once.saturating_sub(busy));
    due
}
