//! Scripted scenarios: `scripts/*` hold commands with the output that they must give.
//!
//! After a change that is meant, `UPDATE_GOLDENFILES=1 cargo test -p chestnutdrift-core --test it
//! scripts` writes the outputs anew; read the difference before you commit it.

use std::error::Error;
use std::fmt::Write;

use chestnutdrift_core::action::Answer;
use chestnutdrift_core::agreement::GroupId;
use chestnutdrift_core::event::{Call, RunCall};
use chestnutdrift_core::fleet::{Change, ChangeOutcome, Edit, SettingKey};
use goldenscript::{Command, Context, Runner};
use test_case::test_case;

use crate::world::World;

/// How long a scripted call may take, in milliseconds.
const CALL: u64 = 20_000;

struct Scenario {
    world: World,
}

impl Scenario {
    fn host(&self, name: &str) -> Result<usize, Box<dyn Error>> {
        let found = self.world.nodes.iter().position(|node| &*node.name == name);
        found.ok_or_else(|| format!("no host is named {name}").into())
    }

    fn hosts(&self, name: &str) -> Result<Vec<usize>, Box<dyn Error>> {
        let zone = self.world.zone(name);
        if zone.is_empty() { Ok(vec![self.host(name)?]) } else { Ok(zone) }
    }

    /// Sends a call and tells what came back.
    fn ask(&mut self, at: usize, call: Call) -> String {
        let number = self.world.send(at, call);
        let end = self.world.now + CALL;
        while self.world.sends[number].waits() && self.world.now < end {
            self.world.run(10);
        }
        match self.world.sends[number].answer() {
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
            Some(Answer::Changed(ChangeOutcome::Conflict {
                version,
                conflicting_change: winner,
            })) => {
                format!("conflict: {winner} won, version {version} is in force\n")
            }
            Some(other) => format!("{other:?}\n"),
        }
    }

    fn versions(&self) -> String {
        let mut text = String::new();
        for node in &self.world.nodes {
            let version = node.core.as_ref().map(|core| {
                let board = core.board();
                let serves = if board.ready { "" } else { " (not ready)" };
                format!("{}{serves}", board.active_settings.settings.version)
            });
            let version = version.unwrap_or_else(|| "-".into());
            let _ = writeln!(text, "{} {version}", node.name);
        }
        text
    }

    fn leaders(&self, group: GroupId) -> usize {
        let running = self.world.nodes.iter().filter(|node| !node.frozen);
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
            "settle" => self.world.settle(),
            "run" => self.world.run(args.next_pos().ok_or("run for how long?")?.parse()?),
            "heal" => self.world.heal(),
            "desks" => {
                for zone in ["z1", "z2", "z3"] {
                    self.world.add_desk(zone, "desk");
                }
            }
            "kill" | "lose_disk" | "start" => {
                let name = args.next_pos().ok_or("which host?")?;
                for at in self.hosts(name)? {
                    match command.name.as_str() {
                        "kill" => self.world.kill(at),
                        "lose_disk" => self.world.lose_disk(at),
                        _ => self.world.start(at),
                    }
                }
            }
            "freeze" => {
                let name = args.next_pos().ok_or("which host?")?;
                let millis = args.next_pos().ok_or("for how long?")?.parse()?;
                let at = self.host(name)?;
                self.world.freeze(at, millis);
            }
            "cut" => {
                let name = args.next_pos().ok_or("which zone or host?")?;
                let inside = self.hosts(name)?;
                let all = 0..self.world.nodes.len();
                let outside: Vec<usize> = all.filter(|at| !inside.contains(at)).collect();
                self.world.cut_both(&inside, &outside);
            }
            "lose_replies" => self.world.network.lost_replies_percent = 100,
            "keep_replies" => self.world.network.lost_replies_percent = 0,
            "change" => {
                let id = args.next_pos().ok_or("which id?")?;
                let base = number(args.take_key("base"))?;
                let value = number(args.take_key("staleness"))?;
                let at = self.host(args.take_key("at").ok_or("at which host?")?)?;
                let edits = vec![Edit::Default { key: SettingKey::Staleness, value: Some(value) }];
                let change =
                    Change { id: id.into(), base_version: base, author: "script".into(), edits };
                output = self.ask(at, Call::Change(change));
            }
            "book" => {
                let key = args.next_pos().ok_or("which key?")?;
                let at = self.host(args.take_key("at").ok_or("at which host?")?)?;
                output = self.ask(at, booking(key));
            }
            "runs" => {
                let key = args.next_pos().ok_or("which key?")?;
                let runs = self.world.runs.iter().filter(|run| &*run.key == key).count();
                let _ = writeln!(output, "{runs}");
            }
            "versions" => output = self.versions(),
            "leaders" => {
                let (fleet, zones) = (self.leaders(GroupId::Fleet), self.leaders(GroupId::Zone));
                let _ = writeln!(output, "fleet {fleet}, zones {zones}");
            }
            other => return Err(format!("no command is named {other}").into()),
        }
        args.reject_next()?;
        Ok(output)
    }
}

/// Reads a number, or zero where none is given.
fn number(text: Option<&str>) -> Result<u64, Box<dyn Error>> {
    text.map_or(Ok(0), |text| Ok(text.parse()?))
}

/// Makes a booking; its home is the zone that its key maps to.
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
    goldenscript::run(&mut scenario, path).expect("the script gives its output");
}
