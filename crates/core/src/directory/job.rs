//! Batch jobs: many requests that are accepted at once, run later, and read by position.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::directory::{ItemText, PartialText, TextPart};
use crate::time::Millis;

/// One request of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ItemSpec {
    /// The name, unique within the job; the request's id at the upstream.
    pub id: Box<str>,
    /// The path and query at the upstream.
    pub path: Box<str>,
    /// Headers for the upstream.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    pub body: Bytes,
    /// Prompt tokens and the most output tokens together, as an engine reserves them.
    pub tokens: u32,
    /// Prompt tokens, or zero where the caller did not say.
    pub prompt_tokens: u32,
    /// The output tokens that the caller expects, or zero where it did not say.
    pub expected_tokens: u32,
    /// The group that the item belongs to.
    pub group: Box<str>,
}

impl ItemSpec {
    /// Returns about how many bytes the item takes in a message.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const OVERHEAD: usize = 128;
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        OVERHEAD + self.body.len() + headers.sum::<usize>()
    }
}

/// A job as it was submitted, with what its route said then.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct JobSpec {
    /// The job's name.
    pub id: Box<str>,
    /// The `Host` of the route.
    pub host: Box<str>,
    /// The path prefix of the route.
    pub prefix: Box<str>,
    /// The services that may run the items.
    pub services: Vec<Box<str>>,
    /// The model whose weights generate the text, where the job names one.
    pub model: Option<Box<str>>,
    /// The oldest weight version that may generate a token.
    pub min_version: u64,
    /// Whether all tokens of an item come from one version.
    pub single_version: bool,
    /// Whether an upstream can go on from an event of another one's text.
    pub resumable: bool,
    /// How many failed runs an item may have before it is given up.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// How long after its acceptance the results are due.
    #[serde(rename = "due")]
    pub due_after: Millis,
    /// How long after its acceptance items may be given up.
    #[serde(rename = "give_up")]
    pub give_up_after: Millis,
    /// The requests.
    pub items: Vec<ItemSpec>,
}

impl JobSpec {
    /// Tells whether a text whose events these versions generated, ascending, can be a result.
    #[must_use]
    pub fn accepts_versions(&self, versions: &[u64]) -> bool {
        let fresh = versions.first().is_some_and(|oldest| *oldest >= self.min_version);
        fresh && (!self.single_version || versions.len() == 1)
    }
}

/// How an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOutcome {
    /// The whole text is there.
    Completed {
        /// The text: the data of all events, a line each.
        text: Arc<str>,
        /// Every weight version that generated an event of it, ascending.
        versions: Vec<u64>,
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

/// One listed result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ItemResult {
    /// The index of the item in the job.
    pub item: u32,
    /// How it ended.
    pub outcome: ItemOutcome,
}

/// A result on its way to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct NewResult {
    /// The events of its text that the log holds already; the result brings only the rest.
    #[serde(rename = "after")]
    pub event_offset: u32,
    /// The result.
    pub result: ItemResult,
}

impl NewResult {
    /// Makes a result that brings its whole text.
    #[must_use]
    pub fn with_whole_text(result: ItemResult) -> Self {
        Self { event_offset: 0, result }
    }
}

/// A job with what is listed of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Job {
    /// The job as it was submitted.
    pub spec: Arc<JobSpec>,
    /// Wall time of its acceptance.
    pub accepted_at: Millis,
    /// Wall time of its end, where a caller has ended it.
    pub ended_at: Option<Millis>,
    /// The results, by position; none is moved or replaced.
    pub results: Vec<ItemResult>,
    listed: BTreeSet<u32>,
    #[serde(default)]
    drafts: BTreeMap<u32, PartialText>,
}

impl Job {
    /// Accepts a job.
    #[must_use]
    pub fn new(spec: Arc<JobSpec>, accepted_at: Millis) -> Self {
        Self {
            spec,
            accepted_at,
            ended_at: None,
            results: Vec::new(),
            listed: BTreeSet::new(),
            drafts: BTreeMap::new(),
        }
    }

    /// Lists a result at the next position, unless its item is listed already.
    pub fn append_result(&mut self, new: &NewResult) {
        let item = new.result.item;
        if !self.awaits(item) {
            return;
        }
        let mut result = new.result.clone();
        if let (ItemOutcome::Completed { text, .. }, 1..) = (&mut result.outcome, new.event_offset)
        {
            let Some(draft) = self.drafts.get_mut(&item) else { return };
            draft.cut(new.event_offset);
            if draft.events() != new.event_offset {
                return;
            }
            let mut whole = draft.text().text;
            whole.push_str(text);
            *text = whole.into();
        }
        self.drafts.remove(&item);
        self.listed.insert(item);
        self.results.push(result);
    }

    /// Keeps a part of the text of an item that is not listed.
    pub fn save_text_part(&mut self, part: &TextPart) {
        if self.awaits(part.item) {
            self.drafts.entry(part.item).or_default().take(part);
        }
    }

    /// Returns what is kept of an item's text, where anything is.
    #[must_use]
    pub fn partial_text(&self, item: u32) -> Option<ItemText> {
        self.drafts.get(&item).map(PartialText::text)
    }

    /// Returns the items of whose texts a part is kept.
    pub fn items_with_partial_text(&self) -> impl Iterator<Item = u32> {
        self.drafts.keys().copied()
    }

    fn awaits(&self, item: u32) -> bool {
        (item as usize) < self.spec.items.len() && !self.listed.contains(&item)
    }

    /// Tells whether an item has a result.
    #[must_use]
    pub fn has_result(&self, item: u32) -> bool {
        self.listed.contains(&item)
    }

    /// Tells whether items are still to be run.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.ended_at.is_none() && self.listed.len() < self.spec.items.len()
    }

    /// Returns an item by its name.
    #[must_use]
    pub fn item(&self, id: &str) -> Option<(u32, &ItemSpec)> {
        let at = self.spec.items.iter().position(|item| &*item.id == id)?;
        Some((u32::try_from(at).ok()?, &self.spec.items[at]))
    }
}
