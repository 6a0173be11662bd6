//! Runs of items: streams of events that are gathered to texts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutdrift_core::AttemptKey;
use chestnutdrift_core::directory::ItemText;
use chestnutdrift_core::gateway::{Event, ItemEnd, ItemRunReport, RunItem};
use crossbeam::channel::Sender;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::control::Input;
use super::events::{EventReader, StreamEvent};
use super::pool::{Connection, Pool, SendError};
use super::protocol::{Protocol, ResponseClass};

/// How long a new connection to an engine may take.
const CONNECT: Duration = Duration::from_millis(500);

/// The time between two reports of progress.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// The status of an item that can never be done.
const IMPOSSIBLE: u16 = 422;

struct Running {
    text: Arc<Mutex<RunText>>,
    cancel: oneshot::Sender<()>,
}

/// The runs of items on this host.
#[derive(Clone)]
pub struct ItemRuns {
    protocol: Arc<dyn Protocol>,
    pool: Pool,
    inputs: Sender<Input>,
    running: Arc<Mutex<BTreeMap<AttemptKey, Running>>>,
}

impl std::fmt::Debug for ItemRuns {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let running = self.running.lock().map(|running| running.len()).unwrap_or_default();
        f.debug_struct("ItemRuns").field("running", &running).finish_non_exhaustive()
    }
}

impl ItemRuns {
    /// Makes the runs of a host that has none yet.
    #[must_use]
    pub fn new(protocol: Arc<dyn Protocol>, pool: Pool, inputs: Sender<Input>) -> Self {
        Self { protocol, pool, inputs, running: Arc::default() }
    }

    /// Runs an item and reports its end.
    pub async fn run(self, run: RunItem) {
        let attempt = run.attempt;
        let text = Arc::new(Mutex::new(RunText::default()));
        let (cancel, cancelled) = oneshot::channel();
        let first = {
            let Ok(mut running) = self.running.lock() else { return };
            running.insert(attempt, Running { text: Arc::clone(&text), cancel });
            running.len() == 1
        };
        if first {
            tokio::spawn(self.clone().report_progress());
        }
        let end = tokio::select! {
            end = self.stream(&run, &text) => end,
            _ = cancelled => ItemEnd::Cancelled,
        };
        if let Ok(mut running) = self.running.lock() {
            running.remove(&attempt);
        }
        // The run is not among those that report progress any more, so this is its last part.
        let text = text.lock().map(|mut text| std::mem::take(&mut text.unreported));
        let run = ItemRunReport { text: text.unwrap_or_default(), end };
        let event = Event::ItemEnded { attempt, run };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }

    /// Gives a run up: its connection is closed, and what it brought is reported.
    pub fn cancel(&self, attempt: AttemptKey) {
        let Ok(mut running) = self.running.lock() else { return };
        let Some(run) = running.remove(&attempt) else { return };
        // A run that has just ended is reported as it ended.
        let _ = run.cancel.send(());
    }

    async fn report_progress(self) {
        loop {
            tokio::time::sleep(REPORT_EVERY).await;
            if !self.report() {
                return;
            }
        }
    }

    /// Reports what the runs have brought, and tells whether any still runs.
    ///
    /// The runs stay locked until the report is handed over, so that none can report its end first.
    fn report(&self) -> bool {
        let Ok(running) = self.running.lock() else { return false };
        let mut progress = Vec::new();
        for (attempt, run) in running.iter() {
            let Ok(mut text) = run.text.lock() else { continue };
            if text.unreported.events > 0 {
                progress.push((*attempt, std::mem::take(&mut text.unreported)));
            }
        }
        let busy = !running.is_empty();
        if progress.is_empty() {
            return busy;
        }
        let Err(refused) = self.inputs.try_send(Input::Event(Event::ItemProgress(progress))) else {
            return busy;
        };
        log::debug!(event = "progress-put-off"; "too many events wait");
        let Input::Event(Event::ItemProgress(progress)) = refused.into_inner() else { return busy };
        for (attempt, part) in progress {
            let Some(Ok(mut text)) = running.get(&attempt).map(|run| run.text.lock()) else {
                continue;
            };
            let since = std::mem::replace(&mut text.unreported, part);
            text.unreported.append(&since);
        }
        busy
    }

