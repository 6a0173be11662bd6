//! Texts of items: stretches of events, and what the log holds of a text that is not whole yet.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A stretch of the events of an item's text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ItemText {
    /// The data of the events, a line each.
    pub text: String,
    /// The number of events.
    pub events: u32,
    /// The id of the last event, where there is one.
    pub last_event: Option<u64>,
    /// The weight versions that generated the events, ascending.
    pub versions: Vec<u64>,
}

impl ItemText {
    /// Adds one event.
    pub fn push_event(&mut self, id: u64, data: &str, version: Option<u64>) {
        if self.events > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        self.events += 1;
        self.last_event = Some(id);
        self.add_versions(version);
    }

    /// Adds the events that follow.
    pub fn append(&mut self, next: &Self) {
        if next.events == 0 {
            return;
        }
        if self.events > 0 {
            self.text.push('\n');
        }
        self.text.push_str(&next.text);
        self.events += next.events;
        self.last_event = next.last_event.or(self.last_event);
        self.add_versions(next.versions.iter().copied());
    }

    fn add_versions(&mut self, versions: impl IntoIterator<Item = u64>) {
        for version in versions {
            if let Err(at) = self.versions.binary_search(&version) {
                self.versions.insert(at, version);
            }
        }
    }
}

/// A part of an item's text on its way to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TextPart {
    /// The index of the item in the job.
    pub item: u32,
    /// The events of the text that come before the part.
    #[serde(rename = "after")]
    pub event_offset: u32,
    /// The events of the part, shared by the log, the journal's index and the draft.
    pub text: Arc<ItemText>,
}

/// What the log holds of an item's text before the item is listed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartialText {
    parts: Vec<TextPart>,
}

impl PartialText {
    /// Takes in a part.
    ///
    /// It replaces what an earlier run brought from there on; one that leaves a gap is dropped.
    pub fn take(&mut self, part: &TextPart) {
        self.cut(part.event_offset);
        if self.events() == part.event_offset {
            self.parts.push(part.clone());
        }
    }

    /// Drops the parts that come after a number of events.
    pub fn cut(&mut self, events: u32) {
        self.parts.retain(|part| part.event_offset < events);
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
