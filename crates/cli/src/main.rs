//! `chestnutdrift`: reads back and changes what a fleet does.

mod change_file;
mod command;
mod fleet;
mod table;

use std::process::ExitCode;

use crate::command::{COMMANDS, Command, Context};
use crate::fleet::Fleet;

/// The exit code for a command line that can't be read.
const BAD_USAGE: u8 = 2;

/// The exit code for a failure.
const FAILED: u8 = 1;

/// The environment variable that names an entry host where `--host` does not.
const HOST_VARIABLE: &str = "CHESTNUTDRIFT_HOST";

fn usage() -> String {
    let mut text = String::from(
        "usage: chestnutdrift [--host IP:PORT] [--json] COMMAND [OPTIONS]\n\n\
         --host is any host of the fleet; CHESTNUTDRIFT_HOST stands in for it.\n\
         Exit codes: 0 done, 1 failed or refused, 2 the command line can't be read.\n\ncommands:\n",
    );
    for command in COMMANDS {
        text.push_str(&format!("  {:<10} {}\n", command.name, command.what));
    }
    text.push_str("\n`chestnutdrift COMMAND --help` tells the options of a command.\n");
    text
}

/// The options before the command.
struct Head {
    host: Option<String>,
    json: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (head, rest) = match split(&args) {
        Ok(split) => split,
        Err(error) => {
            eprintln!("chestnutdrift: {error}");
            return ExitCode::from(BAD_USAGE);
        }
    };
    let Some((name, rest)) = rest.split_first() else {
        print!("{}", usage());
        return ExitCode::from(BAD_USAGE);
    };
    if ["--help", "-h", "help"].contains(&name.as_str()) {
        print!("{}", usage());
        return ExitCode::SUCCESS;
    }
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        eprintln!("chestnutdrift: no command is named {name}; see --help");
        return ExitCode::from(BAD_USAGE);
    };
    run(command, head, rest)
}

/// Takes the options before the command off the command line.
fn split(args: &[String]) -> Result<(Head, &[String]), String> {
    let mut head = Head { host: std::env::var(HOST_VARIABLE).ok(), json: false };
    let mut rest = args;
    loop {
        match rest {
            [option, value, tail @ ..] if option == "--host" => {
                head.host = Some(value.clone());
                rest = tail;
            }
            [option, tail @ ..] if option == "--json" => {
                head.json = true;
                rest = tail;
            }
            [option] if option == "--host" => return Err("--host needs an address".into()),
            _ => return Ok((head, rest)),
        }
    }
}

fn run(command: &Command, head: Head, args: &[String]) -> ExitCode {
    let options = (command.options)();
    if args.iter().any(|arg| arg == "--help" || arg == "-h") {
        let brief = format!("usage: chestnutdrift {} {}", command.name, command.arguments);
        print!("{}\n\n{}", command.what, options.usage(&brief));
        return ExitCode::SUCCESS;
    }
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("chestnutdrift {}: {error}; see --help", command.name);
            return ExitCode::from(BAD_USAGE);
        }
    };
    if command.asks && head.host.is_none() {
        eprintln!("chestnutdrift: name a host with --host or {HOST_VARIABLE}");
        return ExitCode::from(BAD_USAGE);
    }
    let host = head.host.unwrap_or_default();
    let cx = Context { fleet: Fleet::new(host), json: head.json, matches };
    match (command.run)(&cx) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnutdrift {}: {error:#}", command.name);
            ExitCode::from(FAILED)
        }
    }
}
