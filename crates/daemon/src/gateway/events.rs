//! An incremental parser of server-sent events (`text/event-stream`).

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
#[derive(Debug)]
pub struct EventReader {
    field: Box<str>,
    partial_line: Vec<u8>,
    event: StreamEvent,
    has_data: bool,
    field_count: u32,
}

/// Follows the bytes of an event stream and tells whether they end between two events.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventBoundary {
    line: LineKind,
    in_event: bool,
    after_return: bool,
}

/// The kind of the line that has not ended yet, by its first byte.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LineKind {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventBoundary {
    /// Adds the bytes that follow.
    pub fn push(&mut self, chunk: &[u8]) {
        for byte in chunk {
            let after_return = std::mem::replace(&mut self.after_return, *byte == b'\r');
            match (byte, self.line) {
                (b'\n', _) if after_return => {}
                (b'\r' | b'\n', line) => {
                    self.in_event =
                        line == LineKind::Field || (self.in_event && line == LineKind::Comment);
                    self.line = LineKind::Empty;
                }
                (b':', LineKind::Empty) => self.line = LineKind::Comment,
                (_, LineKind::Empty) => self.line = LineKind::Field,
                _ => {}
            }
        }
    }

    /// Returns whether the bytes so far end between two events.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        !self.in_event && self.line == LineKind::Empty
    }
}

impl EventReader {
    /// Creates a reader that also extracts the named field of each event.
    #[must_use]
    pub fn new(field: impl Into<Box<str>>) -> Self {
        Self {
            field: field.into(),
            partial_line: Vec::new(),
            event: StreamEvent::default(),
            has_data: false,
            field_count: 0,
        }
    }

    /// Adds a chunk and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is longer than 256 KB, even if it has not ended.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<StreamEvent>, EventTooLong> {
        let mut events = Vec::new();
        for part in chunk.split_inclusive(|byte| *byte == b'\n') {
            if self.partial_line.len() + self.event.data.len() + part.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            self.partial_line.extend_from_slice(part);
            if part.last() != Some(&b'\n') {
                continue;
            }
            let line = std::mem::take(&mut self.partial_line);
            let text = String::from_utf8_lossy(&line);
            let text = text.trim_end_matches('\n').trim_end_matches('\r');
            if text.is_empty() {
                events.extend(self.finish_event());
            } else {
                self.parse_line(text);
            }
        }
        Ok(events)
    }

    /// Returns whether the bytes so far end at the boundary of an event.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.partial_line.is_empty() && self.field_count == 0
    }

    fn finish_event(&mut self) -> Option<StreamEvent> {
        let event = std::mem::take(&mut self.event);
        self.has_data = false;
        (std::mem::take(&mut self.field_count) > 0).then_some(event)
    }

    fn parse_line(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        if name.is_empty() {
            return;
        }
        self.field_count += 1;
        match name {
            "id" => self.event.id = value.trim().parse().ok(),
            "data" => {
                // An empty first line counts, so the length of the data can't tell whether it is the first.
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            name if *name == *self.field => self.event.field = Some(value.trim().into()),
            _ => {}
        }
    }
}
