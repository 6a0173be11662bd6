//! Reports on attempts whose end is known only after their request has ended.

use std::time::Duration;

use chestnutdrift_core::Fingerprint;
use chestnutdrift_core::gateway::{Event, Forward, LateEnd, UpstreamAddress};
use tokio::runtime::Handle;

use super::input::{Input, InputSender};
use super::pool::Pool;

/// The time from the drop of an attempt to the check of its upstream, which may end a moment later
/// under the request.
const DROPPED_CHECK_DELAY: Duration = Duration::from_millis(500);

/// The report on an attempt. If it is dropped without a word, as the caller has left or another
/// attempt has taken its place, it checks later whether the upstream has ended.
#[derive(Debug)]
pub(super) struct LateEndReport {
    /// What is to be checked; `None` once the end is reported.
    check: Option<UpstreamCheck>,
}

/// An upstream to check after an attempt.
#[derive(Debug)]
struct UpstreamCheck {
    pool: Pool,
    inputs: InputSender,
    upstream: UpstreamAddress,
    fingerprint: Fingerprint,
    connect_timeout: Duration,
}

impl LateEndReport {
    /// Creates the report on an attempt to forward a request.
    pub(super) fn new(pool: &Pool, inputs: &InputSender, forward: &Forward) -> Self {
        let check = UpstreamCheck {
            pool: pool.clone(),
            inputs: inputs.clone(),
            upstream: forward.upstream.clone(),
            fingerprint: forward.fingerprint,
            connect_timeout: Duration::from_millis(forward.connect.0),
        };
        Self { check: Some(check) }
    }

    /// Reports nothing, because the attempt has an outcome.
    pub(super) fn close(mut self) {
        self.check = None;
    }

    /// Reports that the answer is complete.
    pub(super) fn complete(mut self) {
        if let Some(check) = self.check.take() {
            check.send(LateEnd::Complete);
        }
    }

    /// Checks in the background whether the upstream has ended, and reports it if so.
    pub(super) fn check_upstream(mut self) {
        if let Some(check) = self.check.take() {
            tokio::spawn(check.run());
        }
    }
}

impl Drop for LateEndReport {
    fn drop(&mut self) {
        let Some(check) = self.check.take() else { return };
        // The runtime has ended where the host stops.
        let Ok(runtime) = Handle::try_current() else { return };
        runtime.spawn(async {
            tokio::time::sleep(DROPPED_CHECK_DELAY).await;
            check.run().await;
        });
    }
}

impl UpstreamCheck {
    /// Reports that the upstream has ended if its address refuses connections.
    async fn run(self) {
        if self.pool.is_refused(&self.upstream, self.connect_timeout).await {
            self.send(LateEnd::UpstreamEnded);
        }
    }

    fn send(&self, end: LateEnd) {
        let (upstream, fingerprint) = (self.upstream.key, self.fingerprint);
        let event = Event::LateEnd { upstream, fingerprint, end };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }
}
