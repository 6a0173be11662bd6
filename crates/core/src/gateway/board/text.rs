//! A cache of the texts of unfinished items, for later jobs with the same items.

use std::collections::{BTreeMap, VecDeque};

use crate::directory::{ItemSpec, ItemText, JobSpec};
use crate::gateway::board::Item;

/// Maximum number of cached texts: the open items of two jobs of 1,024 samples.
const MAX_TEXTS: usize = 2_048;

/// Maximum size of the cached texts on a host without a memory limit, in bytes.
const DEFAULT_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// An item whose job was dropped while a run of it had not ended.
#[derive(Debug, Clone)]
pub struct Orphan {
    /// The item as it was submitted.
    pub spec: ItemSpec,
    /// The workspace of its job, or `None` if that has none.
    pub workspace: Option<Box<str>>,
    /// The item.
    pub item: Item,
}

/// An item with its text.
#[derive(Debug, Clone)]
struct CachedText {
    spec: ItemSpec,
    workspace: Option<Box<str>>,
    text: ItemText,
    /// Whether the text is complete; its score was missing when the item was stopped.
    is_whole: bool,
}

/// A text of the cache.
#[derive(Debug, Clone, Copy)]
pub struct ReusableText<'a> {
    /// The text.
    pub text: &'a ItemText,
    /// Whether it is complete.
    pub is_whole: bool,
}

/// Texts of items that were stopped before they had a result, by item id.
///
/// At capacity, in texts or in bytes, the texts that were added first are evicted.
#[derive(Debug, Clone)]
pub struct TextCache {
    texts: BTreeMap<Box<str>, CachedText>,
    insertion_order: VecDeque<Box<str>>,
    max_bytes: u64,
    bytes: u64,
}

impl CachedText {
    /// Returns the approximate size of the item and its text, in bytes.
    fn bytes(&self) -> u64 {
        u64::try_from(self.spec.bytes() + self.text.text.len()).unwrap_or(u64::MAX)
    }
}

impl TextCache {
    /// Creates an empty cache of at most `max_bytes` bytes; `None` stands for 64 MiB.
    #[must_use]
    pub fn new(max_bytes: Option<u64>) -> Self {
        Self {
            texts: BTreeMap::new(),
            insertion_order: VecDeque::new(),
            max_bytes: max_bytes.unwrap_or(DEFAULT_MAX_BYTES),
            bytes: 0,
        }
    }

    /// Returns the approximate size of the cached items and their texts, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Caches the text of an item in place of an earlier one; an empty text is ignored.
    pub fn insert(&mut self, workspace: Option<&str>, spec: &ItemSpec, item: &Item) {
        if item.text.events == 0 {
            return;
        }
        let (text, is_whole) = (item.text.clone(), item.whole_at.is_some());
        let workspace = workspace.map(Box::from);
        let text = CachedText { spec: spec.clone(), workspace, text, is_whole };
        self.bytes += text.bytes();
        match self.texts.insert(spec.id.clone(), text) {
            Some(earlier) => self.bytes -= earlier.bytes(),
            None => self.insertion_order.push_back(spec.id.clone()),
        }
        while self.insertion_order.len() > MAX_TEXTS || self.bytes > self.max_bytes {
            let Some(oldest) = self.insertion_order.pop_front() else { break };
            self.bytes -= self.texts.remove(&oldest).map_or(0, |text| text.bytes());
        }
    }

    /// Returns the text of the same item of a job of the same workspace, if the job is resumable and
    /// accepts the weight versions that generated the text.
    #[must_use]
    pub fn get(&self, job: &JobSpec, spec: &ItemSpec) -> Option<ReusableText<'_>> {
        let is_same = |cached: &&CachedText| {
            cached.workspace == job.workspace && is_same_item(&cached.spec, spec)
        };
        let cached = self.texts.get(&spec.id).filter(is_same)?;
        let usable = job.resumable && job.accepts_versions(&cached.text.versions);
        usable.then_some(ReusableText { text: &cached.text, is_whole: cached.is_whole })
    }
}

/// Returns whether two items send the same request, so that a text of one is valid for the other.
///
/// Their reward calls may differ: a score is valid only for the call that it came from.
#[must_use]
pub fn is_same_item(a: &ItemSpec, b: &ItemSpec) -> bool {
    a.id == b.id && a.path == b.path && a.body == b.body && a.headers == b.headers
}
