//! Chats are answered in full, streamed or not, also if an engine breaks off.

use chestnutdrift_standins::client::Client;
use chestnutdrift_standins::engine::{EngineStats, Fault};
use chestnutdrift_standins::fleet::{Fleet, FleetPlan};
use chestnutdrift_standins::process::wait_until;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;

use crate::fixture::{TestFolder, WAIT_TIMEOUT, chat, engine, expected_answer, fleet, one_host};

/// Joins the pieces of a streamed chat; returns the text, the versions and whether the end mark was
/// received.
fn read_stream(text: &str) -> (String, Value, bool) {
    let mut answer = String::new();
    let mut versions = Value::Null;
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return (answer, versions, true);
        }
        let chunk: Value = serde_json::from_str(data).expect("a chunk of JSON");
        answer.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        if chunk["versions"].is_array() {
            versions = chunk["versions"].clone();
        }
    }
    (answer, versions, false)
}

fn stats(client: &Client, engine: &chestnutdrift_standins::engine::Engine) -> EngineStats {
    let url = format!("http://{}/stats", engine.address());
    client.get(&url).expect("the engine answers").json().expect("its counts")
}

/// Requests a chat of very many tokens on a new connection.
fn open_chat(fleet: &Fleet, streamed: bool) -> TcpStream {
    let body = chat("canvas", 100_000, streamed).to_string();
    let mut stream = TcpStream::connect(fleet.hosts[0].http).expect("a connection");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json";
    let sent = write!(stream, "{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    sent.expect("the request is sent");
    stream
}

#[test]
fn a_chat_is_answered_with_its_versions() {
    let folder = TestFolder::new();
    let fleet = one_host(&folder);
    let engine = engine(&fleet, "zone-a", "engine-1");
    let url = fleet.url(0, "/v1/chat/completions");
    let answer = fleet.client.post(&url, &chat("canvas", 8, false)).unwrap().ok().unwrap();
    let answer: Value = answer.json().unwrap();
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(answer["choices"][0]["message"]["content"], expected_answer("canvas", 8));
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 8);
    assert_eq!(answer["versions"], serde_json::json!([{ "version": 1, "from": 0, "to": 8 }]));
    engine.close();
}

#[test]
fn a_streamed_chat_arrives_in_pieces_and_ends_with_its_mark() {
    let folder = TestFolder::new();
    let fleet = one_host(&folder);
    let engine = engine(&fleet, "zone-a", "engine-1");
    let url = fleet.url(0, "/v1/chat/completions");
    let answer = fleet.client.post(&url, &chat("canvas", 8, true)).unwrap().ok().unwrap();
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
    let (text, versions, ended) = read_stream(&answer.text());
    assert_eq!((text, ended), (expected_answer("canvas", 8), true));
    assert_eq!(versions, serde_json::json!([{ "version": 1, "from": 0, "to": 8 }]));
    engine.close();
}

#[test]
fn invariant_4_a_chat_that_an_engine_breaks_off_is_resumed_and_completed() {
    let folder = TestFolder::new();
    let fleet = one_host(&folder);
    let engines = [engine(&fleet, "zone-a", "engine-1"), engine(&fleet, "zone-a", "engine-2")];
    let url = fleet.url(0, "/v1/chat/completions");
    for stream in [false, true] {
        for engine in &engines {
            let fault = Fault { break_streams: 1, ..Fault::default() };
            let at = format!("http://{}/fault", engine.address());
            fleet.client.post(&at, &fault).unwrap().ok().unwrap();
        }
        let before: u64 = engines.iter().map(|engine| stats(&fleet.client, engine).tokens).sum();
        let answer = fleet.client.post(&url, &chat("canvas", 40, stream)).unwrap().ok().unwrap();
        let text = if stream {
            let (text, _, ended) = read_stream(&answer.text());
            assert!(ended, "no end mark");
            text
        } else {
            let answer: Value = answer.json().unwrap();
            answer["choices"][0]["message"]["content"].as_str().unwrap().to_string()
        };
        assert_eq!(text, expected_answer("canvas", 40), "stream: {stream}");
        let after: u64 = engines.iter().map(|engine| stats(&fleet.client, engine).tokens).sum();
        assert_eq!(after - before, 40, "tokens were generated twice");
    }
    engines.into_iter().for_each(chestnutdrift_standins::engine::Engine::close);
}

