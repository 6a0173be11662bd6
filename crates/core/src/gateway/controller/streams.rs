//! Streams: lets a stream that a caller takes up go on only at the software version that began it.
//!
//! Reads: messages of other hosts, `requests`, `stream_origins`, `upstreams`, `hosts`, the clock.
//! Writes: `new_streams`, `stream_origins`, `facts`, `stream_searches`, `requests` (state, origin and instances), `actions`.
//!
//! An entry host tells a few stores when it sends a request for a stream to an upstream, which is before
//! the first event comes back. The stores are drawn by a hash of the stream's id, so that any other entry
//! finds them, also after all entries have started anew. They write the records to their disks: a stream
//! that no store knows any more is refused as not run.

use std::collections::BTreeMap;

use super::Controller;
use super::candidates::usable;
use crate::checksum::checksum;
use crate::gateway::board::{
    Board, InstanceId, RequestState, StreamOrigin, StreamRecord, StreamSearch,
};
use crate::gateway::event::Event;
use crate::gateway::message::GatewayMessage;
use crate::gateway::settings::Role;
use crate::key::{HostId, RequestKey};
use crate::message::Message;
use crate::time::Millis;

/// The number of stores that remember a stream: one more than may be lost at once, and one that may be
/// restarting.
const COPIES: usize = 3;

/// The number of stores that are asked for a stream; stores that came or went since it began have moved
/// its copies.
const ASKED: usize = 5;

/// How long replies are awaited: two round trips between regions, and a margin for a slow host.
const REPLY_TIMEOUT: Millis = Millis(200);

/// How long new streams are collected before stores are told.
const RECORD_DELAY: Millis = Millis(5);

/// The origin of a stream, and the instances that can continue it where the store named them.
type FoundOrigin = (StreamOrigin, Option<Vec<InstanceId>>);

/// Tells stores of streams, and finds the origins of those that callers take up.
#[derive(Debug, Default)]
pub(super) struct Streams {
    /// When the collected streams are due to be told; `None` if there are none.
    tell_at: Option<Millis>,
}

impl Controller for Streams {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event
            && let Message::Gateway(message) = &envelope.message
        {
            handle_message(board, envelope.from, message);
        }
        if board.cfg.role == Role::Entry {
            self.tell_stores(board);
            search(board);
        }
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let searches = board.stream_searches.values().filter_map(|search| search.until);
        searches.chain(self.tell_at).min().unwrap_or(Millis::MAX)
    }
}

fn handle_message(board: &mut Board, from: HostId, message: &GatewayMessage) {
    match message {
        GatewayMessage::Streams(records) => {
            for record in records {
                let record = with_known_software(board, record.clone());
                let wall = board.now.wall;
                if board.stream_origins.insert(record.clone(), wall, wall) {
                    board.facts.mark_stream(record);
                }
            }
        }
        GatewayMessage::FindStream { id, workspace } => {
            let origin = board.stream_origins.get(id, workspace.as_deref()).cloned();
            let upstreams = origin.as_ref().map(|origin| instances_of(board, origin));
            let (id, workspace) = (id.clone(), workspace.clone());
            let reply = GatewayMessage::StreamFound { id, origin, upstreams, workspace };
            board.send(from, reply);
        }
        GatewayMessage::StreamFound { id, origin, upstreams, workspace } => {
            let found = origin.clone().map(|origin| (origin, upstreams.clone()));
            handle_found(board, from, (id, workspace.as_deref()), found.as_ref());
        }
        _ => {}
    }
}

/// Returns a record with the software of the instance that this host knows, where that has started
/// later than the one which the sender knows: it got the request.
fn with_known_software(board: &Board, mut record: StreamRecord) -> StreamRecord {
    let Some(sent_to) = &record.instance else { return record };
    let known = board.upstream_index.get(&sent_to.id).map(|key| &board.upstreams[*key].announced);
    if let Some(known) = known.filter(|known| known.started_at > sent_to.started_at) {
        record.origin.software.clone_from(&known.software);
    }
    record
}

