//! The cache of the texts of unfinished items.

use chestnutdrift_core::Millis;
use chestnutdrift_core::gateway::board::{Item, TextCache};
use chestnutdrift_core::key::JobKey;

use crate::deployment::job;

const MAX_BYTES: u64 = 100_000;

const TEXT_BYTES: usize = 9_000;

/// Guards against a cache whose texts, however long, were bounded in number only.
#[test]
fn the_cached_texts_take_a_bounded_number_of_bytes() {
    let mut cache = TextCache::new(Some(MAX_BYTES));
    let body = job("job", 50, 1);
    for spec in body.items.iter().chain(&body.items) {
        let mut item = Item::new(JobKey::default(), 0, Millis(0));
        item.text.push_event(1, &"a".repeat(TEXT_BYTES), Some(1));
        cache.insert(None, spec, &item);
        assert!(cache.bytes() <= MAX_BYTES, "{} bytes", cache.bytes());
    }
    assert!(cache.bytes() >= MAX_BYTES - 2 * TEXT_BYTES as u64, "{} bytes", cache.bytes());
}
