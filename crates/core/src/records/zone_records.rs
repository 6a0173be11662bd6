//! The records of a zone, and how each command changes them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::checksum::checksum;
use crate::error::{ErrorKind, Problem};
use crate::records::{
    Delivery, Intent, IntentKey, IntentState, Outcome, Output, PromptGroup, Sample, SampleId,
    SampleState, Trainer, TrainerId, ZoneCommand, ZoneOutcome,
};

/// How many ended non-idempotent requests are remembered for resends.
const REMEMBERED_INTENTS: usize = 100_000;

/// How many steps back a trainer's groups are remembered for resends.
const REMEMBERED_STEPS: u64 = 64;

/// The most samples of one group.
const SAMPLES_PER_GROUP: u32 = 4_096;

/// The records of a zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneRecords {
    trainers: Vec<Trainer>,
    names: BTreeMap<Box<str>, TrainerId>,
    samples: BTreeMap<SampleId, Sample>,
    pending: BTreeSet<SampleId>,
    next_sample: u64,
    intents: BTreeMap<IntentKey, Intent>,
    ended: VecDeque<IntentKey>,
    wanted: BTreeMap<Box<str>, u64>,
}

impl ZoneRecords {
    /// Applies one command.
    pub fn apply(&mut self, command: &ZoneCommand) -> ZoneOutcome {
        match command {
            ZoneCommand::Submit { trainer, service, step, groups } => {
                self.submit(trainer, service, *step, groups)
            }
            ZoneCommand::Finish { sample, output } => self.finish(*sample, output),
            ZoneCommand::Fail { sample, reason } => self.fail(*sample, reason),
            ZoneCommand::Deliver { trainer, cursor, max, staleness } => {
                self.deliver(*trainer, *cursor, *max, *staleness)
            }
            ZoneCommand::Publish { trainer, service, version } => {
                self.publish(trainer, service, *version)
            }
            ZoneCommand::RecordIntent { key, fingerprint, owner, owner_boot_id } => {
                let state = IntentState::Intended;
                let (fingerprint, owner, owner_boot_id) = (*fingerprint, *owner, *owner_boot_id);
                self.intend(key, Intent { fingerprint, owner, owner_boot_id, state })
            }
            ZoneCommand::RecordOutcome { key, outcome } => self.conclude(key, outcome),
        }
    }

    /// Returns the trainers, in the order in which they were first seen.
    pub fn trainers(&self) -> impl Iterator<Item = (TrainerId, &Trainer)> {
        self.trainers.iter().enumerate().map(|(at, trainer)| (trainer_id(at), trainer))
    }

    /// Looks a trainer up by name.
    #[must_use]
    pub fn find_trainer(&self, name: &str) -> Option<TrainerId> {
        self.names.get(name).copied()
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

    /// Returns the samples that are to be generated, oldest first.
    pub fn pending(&self) -> impl Iterator<Item = SampleId> + '_ {
        self.pending.iter().copied()
    }

