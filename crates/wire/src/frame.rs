//! Messages between hosts, encoded as CBOR; long ones are compressed with DEFLATE.
//!
//! Hosts of neighbouring versions stay compatible under these rules: an unknown field of a known
//! message is ignored; an unknown message is a decoding error, and the receiver counts and drops
//! the message. The meaning of a field never changes.

use std::fmt::{Display, Formatter};
use std::io::{Read, Write};

use chestnutdrift_core::message::Envelope;
use flate2::Compression;
use flate2::bufread::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The longest message that a host accepts, in bytes, before and after decompression.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// The size in bytes from which a message is deflated. Texts and routing documents are longer;
/// heartbeats and hellos are shorter and would gain nothing.
const MIN_DEFLATED_BYTES: usize = 1_024;

/// The first byte of a deflated message. A message in plain CBOR starts with the byte of a map,
/// which differs.
const DEFLATE_MARKER: u8 = 0x01;

/// An error in encoding or decoding a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrameError(Box<str>);

impl Display for FrameError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "message between hosts: {}", self.0)
    }
}

impl std::error::Error for FrameError {}

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if the encoder fails. Messages that the core creates can always be encoded.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, FrameError> {
    let mut writer = FrameWriter::Plain(Vec::new());
    ciborium::into_writer(envelope, &mut writer).map_err(|error| frame_error(&error))?;
    match writer {
        FrameWriter::Plain(buf) => Ok(buf),
        FrameWriter::Deflated(encoder) => encoder.finish().map_err(|error| frame_error(&error)),
    }
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are not a message of this version, or if they are longer than
/// [`MAX_MESSAGE_BYTES`] as received or when inflated.
pub fn decode(bytes: &[u8]) -> Result<Envelope, FrameError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(FrameError(
            format!("{} bytes exceed the limit of {MAX_MESSAGE_BYTES}", bytes.len()).into(),
        ));
    }
    let Some(deflated) = bytes.strip_prefix(&[DEFLATE_MARKER]) else {
        return ciborium::from_reader(bytes).map_err(|error| frame_error(&error));
    };
    let mut inflated = DeflateDecoder::new(deflated).take(MAX_MESSAGE_BYTES as u64);
    let decoded = ciborium::from_reader(&mut inflated);
    if inflated.limit() == 0 {
        return Err(FrameError(
            format!("too long when inflated: the limit is {MAX_MESSAGE_BYTES} bytes").into(),
        ));
    }
    decoded.map_err(|error| frame_error(&error))
}

fn frame_error(error: &impl Display) -> FrameError {
    FrameError(error.to_string().into())
}

/// The writer of one message. It switches to a compressed stream once the message reaches
/// [`MIN_DEFLATED_BYTES`], so that a long message is never held uncompressed as well.
enum FrameWriter {
    Plain(Vec<u8>),
    Deflated(DeflateEncoder<Vec<u8>>),
}

impl Write for FrameWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if let Self::Plain(buf) = self {
            if buf.len() + bytes.len() < MIN_DEFLATED_BYTES {
                return buf.write(bytes);
            }
            let mut encoder = DeflateEncoder::new(vec![DEFLATE_MARKER], Compression::fast());
            encoder.write_all(buf)?;
            *self = Self::Deflated(encoder);
        }
        match self {
            Self::Plain(buf) => buf.write(bytes),
            Self::Deflated(encoder) => encoder.write(bytes),
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
