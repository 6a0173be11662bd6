//! Messages between hosts, encoded as CBOR; long ones are compressed with DEFLATE.
//!
//! Hosts of neighbouring versions stay compatible under these rules: an unknown field of a known
//! message is ignored; an unknown message is a decoding error, and the receiver counts and drops
//! the message. The meaning of a field never changes.

mod encoder;
mod segments;

use std::fmt::{Display, Formatter};
use std::io::{BufReader, Read};

use chestnutdrift_core::message::Envelope;
use flate2::bufread::DeflateDecoder;

pub use encoder::Encoder;

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

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are not a message of this version, or if they are longer than
/// [`MAX_MESSAGE_BYTES`] as received or when inflated.
pub fn decode(bytes: &[u8]) -> Result<Envelope, FrameError> {
    decode_within(bytes, MAX_MESSAGE_BYTES)
}

/// Decodes a message of at most `max` bytes.
///
/// # Errors
///
/// Returns an error if the bytes are not a message of this version, or if they are longer than `max`
/// as received or when inflated.
pub fn decode_within(bytes: &[u8], max: usize) -> Result<Envelope, FrameError> {
    if bytes.len() > max {
        return Err(FrameError(format!("{} bytes exceed the limit of {max}", bytes.len()).into()));
    }
    let Some(deflated) = bytes.strip_prefix(&[DEFLATE_MARKER]) else {
        return ciborium::from_reader(bytes).map_err(|error| frame_error(&error));
    };
    let inflated = DeflateDecoder::new(deflated).take(max as u64);
    // The CBOR decoder reads a few bytes at a time.
    let mut buffered = BufReader::new(inflated);
    let decoded = ciborium::from_reader(&mut buffered);
    if buffered.get_ref().limit() == 0 {
        return Err(FrameError(format!("too long when inflated: the limit is {max} bytes").into()));
    }
    decoded.map_err(|error| frame_error(&error))
}

fn frame_error(error: &impl Display) -> FrameError {
    FrameError(error.to_string().into())
}
