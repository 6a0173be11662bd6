//! The table of commands; each module below implements one.

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

/// The input of a command.
pub(crate) struct Context {
    pub(crate) fleet: Fleet,
    /// Whether the output is JSON instead of text.
    pub(crate) json: bool,
    /// The parsed options and arguments of the command.
    pub(crate) matches: Matches,
}

impl Context {
    /// Prints a value as indented JSON.
    pub(crate) fn print_json(&self, value: &impl Serialize) -> anyhow::Result<()> {
        println!("{}", serde_json::to_string_pretty(value)?);
        Ok(())
    }
}

/// A command of the tool.
pub(crate) struct Command {
    pub(crate) name: &'static str,
    /// The options and arguments as the usage line shows them.
    pub(crate) arguments: &'static str,
    /// The description in the help text.
    pub(crate) summary: &'static str,
    /// Whether it calls the fleet and thus needs the address of a host.
    pub(crate) needs_host: bool,
    pub(crate) options: fn() -> Options,
    pub(crate) run: fn(&Context) -> anyhow::Result<()>,
}

/// All commands, in the order in which the help text lists them.
pub(crate) const COMMANDS: [Command; 9] = [
    Command {
        name: "settings",
        arguments: "[--service NAME] [--all]",
        summary: "the settings in force on each host, since when, and why",
        needs_host: true,
        options: settings::options,
        run: settings::run,
    },
    Command {
        name: "change",
        arguments: "--id ID --by NAME (--file FILE | KEY=VALUE … [--scope SCOPE --reason TEXT])",
        summary: "proposes a change of the settings and waits until it is in force",
        needs_host: true,
        options: change::options,
        run: change::run,
    },
    Command {
        name: "hosts",
        arguments: "",
        summary: "the hosts, whether they accept work, and the groups that they lead",
        needs_host: true,
        options: Options::new,
        run: hosts::run,
    },
    Command {
        name: "upstreams",
        arguments: "",
        summary: "the upstreams of every zone, as each host sees them",
        needs_host: true,
        options: Options::new,
        run: upstreams::run,
    },
    Command {
        name: "trainers",
        arguments: "",
        summary: "the trainers of every zone, with their sample counts",
        needs_host: true,
        options: Options::new,
        run: trainers::run,
    },
    Command {
        name: "order",
        arguments: "--zone ZONE --upstream NAME (--adapter NAME | --role NAME)",
        summary: "orders an engine to take an adapter or a role",
        needs_host: true,
        options: order::options,
        run: order::run,
    },
    Command {
        name: "drain",
        arguments: "HOST",
        summary: "lets a host finish its work and stops it",
        needs_host: true,
        options: Options::new,
        run: drain::run,
    },
    Command {
        name: "timeline",
        arguments: "[--subject TEXT] [--kind KIND] [--on HOST]",
        summary: "the events of all processes in one list, cause before effect",
        needs_host: true,
        options: timeline::options,
        run: timeline::run,
    },
    Command {
        name: "explain",
        arguments: "ID LOG …",
        summary: "the log lines of several hosts about a request, job, upstream or host",
        needs_host: false,
        options: Options::new,
        run: explain::run,
    },
];
