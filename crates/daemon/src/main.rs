//! `chestnutdriftd`: the daemon of one host.

use std::path::PathBuf;
use std::process::ExitCode;

use chestnutdrift_daemon::daemon::Daemon;
use chestnutdrift_daemon::logging;
use chestnutdrift_daemon::settings::Settings;
use getopts::Options;

/// The exit code for an invalid command line or invalid settings.
const BAD_SETTINGS: u8 = 2;

fn options() -> Options {
    let mut options = Options::new();
    options.reqopt("s", "settings", "the INI file of this host", "FILE");
    options.optflag("", "check", "check the settings and stop");
    options.optflag("h", "help", "print this help");
    options
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = options();
    if args.iter().any(|arg| arg == "-h" || arg == "--help") {
        print!("{}", options.usage("usage: chestnutdriftd --settings FILE [--check]"));
        return ExitCode::SUCCESS;
    }
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("chestnutdriftd: {error}; see --help");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    let path = PathBuf::from(matches.opt_str("settings").unwrap_or_default());
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("chestnutdriftd: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if let Err(error) = settings.check_addresses() {
        eprintln!("chestnutdriftd: {}: {error}", path.display());
        return ExitCode::from(BAD_SETTINGS);
    }
    if matches.opt_present("check") {
        println!("{}: the settings of {} can be used", path.display(), settings.host.name);
        return ExitCode::SUCCESS;
    }
    run(&settings)
}

fn run(settings: &Settings) -> ExitCode {
    if let Err(error) = logging::start(&settings.log) {
        eprintln!("chestnutdriftd: {error:#}");
        return ExitCode::from(BAD_SETTINGS);
    }
    logging::finish(Daemon::start(settings).and_then(Daemon::run))
}
