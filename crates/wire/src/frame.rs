//! Messages between hosts as CBOR; long ones are deflated.
//!
//! Rule for hosts of neighbouring versions: an unknown field of a known message is ignored, an
//! unknown message is an error that the receiver counts and drops. Fields are never given another
//! meaning.

use std::fmt::{Display, Formatter};
use std::io::{Read, Write};

use chestnutdrift_core::message::Envelope;
use flate2::Compression;
use flate2::bufread::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The longest message that a host takes, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// The shortest message that is deflated, in bytes: texts and routing documents are longer,
/// heartbeats and hellos shorter and would gain nothing.
const DEFLATED_FROM: usize = 1_024;

/// The first byte of a deflated message; CBOR begins with the byte of a map, which is another.
const DEFLATED: u8 = 0x01;

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
    let mut out = Output::Plain(Vec::new());
    ciborium::into_writer(envelope, &mut out).map_err(|error| failed(&error))?;
    match out {
        Output::Plain(buf) => Ok(buf),
        Output::Deflated(encoder) => encoder.finish().map_err(|error| failed(&error)),
    }
}

/// Reads a message.
///
/// # Errors
///
/// Returns an error where the bytes are no message of this version or are too long.
pub fn decode(bytes: &[u8]) -> Result<Envelope, FrameError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(FrameError(format!("{} bytes are too many", bytes.len()).into()));
    }
    let Some(deflated) = bytes.strip_prefix(&[DEFLATED]) else {
        return ciborium::from_reader(bytes).map_err(|error| failed(&error));
    };
    let mut inflated = DeflateDecoder::new(deflated).take(MAX_MESSAGE_BYTES as u64);
    let read = ciborium::from_reader(&mut inflated);
    if inflated.limit() == 0 {
        return Err(FrameError("it is too long when inflated".into()));
    }
    read.map_err(|error| failed(&error))
}

fn failed(error: &impl Display) -> FrameError {
    FrameError(error.to_string().into())
}

/// Where a message is written: deflated from the byte on that makes it a long one, so that a long
/// one is never held plain as well.
enum Output {
    Plain(Vec<u8>),
    Deflated(DeflateEncoder<Vec<u8>>),
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if let Self::Plain(buf) = self {
            if buf.len() + bytes.len() < DEFLATED_FROM {
                return buf.write(bytes);
            }
            let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
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
