//! Streams that callers take up after they broke off.

use super::endings::fail_after;
use crate::directory::RouteKind;
use crate::gateway::board::{Board, Request, StreamOrigin, StreamRecord};
use crate::gateway::controller::candidates::usable;
use crate::key::{RequestKey, UpstreamKey};
use crate::time::Millis;

/// The delay after which a caller may retry whose stream no upstream can continue now.
const RETRY_DELAY: Millis = Millis(500);

/// Returns whether an upstream may run a request: a stream that is taken up goes on only at the software
/// version that began it.
///
/// This host may know an upstream as it was before it started anew with other software, so the store
/// that told the version must know the same instance.
pub(super) fn may_continue(board: &Board, request: &Request, upstream: UpstreamKey) -> bool {
    let Some(origin) = &request.origin else { return request.resumes.is_none() };
    let Some(upstream) = board.upstreams.get(upstream) else { return false };
    let announced = &upstream.announced;
    let instance = announced.instance();
    let is_known = request.continuing.as_ref().is_none_or(|known| known.contains(&instance));
    announced.software == origin.software && is_known
}

/// Returns why no upstream can continue the stream that a request takes up: its origin is not known, the
/// route no longer leads to its service, or no upstream of its version takes requests.
fn obstacle(board: &Board, key: RequestKey) -> Option<String> {
    let request = &board.requests[key];
    let stream = request.resumes.as_ref()?;
    let Some(origin) = &request.origin else {
        return Some(format!("no host knows which version began stream {stream:?}"));
    };
    let targets = &request.route.targets;
    let is_allowed = targets.iter().any(|t| t.weight > 0 && t.service == origin.service);
    let is_served =
        usable(board, &origin.service).any(|(key, _)| may_continue(board, request, key));
    let version = &origin.software;
    let why = || format!("no upstream of version {version} can continue stream {stream}");
    (!is_allowed || !is_served).then(why)
}

/// Returns whether a request takes up no stream, or one that an upstream can continue.
pub(super) fn is_continuable(board: &Board, key: RequestKey) -> bool {
    obstacle(board, key).is_none()
}

/// Refuses a request for a stream that no upstream can continue.
pub(super) fn refuse_uncontinuable(board: &mut Board, key: RequestKey) {
    let why = obstacle(board, key);
    let request = &mut board.requests[key];
    if let Some(why) = why.filter(|_| request.last_failure.is_empty()) {
        request.last_failure = why.into();
    }
    board.counters.streams_refused += 1;
    fail_after(board, key, RETRY_DELAY);
}

/// Records the software version of the upstream to which a request for a stream is sent.
pub(super) fn record_stream(board: &mut Board, key: RequestKey, upstream: UpstreamKey) {
    let request = &board.requests[key];
    if request.route.kind != RouteKind::Stream || !request.route.resumable {
        return;
    }
    let Some(upstream) = board.upstreams.get(upstream) else { return };
    let (id, number) = (request.trace.clone(), request.attempts);
    let service = upstream.announced.service.clone();
    let origin = StreamOrigin { service, software: upstream.announced.software.clone() };
    let instance = Some(upstream.announced.instance());
    let workspace = request.workspace.clone();
    board.new_streams.push(StreamRecord { id, number, origin, instance, workspace });
}
