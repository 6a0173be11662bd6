//! Which events a reader finds in a stream, however its bytes are split into chunks.

use chestnutdrift_daemon::gateway::events::{EventReader, StreamEvent};
use test_case::test_case;

/// The extra field that the readers extract.
const FIELD: &str = "weights";

fn event(id: u64, data: &str) -> StreamEvent {
    StreamEvent { id: Some(id), data: data.into(), field: None }
}

/// Returns the events of a stream that arrives in the given chunks, and whether it ends between two.
fn read<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> (Vec<StreamEvent>, bool) {
    let mut reader = EventReader::new(FIELD);
    let mut events = Vec::new();
    for chunk in chunks {
        events.extend(reader.push(chunk).expect("a short event"));
    }
    (events, reader.is_between_events())
}

/// Guards against texts that lose their empty lines, wherever in an event's data these stand.
#[test_case("\n- point"; "first line")]
#[test_case("\n\n- point"; "first two lines")]
#[test_case("one\n\ntwo"; "middle line")]
#[test_case("one\n"; "last line")]
#[test_case("one\n\n"; "last two lines")]
#[test_case("\n"; "a line feed alone")]
#[test_case("\n\n\n"; "line feeds alone")]
#[test_case(""; "nothing")]
#[test_case(" \n \n"; "spaces")]
#[test_case("\u{4e2d}\n\u{1f600}\n\n\u{e9}"; "characters of several bytes")]
fn empty_lines_were_lost_from_an_events_data(data: &str) {
    for end in ["\n", "\r\n"] {
        let lines: Vec<String> =
            data.split('\n').map(|line| format!("data: {line}{end}")).collect();
        let block = lines.concat();
        let stream = format!("id: 1{end}{block}{end}id: 2{end}{block}{end}");
        let wanted = (vec![event(1, data), event(2, data)], true);
        for at in 0..=stream.len() {
            let (first, second) = stream.as_bytes().split_at(at);
            assert_eq!(read([first, second]), wanted, "{stream:?} split at {at}");
        }
    }
}
