//! The search for intact batches behind a damaged one.

use std::io::{self, Read, Seek, SeekFrom};

use crc32fast::Hasher;

use super::codec::{BUFFER_BYTES, HEADER_BYTES, Header};

/// The distance between two known checksums, in bytes.
const BLOCK_BYTES: usize = 4 * 1024;

/// The bytes that decide whether an offset is a candidate: a header, and the first byte after it.
const PROBE_BYTES: usize = HEADER_BYTES + 1;

/// The major type of a CBOR array, in the upper bits of its first byte.
const CBOR_ARRAY: u8 = 4;

/// The part of a journal from a damaged batch to the end.
///
/// The checksum of any range follows from those of two prefixes, so that a candidate costs two
/// blocks, however long its batch is.
#[derive(Debug)]
pub(super) struct Tail {
    start: u64,
    end: u64,
    /// The checksums of the prefixes that end at each multiple of a block.
    prefix_sums: Vec<u32>,
    /// The next offset to probe.
    next: u64,
    /// The bytes that are probed, from `window_start` on.
    window: Vec<u8>,
    window_start: u64,
}

impl Tail {
    /// Reads the checksums of the journal from `start` to `end`.
    pub(super) fn read(source: &mut (impl Read + Seek), start: u64, end: u64) -> io::Result<Self> {
        let mut hasher = Hasher::new();
        let mut prefix_sums = vec![hasher.clone().finalize()];
        let mut block = Vec::with_capacity(BLOCK_BYTES);
        source.seek(SeekFrom::Start(start))?;
        loop {
            block.clear();
            source.by_ref().take(BLOCK_BYTES as u64).read_to_end(&mut block)?;
            if block.len() < BLOCK_BYTES {
                break;
            }
            hasher.update(&block);
            prefix_sums.push(hasher.clone().finalize());
        }
        let (window, next) = (Vec::new(), start + 1);
        Ok(Self { start, end, prefix_sums, next, window, window_start: next })
    }

    /// Returns the next offset at which a header has the checksum of what follows it.
    pub(super) fn next_candidate(
        &mut self,
        source: &mut (impl Read + Seek),
    ) -> io::Result<Option<u64>> {
        while self.next + (PROBE_BYTES as u64) <= self.end {
            let at = self.next;
            self.next += 1;
            let Some(header) = self.probe(source, at)? else { continue };
            let body = at + HEADER_BYTES as u64;
            let next = body + u64::from(header.length);
            if next <= self.end && self.range_sum(source, body, next)? == header.sum {
                return Ok(Some(at));
            }
        }
        Ok(None)
    }

    /// Returns the header at an offset if a batch of records can follow it.
    fn probe(&mut self, source: &mut (impl Read + Seek), at: u64) -> io::Result<Option<Header>> {
        let mut offset = offset_in(at, self.window_start);
        if offset + PROBE_BYTES > self.window.len() {
            self.window.clear();
            self.window_start = at;
            source.seek(SeekFrom::Start(at))?;
            source.by_ref().take(BUFFER_BYTES as u64).read_to_end(&mut self.window)?;
            offset = 0;
        }
        let Some((header, body)) = self.window[offset..].split_first_chunk() else {
            return Ok(None);
        };
        let is_array = body.first().is_some_and(|byte| byte >> 5 == CBOR_ARRAY);
        let header = Header::decode(*header);
        Ok((is_array && header.length > 0).then_some(header))
    }

    /// Returns the checksum of the bytes from `from` to `to`.
    fn range_sum(&self, source: &mut (impl Read + Seek), from: u64, to: u64) -> io::Result<u32> {
        let mut before = self.prefix_hasher(source, from)?;
        let whole = self.prefix_hasher(source, to)?.finalize();
        // The checksum of a whole is that of its first part, shifted by the length of the second,
        // XOR that of the second; so the same operation returns the second from the whole.
        before.combine(&Hasher::new_with_initial_len(whole, to - from));
        Ok(before.finalize())
    }

    /// Returns the hasher of the bytes from the start of the tail to `to`.
    fn prefix_hasher(&self, source: &mut (impl Read + Seek), to: u64) -> io::Result<Hasher> {
        let blocks = offset_in(to, self.start) / BLOCK_BYTES;
        let known = (blocks * BLOCK_BYTES) as u64;
        let mut hasher = Hasher::new_with_initial_len(self.prefix_sums[blocks], known);
        let mut rest = vec![0; offset_in(to, self.start + known)];
        source.seek(SeekFrom::Start(self.start + known))?;
        source.read_exact(&mut rest)?;
        hasher.update(&rest);
        Ok(hasher)
    }
}

/// Returns the distance from `start` to `at`, which lies in a part of the journal that is in memory
/// or whose checksums are.
fn offset_in(at: u64, start: u64) -> usize {
    usize::try_from(at - start).unwrap_or(usize::MAX)
}
