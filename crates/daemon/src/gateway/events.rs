//! Streams of events (`text/event-stream`).

/// One event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// The id, where it is a number.
    pub id: Option<u64>,
    /// The data; lines are joined by line feeds.
    pub data: String,
    /// The value of the field that the reader looks for.
    pub field: Option<Box<str>>,
}

/// Reads events out of bytes that come in pieces.
#[derive(Debug)]
pub struct EventReader {
    field: Box<str>,
    line: Vec<u8>,
    event: StreamEvent,
    lines: u32,
}

impl EventReader {
    /// Makes a reader that also looks for a field of a name.
    #[must_use]
    pub fn new(field: impl Into<Box<str>>) -> Self {
        Self { field: field.into(), line: Vec::new(), event: StreamEvent::default(), lines: 0 }
    }

    /// Takes bytes in and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if part.last() != Some(&b'\n') {
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let text = String::from_utf8_lossy(&line);
            let text = text.trim_end_matches('\n').trim_end_matches('\r');
            if text.is_empty() {
                events.extend(self.complete());
            } else {
                self.take_line(text);
            }
        }
        events
    }

    /// Tells whether the bytes so far end between two events.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.line.is_empty() && self.lines == 0
    }

    fn complete(&mut self) -> Option<StreamEvent> {
        let event = std::mem::take(&mut self.event);
        (std::mem::take(&mut self.lines) > 0).then_some(event)
    }

    fn take_line(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        if name.is_empty() {
            return;
        }
        self.lines += 1;
        match name {
            "id" => self.event.id = value.trim().parse().ok(),
            "data" => {
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            name if *name == *self.field => self.event.field = Some(value.trim().into()),
            _ => {}
        }
    }
}
