//! A cache of the texts of unfinished items, for later jobs with the same items.

use std::collections::{BTreeMap, VecDeque};

use crate::directory::{ItemSpec, ItemText, JobSpec};
use crate::gateway::board::Item;

/// Maximum number of cached texts: the open items of two jobs of 1,024 samples.
const MAX_TEXTS: usize = 2_048;

/// An item with its text.
#[derive(Debug, Clone)]
struct CachedText {
    spec: ItemSpec,
    text: ItemText,
}

/// Texts of items that ended before their results were listed, by item id.
///
/// At capacity the text that was added first is evicted.
#[derive(Debug, Clone, Default)]
pub struct TextCache {
    texts: BTreeMap<Box<str>, CachedText>,
    order: VecDeque<Box<str>>,
}

impl TextCache {
    /// Caches the text of an item in place of an earlier one; an empty text is ignored.
    pub fn insert(&mut self, spec: &ItemSpec, item: &Item) {
        if item.text.events == 0 {
            return;
        }
        let text = CachedText { spec: spec.clone(), text: item.text.clone() };
        if self.texts.insert(spec.id.clone(), text).is_none() {
            self.order.push_back(spec.id.clone());
        }
        if self.order.len() > MAX_TEXTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.texts.remove(&oldest);
        }
    }

    /// Returns the text of the same item, where the job is resumable and takes the weight versions
    /// that generated the text.
    #[must_use]
    pub fn get(&self, job: &JobSpec, spec: &ItemSpec) -> Option<&ItemText> {
        let cached = self.texts.get(&spec.id).filter(|cached| is_same_item(&cached.spec, spec))?;
        (job.resumable && job.accepts_versions(&cached.text.versions)).then_some(&cached.text)
    }
}

/// Returns whether two items send the same request, so that a text of one can serve the other.
#[must_use]
pub fn is_same_item(a: &ItemSpec, b: &ItemSpec) -> bool {
    a.id == b.id && a.path == b.path && a.body == b.body && a.headers == b.headers
}
