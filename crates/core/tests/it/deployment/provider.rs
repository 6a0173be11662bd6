//! The infrastructure provider of a simulated deployment, which receives usage reports.

use std::collections::{BTreeMap, BTreeSet};

use chestnutdrift_core::directory::UsageCounts;
use chestnutdrift_core::gateway::{
    Event, ProviderCall, ProviderCallEnd, ProviderRequest, ProviderSettings, UsageReport,
};
use chestnutdrift_core::{HostId, Millis};

use super::{Deployment, START_WALL_MS, Scheduled};

/// The time from the decision of a host to the bytes leaving it, and from there to the provider.
const CALL_TIME_MS: u64 = 2;

/// The time within which the holder must not change back, in milliseconds.
const LEASE_MS: u64 = 3_000;

/// The length of a usage window, in milliseconds.
pub(crate) const WINDOW_MS: u64 = 5_000;

/// A provider and the calls that it got.
#[derive(Debug, Default)]
pub(crate) struct SimProvider {
    /// Whether calls are lost on their way.
    pub(crate) is_silent: bool,
    /// The time to an answer, in milliseconds.
    pub(crate) answer_ms: u64,
    /// The received calls with their time.
    pub(crate) calls: Vec<(u64, ProviderCall)>,
    /// The calls of suspended hosts that have not left yet.
    pub(super) held: Vec<(HostId, u64, ProviderCall)>,
}

/// Returns the settings of a provider with usage windows.
pub(crate) fn settings() -> ProviderSettings {
    ProviderSettings {
        calls_per_second: 50,
        usage_window: Some(Millis(WINDOW_MS)),
        usage_due: Millis(10_000),
        scaling: false,
    }
}

impl Deployment {
    /// Returns the number of the usage window at a time of the simulation.
    pub(crate) fn window_at(time: u64) -> u64 {
        (START_WALL_MS + time) / WINDOW_MS
    }

    /// Sends a call as the daemon does: the lease is checked when the bytes leave.
    pub(super) fn call_provider(&mut self, host: HostId, boot_id: u64, call: ProviderCall) {
        let node = &self.nodes[&host];
        if node.gateway.is_none() || node.boot_id != boot_id {
            return;
        }
        if node.is_frozen {
            self.provider.held.push((host, boot_id, call));
            return;
        }
        let (now, key) = (self.now, call.call);
        let is_valid = Millis(now - node.started_at) < call.valid_until;
        let (delay, end) = if !is_valid {
            (1, ProviderCallEnd::Expired)
        } else if self.provider.is_silent || self.provider_links_cut.contains(&host) {
            (call.timeout.0, ProviderCallEnd::Unknown { detail: "no answer".into() })
        } else {
            let answer_ms = self.provider.answer_ms;
            self.provider.calls.push((now, call.clone()));
            match answer_ms < call.timeout.0 {
                true => (answer_ms, ProviderCallEnd::Accepted),
                false => (call.timeout.0, ProviderCallEnd::Unknown { detail: "slow".into() }),
            }
        };
        let event = Event::ProviderCallEnded { call: key, end };
        self.schedule(now + delay, Scheduled::Event(host, boot_id, event));
    }

    /// Schedules a call that a host has decided to send.
    pub(super) fn begin_call(&mut self, host: HostId, boot_id: u64, call: ProviderCall) {
        self.schedule(self.now + CALL_TIME_MS, Scheduled::Provider(host, boot_id, call));
    }

    /// Lets the calls that a host held while it was suspended leave.
    pub(super) fn release_calls(&mut self, id: HostId) {
        for (host, boot_id, call) in std::mem::take(&mut self.provider.held) {
            if host == id {
                self.call_provider(host, boot_id, call);
            } else {
                self.provider.held.push((host, boot_id, call));
            }
        }
    }

    /// Returns the reported counts by window, after a check of everything that the provider got: the
    /// fencing tokens never fall, no token has two holders, the holder does not change back within the
    /// lease, the rate is kept, and no window has two different counts.
    pub(crate) fn checked_reports(&self) -> BTreeMap<u64, UsageCounts> {
        let mut reports: BTreeMap<u64, UsageCounts> = BTreeMap::new();
        let mut holders: BTreeMap<u64, Box<str>> = BTreeMap::new();
        let calls = &self.provider.calls;
        for (at, (time, call)) in calls.iter().enumerate() {
            let holder = holders.entry(call.fence).or_insert_with(|| call.holder.clone());
            assert_eq!(*holder, call.holder, "two holders have token {}", call.fence);
            let earlier = &calls[..at];
            assert!(earlier.iter().all(|(_, e)| e.fence <= call.fence), "the token has fallen");
            let recent: Vec<_> = earlier.iter().filter(|(t, _)| t + LEASE_MS > *time).collect();
            let other = recent.iter().rposition(|(_, e)| e.holder != call.holder);
            let is_back =
                other.is_some_and(|o| recent[..o].iter().any(|e| e.1.holder == call.holder));
            assert!(!is_back, "the holder changed back at {time}");
            let second = earlier.iter().filter(|(t, _)| t + 1_000 > *time).count();
            assert!(second < 50, "{second} calls within a second");
            let ProviderRequest::ReportUsage(UsageReport { window, counts }) = &call.request else {
                continue;
            };
            let first = reports.entry(*window).or_insert_with(|| counts.clone());
            assert_eq!(first, counts, "window {window} was reported with other counts");
        }
        reports
    }

    /// Returns when each window was first reported, in milliseconds after its end; negative if before.
    pub(crate) fn report_delays(&self) -> BTreeMap<u64, i64> {
        let mut delays = BTreeMap::new();
        for (time, call) in &self.provider.calls {
            let ProviderRequest::ReportUsage(report) = &call.request else { continue };
            let end = (report.window + 1) * WINDOW_MS;
            delays
                .entry(report.window)
                .or_insert((START_WALL_MS + time).cast_signed() - end.cast_signed());
        }
        delays
    }

    /// Returns the hosts that have sent calls, by their names.
    pub(crate) fn call_holders(&self) -> BTreeSet<Box<str>> {
        self.provider.calls.iter().map(|(_, call)| call.holder.clone()).collect()
    }
}
