//! `chestnutdrift`: the operators' command-line tool, which reads the state of a fleet and changes
//! its settings.

mod change_file;
mod command;
mod fleet;
mod table;

use std::process::ExitCode;

use crate::command::{COMMANDS, Command, Context};
use crate::fleet::Fleet;

/// The exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// The exit code for a command that failed or was refused.
const EXIT_FAILURE: u8 = 1;

/// The environment variable with the address of the entry host, used when `--host` is not given.
const HOST_VARIABLE: &str = "CHESTNUTDRIFT_HOST";

fn usage() -> String {
    let mut text = String::from(
        "usage: chestnutdrift [--host IP:PORT] [--json] COMMAND [OPTIONS]\n\n\
         --host is any host of the fleet; the default is CHESTNUTDRIFT_HOST.\n\
         Exit codes: 0 done, 1 failed or refused, 2 the command line can't be read.\n\ncommands:\n",
    );
    for command in COMMANDS {
        text.push_str(&format!("  {:<10} {}\n", command.name, command.summary));
    }
    text.push_str("\n`chestnutdrift COMMAND --help` lists the options of a command.\n");
    text
}

/// The options that precede the command.
struct GlobalOptions {
    host: Option<String>,
    json: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (globals, rest) = match parse_global_options(&args) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("chestnutdrift: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let Some((name, rest)) = rest.split_first() else {
        print!("{}", usage());
        return ExitCode::from(EXIT_USAGE);
    };
    if ["--help", "-h", "help"].contains(&name.as_str()) {
        print!("{}", usage());
        return ExitCode::SUCCESS;
    }
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        eprintln!("chestnutdrift: no command is named {name}; see --help");
        return ExitCode::from(EXIT_USAGE);
    };
    run(command, globals, rest)
}

/// Splits a command line into the global options and the rest, which starts with the command.
///
/// # Errors
///
/// Returns a message where `--host` has no value.
fn parse_global_options(args: &[String]) -> Result<(GlobalOptions, &[String]), String> {
    let mut globals = GlobalOptions { host: std::env::var(HOST_VARIABLE).ok(), json: false };
    let mut rest = args;
    loop {
        match rest {
            [option, value, tail @ ..] if option == "--host" => {
                globals.host = Some(value.clone());
                rest = tail;
            }
            [option, tail @ ..] if option == "--json" => {
                globals.json = true;
                rest = tail;
            }
            [option] if option == "--host" => return Err("--host needs an address".into()),
            _ => return Ok((globals, rest)),
        }
    }
}

fn run(command: &Command, globals: GlobalOptions, args: &[String]) -> ExitCode {
    let options = (command.options)();
    if args.iter().any(|arg| arg == "--help" || arg == "-h") {
        let brief = format!("usage: chestnutdrift {} {}", command.name, command.arguments);
        print!("{}\n\n{}", command.summary, options.usage(&brief));
        return ExitCode::SUCCESS;
    }
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("chestnutdrift {}: {error}; see --help", command.name);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if command.needs_host && globals.host.is_none() {
        eprintln!("chestnutdrift: name a host with --host or {HOST_VARIABLE}");
        return ExitCode::from(EXIT_USAGE);
    }
    let host = globals.host.unwrap_or_default();
    let cx = Context { fleet: Fleet::new(host), json: globals.json, matches };
    match (command.run)(&cx) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnutdrift {}: {error:#}", command.name);
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
