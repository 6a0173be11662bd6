//! Settings: puts newer settings into force and spreads them.
//!
//! Reads: heartbeats, settings messages, `active_settings.offered`.
//! Writes: `active_settings`, `groups.pending_records`, settings messages to other hosts.
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
        let Some(offered) = board.active_settings.offered.take() else { return };
        if offered.version <= board.active_settings.settings.version {
            return;
        }
        if board.cfg.disk {
            board.groups.pending_records.push(Record::InForce { settings: offered.clone() });
        }
        let version = offered.version;
        board.active_settings.settings = offered;
        board.active_settings.since = board.now.wall;
        board.active_settings.push_pending = true;
        board.note(EventKind::SettingsInForce, format!("version {version}"), "in force");
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let starting =
            !board.active_settings.confirmed && !board.ready && board.draining_since.is_none();
        let confirm = if starting { board.schedule.settings_confirm } else { Millis::MAX };
        let behind = board.active_settings.newer.is_some();
        let pull = if behind { board.schedule.settings_pull } else { Millis::MAX };
        confirm.min(pull)
    }
}

/// Requests newer settings from the host that has them, repeatedly until they arrive.
fn pull(board: &mut Board) {
    let have = board.active_settings.settings.version;
    let Some((host, version)) = board.active_settings.newer else { return };
    if version <= have {
        board.active_settings.newer = None;
        return;
    }
    if board.now.mono < board.schedule.settings_pull {
        return;
    }
    board.schedule.settings_pull = board.now.mono + PULL_INTERVAL;
    board.send(host, Message::SettingsPull { have });
}

/// Requests that the fleet group's leader confirm the settings of this host while it starts.
fn confirm(board: &mut Board) {
    let now = board.now.mono;
    if board.active_settings.confirmed || board.ready || now < board.schedule.settings_confirm {
        return;
    }
    if board.leads(GroupId::Fleet) {
        board.active_settings.confirmed = true;
        return;
    }
    board.schedule.settings_confirm = now + CONFIRM_INTERVAL;
    let have = board.active_settings.settings.version;
    for host in board.groups.fleet_members.clone() {
        if host != board.cfg.id {
            board.send(host, Message::SettingsPull { have });
        }
    }
}

fn handle_message(board: &mut Board, from: HostId, message: &Message) {
    let have = board.active_settings.settings.version;
    match message {
        Message::Heartbeat(heartbeat) if heartbeat.settings_version > have => {
            board.active_settings.newer = Some((from, heartbeat.settings_version));
        }
        Message::SettingsPull { have: sender_version } => {
            let confirmed = board.leads(GroupId::Fleet);
            if *sender_version >= have && !confirmed {
                return;
            }
            let settings = board.active_settings.settings.clone();
            board.send(from, Message::SettingsPush { settings, confirmed });
        }
        Message::SettingsPush { settings, confirmed } => {
            board.active_settings.offer(settings.clone());
            board.active_settings.confirmed |= confirmed;
        }
        _ => {}
    }
}