/// Returns the upstreams that can continue a stream.
fn instances_of(board: &Board, origin: &StreamOrigin) -> Vec<InstanceId> {
    let mut instances = Vec::new();
    for (_, upstream) in usable(board, &origin.service) {
        let announced = &upstream.announced;
        if announced.software == origin.software {
            instances.push(announced.instance());
        }
    }
    instances
}

/// Returns the stores that remember a stream, the first ones first.
fn stores_of(board: &Board, id: &str, count: usize) -> Vec<HostId> {
    let mut stores = board.reachable_stores();
    stores.sort_by_cached_key(|store| checksum(&[id, &store.0.to_string()]));
    stores.truncate(count);
    stores
}

impl Streams {
    fn tell_stores(&mut self, board: &mut Board) {
        if board.new_streams.is_empty() {
            return;
        }
        let now = board.now.mono;
        let due = *self.tell_at.get_or_insert(now + RECORD_DELAY);
        if now < due {
            return;
        }
        self.tell_at = None;
        let mut by_store: BTreeMap<HostId, Vec<StreamRecord>> = BTreeMap::new();
        for record in std::mem::take(&mut board.new_streams) {
            for store in stores_of(board, &record.id, COPIES) {
                by_store.entry(store).or_default().push(record.clone());
            }
        }
        for (store, records) in by_store {
            board.send(store, GatewayMessage::Streams(records));
        }
    }
}

/// Asks stores for the origins of the streams that wait for them, and ends the searches that take too
/// long.
fn search(board: &mut Board) {
    let now = board.now.mono;
    let (mut new, mut over) = (Vec::new(), Vec::new());
    board.stream_searches.retain(|key, _| board.requests.contains_key(*key));
    for (key, search) in &board.stream_searches {
        match search.until {
            None => new.push(*key),
            Some(until) if now >= until => over.push(*key),
            Some(_) => {}
        }
    }
    for key in over {
        end_search(board, key, None);
    }
    for key in new {
        let request = &board.requests[key];
        let Some(id) = request.resumes.clone() else { continue };
        let workspace = request.workspace.clone();
        let stores = stores_of(board, &id, ASKED);
        if stores.is_empty() {
            end_search(board, key, None);
            continue;
        }
        let asked = stores.iter().copied().collect();
        let search = StreamSearch { asked, until: Some(now + REPLY_TIMEOUT) };
        board.stream_searches.insert(key, search);
        for store in stores {
            let (id, workspace) = (id.clone(), workspace.clone());
            board.send(store, GatewayMessage::FindStream { id, workspace });
        }
    }
}

/// Handles the reply for the stream of an id, as the caller of a workspace asked for it.
fn handle_found(
    board: &mut Board,
    from: HostId,
    (id, workspace): (&str, Option<&str>),
    found: Option<&FoundOrigin>,
) {
    let mut ended = Vec::new();
    for (key, search) in &mut board.stream_searches {
        let request = board.requests.get(*key);
        let has_asked = request.is_some_and(|request| {
            request.resumes.as_deref() == Some(id) && request.workspace.as_deref() == workspace
        });
        if !has_asked || search.until.is_none() {
            continue;
        }
        search.asked.remove(&from);
        if found.is_some() || search.asked.is_empty() {
            ended.push(*key);
        }
    }
    for key in ended {
        end_search(board, key, found.cloned());
    }
}

/// Lets a request go on with the origin of its stream, or without one, whereupon it is refused.
fn end_search(board: &mut Board, key: RequestKey, found: Option<FoundOrigin>) {
    board.stream_searches.remove(&key);
    let Some(request) = board.requests.get_mut(key) else { return };
    if request.state != RequestState::Searching {
        return;
    }
    request.state = RequestState::Waiting;
    if let Some((origin, instances)) = found {
        request.service.clone_from(&origin.service);
        request.origin = Some(origin);
        request.continuing = instances;
    }
    board.another_round = true;
}
