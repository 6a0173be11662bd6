//! The messages between simulated hosts: their way, their sizes, and copies of them.

use chestnutdrift_core::HostId;
use chestnutdrift_core::agreement::{Entry, GroupMessage};
use chestnutdrift_core::directory::DirectoryCommand;
use chestnutdrift_core::gateway::Event;
use chestnutdrift_core::message::{Envelope, Message};
use rand::Rng;

use super::usage::EntryEvent;
use super::{Deployment, Scheduled};

/// Encodes and decodes a message, so that it shares no memory with its sender.
pub(super) fn copy(envelope: &Envelope) -> Envelope {
    let mut encoded = Vec::new();
    ciborium::into_writer(envelope, &mut encoded).expect("a message that can be encoded");
    ciborium::from_reader(encoded.as_slice()).expect("an encoded message")
}

/// Returns the size of an encoded message, in bytes.
pub(crate) fn encoded_bytes(envelope: &Envelope) -> u64 {
    let mut encoded = Vec::new();
    ciborium::into_writer(envelope, &mut encoded).expect("a message that can be encoded");
    encoded.len() as u64
}

/// Estimates the size of a message on its link, in bytes.
pub(super) fn bytes(envelope: &Envelope) -> u64 {
    const OVERHEAD_BYTES: u64 = 200;
    let Message::Group(frame) = &envelope.message else { return OVERHEAD_BYTES };
    let bytes = match &frame.message {
        GroupMessage::AppendEntries { entries, .. } => entries.iter().map(Entry::bytes).sum(),
        GroupMessage::SnapshotPart { part, .. } => {
            part.commands.iter().map(DirectoryCommand::bytes).sum()
        }
        _ => 0,
    };
    OVERHEAD_BYTES + bytes as u64
}

impl Deployment {
    pub(super) fn send(&mut self, from: HostId, to: HostId, envelope: Envelope) {
        if let Some(observe) = &mut self.on_send {
            observe(from, &envelope);
        }
        let is_lost = self.rng.random_range(0..100) < self.drop_percent;
        if is_lost || self.cut_links.contains(&(from, to)) {
            return;
        }
        let boot_id = self.nodes.get(&to).map(|node| node.boot_id);
        // The messages of a link arrive in order and share its bandwidth.
        let delay = 2 + u64::from((from.0 * 7 + to.0 * 13) % 20);
        let free_at = self.link_free_at.entry((from, to)).or_default();
        *free_at = (*free_at).max(self.now) + bytes(&envelope) / self.bytes_per_ms;
        let arrival_time = *free_at + delay;
        let envelope = if self.encodes_messages { copy(&envelope) } else { envelope };
        let event = match boot_id {
            Some(boot_id) => Scheduled::Event(to, boot_id, Event::Received(envelope)),
            None => Scheduled::Entry(to, EntryEvent::Received(Box::new(envelope))),
        };
        self.schedule(arrival_time, event);
    }
}
