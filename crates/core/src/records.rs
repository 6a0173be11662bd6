//! The applied state of a zone group: trainers, samples, and non-idempotent requests.
//!
//! Every host of the zone applies the same commands in the same order, so all hold the same
//! records. Ids such as [`SampleId`] are assigned while a command is applied, so they agree too.

mod command;
mod intent;
mod sample;
mod trainer;
mod zone_records;

pub use command::{ZoneCommand, ZoneOutcome};
pub use intent::{Intent, IntentKey, IntentState, Outcome};
pub use sample::{Output, PromptGroup, Sample, SampleId, SampleState, Span};
pub use trainer::{Delivery, SampleCounts, Trainer, TrainerId};
pub use zone_records::ZoneRecords;
