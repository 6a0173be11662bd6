//! Splits an event stream at its line ends.

/// The mark that may precede a stream and is no part of its first line.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits chunks of a stream at CR, LF and CRLF, also where a chunk ends within a CRLF.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LineSplitter {
    mark: MarkPrefix,
    after_return: bool,
}

/// A part of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LinePart<'a> {
    /// The bytes, without the line end.
    pub(super) bytes: &'a [u8],
    /// Whether a line end follows.
    pub(super) ends_line: bool,
}

/// The part of a byte order mark that a stream has begun with.
#[derive(Debug, Clone, Copy, Default)]
struct MarkPrefix {
    length: usize,
    ended: bool,
}

impl LineSplitter {
    /// Returns the parts of lines of the chunk that follows; the last one does not end its line.
    pub(super) fn split<'a>(&mut self, chunk: &'a [u8]) -> Vec<LinePart<'a>> {
        let (withheld, chunk) = self.mark.strip(chunk);
        let mut parts = vec![LinePart { bytes: withheld, ends_line: false }];
        let (mut start, mut after_return) = (0, self.after_return);
        for (at, byte) in chunk.iter().enumerate() {
            let is_rest_of_crlf = after_return && *byte == b'\n';
            after_return = *byte == b'\r';
            if is_rest_of_crlf {
                start = at + 1;
                continue;
            }
            if matches!(byte, b'\r' | b'\n') {
                parts.push(LinePart { bytes: &chunk[start..at], ends_line: true });
                start = at + 1;
            }
        }
        self.after_return = after_return;
        parts.push(LinePart { bytes: &chunk[start..], ends_line: false });
        parts
    }
}

impl MarkPrefix {
    /// Strips a byte order mark from the beginning of the stream.
    ///
    /// Returns the bytes of earlier chunks that turn out to belong to no mark, and the rest of
    /// this one.
    fn strip<'a>(&mut self, chunk: &'a [u8]) -> (&'static [u8], &'a [u8]) {
        if self.ended {
            return (&[], chunk);
        }
        let expected = BYTE_ORDER_MARK[self.length..].iter();
        let common = expected.zip(chunk).take_while(|(mark, byte)| mark == byte).count();
        self.length += common;
        let is_mark = self.length == BYTE_ORDER_MARK.len();
        let rest = &chunk[common..];
        self.ended = is_mark || !rest.is_empty();
        let withheld = if self.ended && !is_mark { &BYTE_ORDER_MARK[..self.length] } else { &[] };
        (withheld, rest)
    }
}
