//! Records as bytes: a length, a checksum, and the record in CBOR.

use anyhow::{Context, bail};
use chestnutdrift_core::agreement::Record;

/// The bytes before each record: its length and its checksum, little-endian.
const HEAD: usize = 8;

/// Writes records one after the other.
///
/// # Errors
///
/// Returns an error where the encoder fails, which no record that a core makes does.
pub fn encode(records: &[Record]) -> anyhow::Result<Vec<u8>> {
    let mut buf = Vec::new();
    for record in records {
        let mut body = Vec::new();
        ciborium::into_writer(record, &mut body).context("a record can't be written")?;
        let length = u32::try_from(body.len()).context("a record is too long")?;
        buf.extend_from_slice(&length.to_le_bytes());
        buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        buf.extend_from_slice(&body);
    }
    Ok(buf)
}

/// Reads records and returns them with the number of bytes that hold them.
///
/// A last record that was not written to its end, as after a loss of power, is left out: it was
/// never synced, so nothing was promised on it.
///
/// # Errors
///
/// Returns an error where a record that others follow is damaged: it may have been promised.
pub fn decode_all(bytes: &[u8]) -> anyhow::Result<(Vec<Record>, usize)> {
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let Some((body, next)) = body_at(bytes, at) else { break };
        let sum = u32::from_le_bytes([bytes[at + 4], bytes[at + 5], bytes[at + 6], bytes[at + 7]]);
        let record =
            if crc32fast::hash(body) == sum { ciborium::from_reader(body).ok() } else { None };
        match record {
            Some(record) => records.push(record),
            None if next == bytes.len() => break,
            None => bail!("the record at byte {at} is damaged and others follow it"),
        }
        at = next;
    }
    Ok((records, at))
}

/// Returns the body of the record at `at` and where the next one begins, where it is all there.
fn body_at(bytes: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let head = bytes.get(at..at + HEAD)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let next = at.checked_add(HEAD)?.checked_add(length)?;
    Some((bytes.get(at + HEAD..next)?, next))
}
