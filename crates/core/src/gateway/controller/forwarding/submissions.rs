//! Submissions of batch jobs: checks a decoded job and passes it on to the store hosts.

use std::sync::Arc;

use super::remove_request;
use crate::directory::{ItemSpec, JobSpec, RouteKind, RoutingConfig};
use crate::error::{ErrorKind, Problem};
use crate::gateway::board::{Board, Request};
use crate::gateway::event::JobBody;
use crate::gateway::message::StoreRequest;
use crate::key::RequestTag;

pub(super) fn handle_job_read(board: &mut Board, tag: RequestTag, job: &Result<JobBody, Problem>) {
    let Some(key) = board.request_index.get(&tag).copied() else { return };
    let Some(request) = remove_request(board, key) else { return };
    let checked = job.as_ref().map_err(Clone::clone).and_then(|body| {
        check_reward_calls(board.routing.as_deref(), body)?;
        Ok(body)
    });
    let body = match checked {
        Ok(body) => body,
        Err(problem) => {
            board.reject(tag, &request.trace, problem);
            return;
        }
    };
    let spec = job_spec(&request, body);
    board.request_from_store(
        tag,
        request.trace,
        StoreRequest::Submit(Arc::new(spec)),
        request.until,
    );
}

/// Checks that each reward call of a job has a route to a plain service, and that its size is within
/// the limits of callers' requests.
fn check_reward_calls(routing: Option<&RoutingConfig>, body: &JobBody) -> Result<(), Problem> {
    for item in &body.items {
        if let (Some(routing), Some(_)) = (routing, &item.reward) {
            check_reward_call(routing, item)?;
        }
    }
    Ok(())
}

fn check_reward_call(routing: &RoutingConfig, item: &ItemSpec) -> Result<(), Problem> {
    let Some(call) = &item.reward else { return Ok(()) };
    let problem = |kind, detail: &str| {
        let detail = format!("item {}: reward call {}: {detail}", item.id, call.id);
        Err(Problem::not_run(kind, detail))
    };
    let is_over = |len: usize, limit: u64| u64::try_from(len).is_ok_and(|len| len > limit);
    if is_over(call.path.len(), routing.limits.head_bytes) {
        return problem(ErrorKind::BadRequest, "the path is too long");
    }
    if is_over(call.body.len(), routing.limits.body_bytes) {
        return problem(ErrorKind::BodyTooLarge, "the body is too large");
    }
    match routing.find_route(&call.host, call.path_without_query()) {
        None => problem(ErrorKind::NotFound, "no route for its host and path"),
        Some(route) if route.kind != RouteKind::Idempotent => {
            problem(ErrorKind::BadRequest, "the requests of its route may not be repeated")
        }
        Some(_) => Ok(()),
    }
}

fn job_spec(request: &Request, body: &JobBody) -> JobSpec {
    let route = &request.route;
    let weighted = route.targets.iter().filter(|target| target.weight > 0);
    JobSpec {
        id: body.id.clone(),
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        services: weighted.map(|target| target.service.clone()).collect(),
        model: body.model.clone(),
        min_version: body.min_version,
        single_version: route.single_version,
        resumable: route.resumable,
        max_attempts: route.max_attempts.max(1),
        due_after: route.due_after,
        give_up_after: route.give_up_after,
        items: body.items.clone(),
        workspace: request.workspace.clone(),
    }
}
