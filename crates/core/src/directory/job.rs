//! Batch jobs: requests that are accepted together and run later. Callers read the results by
//! position.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::directory::{ItemText, PartialText, RewardCall, TextPart};
use crate::time::Millis;

/// The approximate size of a result in a message in addition to its text, in bytes.
const RESULT_OVERHEAD: usize = 64;

/// One request of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ItemSpec {
    /// The id, unique within the job. It is the request id at the upstream.
    pub id: Box<str>,
    /// The path and query at the upstream.
    pub path: Box<str>,
    /// Headers for the upstream.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    pub body: Bytes,
    /// The prompt tokens and the maximum output tokens together, as an engine reserves them.
    pub tokens: u32,
    /// The prompt tokens, or zero if the caller did not state them.
    pub prompt_tokens: u32,
    /// The output tokens that the caller expects, or zero if it did not state them.
    pub expected_tokens: u32,
    /// The caller's name for the group of requests that the item belongs to, or empty if it gave
    /// none.
    pub group: Box<str>,
    /// The call that scores the text, or `None` if the text needs no score.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reward: Option<RewardCall>,
}

impl ItemSpec {
    /// Returns the approximate size of the item in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const OVERHEAD: usize = 128;
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        let reward = self.reward.as_ref().map_or(0, RewardCall::bytes);
        OVERHEAD + self.body.len() + headers.sum::<usize>() + reward
    }
}

/// A job as it was submitted, with the parameters of its route at that time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct JobSpec {
    /// The id of the job.
    pub id: Box<str>,
    /// The `Host` of the route.
    pub host: Box<str>,
    /// The path prefix of the route.
    pub prefix: Box<str>,
    /// The services that may run the items.
    pub services: Vec<Box<str>>,
    /// The model whose weights generate the texts, or `None` if the job names none.
    pub model: Option<Box<str>>,
    /// The oldest weight version that may generate a token.
    pub min_version: u64,
    /// Whether all tokens of an item must come from one version.
    pub single_version: bool,
    /// Whether an upstream can resume a text from an event that another upstream generated.
    pub resumable: bool,
    /// The number of failed runs after which an item is given up.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// How long after the job's acceptance its results are due.
    #[serde(rename = "due")]
    pub due_after: Millis,
    /// How long after the job's acceptance its unfinished items may be given up.
    #[serde(rename = "give_up")]
    pub give_up_after: Millis,
    /// The requests.
    pub items: Vec<ItemSpec>,
    /// The workspace that the job belongs to, or `None` if it belongs to none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Box<str>>,
}

impl JobSpec {
    /// Returns whether callers of a workspace, or of none, may read and end the job. A job without a
    /// workspace was accepted before there were workspaces, or on a public route.
    #[must_use]
    pub fn is_accessible_to(&self, workspace: Option<&str>) -> bool {
        self.workspace.is_none() || self.workspace.as_deref() == workspace
    }

    /// Returns the approximate size of the job's items in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.items.iter().map(ItemSpec::bytes).sum()
    }

    /// Returns whether a text meets the job's requirements on weight versions. `versions` are those
    /// that generated its events, ascending.
    #[must_use]
    pub fn accepts_versions(&self, versions: &[u64]) -> bool {
        let is_recent = versions.first().is_some_and(|oldest| *oldest >= self.min_version);
        is_recent && (!self.single_version || versions.len() == 1)
    }
}

/// How an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOutcome {
    /// The text is complete.
    Completed {
        /// The text: the data of all events, a line each.
        text: Arc<str>,
        /// The weight versions that generated its events, ascending.
        versions: Vec<u64>,
        /// The score from the item's reward call, or `None` if it has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        score: Option<Box<str>>,
    },
    /// The item was given up.
    Errored,
}

impl ItemOutcome {
    /// Returns the length of the text, in bytes.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Completed { text, .. } => text.len(),
            Self::Errored => 0,
        }
    }
}

/// The result of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ItemResult {
    /// The index of the item in the job.
    pub item: u32,
    /// How it ended.
    pub outcome: ItemOutcome,
}

