//! Answers that are delivered to the caller while they still arrive.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio::sync::OwnedSemaphorePermit;

use super::deadline::{AnswerDeadline, DeadlineWatch};
use super::events::EventBoundary;
use super::late_end::LateEndReport;
use super::pool::Connection;
use crate::http::ResponseBody;

/// The rest of a response body, which is streamed to the caller.
#[derive(Debug)]
pub struct StreamedBody {
    body: Incoming,
    /// The connection, which must stay open as long as the body is read.
    connection: Connection,
    deadline: AnswerDeadline,
    events: Option<EventBoundary>,
    /// The report; `None` once it is sent.
    report: Option<LateEndReport>,
    permit: Option<OwnedSemaphorePermit>,
}

impl StreamedBody {
    /// Creates the rest of an answer, which must end before its deadline.
    pub(super) fn new(body: Incoming, connection: Connection, deadline: AnswerDeadline) -> Self {
        Self { body, connection, deadline, events: None, report: None, permit: None }
    }

    /// Sets the report on the attempt; the default is none.
    #[must_use]
    pub(super) fn report(mut self, report: Option<LateEndReport>) -> Self {
        self.report = report;
        self
    }

    /// Sets the position in the events of the body; the default is that it is no event stream.
    #[must_use]
    pub(super) fn events(mut self, events: Option<EventBoundary>) -> Self {
        self.events = events;
        self
    }

    /// Sets a permit that is kept until the end of the body; the default is none.
    #[must_use]
    pub fn permit(mut self, permit: Option<OwnedSemaphorePermit>) -> Self {
        self.permit = permit;
        self
    }

    /// Returns what tells whether the body is still there at its deadline.
    #[must_use]
    pub(super) fn watch(&self) -> DeadlineWatch {
        self.deadline.watch()
    }

    /// Streams `held` and then the rest of the body. An error of the upstream's body aborts the
    /// caller's, and so do its deadline and the end of an event stream within an event, whatever its
    /// framing says.
    #[must_use]
    pub fn into_body(self, held: Bytes) -> ResponseBody {
        let first = (!held.is_empty()).then_some(held);
        let frames = stream::unfold((first, Some(self)), |(first, rest)| async {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (None, rest)));
            }
            let (frame, rest) = rest?.read().await?;
            Some((frame, (None, rest)))
        });
        StreamBody::new(Box::pin(frames)).boxed_unsync()
    }

    /// Reads the next frame, and reports the end of the body.
    async fn read(mut self) -> Option<(std::io::Result<Frame<Bytes>>, Option<Self>)> {
        let error = match self.deadline.limit(self.body.frame()).await {
            Err(passed) => std::io::Error::other(passed),
            Ok(Some(Ok(frame))) => {
                if let (Some(events), Some(data)) = (&mut self.events, frame.data_ref()) {
                    events.push(data);
                }
                // A body of a known length is not read again after its last frame.
                if self.body.is_end_stream() && !self.is_within_event() {
                    self.report_complete();
                }
                return Some((Ok(frame), Some(self)));
            }
            Ok(None) if !self.is_within_event() => {
                self.report_complete();
                return None;
            }
            Ok(None) => std::io::Error::other("the last event was cut off"),
            Ok(Some(Err(error))) => std::io::Error::other(error),
        };
        drop(self.connection);
        if let Some(report) = self.report {
            report.check_upstream();
        }
        Some((Err(error), None))
    }

    fn is_within_event(&self) -> bool {
        self.events.as_ref().is_some_and(|events| !events.is_between_events())
    }

    fn report_complete(&mut self) {
        if let Some(report) = self.report.take() {
            report.complete();
        }
    }
}
