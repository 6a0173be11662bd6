//! The records of a zone, and the effect of each command on them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::checksum::checksum;
use crate::error::{ErrorKind, Problem};
use crate::records::{
    Delivery, Intent, IntentKey, IntentState, Outcome, Output, PromptGroup, Sample, SampleId,
    SampleState, Trainer, TrainerId, ZoneCommand, ZoneOutcome,
};

/// The number of ended non-idempotent requests that are kept, so that a resend gets the recorded
/// outcome.
const MAX_ENDED_INTENTS: usize = 100_000;

/// The number of steps for which a trainer's groups are kept, so that a resend adds no samples.
const RESEND_WINDOW_STEPS: u64 = 64;

/// The maximum number of samples in one group.
const MAX_SAMPLES_PER_GROUP: u32 = 4_096;

/// The records of a zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneRecords {
    trainers: Vec<Trainer>,
    #[serde(rename = "names")]
    trainer_ids: BTreeMap<Box<str>, TrainerId>,
    samples: BTreeMap<SampleId, Sample>,
    pending: BTreeSet<SampleId>,
    next_sample: u64,
    intents: BTreeMap<IntentKey, Intent>,
    #[serde(rename = "ended")]
    ended_intents: VecDeque<IntentKey>,
    #[serde(rename = "wanted")]
    target_versions: BTreeMap<Box<str>, u64>,
}

impl ZoneRecords {
    /// Applies a command.
    pub fn apply(&mut self, command: &ZoneCommand) -> ZoneOutcome {
        match command {
            ZoneCommand::Submit { trainer, service, step, groups } => {
                self.submit_groups(trainer, service, *step, groups)
            }
            ZoneCommand::Finish { sample, output } => self.complete_sample(*sample, output),
            ZoneCommand::Fail { sample, reason } => self.fail_sample(*sample, reason),
            ZoneCommand::Deliver { trainer, cursor, max, staleness } => {
                self.deliver_samples(*trainer, *cursor, *max, *staleness)
            }
            ZoneCommand::Publish { trainer, service, version } => {
                self.publish_version(trainer, service, *version)
            }
            ZoneCommand::RecordIntent { key, fingerprint, owner, owner_boot_id } => {
                let state = IntentState::Intended;
                let (fingerprint, owner, owner_boot_id) = (*fingerprint, *owner, *owner_boot_id);
                self.record_intent(key, Intent { fingerprint, owner, owner_boot_id, state })
            }
            ZoneCommand::RecordOutcome { key, outcome } => self.record_outcome(key, outcome),
        }
    }

    /// Returns the trainers, in the order of their first command.
    pub fn trainers(&self) -> impl Iterator<Item = (TrainerId, &Trainer)> {
        self.trainers.iter().enumerate().map(|(index, trainer)| (trainer_id(index), trainer))
    }

    /// Returns the id of a trainer by its name.
    #[must_use]
    pub fn find_trainer(&self, name: &str) -> Option<TrainerId> {
        self.trainer_ids.get(name).copied()
    }

    /// Returns the record of a trainer.
    #[must_use]
    pub fn trainer(&self, id: TrainerId) -> Option<&Trainer> {
        self.trainers.get(id.0 as usize)
    }

    /// Returns the record of a sample that has not been acknowledged.
    #[must_use]
    pub fn sample(&self, id: SampleId) -> Option<&Sample> {
        self.samples.get(&id)
    }

