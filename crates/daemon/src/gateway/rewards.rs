//! Reward calls: sends them to upstreams and reports the scores.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use chestnutdrift_core::AttemptKey;
use chestnutdrift_core::gateway::{Event, ForwardEnd, RewardRequest};
use http_body_util::BodyExt;
use tokio::sync::oneshot;

use super::forward::{Outcome, UpstreamCall, UpstreamResponse};
use super::input::{Input, InputSender};
use super::metrics;
use super::pool::Pool;
use super::protocol::Protocol;

/// How a call ended, and its score.
type RewardOutcome = (ForwardEnd, Option<Box<str>>);

/// The reward calls in progress on this host.
#[derive(Clone)]
pub struct RewardCalls {
    protocol: Arc<dyn Protocol>,
    pool: Pool,
    inputs: InputSender,
    running: Arc<Mutex<BTreeMap<AttemptKey, oneshot::Sender<()>>>>,
}

impl std::fmt::Debug for RewardCalls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let running = self.running.lock().map(|running| running.len()).unwrap_or_default();
        f.debug_struct("RewardCalls").field("running", &running).finish_non_exhaustive()
    }
}

impl RewardCalls {
    /// Creates an empty set of calls.
    #[must_use]
    pub fn new(protocol: Arc<dyn Protocol>, pool: Pool, inputs: InputSender) -> Self {
        Self { protocol, pool, inputs, running: Arc::default() }
    }

    /// Sends a call and reports its end to the control thread; a cancelled call reports nothing.
    pub async fn run(self, request: RewardRequest) {
        let attempt = request.attempt;
        let (cancel, cancelled) = oneshot::channel();
        {
            let Ok(mut running) = self.running.lock() else { return };
            running.insert(attempt, cancel);
        }
        metrics::observe_reward_call(&request);
        let deadline = Duration::from_millis(request.deadline.0);
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(deadline, self.call(&request)) => outcome,
            _ = cancelled => return,
        };
        if let Ok(mut running) = self.running.lock() {
            running.remove(&attempt);
        }
        let (end, score) = outcome.unwrap_or_else(|_| {
            (ForwardEnd::Broken { detail: format!("no answer within {deadline:?}").into() }, None)
        });
        metrics::count_reward_end(&request.service, &end, score.is_some());
        let event = Event::RewardEnded { attempt, end, score };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }

    /// Cancels a call by closing its connection.
    pub fn cancel(&self, attempt: AttemptKey) {
        let Ok(mut running) = self.running.lock() else { return };
        let Some(cancel) = running.remove(&attempt) else { return };
        // The receiver is gone where the call has just ended.
        let _ = cancel.send(());
    }

    async fn call(&self, request: &RewardRequest) -> RewardOutcome {
        let call = UpstreamCall {
            request: self.protocol.reward_request(request),
            request_id: Some(&request.call.id),
            upstream: &request.upstream,
            connect_timeout: Duration::from_millis(request.connect.0),
            timeout: Duration::from_millis(request.deadline.0),
            streamed: false,
        };
        match call.send(&*self.protocol, &self.pool, &self.inputs, &mut None).await {
            Outcome::Success(response) => self.scored(&response),
            Outcome::Streaming(response, rest) => {
                let mut rest = rest.into_body(Bytes::new());
                while let Some(frame) = rest.frame().await {
                    if let Err(error) = frame {
                        return (ForwardEnd::Broken { detail: error.to_string().into() }, None);
                    }
                }
                self.scored(&response)
            }
            Outcome::Failure(response) => {
                (ForwardEnd::Held { status: response.status.as_u16() }, None)
            }
            Outcome::NoResponse(end) => (end, None),
        }
    }

    fn scored(&self, response: &UpstreamResponse) -> RewardOutcome {
        let status = response.status.as_u16();
        if !response.status.is_success() {
            return (ForwardEnd::Held { status }, None);
        }
        let score = self.protocol.signature(&response.headers).map(Into::into);
        (ForwardEnd::Delivered { status }, score)
    }
}
