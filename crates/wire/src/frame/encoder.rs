//! The encoder of messages to other hosts.

use std::io::{BufWriter, Write};

use bytes::Bytes;
use chestnutdrift_core::agreement::{Entry, GroupFrame, GroupMessage};
use chestnutdrift_core::message::{Envelope, Message};
use flate2::write::DeflateEncoder;
use flate2::{Compress, Compression, FlushCompress};
use serde::Serialize;

use super::segments::{SegmentCache, SegmentKey};
use super::{DEFLATE_MARKER, FrameError, MIN_DEFLATED_BYTES, frame_error};

/// The size of the buffer in front of the compressor, in bytes: the CBOR encoder writes a few bytes
/// at a time.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// The room for a segment beside the length of its input: its headers, and its end.
const MIN_SEGMENT_ROOM_BYTES: usize = 256;

/// The largest entry, in bytes, that is compressed as a segment. A larger one would be held
/// uncompressed as a whole; it is compressed while it is encoded, like any other message.
const MAX_SEGMENT_INPUT_BYTES: usize = 1024 * 1024;

/// The CBOR encoding of the key `entries` of an append with an empty array as its value.
const EMPTY_ENTRIES: [u8; 9] = *b"\x67entries\x80";

/// The bytes at the end of [`EMPTY_ENTRIES`] that encode the array.
const EMPTY_ARRAY_BYTES: usize = 1;

/// Encodes the messages of a host.
///
/// A leader sends the same log entries to every replica, in messages that differ only around them.
/// The encoder therefore compresses each entry once, as a segment that refers to no byte outside of
/// it, and joins the segments of a message to one stream, which any DEFLATE decoder can read.
#[derive(Debug)]
pub struct Encoder {
    compressor: Compress,
    segments: SegmentCache,
    deflated_bytes: u64,
}

impl Default for Encoder {
    fn default() -> Self {
        Self {
            compressor: Compress::new(Compression::fast(), false),
            segments: SegmentCache::default(),
            deflated_bytes: 0,
        }
    }
}

impl Encoder {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder fails. Messages that the core creates can always be encoded.
    pub fn encode(&mut self, envelope: &Envelope) -> Result<Bytes, FrameError> {
        if let Message::Group(frame) = &envelope.message
            && let GroupMessage::AppendEntries { entries, .. } = &frame.message
            && entries.iter().map(Entry::bytes).sum::<usize>() >= MIN_DEFLATED_BYTES
            && entries.iter().all(|entry| entry.bytes() <= MAX_SEGMENT_INPUT_BYTES)
        {
            return self.encode_append(envelope, frame, entries);
        }
        let mut writer = FrameWriter::Plain(Vec::new());
        ciborium::into_writer(envelope, &mut writer).map_err(|error| frame_error(&error))?;
        match writer {
            FrameWriter::Plain(buf) => Ok(buf.into()),
            FrameWriter::Deflated(writer) => {
                let encoder = writer.into_inner().map_err(|error| frame_error(&error))?;
                self.deflated_bytes += encoder.total_in();
                Ok(encoder.finish().map_err(|error| frame_error(&error))?.into())
            }
        }
    }

    /// Returns the number of bytes that have been passed to the compressor so far.
    #[must_use]
    pub fn deflated_bytes(&self) -> u64 {
        self.deflated_bytes
    }

    fn encode_append(
        &mut self,
        envelope: &Envelope,
        frame: &GroupFrame,
        entries: &[Entry],
    ) -> Result<Bytes, FrameError> {
        let around = to_cbor(&without_entries(envelope, frame))?;
        let at = around.windows(EMPTY_ENTRIES.len()).position(|bytes| bytes == EMPTY_ENTRIES);
        let Some(at) = at else { return Err(FrameError("an append has no entries field".into())) };
        let end = at + EMPTY_ENTRIES.len();
        let mut before = around[..end - EMPTY_ARRAY_BYTES].to_vec();
        push_array_header(&mut before, entries.len());

        let mut buf = vec![DEFLATE_MARKER];
        buf.extend(self.deflate(&before, FlushCompress::Sync)?);
        for entry in entries {
            let key = SegmentKey::new(frame, entry);
            if let Some(segment) = self.segments.get(key) {
                buf.extend_from_slice(segment);
                continue;
            }
            let segment = self.deflate(&to_cbor(entry)?, FlushCompress::Sync)?;
            buf.extend_from_slice(&segment);
            self.segments.insert(key, Bytes::copy_from_slice(&segment));
        }
        buf.extend(self.deflate(&around[end..], FlushCompress::Finish)?);
        Ok(buf.into())
    }

    /// Compresses bytes to a segment that ends on a byte boundary.
    ///
    /// The compressor does not finish a flush that its caller has to continue with more room, so a
    /// segment that does not fit is compressed again from the start.
    fn deflate(&mut self, bytes: &[u8], flush: FlushCompress) -> Result<Vec<u8>, FrameError> {
        let mut room = bytes.len() + MIN_SEGMENT_ROOM_BYTES;
        loop {
            let mut segment = Vec::with_capacity(room);
            self.compressor.reset();
            let compressed = self.compressor.compress_vec(bytes, &mut segment, flush);
            compressed.map_err(|error| frame_error(&error))?;
            self.deflated_bytes += bytes.len() as u64;
            let all_read = self.compressor.total_in() == bytes.len() as u64;
            if all_read && segment.len() < segment.capacity() {
                return Ok(segment);
            }
            room *= 2;
        }
    }
}

/// Returns an append without its entries.
fn without_entries(envelope: &Envelope, frame: &GroupFrame) -> Envelope {
    let message = match &frame.message {
        &GroupMessage::AppendEntries {
            term,
            prev_index,
            prev_term,
            leader_commit,
            sent_at,
            ..
        } => GroupMessage::AppendEntries {
            term,
            prev_index,
            prev_term,
            entries: Vec::new(),
            leader_commit,
            sent_at,
        },
        other => other.clone(),
    };
    let frame = GroupFrame { group: frame.group, epoch: frame.epoch, message };
    Envelope { from: envelope.from, stamp: envelope.stamp, message: Message::Group(frame) }
}

fn to_cbor(value: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).map_err(|error| frame_error(&error))?;
    Ok(buf)
}

/// Appends the CBOR header of an array of `length` elements.
fn push_array_header(buf: &mut Vec<u8>, length: usize) {
    const ARRAY_WITH_U32_LENGTH: u8 = 0x9a;
    buf.push(ARRAY_WITH_U32_LENGTH);
    buf.extend_from_slice(&u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes());
}

/// The writer of one message. It switches to a compressed stream once the message reaches
/// [`MIN_DEFLATED_BYTES`], so that a long message is never held uncompressed as well.
enum FrameWriter {
    Plain(Vec<u8>),
    Deflated(BufWriter<DeflateEncoder<Vec<u8>>>),
}

impl Write for FrameWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if let Self::Plain(buf) = self {
            if buf.len() + bytes.len() < MIN_DEFLATED_BYTES {
                return buf.write(bytes);
            }
            let encoder = DeflateEncoder::new(vec![DEFLATE_MARKER], Compression::fast());
            let mut writer = BufWriter::with_capacity(WRITE_BUFFER_BYTES, encoder);
            writer.write_all(buf)?;
            *self = Self::Deflated(writer);
        }
        match self {
            Self::Plain(buf) => buf.write(bytes),
            Self::Deflated(writer) => writer.write(bytes),
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
