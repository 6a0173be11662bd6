//! An incremental parser of server-sent events (`text/event-stream`).
//!
//! [`EventReader`] returns the events of a stream whose text this host collects. [`EventBoundary`]
//! only follows a stream that is passed on. Both split lines with the same `LineSplitter`.

mod boundary;
mod lines;

pub use boundary::EventBoundary;
use lines::LineSplitter;

/// The most bytes of one event: the lines that have been parsed and the one that has not ended yet.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event that is longer than the reader accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// One server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// The id; `None` where it is missing or not a number.
    pub id: Option<u64>,
    /// The data; several `data` lines are joined by line feeds.
    pub data: String,
    /// The value of the extra field that the reader was created with, where the event has it.
    pub field: Option<Box<str>>,
}

/// Parses events from bytes that arrive in chunks.
///
/// A block of lines without a `data` line is no event.
#[derive(Debug)]
pub struct EventReader {
    field: Box<str>,
    lines: LineSplitter,
    partial_line: Vec<u8>,
    event: StreamEvent,
    block: Block,
}

/// What the lines since the last blank one contain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Block {
    #[default]
    Empty,
    Fields,
    Data,
}

impl EventReader {
    /// Creates a reader that also extracts the named field of each event.
    #[must_use]
    pub fn new(field: impl Into<Box<str>>) -> Self {
        Self {
            field: field.into(),
            lines: LineSplitter::default(),
            partial_line: Vec::new(),
            event: StreamEvent::default(),
            block: Block::Empty,
        }
    }

    /// Adds a chunk and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is longer than 256 KB, even if it has not ended.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<StreamEvent>, EventTooLong> {
        let mut events = Vec::new();
        for part in self.lines.split(chunk) {
            if self.partial_line.len() + self.event.data.len() + part.bytes.len() > MAX_EVENT_BYTES
            {
                return Err(EventTooLong);
            }
            self.partial_line.extend_from_slice(part.bytes);
            if !part.ends_line {
                continue;
            }
            let line = std::mem::take(&mut self.partial_line);
            let line = String::from_utf8_lossy(&line);
            if line.is_empty() {
                events.extend(self.finish_block());
            } else {
                self.parse_line(&line);
            }
        }
        Ok(events)
    }

    /// Returns whether the bytes so far end at the boundary of an event.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.partial_line.is_empty() && self.block == Block::Empty
    }

    fn finish_block(&mut self) -> Option<StreamEvent> {
        let event = std::mem::take(&mut self.event);
        (std::mem::take(&mut self.block) == Block::Data).then_some(event)
    }

    fn parse_line(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        if name.is_empty() {
            return;
        }
        if name == "data" {
            // An empty first line counts, so the length of the data can't tell whether it is the first.
            if self.block == Block::Data {
                self.event.data.push('\n');
            }
            self.event.data.push_str(value);
            self.block = Block::Data;
            return;
        }
        if self.block == Block::Empty {
            self.block = Block::Fields;
        }
        match name {
            "id" => self.event.id = value.trim().parse().ok(),
            name if *name == *self.field => self.event.field = Some(value.trim().into()),
            _ => {}
        }
    }
}
