//! The encoding of batches of records: a length, a checksum, and the records in CBOR.
//!
//! A batch is synced before the next one is written, so a power failure can damage only the last
//! batch. It can damage any part of that batch: a sector in the middle may be lost while later ones
//! are intact.

use anyhow::{Context, bail};
use chestnutdrift_core::agreement::Record;

/// The size of the header of a batch, which holds its length and its checksum, little-endian.
const HEADER_BYTES: usize = 8;

/// Encodes a batch of records that are synced together.
///
/// # Errors
///
/// Returns an error if a record can't be encoded, which does not happen to records that a core
/// creates, or if the batch is longer than 4 GB.
pub fn encode_batch(records: &[Record]) -> anyhow::Result<Vec<u8>> {
    let mut buf = vec![0; HEADER_BYTES];
    ciborium::into_writer(records, &mut buf).context("can't encode a batch of records")?;
    let length = u32::try_from(buf.len() - HEADER_BYTES)
        .context("a batch of records is longer than 4 GB")?;
    let sum = crc32fast::hash(&buf[HEADER_BYTES..]);
    buf[..4].copy_from_slice(&length.to_le_bytes());
    buf[4..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
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
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let Some((batch, next)) = batch_at(bytes, at) else {
            if (at + 1..bytes.len()).any(|later| batch_at(bytes, later).is_some()) {
                bail!("the batch at byte {at} is damaged and others follow it");
            }
            break;
        };
        records.extend(batch);
        at = next;
    }
    Ok((records, at))
}

/// Returns the batch at `at` and the offset of the next one; `None` if the batch is incomplete or
/// damaged.
fn batch_at(bytes: &[u8], at: usize) -> Option<(Vec<Record>, usize)> {
    let header = bytes.get(at..at + HEADER_BYTES)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let sum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
    let next = at.checked_add(HEADER_BYTES)?.checked_add(length)?;
    let body = bytes.get(at + HEADER_BYTES..next).filter(|body| !body.is_empty())?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    Some((ciborium::from_reader(body).ok()?, next))
}