    /// Returns the number of samples that are to be generated.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Tells whether a sample is to be generated.
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
        &self.wanted
    }

    fn trainer_mut(&mut self, id: TrainerId) -> Option<&mut Trainer> {
        self.trainers.get_mut(id.0 as usize)
    }

    fn ensure_trainer(&mut self, name: &str, service: &str) -> TrainerId {
        if let Some(id) = self.names.get(name) {
            return *id;
        }
        let id = trainer_id(self.trainers.len());
        self.trainers.push(Trainer::new(name, service));
        self.names.insert(name.into(), id);
        id
    }

    fn submit(
        &mut self,
        name: &str,
        service: &str,
        step: u64,
        groups: &[PromptGroup],
    ) -> ZoneOutcome {
        let id = self.ensure_trainer(name, service);
        if let Some(problem) = self.refuse_groups(id, service, step, groups) {
            return ZoneOutcome::Refused(problem);
        }
        let mut added = 0;
        for group in groups {
            added += self.add_group(id, step, group);
        }
        let Some(trainer) = self.trainer_mut(id) else { return ZoneOutcome::NoReply };
        trainer.counts.submitted += u64::from(added);
        trainer.groups.retain(|(old, _), _| old + REMEMBERED_STEPS >= step);
        ZoneOutcome::Submitted(added)
    }

    fn refuse_groups(
        &self,
        id: TrainerId,
        service: &str,
        step: u64,
        groups: &[PromptGroup],
    ) -> Option<Problem> {
        let trainer = self.trainer(id)?;
        let bad = |detail: String| Some(Problem::not_run(ErrorKind::BadRequest, detail));
        if &*trainer.service != service {
            return bad(format!("trainer {} uses service {}", trainer.name, trainer.service));
        }
        let newest = trainer.groups.keys().next_back().map_or(0, |(step, _)| *step);
        if step + REMEMBERED_STEPS < newest {
            return bad(format!("step {step} is too far behind step {newest}"));
        }
        for group in groups {
            if group.sample_count == 0 || group.sample_count > SAMPLES_PER_GROUP {
                return bad(format!(
                    "group {} asks for {} samples",
                    group.name, group.sample_count
                ));
            }
            let known = trainer.groups.get(&(step, group.name.clone()));
            if known.is_some_and(|sum| *sum != group_sum(group)) {
                return bad(format!("group {} of step {step} was another before", group.name));
            }
        }
        None
    }

    fn add_group(&mut self, trainer: TrainerId, step: u64, group: &PromptGroup) -> u32 {
        let Some(record) = self.trainer_mut(trainer) else { return 0 };
        let key = (step, group.name.clone());
        if record.groups.insert(key, group_sum(group)).is_some() {
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

    fn finish(&mut self, id: SampleId, output: &Arc<Output>) -> ZoneOutcome {
        if output.oldest_version().is_none() {
            return ZoneOutcome::NoReply;
        }
        self.end_sample(id, SampleState::Ready(Arc::clone(output)))
    }

    fn fail(&mut self, id: SampleId, reason: &str) -> ZoneOutcome {
        self.end_sample(id, SampleState::Failed(reason.into()))
    }

    /// Ends a pending sample; a second end, from another attempt, changes nothing.
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

    fn deliver(&mut self, id: TrainerId, cursor: u64, max: u32, staleness: u64) -> ZoneOutcome {
        let next = self.trainer(id).map_or(0, |trainer| trainer.next_cursor);
        if cursor > next {
            let detail = format!("cursor {cursor} was never given out; the next one is {next}");
            return ZoneOutcome::Refused(Problem::not_run(ErrorKind::BadRequest, detail));
        }
        self.acknowledge(id, cursor);
        let mut stale = self.withdraw_stale(id, staleness);
        let Some(trainer) = self.trainer(id) else { return ZoneOutcome::NoReply };
        let mut room = (max as usize).saturating_sub(trainer.delivered.len());
        while room > 0 {
            let Some(trainer) = self.trainer_mut(id) else { break };
            let Some(sample) = trainer.ready.pop_front() else { break };
            if self.is_stale(id, sample, staleness) {
                self.generate_again(id, sample);
                stale += 1;
                continue;
            }
            let Some(trainer) = self.trainer_mut(id) else { break };
            let cursor = trainer.next_cursor;
            trainer.next_cursor += 1;
            trainer.delivered.push_back(Delivery { cursor, sample });
            room -= 1;
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

    /// Takes back deliveries that the trainer does not hold yet and that have become stale.
    fn withdraw_stale(&mut self, id: TrainerId, staleness: u64) -> u32 {
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
            self.generate_again(id, *sample);
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

    fn generate_again(&mut self, id: TrainerId, sample: SampleId) {
        if let Some(trainer) = self.trainer_mut(id) {
            trainer.counts.stale += 1;
        }
        let Some(record) = self.samples.get_mut(&sample) else { return };
        record.state = SampleState::Pending;
        record.regenerations += 1;
        self.pending.insert(sample);
    }

    fn publish(&mut self, name: &str, service: &str, version: u64) -> ZoneOutcome {
        let id = self.ensure_trainer(name, service);
        if let Some(trainer) = self.trainer_mut(id) {
            trainer.version = trainer.version.max(version);
        }
        let wanted = self.wanted.entry(service.into()).or_default();
        *wanted = version.max(*wanted);
        ZoneOutcome::Published(*wanted)
    }

    fn intend(&mut self, key: &IntentKey, intent: Intent) -> ZoneOutcome {
        if self.intents.contains_key(key) {
            return ZoneOutcome::AlreadyRecorded(key.clone());
        }
        self.intents.insert(key.clone(), intent);
        ZoneOutcome::IntentRecorded(key.clone())
    }

    fn conclude(&mut self, key: &IntentKey, outcome: &Outcome) -> ZoneOutcome {
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
        let first = intent.state == IntentState::Intended;
        intent.state = IntentState::Ended(outcome.clone());
        if first {
            self.remember_ended(key.clone());
        }
        ZoneOutcome::OutcomeRecorded(key.clone())
    }

    fn remember_ended(&mut self, key: IntentKey) {
        self.ended.push_back(key);
        if self.ended.len() <= REMEMBERED_INTENTS {
            return;
        }
        let Some(oldest) = self.ended.pop_front() else { return };
        self.intents.remove(&oldest);
    }
}

fn trainer_id(at: usize) -> TrainerId {
    TrainerId(u32::try_from(at).unwrap_or(u32::MAX))
}

/// Sums a group up so that a resend can be told from another group of the same name.
fn group_sum(group: &PromptGroup) -> u64 {
    let numbers = format!("{} {}", group.sample_count, group.max_tokens);
    checksum(&[&group.prompt, &numbers])
}
