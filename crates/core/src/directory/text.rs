//! Texts of items: sequences of events, and the parts of incomplete texts that the log holds.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A sequence of consecutive events of an item's text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ItemText {
    /// The data of the events, one line for each.
    pub text: String,
    /// The number of events.
    pub events: u32,
    /// The id of the last event, or `None` if there is none.
    pub last_event: Option<u64>,
    /// The weight versions that generated the events, ascending.
    pub versions: Vec<u64>,
    /// The version of the software that wrote the events; empty if unknown, as in a log of an earlier
    /// version. The text goes on only at an upstream of the same version.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub software: Box<str>,
}

impl ItemText {
    /// Appends one event.
    pub fn push_event(&mut self, id: u64, data: &str, version: Option<u64>) {
        if self.events > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.events += 1;
        self.last_event = Some(id);
        self.add_versions(version);
    }

    /// Appends the events of `next`, which must directly follow the last event.
    pub fn append(&mut self, next: &Self) {
        if next.events == 0 {
            return;
        }
        if self.events > 0 {
            self.text.push('\n');
        } else {
            self.software.clone_from(&next.software);
        }
        self.text.push_str(&next.text);
        self.events += next.events;
        self.last_event = next.last_event.or(self.last_event);
        self.add_versions(next.versions.iter().copied());
    }

    fn add_versions(&mut self, versions: impl IntoIterator<Item = u64>) {
        for version in versions {
            if let Err(index) = self.versions.binary_search(&version) {
                self.versions.insert(index, version);
            }
        }
    }
}

/// A part of an item's text that is saved in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TextPart {
    /// The index of the item in the job.
    pub item: u32,
    /// The number of events of the text that precede the part.
    #[serde(rename = "after")]
    pub event_offset: u32,
    /// The events of the part, shared by the log, the journal's index and the [`PartialText`].
    pub text: Arc<ItemText>,
}

/// The parts of an item's text that the log holds until the item has a result.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartialText {
    parts: Vec<TextPart>,
}

impl PartialText {
    /// Saves a part.
    ///
    /// It replaces the parts of an earlier run from its offset on. A part that would leave a gap is
    /// dropped.
    pub fn save(&mut self, part: &TextPart) {
        self.truncate(part.event_offset);
        if self.events() == part.event_offset {
            self.parts.push(part.clone());
        }
    }

    /// Drops the parts whose offset is `events` or more.
    pub fn truncate(&mut self, events: u32) {
        self.parts.retain(|part| part.event_offset < events);
    }

    /// Returns the parts, in order.
    #[must_use]
    pub fn parts(&self) -> &[TextPart] {
        &self.parts
    }

    /// Returns the size of the texts of the parts, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.parts.iter().map(|part| part.text.text.len()).sum()
    }

    /// Returns the number of events.
    #[must_use]
    pub fn events(&self) -> u32 {
        self.parts.last().map_or(0, |part| part.event_offset + part.text.events)
    }

    /// Returns the whole text.
    #[must_use]
    pub fn text(&self) -> ItemText {
        let mut text = ItemText::default();
        for part in &self.parts {
            text.append(&part.text);
        }
        text
    }
}
