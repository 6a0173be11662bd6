//! The selection of engines to order next, and of the versions that they are to load.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::directory::ServiceSpec;
use crate::gateway::board::{Board, Upstream};
use crate::key::UpstreamKey;

/// One in this many engines of a service may load at the same time; more of them would slow each
/// other down at the weight store.
const LOADING_DIVISOR: usize = 5;

/// At least one in this many engines of a service should be able to run a model's jobs. Two models
/// that take a third of the engines each leave a third for loads.
const MIN_ABLE_DIVISOR: usize = 3;

/// A model of a service with its named version.
struct NamedModel<'a> {
    model: &'a str,
    version: u64,
    /// The oldest version that all its open jobs accept, and the number of engines that run it or a
    /// newer one or load the model; `None` if there are enough of them or no open job.
    shortage: Option<(u64, usize)>,
}

/// A load that an engine may be ordered to start.
pub(super) struct DueLoad {
    /// The number of engines that can run the model's jobs, if they are too few and this engine is
    /// not among them; otherwise [`usize::MAX`].
    able: usize,
    /// How many versions the engine is behind the named one.
    behind: u64,
    in_flight: u32,
    pub(super) key: UpstreamKey,
    pub(super) model: Box<str>,
    pub(super) version: u64,
}

/// Returns the engines of a service that accept work.
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

/// Returns the models of a service that have a named version.
fn named_models<'a>(board: &'a Board, service: &'a ServiceSpec) -> Vec<NamedModel<'a>> {
    let Some(group) = &board.group else { return Vec::new() };
    let models = service.engine.iter().flat_map(|engine| &engine.models);
    let named = models.map(|model| {
        let version = group.directory.named_version(model);
        NamedModel { model, version, shortage: engine_shortage(board, service, model) }
    });
    named.filter(|named| named.version > 0).collect()
}

/// Returns the oldest version that all open jobs of a model accept, and how many engines run it or a
/// newer one or load the model, or `None` if there are enough of them or no open job.
fn engine_shortage(board: &Board, service: &ServiceSpec, model: &str) -> Option<(u64, usize)> {
    let jobs = board.jobs.values().filter(|job| job.spec.model.as_deref() == Some(model));
    let wanted = jobs.map(|job| job.spec.min_version).max()?;
    let (mut count, mut able) = (0, 0);
    for (_, upstream) in engines(board, service) {
        count += 1;
        able += usize::from(upstream.version_of(model) >= wanted || upstream.load.blocks(model));
    }
    (able * MIN_ABLE_DIVISOR < count).then_some((wanted, able))
}

/// Returns the number of a service's engines without any order for upstreams, or `None` if none is
/// recorded.
fn baseline(board: &Board, service: &ServiceSpec) -> Option<usize> {
    let targets = board.group.as_ref()?.directory.upstream_targets.iter();
    let of_service = targets.filter(|target| target.service == service.name);
    let sum: u32 = of_service.map(|target| target.baseline).sum();
    usize::try_from(sum).ok().filter(|sum| *sum > 0)
}

/// Returns the loads of a service that are to be ordered now, at most one per engine: first those
/// for models that too few engines can run for their jobs, then those of the engines furthest
/// behind, and among these the ones with the fewest requests in flight.
///
/// An engine that is one version behind can still run the jobs of the newest version, so the
/// engines of every model that are further behind go first.
pub(super) fn due_loads(board: &Board, service: &ServiceSpec) -> Vec<DueLoad> {
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
            let needed = named.shortage.filter(|(wanted, _)| runs < *wanted);
            due.push(DueLoad {
                able: needed.map_or(usize::MAX, |(_, able)| able),
                behind: named.version - runs,
                in_flight: upstream.in_flight,
                key,
                model: named.model.into(),
                version: named.version,
            });
        }
    }
    due.sort_by_key(|due| (due.able, Reverse(due.behind), due.in_flight, due.key));
    let mut ordered = BTreeSet::new();
    due.retain(|due| ordered.insert(due.key));
    // The weight store is made for the engines that are there without orders for more.
    let supported = baseline(board, service).map_or(count, |baseline| baseline.min(count));
    let max_loading = ((supported + LOADING_DIVISOR / 2) / LOADING_DIVISOR).max(1);
    due.truncate(max_loading.saturating_sub(busy));
    due
}
