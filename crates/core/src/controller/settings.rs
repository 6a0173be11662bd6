//! Settings: takes newer ones into force and passes them on.
//!
//! Reads: heartbeats, settings messages, `in_force.offered`.
//! Writes: `in_force`, `groups.pending_records`, settings messages to other hosts.
//!
//! A version in force is only ever followed by a greater one.

use super::Controller;
use crate::agreement::{GroupId, Record};
use crate::board::Board;
use crate::event::Event;
use crate::key::HostId;
use crate::message::Message;
use crate::time::Millis;
use crate::timeline::EventKind;

/// The least time between two questions for newer settings.
const PULL_EVERY: Millis = Millis(20);

/// The time between two questions whether settings are the newest.
const CONFIRM_EVERY: Millis = Millis(250);

/// Keeps the settings in force.
#[derive(Debug)]
pub(super) struct Settings;

impl Controller for Settings {
    fn run(&mut self, board: &mut Board, event: Option<&Event>) {
        if let Some(Event::Received(envelope)) = event {
            take_message(board, envelope.from, &envelope.message);
        }
        pull(board);
        confirm(board);
        let Some(offered) = board.in_force.offered.take() else { return };
        if offered.version <= board.in_force.settings.version {
            return;
        }
        if board.cfg.disk {
            board.groups.pending_records.push(Record::InForce { settings: offered.clone() });
        }
        let version = offered.version;
        board.in_force.settings = offered;
        board.in_force.since = board.now.wall;
        board.in_force.tell = true;
        board.note(EventKind::SettingsInForce, format!("version {version}"), "in force");
    }

    fn next_deadline(&self, board: &Board) -> Millis {
        let starts = !board.in_force.confirmed && !board.ready && board.draining.is_none();
        let confirm = if starts { board.due.settings_confirm } else { Millis::MAX };
        let behind = board.in_force.newer.is_some();
        let pull = if behind { board.due.settings_pull } else { Millis::MAX };
        confirm.min(pull)
    }
}

/// Asks the host that serves under newer settings for them, again until they are there.
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
    board.due.settings_pull = board.now.mono + PULL_EVERY;
    board.send(host, Message::SettingsPull { have });
}

/// Has the fleet group's leader confirm the settings of a host that has just started.
fn confirm(board: &mut Board) {
    let now = board.now.mono;
    if board.in_force.confirmed || board.ready || now < board.due.settings_confirm {
        return;
    }
    if board.leads(GroupId::Fleet) {
        board.in_force.confirmed = true;
        return;
    }
    board.due.settings_confirm = now + CONFIRM_EVERY;
    let have = board.in_force.settings.version;
    for host in board.groups.fleet_members.clone() {
        if host != board.cfg.id {
            board.send(host, Message::SettingsPull { have });
        }
    }
}

fn take_message(board: &mut Board, from: HostId, message: &Message) {
    let have = board.in_force.settings.version;
    match message {
        Message::Heartbeat(heartbeat) if heartbeat.settings > have => {
            board.in_force.newer = Some((from, heartbeat.settings));
        }
        Message::SettingsPull { have: theirs } => {
            let confirmed = board.leads(GroupId::Fleet);
            if *theirs >= have && !confirmed {
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
