//! The encoding of batches of records: a length, a checksum, and the records in CBOR.
//!
//! A batch is synced before the next one is written, so a power failure can damage only the last
//! batch. It can damage any part of that batch: a sector in the middle may be lost while later ones
//! are intact.

use std::io::{self, BufWriter, Cursor, Seek, SeekFrom, Write};

use anyhow::{Context, anyhow};
use chestnutdrift_core::agreement::Record;
use crc32fast::Hasher;
use serde::Serialize;

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
    encode(records)
}

/// Encodes a batch of records, or of facts.
pub(super) fn encode<T: Serialize>(batch: &[T]) -> anyhow::Result<Vec<u8>> {
    let mut buf = vec![0; HEADER_BYTES];
    ciborium::into_writer(batch, &mut buf).context("can't encode a batch")?;
    let body = &buf[HEADER_BYTES..];
    let header = Header::new(body.len() as u64, crc32fast::hash(body))?;
    buf[..HEADER_BYTES].copy_from_slice(&header.encode());
    Ok(buf)
}

/// Computes the length and the checksum of what is written through it.
#[derive(Debug)]
struct SummingWriter<W: Write> {
    out: W,
    length: u64,
    hasher: Hasher,
}

impl<W: Write> Write for SummingWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.out.write(bytes)?;
        self.length += written as u64;
        self.hasher.update(&bytes[..written]);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// Writes a batch to the start of an empty file without an encoded copy of it in memory; returns
/// its length, in bytes. The file is positioned behind the batch, and not synced.
///
/// # Errors
///
/// Returns an error if the file can't be written, or if the batch is longer than 4 GB.
pub(super) fn write_first_batch(
    mut file: impl Write + Seek,
    records: &[Record],
) -> anyhow::Result<u64> {
    file.write_all(&[0; HEADER_BYTES])?;
    let mut body = SummingWriter { out: &mut file, length: 0, hasher: Hasher::new() };
    let mut buffer = BufWriter::with_capacity(BUFFER_BYTES, &mut body);
    ciborium::into_writer(records, &mut buffer).map_err(|error| match error {
        ciborium::ser::Error::Io(error) => anyhow::Error::from(error),
        ciborium::ser::Error::Value(reason) => anyhow!("can't encode a batch of records: {reason}"),
    })?;
    buffer.flush()?;
    drop(buffer);
    let SummingWriter { length, hasher, .. } = body;
    let header = Header::new(length, hasher.finalize())?;
    file.rewind()?;
    file.write_all(&header.encode())?;
    file.seek(SeekFrom::End(0))?;
    Ok(HEADER_BYTES as u64 + length)
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
