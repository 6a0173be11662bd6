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

/// What the store hosts need to know of the caller of an admitted job call.
#[derive(Debug, Default)]
pub(super) struct JobAccess {
    /// The name of its workspace, or `None` if it has none.
    pub workspace: Option<Box<str>>,
    /// The host of the call, if a store host must check that it needs no key.
    pub host: Option<Box<str>>,
}

/// Returns the access of a job call.
///
/// A host without a routing configuration can't find the workspace of a key, nor whether a call
/// without a key needs one: the store host that answers checks that.
///
/// # Errors
///
/// Returns the problem of a call that needs a key and has none that is known.
pub(super) fn authorize_job_call(board: &Board, caller: &JobCaller) -> Result<JobAccess, Problem> {
    let unchecked = JobAccess { workspace: None, host: Some(caller.host.clone()) };
    let Some(routing) = &board.routing else {
        let detail = "no routing configuration received yet";
        return if caller.key.is_some() { Err(not_ready(detail)) } else { Ok(unchecked) };
    };
    if !routing.has_workspaces() {
        return Ok(JobAccess::default());
    }
    if !routing.has_public_jobs(&caller.host) {
        check_contact(board)?;
    }
    let workspace = routing.authorize_job_call(&caller.host, caller.key.as_ref());
    let Some(workspace) = workspace.map_err(unauthorized)? else { return Ok(unchecked) };
    Ok(JobAccess { workspace: Some(workspace.name.clone()), host: None })
}

/// Returns whether a job call that another host admitted lacks a key under the routing configuration
/// in force here. That host may have had none, or one from before there were workspaces.
pub(super) fn lacks_key(board: &Board, workspace: Option<&str>, host: Option<&str>) -> bool {
    let Some(routing) = &board.routing else { return false };
    let is_public = || host.is_some_and(|host| routing.has_public_jobs(host));
    routing.has_workspaces() && workspace.is_none() && !is_public()
}

/// Returns whether the routing configuration in force defines workspaces.
pub(super) fn has_workspaces(board: &Board) -> bool {
    board.routing.as_ref().is_some_and(|routing| routing.has_workspaces())
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
