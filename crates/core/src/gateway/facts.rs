//! Facts: what a store host keeps on its disk beside the replicated log.
//!
//! A fact needs no agreement between hosts, as it can only become more true: an instance that has
//! left never comes back. Each store host writes down what it learns, and tells what it has written
//! down once it restarts. Another kind of fact is another variant of [`Fact`]; an earlier version
//! leaves out the ones that it doesn't know.

use serde::{Deserialize, Serialize};

use super::board::StreamRecord;
use super::message::UpstreamRecord;
use crate::time::Millis;

/// The approximate size of a fact, in bytes.
const FACT_BYTES: usize = 320;

/// A fact that outlasts all processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// An instance of an upstream exists, or it leaves, or it has left.
    Upstream {
        /// The wall time at which that became known.
        at: Millis,
        /// The upstream.
        record: UpstreamRecord,
    },
    /// A stream of a caller has begun, or was sent to another upstream before its first event.
    Stream {
        /// The wall time at which that became known.
        at: Millis,
        /// The stream.
        record: StreamRecord,
    },
}

/// Facts to be written to the disk together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FactBatch {
    /// The facts; a later one replaces an earlier one on the same subject.
    pub facts: Vec<Fact>,
    /// Whether they replace all facts that were written before.
    pub replaces: bool,
}

impl FactBatch {
    /// Returns whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty() && !self.replaces
    }

    /// Returns the approximate size of the facts, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.facts.len() * FACT_BYTES
    }

    /// Adds a batch that is to be written after this one.
    pub fn append(&mut self, mut later: Self) {
        if later.replaces {
            *self = later;
            return;
        }
        self.facts.append(&mut later.facts);
    }
}