    /// Returns the samples that are waiting to be generated, in the order of their ids.
    pub fn pending(&self) -> impl Iterator<Item = SampleId> + '_ {
        self.pending.iter().copied()
    }

    /// Returns the number of samples that are waiting to be generated.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether a sample is waiting to be generated.
    #[must_use]
    pub fn is_pending(&self, id: SampleId) -> bool {
        self.pending.contains(&id)
    }

    /// Returns the record of a non-idempotent request.
    #[must_use]
    pub fn intent(&self, key: &IntentKey) -> Option<&Intent> {
        self.intents.get(key)
    }

    /// Returns all records of non-idempotent requests.
    pub fn intents(&self) -> impl Iterator<Item = (&IntentKey, &Intent)> {
        self.intents.iter()
    }

    /// Returns the version that the engines of each service are to run.
    #[must_use]
    pub fn target_versions(&self) -> &BTreeMap<Box<str>, u64> {
        &self.target_versions
    }

    fn trainer_mut(&mut self, id: TrainerId) -> Option<&mut Trainer> {
        self.trainers.get_mut(id.0 as usize)
    }

    fn ensure_trainer(&mut self, name: &str, service: &str) -> TrainerId {
        if let Some(id) = self.trainer_ids.get(name) {
            return *id;
        }
        let id = trainer_id(self.trainers.len());
        self.trainers.push(Trainer::new(name, service));
        self.trainer_ids.insert(name.into(), id);
        id
    }

    fn submit_groups(
        &mut self,
        name: &str,
        service: &str,
        step: u64,
        groups: &[PromptGroup],
    ) -> ZoneOutcome {
        let id = self.ensure_trainer(name, service);
        if let Some(problem) = self.check_groups(id, service, step, groups) {
            return ZoneOutcome::Refused(problem);
        }
        let mut added = 0;
        for group in groups {
            added += self.add_group(id, step, group);
        }
        let Some(trainer) = self.trainer_mut(id) else { return ZoneOutcome::NoReply };
        trainer.counts.submitted += u64::from(added);
        trainer.groups.retain(|(old, _), _| old + RESEND_WINDOW_STEPS >= step);
        ZoneOutcome::Submitted(added)
    }

    fn check_groups(
        &self,
        id: TrainerId,
        service: &str,
        step: u64,
        groups: &[PromptGroup],
    ) -> Option<Problem> {
        let trainer = self.trainer(id)?;
        let bad_request = |detail: String| Some(Problem::not_run(ErrorKind::BadRequest, detail));
        if &*trainer.service != service {
            return bad_request(format!(
                "trainer {} uses service {}",
                trainer.name, trainer.service
            ));
        }
        let newest = trainer.groups.keys().next_back().map_or(0, |(step, _)| *step);
        if step + RESEND_WINDOW_STEPS < newest {
            return bad_request(format!("step {step} is too far behind step {newest}"));
        }
        for group in groups {
            if group.sample_count == 0 || group.sample_count > MAX_SAMPLES_PER_GROUP {
                return bad_request(format!(
                    "group {} requests {} samples; 1 to {MAX_SAMPLES_PER_GROUP} are allowed",
                    group.name, group.sample_count
                ));
            }
            let known = trainer.groups.get(&(step, group.name.clone()));
            if known.is_some_and(|checksum| *checksum != group_checksum(group)) {
                return bad_request(format!(
                    "group {} of step {step} was already submitted with other content",
                    group.name
                ));
            }
        }
        None
    }

    fn add_group(&mut self, trainer: TrainerId, step: u64, group: &PromptGroup) -> u32 {
        let Some(record) = self.trainer_mut(trainer) else { return 0 };
        let key = (step, group.name.clone());
        if record.groups.insert(key, group_checksum(group)).is_some() {
            return 0;
        }
        for index in 0..group.sample_count {
            let id = SampleId(self.next_sample);
            self.next_sample += 1;
            let sample = Sample {
                trainer,
                step,
                group: group.name.clone(),
                index,
                prompt: Arc::clone(&group.prompt),
                max_tokens: group.max_tokens,
                regenerations: 0,
                state: SampleState::Pending,
            };
            self.samples.insert(id, sample);
            self.pending.insert(id);
        }
        group.sample_count
    }

    fn complete_sample(&mut self, id: SampleId, output: &Arc<Output>) -> ZoneOutcome {
        if output.oldest_version().is_none() {
            return ZoneOutcome::NoReply;
        }
        self.end_sample(id, SampleState::Ready(Arc::clone(output)))
    }

    fn fail_sample(&mut self, id: SampleId, reason: &str) -> ZoneOutcome {
        self.end_sample(id, SampleState::Failed(reason.into()))
    }

    /// Ends a pending sample. The result of a second attempt for the same sample changes nothing.
    fn end_sample(&mut self, id: SampleId, state: SampleState) -> ZoneOutcome {
        if !self.pending.remove(&id) {
            return ZoneOutcome::NoReply;
        }
        let Some(sample) = self.samples.get_mut(&id) else { return ZoneOutcome::NoReply };
        sample.state = state;
        let trainer = sample.trainer;
        if let Some(trainer) = self.trainer_mut(trainer) {
            trainer.ready.push_back(id);
        }
        ZoneOutcome::NoReply
    }

    fn deliver_samples(
        &mut self,
        id: TrainerId,
        cursor: u64,
        max: u32,
        staleness: u64,
    ) -> ZoneOutcome {
        let next = self.trainer(id).map_or(0, |trainer| trainer.next_cursor);
        if cursor > next {
            let detail = format!("cursor {cursor} was never issued; the next cursor is {next}");
            return ZoneOutcome::Refused(Problem::not_run(ErrorKind::BadRequest, detail));
        }
        self.acknowledge(id, cursor);
        let mut stale = self.requeue_stale(id, staleness);
        let Some(trainer) = self.trainer(id) else { return ZoneOutcome::NoReply };
        let mut capacity = (max as usize).saturating_sub(trainer.delivered.len());
        while capacity > 0 {
            let Some(trainer) = self.trainer_mut(id) else { break };
            let Some(sample) = trainer.ready.pop_front() else { break };
            if self.is_stale(id, sample, staleness) {
                self.requeue_sample(id, sample);
                stale += 1;
                continue;
            }
            let Some(trainer) = self.trainer_mut(id) else { break };
            let cursor = trainer.next_cursor;
            trainer.next_cursor += 1;
            trainer.delivered.push_back(Delivery { cursor, sample });
            capacity -= 1;
        }
        ZoneOutcome::Delivered { trainer: id, stale }
    }

    fn acknowledge(&mut self, id: TrainerId, cursor: u64) {
        let Some(trainer) = self.trainers.get_mut(id.0 as usize) else { return };
        while let Some(delivery) = trainer.delivered.front().copied() {
            if delivery.cursor >= cursor {
                break;
            }
            trainer.delivered.pop_front();
            trainer.counts.acknowledged += 1;
            let sample = self.samples.remove(&delivery.sample);
            if sample.is_some_and(|sample| matches!(sample.state, SampleState::Failed(_))) {
                trainer.counts.failed += 1;
            }
        }
    }

    /// Requeues unacknowledged deliveries that have become stale, and returns their number.
    fn requeue_stale(&mut self, id: TrainerId, staleness: u64) -> u32 {
        let Some(trainer) = self.trainer(id) else { return 0 };
        let mut kept = VecDeque::new();
        let mut stale = Vec::new();
        for delivery in &trainer.delivered {
            if self.is_stale(id, delivery.sample, staleness) {
                stale.push(delivery.sample);
                continue;
            }
            kept.push_back(*delivery);
        }
        for sample in &stale {
            self.requeue_sample(id, *sample);
        }
        if let Some(trainer) = self.trainer_mut(id) {
            trainer.delivered = kept;
        }
        u32::try_from(stale.len()).unwrap_or(u32::MAX)
    }

    fn is_stale(&self, id: TrainerId, sample: SampleId, staleness: u64) -> bool {
        let Some(trainer) = self.trainer(id) else { return false };
        let Some(sample) = self.samples.get(&sample) else { return false };
        let SampleState::Ready(output) = &sample.state else { return false };
        let Some(oldest) = output.oldest_version() else { return true };
        trainer.version.saturating_sub(oldest) > staleness
    }

    fn requeue_sample(&mut self, id: TrainerId, sample: SampleId) {
        if let Some(trainer) = self.trainer_mut(id) {
            trainer.counts.stale += 1;
        }
        let Some(record) = self.samples.get_mut(&sample) else { return };
        record.state = SampleState::Pending;
        record.regenerations += 1;
        self.pending.insert(sample);
    }

    fn publish_version(&mut self, name: &str, service: &str, version: u64) -> ZoneOutcome {
        let id = self.ensure_trainer(name, service);
        if let Some(trainer) = self.trainer_mut(id) {
            trainer.version = trainer.version.max(version);
        }
        let target = self.target_versions.entry(service.into()).or_default();
        *target = version.max(*target);
        ZoneOutcome::Published(*target)
    }

    fn record_intent(&mut self, key: &IntentKey, intent: Intent) -> ZoneOutcome {
        if self.intents.contains_key(key) {
            return ZoneOutcome::AlreadyRecorded(key.clone());
        }
        self.intents.insert(key.clone(), intent);
        ZoneOutcome::IntentRecorded(key.clone())
    }

    fn record_outcome(&mut self, key: &IntentKey, outcome: &Outcome) -> ZoneOutcome {
        let Some(intent) = self.intents.get_mut(key) else { return ZoneOutcome::NoReply };
        if matches!(intent.state, IntentState::Ended(Outcome::Answered { .. })) {
            return ZoneOutcome::OutcomeRecorded(key.clone());
        }
        if matches!((&intent.state, outcome), (IntentState::Ended(_), Outcome::NotRun)) {
            return ZoneOutcome::OutcomeRecorded(key.clone());
        }
        if *outcome == Outcome::NotRun {
            self.intents.remove(key);
            return ZoneOutcome::OutcomeRecorded(key.clone());
        }
        let is_first_outcome = intent.state == IntentState::Intended;
        intent.state = IntentState::Ended(outcome.clone());
        if is_first_outcome {
            self.retain_ended(key.clone());
        }
        ZoneOutcome::OutcomeRecorded(key.clone())
    }

    fn retain_ended(&mut self, key: IntentKey) {
        self.ended_intents.push_back(key);
        if self.ended_intents.len() <= MAX_ENDED_INTENTS {
            return;
        }
        let Some(oldest) = self.ended_intents.pop_front() else { return };
        self.intents.remove(&oldest);
    }
}

fn trainer_id(index: usize) -> TrainerId {
    TrainerId(u32::try_from(index).unwrap_or(u32::MAX))
}

/// Returns a checksum that distinguishes a resend from another group of the same name.
fn group_checksum(group: &PromptGroup) -> u64 {
    let numbers = format!("{} {}", group.sample_count, group.max_tokens);
    checksum(&[&group.prompt, &numbers])
}
