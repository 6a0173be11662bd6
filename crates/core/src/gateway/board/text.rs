//! Texts of items that were begun and not listed, kept for a later job that asks for them again.

use std::collections::{BTreeMap, VecDeque};

use crate::directory::{ItemSpec, ItemText, JobSpec};
use crate::gateway::board::Item;

/// Texts kept at most: the items that two jobs of 1,024 samples leave open.
const MOST_TEXTS: usize = 2_048;

/// What is kept of an item.
#[derive(Debug, Clone)]
struct Text {
    spec: ItemSpec,
    text: ItemText,
}

/// The kept texts, by the names of their items.
#[derive(Debug, Clone, Default)]
pub struct TextCache {
    texts: BTreeMap<Box<str>, Text>,
    order: VecDeque<Box<str>>,
}

impl TextCache {
    /// Keeps what an item has, in place of what was kept of it before.
    pub fn insert(&mut self, spec: &ItemSpec, item: &Item) {
        if item.text.events == 0 {
            return;
        }
        let text = Text { spec: spec.clone(), text: item.text.clone() };
        if self.texts.insert(spec.id.clone(), text).is_none() {
            self.order.push_back(spec.id.clone());
        }
        if self.order.len() > MOST_TEXTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.texts.remove(&oldest);
        }
    }

    /// Returns what is kept of an item, where the job takes the weights that generated it.
    #[must_use]
    pub fn get(&self, job: &JobSpec, spec: &ItemSpec) -> Option<&ItemText> {
        let kept = self.texts.get(&spec.id).filter(|kept| is_same_item(&kept.spec, spec))?;
        (job.resumable && job.accepts_versions(&kept.text.versions)).then_some(&kept.text)
    }
}

/// Tells whether two items ask for the same text.
#[must_use]
pub fn is_same_item(a: &ItemSpec, b: &ItemSpec) -> bool {
    a.id == b.id && a.path == b.path && a.body == b.body && a.headers == b.headers
}
