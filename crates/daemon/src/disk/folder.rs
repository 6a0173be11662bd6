//! The data folder: an identity and a journal.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;

use anyhow::{Context, bail};
use chestnutdrift_core::agreement::Record;
use chestnutdrift_core::gateway::{Fact, FactBatch};
use serde::{Deserialize, Serialize};

use super::fact_file::FactFile;
use super::reader::JournalReader;
use super::{JournalCompactor, codec};
use crate::clock;
use crate::memory::{self, HOLDERS};

const IDENTITY_FILE: &str = "identity.json";
const NEW_IDENTITY_FILE: &str = "identity.json.new";
const JOURNAL_FILE: &str = "journal";
const NEW_JOURNAL_FILE: &str = "journal.new";

/// Writes records so that they survive a crash of the process and a power failure.
pub trait Disk: Debug + Send {
    /// Appends records and returns once they are synced.
    ///
    /// # Errors
    ///
    /// Returns an error if any part failed. If the disk is full, the same records may be written
    /// again; after any other error no record on this disk may be reported as durable any more.
    fn write(&mut self, records: &[Record]) -> anyhow::Result<()>;

    /// Writes facts and returns once they are synced.
    ///
    /// # Errors
    ///
    /// As [`Disk::write`].
    fn write_facts(&mut self, facts: &FactBatch) -> anyhow::Result<()>;
}

/// The owner of a data folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The name of the host.
    pub host: Box<str>,
    /// A number that identifies the host's state; a new folder gets a new one.
    pub incarnation: u64,
}

/// The data folder of a host.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    journal: File,
    /// The length up to which the journal is synced, in bytes.
    length: u64,
    /// Whether the last write failed; the next one then repeats its records.
    failed: bool,
    compactor: JournalCompactor,
    facts: FactFile,
    /// The facts that were read when the folder was opened.
    restored_facts: Vec<Fact>,
}

impl DataFolder {
    /// Opens a folder, or creates it, and returns it with its identity and its records.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder belongs to another host, is damaged, or can't be used.
    pub fn open(path: &Path, host: &str) -> anyhow::Result<(Self, Identity, Vec<Record>)> {
        fs::create_dir_all(path).with_context(|| format!("{} can't be created", path.display()))?;
        let identity = load_identity(path, host)?;
        let name = path.join(JOURNAL_FILE);
        let mut journal = open_or_create(&name)?;
        let file_length = journal.metadata()?.len();
        let (records, length) = JournalReader::new(&journal, file_length)
            .read()
            .with_context(|| format!("{}", name.display()))?;
        if length < file_length {
            log::warn!(event = "journal-cut"; "the last batch is incomplete and was removed");
        }
        journal.set_len(length)?;
        journal.seek(SeekFrom::End(0))?;
        journal.sync_all()?;
        sync_folder(path)?;
        let mut compactor = JournalCompactor::default();
        records.iter().for_each(|record| compactor.apply(record));
        let (facts, restored_facts) = FactFile::open(path)?;
        let path = path.into();
        let folder =
            Self { path, journal, length, failed: false, compactor, facts, restored_facts };
        Ok((folder, identity, records))
    }

    /// Returns the facts that were read when the folder was opened; none the next time.
    #[must_use]
    pub fn take_facts(&mut self) -> Vec<Fact> {
        std::mem::take(&mut self.restored_facts)
    }

    /// Writes the records that are still needed to a new journal and replaces the old one by it.
    fn compact(&mut self) -> anyhow::Result<()> {
        let new = self.path.join(NEW_JOURNAL_FILE);
        let mut journal = File::create(&new)?;
        let length = codec::write_first_batch(&mut journal, &self.compactor.records())?;
        journal.sync_all()?;
        fs::rename(&new, self.path.join(JOURNAL_FILE))?;
        sync_folder(&self.path)?;
        self.journal = journal;
        self.length = length;
        HOLDERS.snapshots_written.fetch_add(1, Ordering::Relaxed);
        HOLDERS.snapshot_bytes.fetch_add(self.length, Ordering::Relaxed);
        memory::log_use("snapshot-written");
        Ok(())
    }

    fn append(&mut self, records: &[Record]) -> anyhow::Result<()> {
        let bytes = codec::encode_batch(records)?;
        self.journal.write_all(&bytes).context("the journal can't be written")?;
        self.journal.sync_data().context("the journal can't be synced")?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Truncates the journal to its synced length after a failed write.
    fn rewind(&mut self) -> anyhow::Result<()> {
        self.journal.set_len(self.length).context("the journal can't be truncated")?;
        self.journal.seek(SeekFrom::Start(self.length))?;
        Ok(())
    }
}

impl Disk for DataFolder {
    fn write(&mut self, records: &[Record]) -> anyhow::Result<()> {
        if std::mem::replace(&mut self.failed, true) {
            self.rewind()?;
        } else {
            records.iter().for_each(|record| self.compactor.apply(record));
        }
        if records.iter().any(|record| matches!(record, Record::Snapshot { .. })) {
            self.compact().context("the journal can't be compacted")?;
        } else {
            self.append(records)?;
        }
        self.failed = false;
        Ok(())
    }

    fn write_facts(&mut self, facts: &FactBatch) -> anyhow::Result<()> {
        self.facts.write(facts)
    }
}

fn load_identity(path: &Path, host: &str) -> anyhow::Result<Identity> {
    let name = path.join(IDENTITY_FILE);
    let has_journal = path.join(JOURNAL_FILE).exists();
    if !name.exists() {
        if has_journal {
            bail!("{} has a journal but no {IDENTITY_FILE}", path.display());
        }
        return create_identity(path, host);
    }
    let identity: Identity = match serde_json::from_slice(&fs::read(&name)?) {
        Ok(identity) => identity,
        // The journal is created after the identity, so there is no state yet.
        Err(error) if error.is_eof() && !has_journal => {
            log::warn!(event = "identity-incomplete"; "the identity was not written; a new one is");
            return create_identity(path, host);
        }
        Err(error) => {
            return Err(error).with_context(|| format!("{} can't be read", name.display()));
        }
    };
    if &*identity.host != host {
        bail!("{} belongs to host {}, not to {host}", path.display(), identity.host);
    }
    Ok(identity)
}

/// Writes a new identity to another file first, so that a full disk leaves no part of it.
fn create_identity(path: &Path, host: &str) -> anyhow::Result<Identity> {
    let (new, name) = (path.join(NEW_IDENTITY_FILE), path.join(IDENTITY_FILE));
    let identity = Identity { host: host.into(), incarnation: clock::wall().0 };
    let mut file = File::create(&new)?;
    file.write_all(&serde_json::to_vec(&identity)?)
        .with_context(|| format!("{} can't be written", new.display()))?;
    file.sync_all()?;
    fs::rename(&new, &name)?;
    sync_folder(path)?;
    Ok(identity)
}

/// Opens a file for reading and writing, with what is in it.
pub(super) fn open_or_create(name: &Path) -> anyhow::Result<File> {
    OpenOptions::new()
        .create(true)
        .truncate(false)
        .read(true)
        .write(true)
        .open(name)
        .with_context(|| format!("{} can't be opened", name.display()))
}

pub(super) fn sync_folder(path: &Path) -> anyhow::Result<()> {
    File::open(path)?.sync_all().with_context(|| format!("{} can't be synced", path.display()))
}
