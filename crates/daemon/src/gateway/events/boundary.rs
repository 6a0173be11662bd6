//! The position of an event stream that is passed on.

use super::lines::LineSplitter;

/// Follows the bytes of an event stream and tells whether they end between two events.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventBoundary {
    lines: LineSplitter,
    line: LineKind,
    in_event: bool,
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
        for part in self.lines.split(chunk) {
            if self.line == LineKind::Empty {
                self.line = match part.bytes.first() {
                    None => LineKind::Empty,
                    Some(b':') => LineKind::Comment,
                    Some(_) => LineKind::Field,
                };
            }
            if !part.ends_line {
                continue;
            }
            let line = std::mem::take(&mut self.line);
            self.in_event = line == LineKind::Field || (self.in_event && line == LineKind::Comment);
        }
    }

    /// Returns whether the bytes so far end between two events.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        !self.in_event && self.line == LineKind::Empty
    }
}
