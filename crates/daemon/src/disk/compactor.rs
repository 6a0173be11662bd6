//! What of the journal still counts, to be written anew after a snapshot.

use std::collections::BTreeMap;

use chestnutdrift_core::agreement::{Entry, GroupId, Record, Snapshot};

/// The records of one group that still count.
#[derive(Debug, Default)]
struct Kept {
    formed: Option<Record>,
    term: Option<Record>,
    snapshot: Option<Snapshot>,
    entries: BTreeMap<u64, Entry>,
}

/// Follows the journal and knows what of it still counts.
#[derive(Debug, Default)]
pub struct JournalCompactor {
    in_force: Option<Record>,
    groups: BTreeMap<GroupId, Kept>,
}

impl JournalCompactor {
    /// Takes in the next record.
    pub fn apply(&mut self, record: &Record) {
        if matches!(record, Record::InForce { .. }) {
            self.in_force = Some(record.clone());
            return;
        }
        let kept = self.groups.entry(record.group()).or_default();
        match record {
            Record::Bootstrapped { .. } => kept.formed = Some(record.clone()),
            Record::Term { .. } => kept.term = Some(record.clone()),
            Record::Entry { entry, .. } => {
                kept.entries.insert(entry.index, entry.clone());
            }
            Record::Truncate { index, .. } => {
                kept.entries.split_off(index);
            }
            Record::Snapshot { snapshot, .. } => kept.take_snapshot(snapshot),
            Record::InForce { .. } => {}
        }
    }

    /// Returns the records that still count, in an order in which they can be restored.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        records.extend(self.in_force.clone());
        for (&group, kept) in &self.groups {
            records.extend(kept.formed.clone());
            records.extend(kept.term.clone());
            if let Some(snapshot) = kept.snapshot.clone() {
                records.push(Record::Snapshot { group, snapshot });
            }
            for entry in kept.entries.values() {
                records.push(Record::Entry { group, entry: entry.clone() });
            }
        }
        records
    }
}

impl Kept {
    /// Drops the entries that a snapshot holds; one from a leader voids those behind it too,
    /// unless they go on from it.
    fn take_snapshot(&mut self, snapshot: &Snapshot) {
        let after = self.entries.split_off(&(snapshot.index + 1));
        let joins = self.entries.get(&snapshot.index).map(|entry| entry.term);
        self.entries = if joins == Some(snapshot.term) { after } else { BTreeMap::new() };
        self.snapshot = Some(snapshot.clone());
    }
}
