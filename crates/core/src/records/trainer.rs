//! Trainers: their submitted groups, ready samples and deliveries.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::records::SampleId;

/// The id of a trainer, unique within its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TrainerId(pub u32);

/// The delivery of a sample at a cursor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Delivery {
    /// The cursor of this delivery. Each cursor is used once.
    pub cursor: u64,
    /// The sample.
    pub sample: SampleId,
}

/// The number of samples of a trainer, by how each ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SampleCounts {
    /// Samples that were submitted.
    pub submitted: u64,
    /// Samples that were delivered and acknowledged, including failed ones.
    pub acknowledged: u64,
    /// How often a sample was queued to be generated again because it had become stale.
    pub stale: u64,
    /// Samples that were delivered as failed and acknowledged.
    pub failed: u64,
}

/// The record of a trainer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Trainer {
    /// The name.
    pub name: Box<str>,
    /// The service whose engines generate its samples.
    pub service: Box<str>,
    /// The newest version that the trainer published; zero if it has published none.
    pub version: u64,
    /// The checksums of the submitted groups, by step and name.
    pub groups: BTreeMap<(u64, Box<str>), u64>,
    /// Samples that ended and wait for delivery.
    pub ready: VecDeque<SampleId>,
    /// Samples that were delivered and are not yet acknowledged.
    pub delivered: VecDeque<Delivery>,
    /// The cursor of the next delivery.
    pub next_cursor: u64,
    /// The numbers of samples by how they ended.
    pub counts: SampleCounts,
}

impl Trainer {
    /// Creates the record of a trainer that has submitted nothing.
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

    /// Returns whether a fetch from `cursor` would return any samples.
    #[must_use]
    pub fn has_samples_from(&self, cursor: u64) -> bool {
        !self.ready.is_empty() || self.delivered.iter().any(|delivery| delivery.cursor >= cursor)
    }

    /// Returns up to `max` deliveries, starting at `cursor`.
    pub fn deliveries_from(&self, cursor: u64, max: u32) -> impl Iterator<Item = Delivery> + '_ {
        let delivered = self.delivered.iter().copied();
        delivered.filter(move |delivery| delivery.cursor >= cursor).take(max as usize)
    }
}
