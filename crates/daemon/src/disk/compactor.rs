//! Compaction: the records of the journal that are still needed after a snapshot.

use std::collections::BTreeMap;

use chestnutdrift_core::agreement::{Entry, GroupId, Record, Snapshot};

/// The records of one group that are still needed.
#[derive(Debug, Default)]
struct GroupRecords {
    bootstrapped: Option<Record>,
    term: Option<Record>,
    snapshot: Option<Snapshot>,
    entries: BTreeMap<u64, Entry>,
}

/// Tracks which records of the journal are still needed.
#[derive(Debug, Default)]
pub struct JournalCompactor {
    in_force: Option<Record>,
    groups: BTreeMap<GroupId, GroupRecords>,
}

impl JournalCompactor {
    /// Applies the next record of the journal.
    pub fn apply(&mut self, record: &Record) {
        if matches!(record, Record::InForce { .. }) {
            self.in_force = Some(record.clone());
            return;
        }
        let group_records = self.groups.entry(record.group()).or_default();
        match record {
            Record::Bootstrapped { .. } => group_records.bootstrapped = Some(record.clone()),
            Record::Term { .. } => group_records.term = Some(record.clone()),
            Record::Entry { entry, .. } => group_records.apply_entry(entry),
            Record::Truncate { index, .. } => {
                group_records.entries.split_off(index);
            }
            Record::Snapshot { snapshot, .. } => group_records.apply_snapshot(snapshot),
            Record::InForce { .. } => {}
        }
    }

    /// Returns the records that are still needed, in an order in which they can be restored.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        records.extend(self.in_force.clone());
        for (&group, group_records) in &self.groups {
            records.extend(group_records.bootstrapped.clone());
            records.extend(group_records.term.clone());
            if let Some(snapshot) = group_records.snapshot.clone() {
                records.push(Record::Snapshot { group, snapshot });
            }
            for entry in group_records.entries.values() {
                records.push(Record::Entry { group, entry: entry.clone() });
            }
        }
        records
    }
}

impl GroupRecords {
    /// Adds an entry, which replaces those from its index on.
    fn apply_entry(&mut self, entry: &Entry) {
        while let Some(last) = self.entries.last_entry() {
            if *last.key() < entry.index {
                break;
            }
            last.remove();
        }
        self.entries.insert(entry.index, entry.clone());
    }

    /// Drops the entries that a snapshot covers.
    ///
    /// Later entries are kept only if the entry at the snapshot's index has the snapshot's term. A
    /// snapshot that a leader sent may not match this log, and then replaces all of it.
    fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        let after = self.entries.split_off(&(snapshot.index + 1));
        let term_at_index = self.entries.get(&snapshot.index).map(|entry| entry.term);
        self.entries = if term_at_index == Some(snapshot.term) { after } else { BTreeMap::new() };
        self.snapshot = Some(snapshot.clone());
    }
}
