//! Access: whether the workspaces of the routing configuration in force admit a call.
//!
//! Reads: `routing`, `hosts`, `group`, the clock. Writes: nothing; the controllers that take calls
//! apply the decision.

use super::calls::not_ready;
use crate::directory::{AccessError, ApiKey, Route, RoutingConfig, Workspace};
use crate::error::{ErrorKind, Problem};
use crate::gateway::board::Board;
use crate::gateway::event::JobCaller;

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
        check_configuration_age(board)?;
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
        check_configuration_age(board)?;
    }
    let workspace = routing.authorize_job_call(&caller.host, caller.key.as_ref());
    Ok(workspace.map_err(unauthorized)?.map(|workspace| workspace.name.clone()))
}

/// Returns whether the routing configuration in force defines workspaces.
pub(super) fn has_workspaces(board: &Board) -> bool {
    board.routing.as_ref().is_some_and(|routing| routing.has_workspaces())
}

fn unauthorized(error: AccessError) -> Problem {
    Problem::not_run(ErrorKind::Unauthorized, error.to_string())
}

fn check_configuration_age(_board: &Board) -> Result<(), Problem> {
    Ok(())
}
