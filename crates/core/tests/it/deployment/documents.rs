//! A routing configuration and jobs for simulated deployments.

use std::sync::Arc;

use bytes::Bytes;
use chestnutdrift_core::Millis;
use chestnutdrift_core::directory::{
    EngineSpec, ItemSpec, JobSpec, RequestLimits, RewardCall, Route, RouteKind, RoutingConfig,
    ServiceSpec, Target,
};
use chestnutdrift_core::gateway::JobBody;

/// Returns a routing configuration with one route for requests and one for jobs.
pub(crate) fn routing(version: u64) -> Arc<RoutingConfig> {
    let route = |name: &str, kind, service: &str| Route {
        name: name.into(),
        host: format!("{name}.example").into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Millis(1_200),
        latency_objective: Millis(200),
        priority: 0,
        targets: vec![Target { service: service.into(), weight: 1 }],
        max_attempts: 2,
        give_up_after: Millis(40_000),
        due_after: Millis(7_500),
        single_version: false,
        resumable: true,
        public: false,
    };
    let service = |name: &str, engine| ServiceSpec {
        name: name.into(),
        max_connections: 100,
        engine,
        scaling: None,
    };
    let engine = EngineSpec {
        slots: 4,
        memory_tokens: 100_000,
        tokens_per_event: 64,
        models: vec!["model".into(), "other".into()],
    };
    Arc::new(RoutingConfig {
        version,
        document: format!("routing {version}").into(),
        routes: vec![
            route("desk", RouteKind::Idempotent, "desk"),
            route("jobs", RouteKind::Batch, "engines"),
        ],
        services: vec![service("desk", None), service("engines", Some(engine))],
        limits: RequestLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            idle_timeout: Millis(15_000),
        },
        workspaces: Vec::new(),
    })
}

/// Returns a job whose items accept any version of the model from `min_version` on.
pub(crate) fn job(id: &str, items: u32, min_version: u64) -> JobBody {
    let item = |index: u32| ItemSpec {
        id: format!("{id}-{index}").into(),
        path: "/jobs/item".into(),
        headers: Vec::new(),
        body: Bytes::from(vec![7; 600]),
        tokens: 2_000,
        prompt_tokens: 200,
        expected_tokens: 1_000,
        group: format!("g{}", index / 4).into(),
        reward: None,
    };
    JobBody {
        id: id.into(),
        model: Some("model".into()),
        min_version,
        items: (0..items).map(item).collect(),
    }
}

/// Returns a job that the engines run, as the directory keeps it.
pub(crate) fn submitted_job(id: &str, items: u32) -> JobSpec {
    let body = job(id, items, 1);
    JobSpec {
        id: body.id,
        host: "jobs.example".into(),
        prefix: "/jobs/".into(),
        services: vec!["engines".into()],
        model: body.model,
        min_version: 1,
        single_version: false,
        resumable: true,
        max_attempts: 3,
        due_after: Millis(7_500),
        give_up_after: Millis(40_000),
        items: body.items,
        workspace: None,
    }
}

/// Returns a job with a reward call for each item, whose id is that of the item after `reward-`.
pub(crate) fn with_rewards(mut job: JobBody) -> JobBody {
    for item in &mut job.items {
        item.reward = Some(RewardCall {
            id: format!("reward-{}", item.id).into(),
            host: "desk.example".into(),
            path: "/desk/score?by=text".into(),
            body: Bytes::from_static(b"rubric"),
        });
    }
    job
}
