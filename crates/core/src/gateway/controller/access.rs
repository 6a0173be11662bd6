//! Access: whether the workspaces of the routing configuration in force admit a call.
//!
//! Reads: `routing`, `hosts`, `group`, the clock. Writes: nothing: the controllers that take calls
//! apply the decision.

use super::calls::not_ready;
use crate::directory::{AccessError, ApiKey, Route, RoutingConfig, Workspace};
use crate::error::{ErrorKind, Problem};
use crate::gateway::action::WorkspaceView;
use crate::gateway::board::Board;
use crate::gateway::event::JobCaller;
use crate::gateway::settings::Role;

/// Returns the workspace of a request on a route, or `None` if it has none.
///
/// # Errors
///
/// Returns the problem of a request that needs a key and has none that is known.
pub(super) fn authorize<'a>(
    board: &Board,
    routing: &'a RoutingConfig,
    route: &Route,
    key: Option<&ApiKey>,
) -> Result<Option<&'a Workspace>, Problem> {
    if routing.has_workspaces() && !route.public {
        check_contact(board)?;
    }
    routing.authorize(route, key).map_err(unauthorized)
}

/// Returns the name of the workspace of a job call, or `None` if it has none.
///
/// A host without a routing configuration can't tell the workspace of a key. A call without a key
/// reads only jobs without a workspace.
///
/// # Errors
///
/// Returns the problem of a call that needs a key and has none that is known.
pub(super) fn authorize_job_call(
    board: &Board,
    caller: &JobCaller,
) -> Result<Option<Box<str>>, Problem> {
    let Some(routing) = &board.routing else {
        let detail = "no routing configuration received yet";
        return if caller.key.is_some() { Err(not_ready(detail)) } else { Ok(None) };
    };
    if routing.has_workspaces() && !routing.has_public_jobs(&caller.host) {
        check_contact(board)?;
    }
    let workspace = routing.authorize_job_call(&caller.host, caller.key.as_ref());
    Ok(workspace.map_err(unauthorized)?.map(|workspace| workspace.name.clone()))
}

/// Returns whether the routing configuration in force defines workspaces.
pub(super) fn has_workspaces(board: &Board) -> bool {
    board.routing.as_ref().is_some_and(|routing| routing.has_workspaces())
}

/// Returns whether a workspace of the configuration in force has a priority of its own.
pub(super) fn has_priorities(board: &Board) -> bool {
    let Some(routing) = &board.routing else { return false };
    routing.workspaces.iter().any(|workspace| workspace.priority.is_some())
}

fn unauthorized(error: AccessError) -> Problem {
    Problem::not_run(ErrorKind::Unauthorized, error.to_string())
}

/// Refuses a call that needs a key while a revocation may not have reached this host, where the
/// settings ask for that.
fn check_contact(board: &Board) -> Result<(), Problem> {
    let settings = board.cfg.workspaces;
    if !settings.fail_closed || board.leads() {
        return Ok(());
    }
    let stores = board.hosts.values().filter(|host| host.role == Role::Store);
    let last_seen = stores.filter_map(|host| host.last_seen).max();
    if last_seen.is_some_and(|at| board.now.mono.since(at) <= settings.revocation) {
        return Ok(());
    }
    Err(not_ready("no store host was heard from within the time for a revocation"))
}

/// Returns the workspaces of the routing configuration in force, without their keys.
pub(super) fn workspace_views(board: &Board) -> Vec<WorkspaceView> {
    let Some(routing) = &board.routing else { return Vec::new() };
    let view = |workspace: &Workspace| WorkspaceView {
        name: workspace.name.clone(),
        keys: workspace.keys.len(),
        priority: workspace.priority,
    };
    routing.workspaces.iter().map(view).collect()
}
