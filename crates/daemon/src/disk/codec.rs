//! The encoding of batches of records: a length, a checksum, and the records in CBOR.
//!
//! A batch is synced before the next one is written, so a power failure can damage only the last
//! batch. It can damage any part of that batch: a sector in the middle may be lost while later ones
//! are intact.

use std::io::Cursor;

use anyhow::Context;
use chestnutdrift_core::agreement::Record;

use super::reader::JournalReader;

/// The size of the header of a batch, which holds its length and its checksum, little-endian.
pub(super) const HEADER_BYTES: usize = 8;

/// The size of the buffers between the journal and records, in bytes.
pub(super) const BUFFER_BYTES: usize = 64 * 1024;

/// The header of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Header {
    /// The length of the encoded records, in bytes.
    pub(super) length: u32,
    /// The checksum of the encoded records.
    pub(super) sum: u32,
}

impl Header {
    fn new(length: u64, sum: u32) -> anyhow::Result<Self> {
        let length = u32::try_from(length).context("a batch of records is longer than 4 GB")?;
        Ok(Self { length, sum })
    }

    pub(super) fn decode(bytes: [u8; HEADER_BYTES]) -> Self {
        let [a, b, c, d, e, f, g, h] = bytes;
        Self { length: u32::from_le_bytes([a, b, c, d]), sum: u32::from_le_bytes([e, f, g, h]) }
    }

    fn encode(self) -> [u8; HEADER_BYTES] {
        let [a, b, c, d] = self.length.to_le_bytes();
        let [e, f, g, h] = self.sum.to_le_bytes();
        [a, b, c, d, e, f, g, h]
    }
}

/// Encodes a batch of records that are synced together.
///
/// # Errors
///
/// Returns an error if a record can't be encoded, which does not happen to records that a core
/// creates, or if the batch is longer than 4 GB.
pub fn encode_batch(records: &[Record]) -> anyhow::Result<Vec<u8>> {
    let mut buf = vec![0; HEADER_BYTES];
    ciborium::into_writer(records, &mut buf).context("can't encode a batch of records")?;
    let body = &buf[HEADER_BYTES..];
    let header = Header::new(body.len() as u64, crc32fast::hash(body))?;
    buf[..HEADER_BYTES].copy_from_slice(&header.encode());
    Ok(buf)
}

/// Decodes batches; returns their records and the number of bytes that the batches take up.
///
/// A last batch that is incomplete or damaged, as after a power failure, is ignored: it was never
/// synced, so none of its records were reported as durable.
///
/// # Errors
///
/// Returns an error if a damaged batch is followed by an intact one: its records may have been
/// reported as durable.
pub fn decode_batches(bytes: &[u8]) -> anyhow::Result<(Vec<Record>, usize)> {
    let (records, used) = JournalReader::new(Cursor::new(bytes), bytes.len() as u64).read()?;
    Ok((records, usize::try_from(used)?))
}
