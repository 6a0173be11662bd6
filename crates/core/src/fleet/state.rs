//! The applied state of the fleet group.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fleet::{Change, ChangeOutcome, Edit, Exception, FleetSettings};

/// The number of changes whose outcomes are kept for resends: half a day at the expected 8,400
/// changes a day.
const MAX_RETAINED_CHANGES: usize = 4_096;

/// The settings, and the outcomes of the latest changes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetState {
    /// The settings in force.
    pub settings: FleetSettings,
    #[serde(rename = "answers")]
    outcomes: BTreeMap<Box<str>, ChangeOutcome>,
    #[serde(rename = "order")]
    insertion_order: VecDeque<Box<str>>,
}

impl FleetState {
    /// Applies a change, or returns its earlier outcome.
    ///
    /// A change whose outcome is no longer kept can't be applied twice: the settings are past its
    /// base version, so it results in a conflict.
    pub fn apply(&mut self, change: &Change) -> ChangeOutcome {
        if let Some(outcome) = self.outcomes.get(&change.id) {
            return outcome.clone();
        }
        let outcome = self.decide(change);
        self.store_outcome(change.id.clone(), outcome.clone());
        outcome
    }

    /// Returns the outcome of a change, or `None` if it was not applied or is no longer kept.
    #[must_use]
    pub fn outcome(&self, id: &str) -> Option<&ChangeOutcome> {
        self.outcomes.get(id)
    }

    fn decide(&mut self, change: &Change) -> ChangeOutcome {
        let version = self.settings.version;
        if change.base_version != version {
            let conflicting_change = self.change_after(change.base_version);
            return ChangeOutcome::Conflict { version, conflicting_change };
        }
        for edit in &change.edits {
            self.settings.apply_edit(edit);
        }
        self.settings.version = version + 1;
        ChangeOutcome::Accepted { version: version + 1 }
    }

    fn change_after(&self, base: u64) -> Box<str> {
        for (id, outcome) in &self.outcomes {
            if *outcome != (ChangeOutcome::Accepted { version: base + 1 }) {
                continue;
            }
            return id.clone();
        }
        "not remembered".into()
    }

    fn store_outcome(&mut self, id: Box<str>, outcome: ChangeOutcome) {
        self.outcomes.insert(id.clone(), outcome);
        self.insertion_order.push_back(id);
        if self.insertion_order.len() <= MAX_RETAINED_CHANGES {
            return;
        }
        let Some(oldest) = self.insertion_order.pop_front() else { return };
        self.outcomes.remove(&oldest);
    }
}

impl FleetSettings {
    fn apply_edit(&mut self, edit: &Edit) {
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
