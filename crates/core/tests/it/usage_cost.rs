//! What usage costs on the wire.

use std::cell::Cell;
use std::rc::Rc;

use chestnutdrift_core::HostId;
use test_case::test_case;

use crate::deployment::Deployment;
use crate::deployment::messages::encoded_bytes;
use crate::usage::{is_usage, reporting};

/// The time that is measured, in milliseconds.
const MEASURED_MS: u64 = 10_000;

/// Guards against messages that grow with the number of hosts; prints the bytes a second of each entry,
/// of the leader's replies to it, and of the questions among stores.
#[test_case(100; "100 entries")]
#[test_case(249; "249 entries")]
fn the_bytes_of_an_entry_do_not_depend_on_the_number_of_entries(entries: u32) {
    let mut deployment: Deployment = reporting(30);
    for id in 3..=entries {
        deployment.add_usage_entry(HostId(200 + id));
    }
    deployment.run_with_requests(5_000);
    let bytes = Rc::new(Cell::new((0, 0)));
    let counted = Rc::clone(&bytes);
    deployment.on_send = Some(Box::new(move |from, envelope| {
        if !is_usage(envelope) {
            return;
        }
        let (entries, stores) = counted.get();
        let size = encoded_bytes(envelope);
        let is_entry = from.0 > 200;
        counted.set(if is_entry { (entries + size, stores) } else { (entries, stores + size) });
    }));
    deployment.run_with_requests(MEASURED_MS);
    let per_second = |bytes: u64| bytes * 1_000 / MEASURED_MS / u64::from(entries);
    let (entry, stores) = bytes.get();
    println!(
        "{entries} entries: {} B/s sent and {} B/s received each",
        per_second(entry),
        per_second(stores)
    );
    assert!(per_second(entry) < 1_500, "{} B/s", per_second(entry));
    assert!(per_second(stores) < 600, "{} B/s", per_second(stores));
}
