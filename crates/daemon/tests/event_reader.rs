//! Which events a reader finds in a stream, however its bytes are split into chunks.

use chestnutdrift_daemon::gateway::events::{EventBoundary, EventReader, StreamEvent};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use test_case::test_case;

/// The extra field that the readers extract.
const FIELD: &str = "weights";

fn event(id: u64, data: &str) -> StreamEvent {
    StreamEvent { id: Some(id), data: data.into(), field: None }
}

/// Returns the events of a stream that arrives in the given chunks, and whether it ends between two.
fn read<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> (Vec<StreamEvent>, bool) {
    let mut reader = EventReader::new(FIELD);
    let mut boundary = EventBoundary::default();
    let mut events = Vec::new();
    for chunk in chunks {
        events.extend(reader.push(chunk).expect("a short event"));
        boundary.push(chunk);
        assert_eq!(reader.is_between_events(), boundary.is_between_events());
    }
    (events, reader.is_between_events())
}

/// Returns the chunks of a stream that is split after the given share of its bytes, in percent.
fn split_at_shares<'a>(stream: &'a [u8], shares: &[usize]) -> Vec<&'a [u8]> {
    let mut ends: Vec<usize> = shares.iter().map(|share| stream.len() * share / 100).collect();
    ends.push(stream.len());
    ends.sort_unstable();
    let (mut start, mut chunks) = (0, Vec::new());
    for end in ends {
        chunks.push(&stream[start..end]);
        start = end;
    }
    chunks
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
    for end in ["\n", "\r\n", "\r"] {
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

#[test_case("\u{feff}id: 1\ndata: a\n\n", &[event(1, "a")]; "byte order mark")]
#[test_case("id: 1\ndata: a\n\n\u{feff}id: 2\ndata: b\n\n", &[event(1, "a"), StreamEvent { id: None, ..event(2, "b") }]; "byte order mark later")]
#[test_case("id: 1\n\nid: 2\ndata\n\n", &[event(2, "")]; "block without data")]
#[test_case("id: 1\ndata:  a\n\n", &[event(1, " a")]; "one space is dropped")]
#[test_case("id: 1\ndata:a:b\n: no\nretry: 9\n\n", &[event(1, "a:b")]; "other lines")]
#[test_case("id: 1\nweights: 7\ndata: a\n\n", &[StreamEvent { field: Some("7".into()), ..event(1, "a") }]; "extra field")]
fn a_stream_is_read_as_its_format_says(stream: &str, wanted: &[StreamEvent]) {
    for at in 0..=stream.len() {
        let (first, second) = stream.as_bytes().split_at(at);
        assert_eq!(read([first, second]), (wanted.to_vec(), true), "split at {at}");
    }
}

/// A block of lines and what a reader makes of it.
#[derive(Debug, Clone)]
struct GrammarBlock {
    lines: Vec<String>,
    event: Option<StreamEvent>,
}

/// A line of a block. The text of data has no line end.
#[derive(Debug, Clone)]
enum GrammarLine {
    Data(String, bool),
    Id(u64),
    Field(u64),
    Comment(String),
    Other(String),
}

fn grammar_line() -> impl Strategy<Value = GrammarLine> {
    let text = "[^\r\n\u{0}]{0,6}";
    prop_oneof![
        4 => (text, any::<bool>()).prop_map(|(text, spaced)| GrammarLine::Data(text, spaced)),
        2 => any::<u64>().prop_map(GrammarLine::Id),
        1 => any::<u64>().prop_map(GrammarLine::Field),
        1 => text.prop_map(GrammarLine::Comment),
        1 => "[a-c]{1,3}(:[^\r\n]{0,4})?".prop_map(GrammarLine::Other),
    ]
}

impl GrammarBlock {
    fn new(lines: Vec<GrammarLine>) -> Self {
        let mut event = StreamEvent::default();
        let (mut text, mut data) = (Vec::new(), Vec::new());
        for line in lines {
            text.push(match line {
                GrammarLine::Data(value, spaced) => {
                    let line = format!("data:{}{value}", if spaced { " " } else { "" });
                    let is_stripped = !spaced && value.starts_with(' ');
                    data.push(if is_stripped { value[1..].to_string() } else { value });
                    line
                }
                GrammarLine::Id(id) => {
                    event.id = Some(id);
                    format!("id: {id}")
                }
                GrammarLine::Field(version) => {
                    event.field = Some(version.to_string().into());
                    format!("{FIELD}: {version}")
                }
                GrammarLine::Comment(comment) => format!(":{comment}"),
                GrammarLine::Other(line) => line,
            });
        }
        event.data = data.join("\n");
        Self { lines: text, event: (!data.is_empty()).then_some(event) }
    }
}

fn grammar_block() -> impl Strategy<Value = GrammarBlock> {
    vec(grammar_line(), 0..6).prop_map(GrammarBlock::new)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    /// The events of any stream of the published grammar are those that it was written from.
    #[test]
    fn a_stream_of_the_grammar_is_read_whatever_its_line_ends_and_chunks(
        blocks in vec(grammar_block(), 0..6),
        ends in vec(select(vec!["\n", "\r\n", "\r"]), 48),
        mark in any::<bool>(),
        shares in vec(0_usize..=100, 0..12),
    ) {
        let mut stream = String::from(if mark { "\u{feff}" } else { "" });
        let mut ends = ends.iter().cycle();
        for block in &blocks {
            for line in block.lines.iter().map(String::as_str).chain([""]) {
                stream.push_str(line);
                // A CR before an empty line that ends with LF would read as one CRLF.
                let end = ends.next().expect("line ends without end");
                let would_join = line.is_empty() && stream.ends_with('\r') && *end == "\n";
                stream.push_str(if would_join { "\r" } else { end });
            }
        }
        let wanted: Vec<StreamEvent> = blocks.into_iter().filter_map(|block| block.event).collect();
        let chunks = split_at_shares(stream.as_bytes(), &shares);
        prop_assert_eq!(read(chunks), (wanted, true), "{:?}", stream);
    }
}