#[test]
fn invariant_4_answers_of_many_callers_are_not_mixed() {
    let folder = TestFolder::new();
    let fleet = fleet(&FleetPlan::new(&["zone-a"]), &folder);
    let engines = [engine(&fleet, "zone-a", "engine-1"), engine(&fleet, "zone-a", "engine-2")];
    std::thread::scope(|scope| {
        for caller in 0..24_u32 {
            let fleet = &fleet;
            scope.spawn(move || {
                let url = fleet.url(caller as usize % 3, "/v1/chat/completions");
                let text = format!("order {caller}");
                let tokens = 4 + caller % 7;
                let body = chat(&text, tokens, caller % 2 == 0);
                let answer = fleet.client.post(&url, &body).unwrap().ok().unwrap();
                let got = if caller % 2 == 0 {
                    read_stream(&answer.text()).0
                } else {
                    let answer: Value = answer.json().unwrap();
                    answer["choices"][0]["message"]["content"].as_str().unwrap().to_string()
                };
                assert_eq!(got, expected_answer(&text, tokens));
            });
        }
    });
    engines.into_iter().for_each(chestnutdrift_standins::engine::Engine::close);
}

#[test]
fn a_stream_whose_caller_disconnects_is_cancelled_at_the_engine() {
    let folder = TestFolder::new();
    let fleet = one_host(&folder);
    let engine = engine(&fleet, "zone-a", "engine-1");
    let mut stream = open_chat(&fleet, true);
    let mut first = [0; 16];
    stream.read_exact(&mut first).unwrap();
    drop(stream);
    wait_until("the engine dropped the request", WAIT_TIMEOUT, || {
        stats(&fleet.client, &engine).dropped == 1
    })
    .unwrap();
    assert!(fleet.is_ready(0));
    engine.close();
}

#[test]
fn a_chat_whose_caller_disconnects_before_the_answer_is_cancelled_at_the_engine() {
    let folder = TestFolder::new();
    let fleet = one_host(&folder);
    let engine = engine(&fleet, "zone-a", "engine-1");
    let stream = open_chat(&fleet, false);
    wait_until("the engine has started", WAIT_TIMEOUT, || {
        stats(&fleet.client, &engine).started == 1
    })
    .unwrap();
    drop(stream);
    wait_until("the engine dropped the request", WAIT_TIMEOUT, || {
        stats(&fleet.client, &engine).dropped == 1
    })
    .unwrap();
    engine.close();
}

#[test]
fn a_chat_goes_to_another_zone_if_its_own_has_no_engine() {
    let folder = TestFolder::new();
    let plan = FleetPlan::new(&["zone-a", "zone-b"]).hosts_per_zone(1);
    let fleet = fleet(&plan, &folder);
    let engine = engine(&fleet, "zone-b", "engine-1");
    let url = fleet.url(0, "/v1/chat/completions");
    for stream in [false, true] {
        let mut answer = None;
        wait_until("the other zone's services are known", WAIT_TIMEOUT, || {
            answer = fleet.client.post(&url, &chat("canvas", 8, stream)).ok();
            answer.as_ref().is_some_and(|answer| answer.status == 200)
        })
        .unwrap();
        let answer = answer.unwrap();
        let text = if stream {
            let (text, _, ended) = read_stream(&answer.text());
            assert!(ended, "no end mark");
            text
        } else {
            let answer: Value = answer.json().unwrap();
            answer["choices"][0]["message"]["content"].as_str().unwrap().to_string()
        };
        assert_eq!(text, expected_answer("canvas", 8));
    }
    engine.close();
}
