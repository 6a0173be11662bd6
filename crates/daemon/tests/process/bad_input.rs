//! Bad input gets a typed error, and the host keeps serving.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

use chestnutdrift_standins::fleet::{Fleet, FleetPlan};
use serde_json::Value;

use crate::fixture::{TestFolder, WAIT_TIMEOUT, chat, engine, expected_answer, fleet};

/// Sends bytes on a new connection and returns everything that is received.
fn send_raw(fleet: &Fleet, bytes: &[u8], half_close: bool) -> String {
    let mut stream = TcpStream::connect(fleet.hosts[0].http).expect("the host accepts connections");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
    stream.write_all(bytes).expect("the bytes are sent");
    if half_close {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn strict_host(folder: &TestFolder) -> Fleet {
    let limits = "body = 8KiB\nhead_timeout = 300ms\nbody_timeout = 300ms";
    limited_host(folder, limits)
}

fn limited_host(folder: &TestFolder, limits: &str) -> Fleet {
    fleet(&FleetPlan::new(&["zone-a"]).hosts_per_zone(1).limits(limits), folder)
}

fn problem(text: &str) -> (u64, String, String) {
    let body: Value =
        serde_json::from_str(text).unwrap_or_else(|_| panic!("not a problem document: {text}"));
    let word = |name: &str| body[name].as_str().unwrap_or_default().to_string();
    (body["status"].as_u64().unwrap_or(0), word("kind"), word("ran"))
}

#[test]
fn each_kind_of_bad_input_gets_its_error_and_the_host_keeps_serving() {
    let folder = TestFolder::new();
    let fleet = strict_host(&folder);
    let engine = engine(&fleet, "zone-a", "engine-1");
    let chats = fleet.url(0, "/v1/chat/completions");
    let long = format!("{{\"model\":\"{}\"}}", "x".repeat(10_000));
    let unknown = chat("hello", 1, false).to_string().replace("quote-drafters", "nobody");
    let bad_cursor = fleet.url(0, "/v1/trainers/t/samples?cursor=first");
    let cases = [
        (fleet.client.post_bytes(&chats, b"{broken"), 400, "bad-request"),
        (fleet.client.post_bytes(&chats, b"{}"), 400, "bad-request"),
        (fleet.client.post_bytes(&chats, long.as_bytes()), 413, "body-too-large"),
        (fleet.client.post_bytes(&chats, unknown.as_bytes()), 404, "unknown-service"),
        (fleet.client.get(&chats), 405, "method-not-allowed"),
        (fleet.client.get(&fleet.url(0, "/v1/nothing")), 404, "not-found"),
        (fleet.client.get(&bad_cursor), 400, "bad-request"),
        (
            fleet.client.post_bytes(&fleet.url(0, "/v1/upstreams/announce"), b"{\"name\":1}"),
            400,
            "bad-request",
        ),
        (fleet.client.post_bytes(&fleet.url(0, "/v1/operator/changes"), b"[]"), 400, "bad-request"),
    ];
    for (answer, status, kind) in cases {
        let answer = answer.expect("an answer");
        assert_eq!(answer.header("content-type"), Some("application/problem+json"), "{kind}");
        let expected = (status, kind.to_string(), "no".to_string());
        assert_eq!(problem(&answer.text()), expected);
        let body: Value = serde_json::from_str(&answer.text()).expect("JSON");
        let message = body["error"]["message"].as_str().unwrap_or_default();
        assert!(!message.is_empty(), "no message for chat clients: {body}");
        assert_eq!(u64::from(answer.status), status);
    }
    let answer = fleet.client.post(&chats, &chat("still", 4, false)).unwrap().ok().unwrap();
    assert!(answer.text().contains(expected_answer("still", 4).trim_end()));
    engine.close();
}

#[test]
fn a_slow_sender_is_disconnected() {
    let folder = TestFolder::new();
    let fleet = strict_host(&folder);
    let slow_body = send_raw(
        &fleet,
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{",
        false,
    );
    assert!(slow_body.contains("\"slow-sender\""), "{slow_body}");
    let slow_head = send_raw(&fleet, b"POST /v1/chat/comp", false);
    assert!(!slow_head.contains("200 OK"), "{slow_head}");
    assert!(fleet.is_ready(0));
}

#[test]
fn a_connection_closed_within_a_request_leaves_the_host_serving() {
    let folder = TestFolder::new();
    let fleet = strict_host(&folder);
    let head =
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{\"mod";
    for _ in 0..20 {
        send_raw(&fleet, head, true);
    }
    send_raw(&fleet, b"\x00\x01\x02 nonsense\r\n\r\n", false);
    assert!(fleet.is_ready(0));
}

#[test]
fn connections_beyond_the_limit_are_refused_until_others_close() {
    let folder = TestFolder::new();
    let fleet = limited_host(&folder, "connections = 8");
    let open = || TcpStream::connect(fleet.hosts[0].http).expect("a connection");
    let held: Vec<TcpStream> = (0..20).map(|_| open()).collect();
    let mut refused = 0;
    for mut stream in &held {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut buf = [0; 12];
        let read = stream.read_exact(&mut buf);
        refused += u32::from(read.is_ok() && buf.starts_with(b"HTTP/1.1 503"));
    }
    assert!(refused >= 12, "{refused} of 20 were refused");
    drop(held);
    let ready = chestnutdrift_standins::process::wait_until(
        "connections are accepted again",
        WAIT_TIMEOUT,
        || fleet.is_ready(0),
    );
    ready.unwrap();
}
