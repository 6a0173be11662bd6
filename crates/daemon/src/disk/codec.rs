//! Batches of records as bytes: a length, a checksum, and the records in CBOR.
//!
//! A batch is synced before the next one is written, so a loss of power can damage the last batch
//! only, and that as a whole: sectors in the middle may be lost while later ones are there.

use anyhow::{Context, bail};
use chestnutdrift_core::agreement::Record;

/// The bytes before each batch: its length and its checksum, little-endian.
const HEAD: usize = 8;

/// Writes a batch of records that are synced together.
///
/// # Errors
///
/// Returns an error where the encoder fails, which no record that a core makes does, or where the
/// batch is longer than 4 GB.
pub fn encode_batch(records: &[Record]) -> anyhow::Result<Vec<u8>> {
    let mut buf = vec![0; HEAD];
    ciborium::into_writer(records, &mut buf).context("a record can't be written")?;
    let length = u32::try_from(buf.len() - HEAD).context("a batch is too long")?;
    let sum = crc32fast::hash(&buf[HEAD..]);
    buf[..4].copy_from_slice(&length.to_le_bytes());
    buf[4..HEAD].copy_from_slice(&sum.to_le_bytes());
    Ok(buf)
}

/// Reads batches and returns their records with the number of bytes that hold them.
///
/// A last batch that is not whole, as after a loss of power, is left out: it was never synced, so
/// nothing was promised on it.
///
/// # Errors
///
/// Returns an error where a batch that others follow is damaged: it may have been promised.
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

/// Returns the batch at `at` and where the next one begins, where it is all there.
fn batch_at(bytes: &[u8], at: usize) -> Option<(Vec<Record>, usize)> {
    let head = bytes.get(at..at + HEAD)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let sum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    let next = at.checked_add(HEAD)?.checked_add(length)?;
    let body = bytes.get(at + HEAD..next).filter(|body| !body.is_empty())?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    Some((ciborium::from_reader(body).ok()?, next))
}
