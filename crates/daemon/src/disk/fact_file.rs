//! The file of facts: batches as in the journal, without an order that matters between hosts.

use std::fs::{self, File};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use anyhow::Context;
use chestnutdrift_core::gateway::{Fact, FactBatch};
use ciborium::Value;

use super::codec::{self, HEADER_BYTES, Header};
use super::folder::{open_or_create, sync_folder};

const FACTS_FILE: &str = "facts";
const NEW_FACTS_FILE: &str = "facts.new";

/// The file of the facts of a host.
#[derive(Debug)]
pub struct FactFile {
    folder: PathBuf,
    file: File,
    /// The length up to which the file is synced, in bytes.
    length: u64,
}

impl FactFile {
    /// Opens the file in a data folder, or creates it, and returns it with its facts, in order.
    ///
    /// Facts of a kind that this version doesn't know are left out. The file is cut before a batch
    /// that is damaged.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be used.
    pub fn open(folder: &Path) -> anyhow::Result<(Self, Vec<Fact>)> {
        let name = folder.join(FACTS_FILE);
        let file = open_or_create(&name)?;
        let bytes = fs::read(&name).with_context(|| format!("{} can't be read", name.display()))?;
        let (facts, used) = decode(&bytes);
        let lost = bytes.len() - used;
        if lost > 0 {
            log::error!(
                event = "facts-cut",
                bytes = lost,
                at = used;
                "{} is damaged; the rest is dropped and learned from other hosts",
                name.display()
            );
        }
        let length = used as u64;
        file.set_len(length)?;
        file.sync_all()?;
        sync_folder(folder)?;
        Ok((Self { folder: folder.into(), file, length }, facts))
    }

    /// Writes facts and returns once they are synced.
    ///
    /// # Errors
    ///
    /// Returns an error if any part failed; the same facts may be written again.
    pub fn write(&mut self, batch: &FactBatch) -> anyhow::Result<()> {
        let bytes = codec::encode(&batch.facts)?;
        if batch.replaces {
            return self.replace(&bytes).context("the facts can't be replaced");
        }
        // An earlier write may have failed halfway.
        self.file.set_len(self.length).context("the facts can't be truncated")?;
        self.file.seek(SeekFrom::Start(self.length))?;
        self.file.write_all(&bytes).context("the facts can't be written")?;
        self.file.sync_data().context("the facts can't be synced")?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        let new = self.folder.join(NEW_FACTS_FILE);
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, self.folder.join(FACTS_FILE))?;
        sync_folder(&self.folder)?;
        self.file = file;
        self.length = bytes.len() as u64;
        Ok(())
    }
}

/// Decodes batches; returns their facts and the number of bytes before the first damaged batch.
fn decode(bytes: &[u8]) -> (Vec<Fact>, usize) {
    let (mut facts, mut used, mut unknown) = (Vec::new(), 0, 0);
    while let Some(body) = first_body(&bytes[used..]) {
        if let Ok(mut batch) = ciborium::from_reader(body) {
            facts.append(&mut batch);
        } else {
            let Ok(values) = ciborium::from_reader::<Vec<Value>, _>(body) else { break };
            for value in values {
                match value.deserialized() {
                    Ok(fact) => facts.push(fact),
                    Err(_) => unknown += 1,
                }
            }
        }
        used += HEADER_BYTES + body.len();
    }
    if unknown > 0 {
        log::warn!(event = "facts-unknown", facts = unknown; "facts of another version are left out");
    }
    (facts, used)
}

/// Returns the encoded facts of the first batch; `None` if it is incomplete or damaged.
fn first_body(bytes: &[u8]) -> Option<&[u8]> {
    let (header, rest) = bytes.split_first_chunk()?;
    let header = Header::decode(*header);
    let body = rest.get(..header.length as usize)?;
    let is_intact = !body.is_empty() && crc32fast::hash(body) == header.sum;
    is_intact.then_some(body)
}
