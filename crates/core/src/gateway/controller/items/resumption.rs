//! The texts of items that broke off: where they go on, and when they begin anew.

use crate::directory::JobSpec;
use crate::gateway::action::Action;
use crate::gateway::board::{Board, Item, ItemState, Purpose, Upstream};
use crate::key::{ItemKey, UpstreamKey};
use crate::time::Millis;
use crate::timeline::EventKind;

/// The time between two events of an engine where it is unknown, in microseconds.
const DEFAULT_EVENT_INTERVAL_US: u64 = 40_000;

/// Returns whether an engine can continue the text of an item: its software has the version that began
/// the text, and its weights too if the job wants all tokens from one version.
pub(super) fn can_resume(item: &Item, spec: &JobSpec, upstream: &Upstream) -> bool {
    if item.text.events == 0 {
        return true;
    }
    if item.text.software != upstream.announced.software {
        return false;
    }
    let Some(model) = spec.model.as_ref().filter(|_| spec.single_version) else { return true };
    item.text.versions == [upstream.version_of(model)]
}

/// Returns whether an item does better to begin its text anew than to wait for an engine that can
/// continue it.
///
/// That is so if all such engines have left, or if the item has waited for one for as long as writing the
/// text again takes: an engine that crashed, or loads weights, may be back before.
pub(super) fn is_text_hopeless(board: &Board, key: ItemKey) -> bool {
    let item = &board.items[key];
    let (ItemState::Waiting(since), Some(job)) = (item.state, board.jobs.get(item.job)) else {
        return false;
    };
    if item.text.events == 0 {
        return false;
    }
    let mut is_continuable = false;
    let mut interval_us = 0;
    for upstream in board.upstreams.values() {
        let serves = job.spec.services.contains(&upstream.announced.service);
        if !serves || !upstream.accepts_requests() {
            continue;
        }
        is_continuable |= can_resume(item, &job.spec, upstream);
        let known = upstream.health.event_interval_us;
        if known > 0 && (interval_us == 0 || known < interval_us) {
            interval_us = known;
        }
    }
    if interval_us == 0 {
        interval_us = DEFAULT_EVENT_INTERVAL_US;
    }
    let rewrite = Millis(u64::from(item.text.events) * interval_us / 1_000);
    !is_continuable || board.now.mono.since(since) >= rewrite
}

/// Drops the text of an item, which begins anew.
pub(super) fn drop_text(board: &mut Board, key: ItemKey) {
    let item = &mut board.items[key];
    let Some(job) = board.jobs.get(item.job) else { return };
    let detail = format!(
        "item={} text_dropped events={} software={} versions={:?}",
        item.index, item.text.events, item.text.software, item.text.versions
    );
    let subject = job.spec.id.clone();
    item.discard_text();
    board.counters.texts_dropped += 1;
    board.note(EventKind::Item, subject, detail);
}

/// Drops the texts of the runs at an upstream that has started again with another software version: a
/// run may have reached the new process before its first announcement did.
pub(super) fn void_runs(board: &mut Board, upstream: UpstreamKey) {
    let mut void = Vec::new();
    for attempt in board.attempts.values().filter(|attempt| attempt.upstream == upstream) {
        let Purpose::Item(key) = attempt.purpose else { continue };
        if board.items.contains_key(key) {
            void.push(key);
        }
    }
    for key in void {
        drop_text(board, key);
        let item = &mut board.items[key];
        item.is_run_void = true;
        if let ItemState::Running(attempt) = item.state {
            item.state = ItemState::Stopping(attempt);
            board.actions.push(Action::Cancel { attempt });
        }
    }
    board.orphans.retain(|attempt, _| {
        board.attempts.get(*attempt).is_none_or(|attempt| attempt.upstream != upstream)
    });
}
