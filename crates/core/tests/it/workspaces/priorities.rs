//! Priorities of workspaces, in the order of waiting requests and in requests for permits.

use super::*;

/// Guards against a free upstream that goes to the request that arrived first, whatever the
/// priorities of the workspaces.
#[test]
fn waiting_requests_are_sent_by_the_priority_of_the_workspace() {
    let mut deployment = serving();
    let mut config = with_workspaces(3, &["r-1"]);
    config.workspaces[1].priority = Some(1);
    put(&mut deployment, config);
    let mut running = Vec::new();
    loop {
        let tag = request(&mut deployment, "desk.example", Some("r-1"));
        let Some(forward) = take_forward(&mut deployment, tag) else { break };
        running.push(forward.attempt);
    }
    let urgent = request(&mut deployment, "desk.example", Some("b-1"));
    assert!(take_forward(&mut deployment, urgent).is_none());
    let end = ForwardEnd::Delivered { status: 200 };
    deployment.deliver(ENTRY, Event::ForwardEnded { attempt: running[0], end });
    deployment.run(5);
    assert!(take_forward(&mut deployment, urgent).is_some());
}

/// Guards against permits that are granted by the route's priority instead of the workspace's.
#[test]
fn permits_are_asked_for_with_the_priority_of_the_workspace() {
    let mut deployment = serving();
    let asked = Rc::new(RefCell::new(Vec::new()));
    let sent = Rc::clone(&asked);
    deployment.on_send = Some(Box::new(move |_, envelope| {
        let Message::Gateway(message) = &envelope.message else { return };
        if let GatewayMessage::QuotaRequest(request) = &**message {
            sent.borrow_mut().push(request.priority);
        }
    }));
    let upstream = deployment.gateway(ENTRY).board().upstream_index["desk-1"];
    let rate = RequestRate::per_second(0.5);
    let limit = Event::UpstreamLimit { upstream, rate, answer: "answer".into() };
    deployment.deliver(ENTRY, limit);
    deployment.run(5);
    request(&mut deployment, "desk.example", Some("r-1"));
    let asked = asked.borrow();
    assert!(!asked.is_empty() && asked.iter().all(|priority| *priority == 3), "{asked:?}");
}

/// Guards against a waiting request that takes the free slot before one of a higher priority.
#[test]
fn the_free_upstream_goes_to_the_workspace_of_the_highest_priority() {
    let mut deployment = serving();
    let mut config = with_workspaces(3, &["r-1"]);
    (config.routes[0].latency_objective, config.routes[0].priority) = (Millis(4_000), 5);
    config.routes[0].timeout = Millis(30_000);
    put(&mut deployment, config);
    let mut running = Vec::new();
    let waiting = loop {
        let tag = request(&mut deployment, "desk.example", Some("b-1"));
        match take_forward(&mut deployment, tag) {
            Some(forward) => running.push(forward),
            None => break tag,
        }
        assert!(running.len() < 1_000, "the upstream never fills");
    };
    let urgent = request(&mut deployment, "desk.example", Some("r-1"));
    let attempt = running[0].attempt;
    let end = ForwardEnd::Delivered { status: 200 };
    deployment.deliver(ENTRY, Event::ForwardEnded { attempt, end });
    deployment.run(5);
    assert!(take_forward(&mut deployment, urgent).is_some());
    assert!(take_forward(&mut deployment, waiting).is_none());
}
