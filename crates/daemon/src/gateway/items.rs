//! Runs of batch items: collects the text of each item from the event stream of an engine.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutdrift_core::AttemptKey;
use chestnutdrift_core::directory::ItemText;
use chestnutdrift_core::gateway::{Event, ItemEnd, ItemRunReport, RunItem};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::events::{EventReader, StreamEvent};
use super::input::{Input, InputSender, NotQueued};
use super::pool::{Connection, Pool, SendError};
use super::protocol::{Protocol, ResponseClass};
use super::statements::report_statements;

/// The time-out of a new connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval between reports of progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The most bytes of text of one run; a longer one is broken off.
const MAX_RUN_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// The HTTP status of a run that counts as one of the item's attempts.
const FAILED_STATUS: u16 = 500;

/// The HTTP status of an item that no engine can process.
const UNPROCESSABLE_STATUS: u16 = 422;

struct ActiveRun {
    text: Arc<Mutex<RunText>>,
    cancel: oneshot::Sender<()>,
}

/// The item runs in progress on this host.
#[derive(Clone)]
pub struct ItemRuns {
    protocol: Arc<dyn Protocol>,
    pool: Pool,
    inputs: InputSender,
    running: Arc<Mutex<BTreeMap<AttemptKey, ActiveRun>>>,
}

impl std::fmt::Debug for ItemRuns {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let running = self.running.lock().map(|running| running.len()).unwrap_or_default();
        f.debug_struct("ItemRuns").field("running", &running).finish_non_exhaustive()
    }
}

impl ItemRuns {
    /// Creates an empty set of runs.
    #[must_use]
    pub fn new(protocol: Arc<dyn Protocol>, pool: Pool, inputs: InputSender) -> Self {
        Self { protocol, pool, inputs, running: Arc::default() }
    }

    /// Runs an item and reports its end to the control thread.
    pub async fn run(self, run: RunItem) {
        let attempt = run.attempt;
        let text = Arc::new(Mutex::new(RunText::default()));
        let (cancel, cancelled) = oneshot::channel();
        let first = {
            let Ok(mut running) = self.running.lock() else { return };
            running.insert(attempt, ActiveRun { text: Arc::clone(&text), cancel });
            running.len() == 1
        };
        if first {
            tokio::spawn(self.clone().report_progress_while_running());
        }
        let end = tokio::select! {
            end = self.run_to_end(&run, &text) => end,
            _ = cancelled => ItemEnd::Cancelled,
        };
        if let Ok(mut running) = self.running.lock() {
            running.remove(&attempt);
        }
        // The run has been removed from those that report progress, so this is its last part.
        let text = text.lock().map(|mut text| std::mem::take(&mut text.unreported));
        let run = ItemRunReport { text: text.unwrap_or_default(), end };
        let event = Event::ItemEnded { attempt, run };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }

    /// Cancels a run: its connection is closed, and the text that it has produced is reported.
    pub fn cancel(&self, attempt: AttemptKey) {
        let Ok(mut running) = self.running.lock() else { return };
        let Some(run) = running.remove(&attempt) else { return };
        // The receiver is gone where the run has just ended; it then reports its own end.
        let _ = run.cancel.send(());
    }

