//! Compaction: snapshots of the applied state, which replace the entries before them.

use crate::agreement::{Command, GroupState, Outbox, Record, Replica, Snapshot, Voter};

impl Replica {
    /// Replaces the log up to the applied state by a snapshot, and completes a pending recovery.
    ///
    /// The newest entries stay in the log for replicas that lag behind a little, and more of them for
    /// those that [`Replica::retain_for_replicas`] found.
    pub fn take_snapshot(&mut self, state: GroupState, out: &mut Outbox) {
        let mut snapshot = self.build_snapshot(state);
        if let Some((epoch, voters)) = self.pending_recovery.take() {
            snapshot.voters.clone_from(&voters);
            self.adopt_epoch(epoch, voters, out);
            self.base_voters.clone_from(&snapshot.voters);
            self.log.compact(snapshot.index);
        } else {
            let tail = self.log.index_before(self.log_tail_bytes);
            let needed = self.needed_after.max(self.log.index_before(self.max_log_bytes));
            let base_index = tail.min(needed).min(snapshot.index);
            self.base_voters = self.voters_at(base_index);
            self.log.compact(base_index);
        }
        self.snapshot_index = snapshot.index;
        self.applied_bytes = 0;
        if self.durable {
            out.records.push(Record::Snapshot { group: self.group, snapshot });
        }
    }

    /// Returns a snapshot of the applied state, with its index, term and voter set.
    #[must_use]
    pub fn build_snapshot(&self, state: GroupState) -> Snapshot {
        let index = self.applied_index;
        let term = self.log.term_at(index).unwrap_or(0);
        Snapshot { index, term, voters: self.voters_at(index), state }
    }

    fn voters_at(&self, index: u64) -> Vec<Voter> {
        for entry in self.log.newest_first() {
            if entry.index > index {
                continue;
            }
            let Command::Voters(voters) = &entry.command else { continue };
            return voters.clone();
        }
        self.base_voters.clone()
    }
}
