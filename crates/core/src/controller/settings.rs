//! Settings: puts newer settings into force and spreads them.
//!
//! Reads: heartbeats, settings messages, `in_force.offered`.
//! Writes: `in_force`, `groups.records_out`, settings messages to other hosts.
//!
//! The version in force is only ever replaced by a greater one.

use super::Controller;
use crate::agreement::{GroupId, Record};
use crate::board::Board;
use crate::event::Event;
use crate::key::HostId;
use crate::message::Message;
use crate::time::Millis;
use crate::timeline::EventKind;

/// Minimum interval between requests for newer settings.
const PULL_INTERVAL: Millis = Millis(20);

/// Interval between requests to confirm that the settings are the newest.
const CONFIRM_INTERVAL: Millis = Millis(250);

/// Keeps the settings in force.
#[derive(Debug)]
pub(super) struct Settings;

impl Controller for Settings {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event {
            handle_message(board, envelope.from, &envelope.message);
        }
        pull(board);
        confirm(board);
        let Some(offered) = board.in_force.offered.take() else { return };
        if offered.version <= board.in_force.settings.version {
            return;
        }
        if board.cfg.disk {
            board.groups.records_out.push(Record::InForce { settings: offered.clone() });
        }
        let version = offered.version;
        board.in_force.settings = offered;
        board.in_force.since = board.now.wall;
        board.in_force.tell = true;
        board.note(EventKind::SettingsInForce, format!("version {version}"), "in force");
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let starting = !board.in_force.confirmed && !board.ready && board.draining.is_none();
        let confirm = if starting { board.due.settings_confirm } else { Millis::MAX };
        let behind = board.in_force.newer.is_some();
        let pull = if behind { board.due.settings_pull } else { Millis::MAX };
        confirm.min(pull)
    }
}

/// Requests newer settings from the host that has them, repeatedly until they arrive.
fn pull(board: &mut Board) {
    let have = board.in_force.settings.version;
    let Some((host, version)) = board.in_force.newer else { return };
    if version <= have {
        board.in_force.newer = None;
        return;
    }
    if board.now.mono < board.due.settings_pull {
        return;
    }
    board.due.settings_pull = board.now.mono + PULL_INTERVAL;
    board.send(host, Message::SettingsPull { have });
}

/// Requests that the fleet group's leader confirm the settings of this host while it starts.
fn confirm(board: &mut Board) {
    let now = board.now.mono;
    if board.in_force.confirmed || board.ready || now < board.due.settings_confirm {
        return;
    }
    if board.leads(GroupId::Fleet) {
        board.in_force.confirmed = true;
        return;
    }
    board.due.settings_confirm = now + CONFIRM_INTERVAL;
    let have = board.in_force.settings.version;
    for host in board.groups.fleet_members.clone() {
        if host != board.cfg.id {
            board.send(host, Message::SettingsPull { have });
        }
    }
}

fn handle_message(board: &mut Board, from: HostId, message: &Message) {
    let have = board.in_force.settings.version;
    match message {
        Message::Heartbeat(heartbeat) if heartbeat.settings > have => {
            board.in_force.newer = Some((from, heartbeat.settings));
        }
        Message::SettingsPull { have: sender_version } => {
            let confirmed = board.leads(GroupId::Fleet);
            if *sender_version >= have && !confirmed {
                return;
            }
            let settings = board.in_force.settings.clone();
            board.send(from, Message::SettingsPush { settings, confirmed });
        }
        Message::SettingsPush { settings, confirmed } => {
            board.in_force.offer(settings.clone());
            board.in_force.confirmed |= confirmed;
        }
        _ => {}
    }
}
