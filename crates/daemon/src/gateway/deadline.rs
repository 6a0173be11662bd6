//! The time limit of an answer that is streamed to its caller.
//!
//! The body itself ends at its [`AnswerDeadline`] where it is read. It isn't read while the caller takes
//! nothing, so the caller's connection has a [`DeadlineWatch`] on it as well.

use std::sync::{Arc, Weak};
use std::time::Duration;

use chestnutdrift_core::gateway::UpstreamAddress;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// How much later than its body the connection of a caller that reads nothing is closed, so that one
/// which reads gets the end of the body first.
const UNREAD_GRACE: Duration = Duration::from_millis(250);

/// When an answer must have ended.
#[derive(Debug)]
pub(super) struct AnswerDeadline {
    at: Instant,
    timeout: Duration,
    upstream: Box<str>,
    request: Box<str>,
    /// Held as long as the answer goes on.
    alive: Arc<()>,
}

/// Watches an answer that is streamed on a caller's connection.
#[derive(Debug, Clone)]
pub(super) struct DeadlineWatch {
    close_at: Instant,
    answer: Weak<()>,
}

impl AnswerDeadline {
    /// Creates the deadline of a request that is sent to an upstream now.
    pub(super) fn new(
        timeout: Duration,
        upstream: &UpstreamAddress,
        request: Option<&str>,
    ) -> Self {
        Self {
            at: Instant::now() + timeout,
            timeout,
            upstream: upstream.id.clone(),
            request: request.unwrap_or_default().into(),
            alive: Arc::default(),
        }
    }

    /// Waits for a step of the answer until the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if the deadline passes first.
    pub(super) async fn limit<T>(&self, step: impl Future<Output = T>) -> Result<T, String> {
        timeout_at(self.at, step).await.map_err(|_| {
            let Self { timeout, upstream, request, .. } = self;
            let error = format!("the answer did not end within {timeout:?}");
            log::info!(
                event = "answer-timeout", request = &**request, upstream = &**upstream; "{error}"
            );
            error
        })
    }

    /// Returns a watch on the answer.
    pub(super) fn watch(&self) -> DeadlineWatch {
        DeadlineWatch { close_at: self.at + UNREAD_GRACE, answer: Arc::downgrade(&self.alive) }
    }
}

/// Waits until the answer that is being streamed on a connection has gone on past its deadline.
///
/// Other answers, `None` among them, end the wait for the ones before.
pub(super) async fn overrun(answers: &mut watch::Receiver<Option<DeadlineWatch>>) {
    loop {
        let answer = answers.borrow_and_update().clone();
        let Some(watched) = answer else {
            if answers.changed().await.is_err() {
                return std::future::pending().await;
            }
            continue;
        };
        tokio::select! {
            changed = answers.changed() => {
                if changed.is_err() {
                    return std::future::pending().await;
                }
            }
            () = tokio::time::sleep_until(watched.close_at) => {
                if watched.answer.strong_count() > 0 {
                    log::info!(event = "answer-unread"; "closing a caller's connection");
                    return;
                }
                if answers.changed().await.is_err() {
                    return std::future::pending().await;
                }
            }
        }
    }
}