    async fn stream(&self, run: &RunItem, text: &Mutex<RunText>) -> ItemEnd {
        let request = self.protocol.item_request(run);
        let deadline = Duration::from_millis(run.deadline.0);
        let silence = Duration::from_millis(run.silence.0);
        let sent = self.pool.send(&run.upstream, &request, CONNECT);
        let (response, connection) = match tokio::time::timeout(silence, sent).await {
            Ok(Ok(sent)) => sent,
            Ok(Err(SendError::NotSent(detail))) => {
                log::debug!(event = "item-not-sent"; "{detail}");
                return ItemEnd::NotRun { status: 0, other_instance: false };
            }
            Ok(Err(SendError::Broken(detail))) => return ItemEnd::Broken { detail },
            Err(_) => return silent(silence),
        };
        let (head, body) = response.into_parts();
        let status = head.status.as_u16();
        let name = self.protocol.request_id(request.headers());
        match self.protocol.classify_response(name, &run.upstream, &head) {
            ResponseClass::Mismatched => {
                return ItemEnd::Broken { detail: "the answer belongs to another request".into() };
            }
            ResponseClass::NotRun { other_instance } => {
                return ItemEnd::NotRun { status, other_instance };
            }
            ResponseClass::Failure if status == IMPOSSIBLE => return ItemEnd::Impossible,
            ResponseClass::Failure => return ItemEnd::Failed { status },
            ResponseClass::Success => {}
        }
        if let Ok(mut text) = text.lock() {
            text.version = self.protocol.weight_version(&head.headers);
            text.next = run.resume_after.map_or(FIRST_EVENT, |id| id + 1);
        }
        let reader = EventReader::new(self.protocol.version_field());
        let read = read_events(reader, body, text, silence);
        let end = match tokio::time::timeout(deadline, read).await {
            Ok(end) => end,
            Err(_) => ItemEnd::Broken { detail: "the run took too long".into() },
        };
        self.keep(run, connection, &head.headers, &end);
        end
    }

    fn keep(
        &self,
        run: &RunItem,
        connection: Connection,
        headers: &hyper::HeaderMap,
        end: &ItemEnd,
    ) {
        if *end == ItemEnd::Whole {
            self.pool.keep(&run.upstream, connection, self.protocol.keep_alive_secs(headers));
        }
    }
}

/// The id of a text's first event.
const FIRST_EVENT: u64 = 1;

fn silent(silence: Duration) -> ItemEnd {
    ItemEnd::Broken { detail: format!("the engine was silent for {silence:?}").into() }
}

async fn read_events(
    mut reader: EventReader,
    mut body: Incoming,
    text: &Mutex<RunText>,
    silence: Duration,
) -> ItemEnd {
    loop {
        let frame = match tokio::time::timeout(silence, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return ItemEnd::Broken { detail: error.to_string().into() },
            Ok(None) if reader.is_between_events() => return ItemEnd::Whole,
            Ok(None) => return ItemEnd::Broken { detail: "the last event is cut off".into() },
            Err(_) => return silent(silence),
        };
        let Ok(data) = frame.into_data() else { continue };
        let Ok(mut text) = text.lock() else {
            return ItemEnd::Broken { detail: "the text is lost".into() };
        };
        for event in reader.push(&data) {
            if let Err(detail) = text.push(event) {
                return ItemEnd::Broken { detail };
            }
        }
    }
}

/// The text of one run.
#[derive(Debug, Default)]
struct RunText {
    /// The events that came since the last report.
    unreported: ItemText,
    next: u64,
    version: Option<u64>,
}

impl RunText {
    /// Adds an event, which must be the next one.
    fn push(&mut self, event: StreamEvent) -> Result<(), Box<str>> {
        let Some(id) = event.id else { return Err("an event has no id".into()) };
        if id != self.next {
            return Err(format!("event {id} came where {} was due", self.next).into());
        }
        if let Some(version) = event.field {
            let read = version.parse().map_err(|_| format!("{version} is no weight version"))?;
            self.version = Some(read);
        }
        self.unreported.push_event(id, &event.data, self.version);
        self.next = id + 1;
        Ok(())
    }
}