    async fn report_progress_while_running(self) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            if !self.report_progress() {
                return;
            }
        }
    }

    /// Reports the unreported text of all runs, and returns whether any run is in progress.
    ///
    /// The set of runs stays locked until the report is queued, so that no run reports its end
    /// first. Where the queue is full, the text is kept for the next report.
    fn report_progress(&self) -> bool {
        let Ok(running) = self.running.lock() else { return false };
        let mut progress = Vec::new();
        for (attempt, run) in running.iter() {
            let Ok(mut text) = run.text.lock() else { continue };
            if text.unreported.events > 0 {
                progress.push((*attempt, std::mem::take(&mut text.unreported)));
            }
        }
        let any_running = !running.is_empty();
        if progress.is_empty() {
            return any_running;
        }
        let queued = self.inputs.try_send(Input::Event(Event::ItemProgress(progress)));
        let Err(NotQueued::Full(unsent)) = queued else { return any_running };
        log::debug!(event = "progress-put-off"; "the control thread's queue is full");
        let Input::Event(Event::ItemProgress(progress)) = *unsent else { return any_running };
        for (attempt, part) in progress {
            let Some(Ok(mut text)) = running.get(&attempt).map(|run| run.text.lock()) else {
                continue;
            };
            let since = std::mem::replace(&mut text.unreported, part);
            text.unreported.append(&since);
        }
        any_running
    }

    async fn run_to_end(&self, run: &RunItem, text: &Mutex<RunText>) -> ItemEnd {
        let request = self.protocol.item_request(run);
        let deadline = Duration::from_millis(run.deadline.0);
        let silence = Duration::from_millis(run.silence.0);
        let request_id = self.protocol.request_id(request.headers());
        let sent = self.pool.send(&run.upstream, &request, request_id, CONNECT_TIMEOUT);
        let (response, connection) = match tokio::time::timeout(silence, sent).await {
            Ok(Ok(sent)) => sent,
            Ok(Err(SendError::NotSent(detail) | SendError::Refused(detail))) => {
                log::debug!(event = "item-not-sent"; "{detail}");
                return ItemEnd::NotRun { status: 0, other_instance: false };
            }
            Ok(Err(SendError::Broken(detail))) => return ItemEnd::Broken { detail },
            Err(_) => return silence_end(silence),
        };
        let (head, body) = response.into_parts();
        let status = head.status.as_u16();
        let call = format!("item={}", request_id.unwrap_or_default());
        let protocol = &*self.protocol;
        report_statements(protocol, &self.inputs, &run.upstream, &head, request_id, call);
        match self.protocol.classify_response(request_id, &run.upstream, &head) {
            ResponseClass::Mismatched => {
                return ItemEnd::Broken {
                    detail: "the response does not match the request".into(),
                };
            }
            ResponseClass::NotRun { other_instance } => {
                return ItemEnd::NotRun { status, other_instance };
            }
            ResponseClass::Failure if status == UNPROCESSABLE_STATUS => return ItemEnd::Impossible,
            ResponseClass::Failure if status == FAILED_STATUS => return ItemEnd::Failed { status },
            ResponseClass::Failure => {
                return ItemEnd::Broken { detail: format!("the engine answered {status}").into() };
            }
            ResponseClass::Success => {}
        }
        if let Ok(mut text) = text.lock() {
            text.version = self.protocol.weight_version(&head.headers);
            text.next_event = run.resume_after.map_or(FIRST_EVENT_ID, |id| id + 1);
        }
        let reader = EventReader::new(self.protocol.version_field());
        let read = read_events(reader, body, text, silence);
        let end = match tokio::time::timeout(deadline, read).await {
            Ok(end) => end,
            Err(_) => ItemEnd::Broken { detail: "the run exceeded its deadline".into() },
        };
        self.release_connection(run, connection, &head.headers, &end);
        end
    }

    fn release_connection(
        &self,
        run: &RunItem,
        connection: Connection,
        headers: &hyper::HeaderMap,
        end: &ItemEnd,
    ) {
        if *end == ItemEnd::Whole {
            self.pool.release(&run.upstream, connection, self.protocol.keep_alive_secs(headers));
        }
    }
}

/// The id of the first event of a text.
const FIRST_EVENT_ID: u64 = 1;

fn silence_end(silence: Duration) -> ItemEnd {
    ItemEnd::Broken { detail: format!("the engine sent nothing for {silence:?}").into() }
}

async fn read_events(
    mut reader: EventReader,
    mut body: Incoming,
    text: &Mutex<RunText>,
    silence: Duration,
) -> ItemEnd {
    // Only events count as a sign of life: bytes that are part of no event may come without end.
    let mut silent_at = Instant::now() + silence;
    loop {
        let frame = match tokio::time::timeout_at(silent_at, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return ItemEnd::Broken { detail: error.to_string().into() },
            Ok(None) if reader.is_between_events() => return ItemEnd::Whole,
            Ok(None) => return ItemEnd::Broken { detail: "the last event was cut off".into() },
            Err(_) => return silence_end(silence),
        };
        let Ok(data) = frame.into_data() else { continue };
        let Ok(mut text) = text.lock() else {
            return ItemEnd::Broken { detail: "the text was lost".into() };
        };
        let Ok(events) = reader.push(&data) else {
            return ItemEnd::Broken { detail: "an event is too long".into() };
        };
        if !events.is_empty() {
            silent_at = Instant::now() + silence;
        }
        for event in events {
            if let Err(detail) = text.push(event) {
                return ItemEnd::Broken { detail };
            }
        }
    }
}

/// The text of one run, and the position in its stream.
#[derive(Debug, Default)]
struct RunText {
    /// The events since the last report.
    unreported: ItemText,
    /// The length of the text of the run so far.
    bytes: usize,
    /// The id that the next event must have.
    next_event: u64,
    /// The weight version that generates the text; `None` until the engine reports one.
    version: Option<u64>,
}

impl RunText {
    /// Adds an event, or returns an error where it is not the next one.
    fn push(&mut self, event: StreamEvent) -> Result<(), Box<str>> {
        let Some(id) = event.id else { return Err("an event has no id".into()) };
        if id != self.next_event {
            return Err(format!("expected event {}, got {id}", self.next_event).into());
        }
        if let Some(version) = event.field {
            let read =
                version.parse().map_err(|_| format!("{version:?} is not a weight version"))?;
            self.version = Some(read);
        }
        self.bytes += event.data.len();
        if self.bytes > MAX_RUN_TEXT_BYTES {
            return Err(format!("the text exceeds {MAX_RUN_TEXT_BYTES} bytes").into());
        }
        self.unreported.push_event(id, &event.data, self.version);
        self.next_event = id + 1;
        Ok(())
    }
}
