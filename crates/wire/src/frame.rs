//! Messages between hosts as CBOR.
//!
//! Rule for hosts of neighbouring versions: an unknown field of a known message is ignored, an
//! unknown message is an error that the receiver counts and drops. Fields are never given another
//! meaning.

use std::fmt::{Display, Formatter};

use chestnutdrift_core::message::Envelope;

/// The longest message that a host takes, in bytes.
pub const MOST_BYTES: usize = 64 * 1024 * 1024;

/// A message that can't be written or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrameError(Box<str>);

impl Display for FrameError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "message between hosts: {}", self.0)
    }
}

impl std::error::Error for FrameError {}

/// Writes a message.
///
/// # Errors
///
/// Returns an error where the encoder fails, which no message that a core makes does.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, FrameError> {
    let mut buf = Vec::new();
    match ciborium::into_writer(envelope, &mut buf) {
        Ok(()) => Ok(buf),
        Err(error) => Err(FrameError(error.to_string().into())),
    }
}

/// Reads a message.
///
/// # Errors
///
/// Returns an error where the bytes are no message of this version or are too long.
pub fn decode(bytes: &[u8]) -> Result<Envelope, FrameError> {
    if bytes.len() > MOST_BYTES {
        return Err(FrameError(format!("{} bytes are too many", bytes.len()).into()));
    }
    ciborium::from_reader(bytes).map_err(|error| FrameError(error.to_string().into()))
}