/// A result that is proposed to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct NewResult {
    /// The number of events of its text that the log already holds. The result contains only the
    /// rest.
    #[serde(rename = "after")]
    pub event_offset: u32,
    /// The result.
    pub result: ItemResult,
}

impl NewResult {
    /// Creates a result that contains its whole text.
    #[must_use]
    pub fn with_whole_text(result: ItemResult) -> Self {
        Self { event_offset: 0, result }
    }
}

/// A job and the results that it has so far.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Job {
    /// The job as it was submitted.
    pub spec: Arc<JobSpec>,
    /// The wall-clock time of its acceptance.
    pub accepted_at: Millis,
    /// The wall-clock time at which a caller ended it, or `None` if no caller has.
    pub ended_at: Option<Millis>,
    /// The results, by position. A result is never moved or replaced.
    pub results: Vec<ItemResult>,
    #[serde(rename = "listed")]
    finished_items: BTreeSet<u32>,
    #[serde(default, rename = "drafts")]
    partial_texts: BTreeMap<u32, PartialText>,
}

impl Job {
    /// Creates a job without results.
    #[must_use]
    pub fn new(spec: Arc<JobSpec>, accepted_at: Millis) -> Self {
        Self {
            spec,
            accepted_at,
            ended_at: None,
            results: Vec::new(),
            finished_items: BTreeSet::new(),
            partial_texts: BTreeMap::new(),
        }
    }

    /// Appends a result, unless its item has one or its text does not continue the saved parts.
    pub fn append_result(&mut self, new: &NewResult) {
        let item = new.result.item;
        if !self.needs_result(item) {
            return;
        }
        let mut result = new.result.clone();
        if let (ItemOutcome::Completed { text, .. }, 1..) = (&mut result.outcome, new.event_offset)
        {
            let Some(partial) = self.partial_texts.get_mut(&item) else { return };
            partial.truncate(new.event_offset);
            if partial.events() != new.event_offset {
                return;
            }
            let mut whole = partial.text().text;
            whole.push_str(text);
            *text = whole.into();
        }
        self.partial_texts.remove(&item);
        self.finished_items.insert(item);
        self.results.push(result);
    }

    /// Saves a part of the text of an item that has no result yet.
    pub fn save_text_part(&mut self, part: &TextPart) {
        if self.needs_result(part.item) {
            self.partial_texts.entry(part.item).or_default().save(part);
        }
    }

    /// Returns the saved text of an item without a result, or `None` if no part is saved.
    #[must_use]
    pub fn partial_text(&self, item: u32) -> Option<ItemText> {
        self.partial_texts.get(&item).map(PartialText::text)
    }

    /// Returns the saved parts of the texts of items without a result; those of one text are in
    /// order.
    pub fn text_parts(&self) -> impl Iterator<Item = &TextPart> {
        self.partial_texts.values().flat_map(PartialText::parts)
    }

    /// Returns the indices of the items with a saved part of their text.
    pub fn items_with_partial_text(&self) -> impl Iterator<Item = u32> {
        self.partial_texts.keys().copied()
    }

    fn needs_result(&self, item: u32) -> bool {
        (item as usize) < self.spec.items.len() && !self.finished_items.contains(&item)
    }

    /// Returns whether an item has a result.
    #[must_use]
    pub fn has_result(&self, item: u32) -> bool {
        self.finished_items.contains(&item)
    }

    /// Returns the approximate size of the job in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let results =
            self.results.iter().map(|result| RESULT_OVERHEAD + result.outcome.text_bytes());
        let partial_texts = self.partial_texts.values().map(PartialText::bytes);
        self.spec.bytes() + results.sum::<usize>() + partial_texts.sum::<usize>()
    }

    /// Returns whether the job has not been ended and items still lack a result.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.ended_at.is_none() && self.finished_items.len() < self.spec.items.len()
    }

    /// Returns an item and its index by its id.
    #[must_use]
    pub fn item(&self, id: &str) -> Option<(u32, &ItemSpec)> {
        let index = self.spec.items.iter().position(|item| &*item.id == id)?;
        Some((u32::try_from(index).ok()?, &self.spec.items[index]))
    }
}
