//! Queries: answers operators' read calls.
//!
//! Reads: the whole board. Writes: `counters` (gauges), `actions`.

use super::Controller;
use crate::action::{Answer, HostReport, SettingsReport, TrainerReport, UpstreamReport};
use crate::agreement::GroupId;
use crate::board::{Board, UpstreamState};
use crate::event::{Call, Event, Query};
use crate::fleet::{SettingContext, SettingKey};

/// Answers the queries of operators.
#[derive(Debug)]
pub(super) struct Queries;

impl Controller for Queries {
    fn run(&mut self, board: &mut Board, _event: Option<&Event>) {
        for arrival in board.take_arrivals(|call| matches!(call, Call::Query(_))) {
            let Call::Query(query) = &arrival.call else { continue };
            let answer = answer_query(board, query);
            board.answer(arrival.tag, answer);
        }
    }
}

fn answer_query(board: &mut Board, query: &Query) -> Answer {
    match query {
        Query::Settings { service } => Answer::Settings(settings(board, service.as_deref())),
        Query::Hosts => Answer::Hosts(hosts(board)),
        Query::Upstreams => Answer::Upstreams(upstreams(board)),
        Query::Trainers => Answer::Trainers(trainers(board)),
        Query::Timeline { after } => {
            Answer::Timeline(board.timeline.after(*after).cloned().collect())
        }
        Query::Counters => {
            update_gauges(board);
            Answer::Counters(board.counters)
        }
    }
}

fn settings(board: &Board, service: Option<&str>) -> SettingsReport {
    let context = SettingContext { zone: &board.cfg.zone, host: &board.cfg.name, service };
    let active = &board.active_settings;
    let effective = SettingKey::all().map(|key| active.settings.effective(key, context)).collect();
    SettingsReport {
        host: board.cfg.name.clone(),
        zone: board.cfg.zone.clone(),
        version: active.settings.version,
        since: active.since,
        settings: active.settings.clone(),
        effective,
    }
}

fn hosts(board: &Board) -> Vec<HostReport> {
    let mut reports = Vec::new();
    for host in board.hosts.values() {
        let zone = &board.zones[host.zone];
        let other_zone = host.zone != board.my_zone;
        let state = match () {
            () if host.id == board.cfg.id && board.draining_since.is_some() => "draining",
            () if host.id == board.cfg.id => "self",
            () if host.is_available(board.now.mono) => "up",
            () if other_zone && zone.digest.hosts.contains(&host.id) => "up",
            () if host.is_up(board.now.mono) => "not ready",
            () if host.last_seen.is_some() => "silent",
            () => "unknown",
        };
        let mut leads = Vec::new();
        if zone.digest.leader.is_some_and(|(_, leader)| leader == host.id) {
            leads.push(format!("zone {}", zone.name).into());
        }
        if board.fleet_leader().is_some_and(|(_, leader)| leader == host.id) {
            leads.push("fleet".into());
        }
        reports.push(HostReport {
            id: host.id,
            name: host.name.clone(),
            zone: zone.name.clone(),
            disk: host.disk,
            http: host.http.clone(),
            state: state.into(),
            leads,
        });
    }
    reports.sort_by_key(|report| report.id);
    reports
}

fn upstreams(board: &Board) -> Vec<UpstreamReport> {
    let mut reports = Vec::new();
    for upstream in board.upstreams.values() {
        let state = match upstream.state {
            UpstreamState::Up => "up",
            UpstreamState::Leaving => "leaving",
            UpstreamState::Silent => "silent",
        };
        reports.push(UpstreamReport {
            name: upstream.spec.name.clone(),
            service: upstream.spec.service.clone(),
            address: upstream.spec.address.clone(),
            version: upstream.spec.version,
            in_flight: upstream.in_flight,
            limit: upstream.limit,
            state: state.into(),
        });
    }
    reports.sort_by(|a, b| a.name.cmp(&b.name));
    reports
}

fn trainers(board: &Board) -> Vec<TrainerReport> {
    let mut reports = Vec::new();
    for (_, trainer) in board.groups.records.trainers() {
        reports.push(TrainerReport {
            name: trainer.name.clone(),
            service: trainer.service.clone(),
            version: trainer.version,
            ready: trainer.ready.len() as u64,
            delivered: trainer.delivered.len() as u64,
            counts: trainer.counts,
        });
    }
    reports
}

fn update_gauges(board: &mut Board) {
    let waiting = board.services.values().map(crate::board::Service::waiting).sum::<usize>();
    board.counters.queued = waiting as u64;
    board.counters.running = board.attempts.len() as u64;
    board.counters.settings_version = board.active_settings.settings.version;
    board.counters.ready = board.ready;
    let groups = [GroupId::Fleet, GroupId::Zone];
    let votes = |group: &&GroupId| {
        board.groups.group(**group).is_some_and(|group| group.replica.is_voter())
    };
    board.counters.votes = groups.iter().filter(votes).count() as u64;
    board.counters.leads = groups.iter().filter(|group| board.leads(**group)).count() as u64;
}
