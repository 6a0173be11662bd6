//! The commands.

mod change;
mod drain;
mod explain;
mod hosts;
mod order;
mod settings;
mod timeline;
mod trainers;
mod upstreams;

use getopts::{Matches, Options};
use serde::Serialize;

use crate::fleet::Fleet;

/// What a command is given.
pub(crate) struct Context {
    pub(crate) fleet: Fleet,
    pub(crate) json: bool,
    pub(crate) matches: Matches,
}

impl Context {
    /// Prints a value as JSON.
    pub(crate) fn print_json(&self, value: &impl Serialize) -> anyhow::Result<()> {
        println!("{}", serde_json::to_string_pretty(value)?);
        Ok(())
    }
}

/// One command.
pub(crate) struct Command {
    pub(crate) name: &'static str,
    pub(crate) arguments: &'static str,
    pub(crate) what: &'static str,
    /// Whether it asks the fleet, so that a host must be named.
    pub(crate) asks: bool,
    pub(crate) options: fn() -> Options,
    pub(crate) run: fn(&Context) -> anyhow::Result<()>,
}

/// Every command.
pub(crate) const COMMANDS: [Command; 9] = [
    Command {
        name: "settings",
        arguments: "[--service NAME] [--all]",
        what: "the settings in force on each host, since when, and why",
        asks: true,
        options: settings::options,
        run: settings::run,
    },
    Command {
        name: "change",
        arguments: "--id ID --by NAME (--file FILE | KEY=VALUE … [--scope SCOPE --reason TEXT])",
        what: "proposes a change of the settings and waits until it is in force",
        asks: true,
        options: change::options,
        run: change::run,
    },
    Command {
        name: "hosts",
        arguments: "",
        what: "the hosts, whether they take work, and what they lead",
        asks: true,
        options: Options::new,
        run: hosts::run,
    },
    Command {
        name: "upstreams",
        arguments: "",
        what: "the upstreams of every zone, as each host sees them",
        asks: true,
        options: Options::new,
        run: upstreams::run,
    },
    Command {
        name: "trainers",
        arguments: "",
        what: "the trainers of every zone, with counts by ending",
        asks: true,
        options: Options::new,
        run: trainers::run,
    },
    Command {
        name: "order",
        arguments: "--zone ZONE --upstream NAME (--adapter NAME | --role NAME)",
        what: "orders an engine to take an adapter or a role",
        asks: true,
        options: order::options,
        run: order::run,
    },
    Command {
        name: "drain",
        arguments: "HOST",
        what: "has a host finish what it holds and stop",
        asks: true,
        options: Options::new,
        run: drain::run,
    },
    Command {
        name: "timeline",
        arguments: "[--subject TEXT] [--kind KIND] [--on HOST]",
        what: "the events of all processes in one list, cause before effect",
        asks: true,
        options: timeline::options,
        run: timeline::run,
    },
    Command {
        name: "explain",
        arguments: "ID LOG …",
        what: "what the logs of several hosts say of a request, job, upstream or host",
        asks: false,
        options: Options::new,
        run: explain::run,
    },
];
