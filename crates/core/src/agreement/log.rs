//! The log in memory: the entries after the last snapshot.

use std::collections::VecDeque;

use crate::agreement::{Command, Entry, Voter};

/// The entries after a base index. A snapshot holds the state up to and including the base.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// The indices of the entries that change the voter set; nearly each event asks for the newest.
    voter_sets: VecDeque<u64>,
}

impl Log {
    /// Returns the index of the last entry, or of the base.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry, or of the base.
    #[must_use]
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the index of the last entry that the snapshot includes.
    #[must_use]
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Returns the approximate size of the entries after the base, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the term of the entry at `index`, or `None` if the entry is compacted or not yet in
    /// the log.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, or `None` if it is compacted or not yet in the log.
    #[must_use]
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `max` entries, starting at `index`.
    pub fn entries_from(&self, index: u64, max: usize) -> impl Iterator<Item = &Entry> {
        let offset = index.saturating_sub(self.base_index + 1);
        self.entries.iter().skip(usize::try_from(offset).unwrap_or(usize::MAX)).take(max)
    }

    /// Returns the entries after the base, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().rev()
    }

    /// Returns the newest voter set after the base, or `None` if there is none.
    #[must_use]
    pub fn newest_voters(&self) -> Option<&[Voter]> {
        let entry = self.get(*self.voter_sets.back()?)?;
        let Command::Voters(voters) = &entry.command else { return None };
        Some(voters)
    }

    /// Returns the smallest index, from the base on, after which the log has at most `bytes` of
    /// entries.
    #[must_use]
    pub fn index_before(&self, bytes: usize) -> u64 {
        let (mut index, mut kept) = (self.last_index(), 0);
        for entry in self.newest_first() {
            kept += entry.bytes();
            if kept > bytes {
                break;
            }
            index = entry.index - 1;
        }
        index
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += entry.bytes();
        if let Command::Voters(_) = entry.command {
            self.voter_sets.push_back(entry.index);
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all after it.
    pub fn truncate(&mut self, index: u64) {
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else { break };
            self.bytes -= entry.bytes();
        }
        while self.voter_sets.back().is_some_and(|at| *at >= index) {
            self.voter_sets.pop_back();
        }
    }

    /// Drops the entries up to and including `index`, which a snapshot now covers.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else { return };
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else { break };
            self.bytes -= entry.bytes();
            self.base_index = entry.index;
        }
        self.base_term = term;
        while self.voter_sets.front().is_some_and(|at| *at <= index) {
            self.voter_sets.pop_front();
        }
    }

    /// Continues after a snapshot of `index` and `term`. Later entries are kept if the entry at
    /// `index` has that term; otherwise the log differs from the snapshot, and all entries are
    /// dropped.
    pub fn continue_after(&mut self, index: u64, term: u64) {
        if self.term_at(index) == Some(term) {
            self.compact(index);
            return;
        }
        self.entries.clear();
        self.voter_sets.clear();
        self.bytes = 0;
        self.base_index = index;
        self.base_term = term;
    }
}
