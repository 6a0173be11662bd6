//! Reads a journal batch by batch, so that it needs little memory beside the records.

use std::io::{self, BufRead, BufReader, Read, Seek, SeekFrom};

use anyhow::bail;
use chestnutdrift_core::agreement::Record;
use crc32fast::Hasher;

use super::codec::{BUFFER_BYTES, HEADER_BYTES, Header};
use super::tail::Tail;

/// A journal that is read from its start.
#[derive(Debug)]
pub(super) struct JournalReader<R: Read> {
    source: BufReader<R>,
    /// The offset of the next byte that `source` returns; `None` if the source was moved.
    position: Option<u64>,
    length: u64,
}

impl<R: Read + Seek> JournalReader<R> {
    /// Creates a reader of a journal of `length` bytes.
    pub(super) fn new(source: R, length: u64) -> Self {
        let source = BufReader::with_capacity(BUFFER_BYTES, source);
        Self { source, position: None, length }
    }

    /// Returns the records, and the number of bytes that their batches take up.
    ///
    /// # Errors
    ///
    /// Returns an error if the source fails, or if a damaged batch is followed by an intact one.
    pub(super) fn read(self) -> anyhow::Result<(Vec<Record>, u64)> {
        let mut records = Vec::new();
        let used = self.for_each_batch(|mut batch| {
            if records.is_empty() {
                records = batch;
            } else {
                records.append(&mut batch);
            }
        })?;
        Ok((records, used))
    }

    /// Passes the records of each intact batch to `handle`, and returns the number of bytes that
    /// the batches take up.
    ///
    /// # Errors
    ///
    /// Returns an error if the source fails, or if a damaged batch is followed by an intact one.
    pub(super) fn for_each_batch(
        mut self,
        mut handle: impl FnMut(Vec<Record>),
    ) -> anyhow::Result<u64> {
        let mut at = 0;
        while at < self.length {
            let Some((batch, next)) = self.batch_at(at)? else {
                if self.has_batch_after(at)? {
                    bail!("the batch at byte {at} is damaged and others follow it");
                }
                break;
            };
            handle(batch);
            at = next;
        }
        Ok(at)
    }

    fn has_batch_after(&mut self, at: u64) -> io::Result<bool> {
        let mut tail = Tail::read(self.source.get_mut(), at, self.length)?;
        loop {
            let candidate = tail.next_candidate(self.source.get_mut())?;
            self.position = None;
            let Some(candidate) = candidate else { return Ok(false) };
            if self.batch_at(candidate)?.is_some() {
                return Ok(true);
            }
        }
    }

    /// Returns the batch at `at` and the offset of the next one; `None` if the batch is incomplete
    /// or damaged.
    fn batch_at(&mut self, at: u64) -> io::Result<Option<(Vec<Record>, u64)>> {
        let body = at + HEADER_BYTES as u64;
        if body > self.length {
            return Ok(None);
        }
        self.seek(at)?;
        let mut header = [0; HEADER_BYTES];
        self.source.read_exact(&mut header)?;
        self.position = Some(body);
        let header = Header::decode(header);
        let next = body + u64::from(header.length);
        if header.length == 0 || next > self.length || self.checksum(header.length)? != header.sum {
            return Ok(None);
        }
        self.position = Some(next);
        self.seek(body)?;
        let mut encoded = (&mut self.source).take(u64::from(header.length));
        let decoded = ciborium::from_reader(&mut encoded);
        self.position = Some(next - encoded.limit());
        match decoded {
            Ok(records) => Ok(Some((records, next))),
            Err(ciborium::de::Error::Io(error)) if error.kind() != io::ErrorKind::UnexpectedEof => {
                Err(error)
            }
            Err(_) => Ok(None),
        }
    }

    /// Moves to an offset; keeps what is buffered if the offset is in it.
    fn seek(&mut self, to: u64) -> io::Result<()> {
        let distance = |from| i64::try_from(to).ok()?.checked_sub_unsigned(from);
        match self.position.and_then(distance) {
            Some(distance) => self.source.seek_relative(distance)?,
            None => {
                self.source.seek(SeekFrom::Start(to))?;
            }
        }
        self.position = Some(to);
        Ok(())
    }

    /// Returns the checksum of the next `length` bytes.
    fn checksum(&mut self, length: u32) -> io::Result<u32> {
        let mut hasher = Hasher::new();
        let mut left = length as usize;
        while left > 0 {
            let buf = self.source.fill_buf()?;
            if buf.is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let part = left.min(buf.len());
            hasher.update(&buf[..part]);
            self.source.consume(part);
            left -= part;
        }
        Ok(hasher.finalize())
    }
}
