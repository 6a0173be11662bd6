//! The applied state of the fleet group.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fleet::{Change, ChangeOutcome, Edit, Exception, FleetSettings};

/// How many changes are remembered for resends; at the aim's 8,400 a day this is half a day.
const REMEMBERED_CHANGES: usize = 4_096;

/// The settings, and the answers given to the latest changes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetState {
    /// The settings in force.
    pub settings: FleetSettings,
    answers: BTreeMap<Box<str>, ChangeOutcome>,
    order: VecDeque<Box<str>>,
}

impl FleetState {
    /// Applies a change, or finds the answer that it got before.
    ///
    /// A change whose answer is no longer remembered can't be applied twice: its base version has
    /// been passed, so it is answered with a conflict.
    pub fn apply(&mut self, change: &Change) -> ChangeOutcome {
        if let Some(answer) = self.answers.get(&change.id) {
            return answer.clone();
        }
        let answer = self.decide(change);
        self.remember(change.id.clone(), answer.clone());
        answer
    }

    /// Returns the answer that a change got, where it is remembered.
    #[must_use]
    pub fn outcome(&self, id: &str) -> Option<&ChangeOutcome> {
        self.answers.get(id)
    }

    fn decide(&mut self, change: &Change) -> ChangeOutcome {
        let version = self.settings.version;
        if change.base_version != version {
            let winner = self.winner_after(change.base_version);
            return ChangeOutcome::Conflict { version, conflicting_change: winner };
        }
        for edit in &change.edits {
            self.settings.edit(edit);
        }
        self.settings.version = version + 1;
        ChangeOutcome::Accepted { version: version + 1 }
    }

    fn winner_after(&self, base: u64) -> Box<str> {
        for (id, answer) in &self.answers {
            if *answer != (ChangeOutcome::Accepted { version: base + 1 }) {
                continue;
            }
            return id.clone();
        }
        "not remembered".into()
    }

    fn remember(&mut self, id: Box<str>, answer: ChangeOutcome) {
        self.answers.insert(id.clone(), answer);
        self.order.push_back(id);
        if self.order.len() <= REMEMBERED_CHANGES {
            return;
        }
        let Some(oldest) = self.order.pop_front() else { return };
        self.answers.remove(&oldest);
    }
}

impl FleetSettings {
    fn edit(&mut self, edit: &Edit) {
        match edit {
            Edit::Default { key, value: Some(value) } => {
                self.defaults.insert(*key, *value);
            }
            Edit::Default { key, value: None } => {
                self.defaults.remove(key);
            }
            Edit::Exception { scope, key, value, reason } => {
                self.exceptions.retain(|old| old.scope != *scope || old.key != *key);
                let Some(value) = *value else { return };
                let (scope, key, reason) = (scope.clone(), *key, reason.clone());
                self.exceptions.push(Exception { scope, key, value, reason });
            }
        }
    }
}
