//! Answers that are delivered to the caller while they still arrive.

use std::time::Duration;

use bytes::Bytes;
use chestnutdrift_core::Fingerprint;
use chestnutdrift_core::gateway::{Event, Forward, StreamEnd, UpstreamAddress};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};

use super::input::{Input, InputSender};
use super::pool::{Connection, Pool};
use crate::http::ResponseBody;

/// The rest of a response body, which is streamed to the caller.
#[derive(Debug)]
pub struct StreamedBody {
    body: Incoming,
    /// The connection, which must stay open as long as the body is read.
    connection: Connection,
    report: EndReport,
}

/// What is needed to report the end of a stream.
#[derive(Debug)]
struct EndReport {
    pool: Pool,
    inputs: InputSender,
    upstream: UpstreamAddress,
    fingerprint: Fingerprint,
    connect_timeout: Duration,
}

impl StreamedBody {
    /// Creates the rest of the answer to a forwarded request.
    pub(super) fn new(
        body: Incoming,
        connection: Connection,
        pool: &Pool,
        inputs: &InputSender,
        forward: &Forward,
    ) -> Self {
        let report = EndReport {
            pool: pool.clone(),
            inputs: inputs.clone(),
            upstream: forward.upstream.clone(),
            fingerprint: forward.fingerprint,
            connect_timeout: Duration::from_millis(forward.connect.0),
        };
        Self { body, connection, report }
    }

    /// Streams `held` and then the rest of the body; an error of the upstream's body aborts the
    /// caller's.
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
        match self.body.frame().await {
            Some(Ok(frame)) if !self.body.is_end_stream() => Some((Ok(frame), Some(self))),
            Some(Ok(frame)) => {
                self.report.send(StreamEnd::Complete);
                Some((Ok(frame), None))
            }
            Some(Err(error)) => {
                drop(self.connection);
                // The caller's answer is not held up by the check.
                tokio::spawn(self.report.check_upstream());
                Some((Err(std::io::Error::other(error)), None))
            }
            None => {
                self.report.send(StreamEnd::Complete);
                None
            }
        }
    }
}

impl EndReport {
    /// Reports that the upstream has ended if its address refuses connections.
    async fn check_upstream(self) {
        if self.pool.is_refused(&self.upstream, self.connect_timeout).await {
            self.send(StreamEnd::UpstreamEnded);
        }
    }

    fn send(&self, end: StreamEnd) {
        let (upstream, fingerprint) = (self.upstream.key, self.fingerprint);
        let event = Event::StreamEnded { upstream, fingerprint, end };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }
}
