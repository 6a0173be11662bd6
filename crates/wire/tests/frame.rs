//! Encoding and decoding of messages between hosts.

use std::io::Write;

use bytes::Bytes;
use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::message::{Hello, Subscription};
use chestnutdrift_core::gateway::{GatewayMessage, Role, StoreRequest};
use chestnutdrift_core::message::{Envelope, Message};
use chestnutdrift_core::timeline::Stamp;
use chestnutdrift_wire::frame::{Encoder, FrameError, MAX_MESSAGE_BYTES, decode};
use ciborium::Value;
use flate2::Compression;
use flate2::write::DeflateEncoder;
use test_case::test_case;

/// Creates a message with a name of `letters` random lowercase letters, which compresses about as
/// well as an engine's text.
fn message(letters: usize) -> Envelope {
    let mut state = 1_u32;
    let job: String = std::iter::repeat_with(|| {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        char::from(b'a' + u8::try_from((state >> 16) % 26).expect("a letter"))
    })
    .take(letters)
    .collect();
    let request = StoreRequest::EndJob { job: job.into(), workspace: None, host: None };
    let message = GatewayMessage::Request { boot_id: 1, key: 2, request };
    let stamp = Stamp::default();
    Envelope { from: HostId(1), stamp, message: Message::Gateway(Box::new(message)) }
}

fn encode(envelope: &Envelope) -> Result<Bytes, FrameError> {
    Encoder::default().encode(envelope)
}

#[test_case(10)]
#[test_case(1_000)]
#[test_case(2_000)]
#[test_case(200_000)]
fn a_message_survives_encoding_and_decoding(letters: usize) {
    let bytes = encode(&message(letters)).expect("bytes");
    assert_eq!(decode(&bytes).expect("a message"), message(letters));
}

#[test]
fn a_long_text_is_compressed_to_less_than_two_thirds() {
    let bytes = encode(&message(200_000)).expect("bytes");
    assert!(bytes.len() < 133_000, "{} bytes", bytes.len());
}

#[test]
fn a_truncated_message_is_refused() {
    let bytes = encode(&message(4_000)).expect("bytes");
    for length in (0..bytes.len()).step_by(7) {
        assert!(decode(&bytes[..length]).is_err(), "{length} of {} bytes", bytes.len());
    }
}

#[test]
fn a_message_longer_than_the_limit_when_inflated_is_refused() {
    let mut long = message(10);
    if let Message::Gateway(message) = &mut long.message
        && let GatewayMessage::Request { request, .. } = &mut **message
    {
        *request = StoreRequest::EndJob {
            job: "a".repeat(MAX_MESSAGE_BYTES).into(),
            workspace: None,
            host: None,
        };
    }
    let bytes = encode(&long).expect("bytes");
    assert!(bytes.len() < 1 << 20, "{} bytes", bytes.len());
    let error = decode(&bytes).expect_err("too long").to_string();
    assert!(error.contains("too long when inflated"), "{error}");
}

#[test]
fn deflated_bytes_that_are_not_a_message_are_refused() {
    let mut encoder = DeflateEncoder::new(vec![1], Compression::fast());
    encoder.write_all(&vec![0; 1 << 20]).expect("zeros");
    assert!(decode(&encoder.finish().expect("bytes")).is_err());
}

/// Returns a hello that names upstreams which leave.
fn hello(leaving_upstreams: Vec<(Box<str>, u64)>) -> Envelope {
    let hello = Hello {
        name: "entry-1".into(),
        zone: "zone-1".into(),
        role: Role::Entry,
        incarnation: 1,
        routing_version: 2,
        known_revision: (3, 4),
        seen_starts: vec![1_700_000_000_000],
        seen_upstreams: Vec::new(),
        suspects: 0,
        leaving_upstreams,
        limits: Vec::new(),
        slow_upstreams: Vec::new(),
        subscription: Subscription::default(),
        known_roster: 0,
    };
    let message = Message::Gateway(Box::new(GatewayMessage::Hello(hello)));
    Envelope { from: HostId(1), stamp: Stamp::default(), message }
}

/// Guards against a host that drops the hellos of hosts of an earlier version, which have no digest
/// of suspects, and neither subscribe nor know rosters.
#[test]
fn a_hello_of_an_earlier_version_is_accepted() {
    let envelope = hello(Vec::new());
    let encoded = encode(&envelope).expect("bytes");
    let mut earlier: Value = ciborium::from_reader(&*encoded).expect("a value");
    let mut hello = &mut earlier;
    for name in ["message", "gateway", "hello"] {
        let fields = hello.as_map_mut().expect("a map");
        let field = fields.iter_mut().find(|(key, _)| key.as_text() == Some(name));
        hello = &mut field.expect("a field").1;
    }
    let fields = hello.as_map_mut().expect("a map");
    let all = fields.len();
    const LATER: [&str; 3] = ["suspects", "wants", "roster"];
    fields.retain(|(key, _)| key.as_text().is_none_or(|key| !LATER.contains(&key)));
    assert_eq!(fields.len() + LATER.len(), all, "a field has another name");
    let mut bytes = Vec::new();
    ciborium::into_writer(&earlier, &mut bytes).expect("bytes");
    assert_eq!(decode(&bytes).expect("a message"), envelope);
}

/// Guards against hosts of an earlier version that don't understand this one because a hello names
/// the upstreams that leave, or that are no longer understood.
#[test]
fn leaving_upstreams_are_left_out_of_a_hello_or_ignored_by_an_earlier_version() {
    let earlier = encode(&hello(Vec::new())).expect("bytes");
    assert!(!earlier.windows(7).any(|bytes| bytes == b"leaving"));
    assert_eq!(decode(&earlier).expect("a message"), hello(Vec::new()));
    let later = encode(&hello(vec![("i-1".into(), 5)])).expect("bytes");
    let mut renamed = later.to_vec();
    let at = renamed.windows(7).position(|bytes| bytes == b"leaving").expect("the field");
    renamed[at..at + 7].copy_from_slice(b"unknown");
    assert_eq!(decode(&renamed).expect("a message"), hello(Vec::new()), "it is ignored");
}
