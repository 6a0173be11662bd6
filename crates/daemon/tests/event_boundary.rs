//! Where an event stream may end.

use chestnutdrift_daemon::gateway::events::EventBoundary;
use test_case::test_case;

/// Guards against streams that are cut although they are whole, and the reverse, however their bytes
/// are split.
#[test_case("", true; "nothing")]
#[test_case("id: 1\ndata: a\n\n", true; "line feeds")]
#[test_case("id: 1\r\ndata: a\r\n\r\n", true; "both")]
#[test_case("id: 1\rdata: a\r\r", true; "carriage returns")]
#[test_case("data: a\n\n\n\n", true; "blank lines")]
#[test_case("data: a\n\n: comment\n", true; "comment between events")]
#[test_case("data: a\n: comment\n", false; "comment in an event")]
#[test_case("data: a\n", false; "before the blank line")]
#[test_case("data: a\r\n", false; "before the blank line, both")]
#[test_case("data: a\n\nda", false; "in a field")]
#[test_case("data: a\n\n: com", false; "in a comment")]
fn a_stream_may_end_between_events_only(stream: &str, whole: bool) {
    for at in 0..=stream.len() {
        let mut boundary = EventBoundary::default();
        let (first, second) = stream.as_bytes().split_at(at);
        boundary.push(first);
        boundary.push(second);
        assert_eq!(boundary.is_between_events(), whole, "split at {at}");
    }
}
