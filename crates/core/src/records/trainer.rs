//! Trainers: what they handed in, what waits for them, and what they were delivered.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::records::SampleId;

/// The number of a trainer within its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TrainerId(pub u32);

/// A sample under the cursor at which it was delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Delivery {
    /// The cursor of this delivery; each is used once.
    pub cursor: u64,
    /// The sample.
    pub sample: SampleId,
}

/// Counts of a trainer's samples, by how each ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SampleCounts {
    /// Handed in.
    pub submitted: u64,
    /// Delivered and acknowledged.
    pub acknowledged: u64,
    /// Sent back to be generated anew because they had become stale.
    pub stale: u64,
    /// Delivered as failed.
    pub failed: u64,
}

/// The record of a trainer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Trainer {
    /// Its name.
    pub name: Box<str>,
    /// The service whose engines generate its samples.
    pub service: Box<str>,
    /// The newest version that it published.
    pub version: u64,
    /// The groups handed in, by step and name, with a checksum of each.
    pub groups: BTreeMap<(u64, Box<str>), u64>,
    /// Samples that are generated and wait.
    pub ready: VecDeque<SampleId>,
    /// Samples delivered and not yet acknowledged.
    pub delivered: VecDeque<Delivery>,
    /// The cursor of the next delivery.
    pub next_cursor: u64,
    /// Counts.
    pub counts: SampleCounts,
}

impl Trainer {
    /// Makes the record of a trainer that has handed in nothing.
    #[must_use]
    pub fn new(name: impl Into<Box<str>>, service: impl Into<Box<str>>) -> Self {
        Self {
            name: name.into(),
            service: service.into(),
            version: 0,
            groups: BTreeMap::new(),
            ready: VecDeque::new(),
            delivered: VecDeque::new(),
            next_cursor: 0,
            counts: SampleCounts::default(),
        }
    }

    /// Returns whether a fetch from `cursor` would find anything.
    #[must_use]
    pub fn has_samples_from(&self, cursor: u64) -> bool {
        !self.ready.is_empty() || self.delivered.iter().any(|delivery| delivery.cursor >= cursor)
    }

    /// Returns up to `max` deliveries from `cursor` on.
    pub fn deliveries_from(&self, cursor: u64, max: u32) -> impl Iterator<Item = Delivery> + '_ {
        let delivered = self.delivered.iter().copied();
        delivered.filter(move |delivery| delivery.cursor >= cursor).take(max as usize)
    }
}
