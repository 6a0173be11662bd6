//! Scripted scenarios: the files in `scripts` hold commands with their expected output.
//!
//! After an intended change, `UPDATE_GOLDENFILES=1 cargo test -p chestnutdrift-core --test it
//! scripts` rewrites the expected outputs; review the difference before committing it.

use std::error::Error;
use std::fmt::Write;

use chestnutdrift_core::action::Answer;
use chestnutdrift_core::agreement::GroupId;
use chestnutdrift_core::event::{Call, RunCall};
use chestnutdrift_core::fleet::{Change, ChangeOutcome, Edit, SettingKey};
use goldenscript::{Command, Context, Runner};
use test_case::test_case;

use crate::world::World;

/// The time limit of a scripted call; a call without an answer by then prints "no answer".
const CALL_TIMEOUT_MS: u64 = 20_000;

struct Scenario {
    world: World,
}

impl Scenario {
    fn host(&self, name: &str) -> Result<usize, Box<dyn Error>> {
        let found = self.world.nodes.iter().position(|node| &*node.name == name);
        found.ok_or_else(|| format!("unknown host {name}").into())
    }

    fn hosts(&self, name: &str) -> Result<Vec<usize>, Box<dyn Error>> {
        let zone = self.world.zone(name);
        if zone.is_empty() { Ok(vec![self.host(name)?]) } else { Ok(zone) }
    }

    /// Sends a call and describes its answer.
    fn call(&mut self, host: usize, call: Call) -> String {
        let number = self.world.send(host, call);
        let end = self.world.now + CALL_TIMEOUT_MS;
        while self.world.sent_calls[number].is_waiting() && self.world.now < end {
            self.world.run(10);
        }
        match self.world.sent_calls[number].answer() {
            None => "no answer\n".into(),
            Some(Answer::Recorded { answer, replayed }) => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                format!("answered {body:?}, replayed {replayed}\n")
            }
            Some(Answer::Problem(problem)) => {
                format!("refused {:?}, ran {:?}\n", problem.kind, problem.ran)
            }
            Some(Answer::Changed(ChangeOutcome::Accepted { version })) => {
                format!("accepted as version {version}\n")
            }
            Some(Answer::Changed(ChangeOutcome::Conflict { version, conflicting_change })) => {
                format!("conflict: {conflicting_change} won, version {version} is in force\n")
            }
            Some(other) => format!("{other:?}\n"),
        }
    }

    fn versions(&self) -> String {
        let mut text = String::new();
        for node in &self.world.nodes {
            let version = node.core.as_ref().map(|core| {
                let board = core.board();
                let readiness = if board.ready { "" } else { " (not ready)" };
                format!("{}{readiness}", board.active_settings.settings.version)
            });
            let version = version.unwrap_or_else(|| "-".into());
            let _ = writeln!(text, "{} {version}", node.name);
        }
        text
    }

    fn leaders(&self, group: GroupId) -> usize {
        let running = self.world.nodes.iter().filter(|node| !node.is_frozen);
        let cores = running.filter_map(|node| node.core.as_ref());
        cores.filter(|core| core.board().leads(group)).count()
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _cx: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut output = String::new();
        match command.name.as_str() {
            "settle" => self.world.run_until_ready(),
            "run" => self.world.run(args.next_pos().ok_or("missing duration in ms")?.parse()?),
            "heal" => self.world.heal(),
            "desks" => {
                for zone in ["z1", "z2", "z3"] {
                    self.world.add_desk(zone, "desk");
                }
            }
            "kill" | "lose_disk" | "start" => {
                let name = args.next_pos().ok_or("missing host or zone name")?;
                for host in self.hosts(name)? {
                    match command.name.as_str() {
                        "kill" => self.world.kill(host),
                        "lose_disk" => self.world.lose_disk(host),
                        _ => self.world.start(host),
                    }
                }
            }
            "freeze" => {
                let name = args.next_pos().ok_or("missing host name")?;
                let millis = args.next_pos().ok_or("missing duration in ms")?.parse()?;
                let host = self.host(name)?;
                self.world.freeze(host, millis);
            }
            "cut" => {
                let name = args.next_pos().ok_or("missing host or zone name")?;
                let inside = self.hosts(name)?;
                let all = 0..self.world.nodes.len();
                let outside: Vec<usize> = all.filter(|host| !inside.contains(host)).collect();
                self.world.cut_both_ways(&inside, &outside);
            }
            "lose_replies" => self.world.network.lost_replies_percent = 100,
            "keep_replies" => self.world.network.lost_replies_percent = 0,
            "change" => {
                let id = args.next_pos().ok_or("missing change ID")?;
                let base = parse_number(args.take_key("base"))?;
                let value = parse_number(args.take_key("staleness"))?;
                let host = self.host(args.take_key("at").ok_or("missing at=HOST")?)?;
                let edits = vec![Edit::Default { key: SettingKey::Staleness, value: Some(value) }];
                let change =
                    Change { id: id.into(), base_version: base, author: "script".into(), edits };
                output = self.call(host, Call::Change(change));
            }
            "book" => {
                let key = args.next_pos().ok_or("missing key")?;
                let host = self.host(args.take_key("at").ok_or("missing at=HOST")?)?;
                output = self.call(host, booking(key));
            }
            "runs" => {
                let key = args.next_pos().ok_or("missing key")?;
                let runs = self.world.runs.iter().filter(|run| &*run.key == key).count();
                let _ = writeln!(output, "{runs}");
            }
            "versions" => output = self.versions(),
            "leaders" => {
                let (fleet, zones) = (self.leaders(GroupId::Fleet), self.leaders(GroupId::Zone));
                let _ = writeln!(output, "fleet {fleet}, zones {zones}");
            }
            other => return Err(format!("unknown command {other}").into()),
        }
        args.reject_next()?;
        Ok(output)
    }
}

/// Parses a number; a missing one is zero.
fn parse_number(text: Option<&str>) -> Result<u64, Box<dyn Error>> {
    text.map_or(Ok(0), |text| Ok(text.parse()?))
}

/// Returns a booking with a key, which determines its home zone.
fn booking(key: &str) -> Call {
    Call::Run(RunCall {
        caller: "script".into(),
        service: "desk".into(),
        idempotent: false,
        key: Some(key.into()),
        fingerprint: 1,
        max_tokens: 1,
        prefix_checksum: 0,
    })
}

#[test_case("operator_race"; "operator race")]
#[test_case("isolated_leader"; "isolated leader")]
#[test_case("second_disk_lost"; "second disk lost")]
#[test_case("zone_cut_off"; "zone cut off")]
#[test_case("lost_reply"; "lost reply")]
#[test_case("zone_without_power"; "zone without power")]
fn scripted(name: &str) {
    let path = format!("{}/tests/it/scripts/{name}", env!("CARGO_MANIFEST_DIR"));
    let mut scenario = Scenario { world: World::new(7, 3, 3, 1) };
    goldenscript::run(&mut scenario, path).expect("the output matches the script");
}
