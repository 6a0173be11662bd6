//! `chestnutdrift-standins`: the stand-ins as processes, the quick start and the experiments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, bail};
use chestnutdrift_standins::balancer::Balancer;
use chestnutdrift_standins::desk::{Desk, DeskSettings};
use chestnutdrift_standins::engine::{Engine, EngineSettings};
use chestnutdrift_standins::store::Store;
use chestnutdrift_standins::{experiment, quickstart};
use getopts::{Matches, Options};

const USAGE: &str = "usage: chestnutdrift-standins COMMAND [OPTIONS]

commands:
  engine      a model engine
  desk        a plain service whose calls may not be repeated
  store       a weight store with a rate limit
  balancer    the platform's balancer
  quickstart  the whole frame on loopback, once through
  experiment  NAME: one measurement; without a name, the list";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "name", "the stand-in's name", "NAME");
    options.optopt("", "service", "its service", "NAME");
    options.optopt("", "address", "where it listens", "IP:PORT");
    options.optmulti("", "host", "HTTP address of a host, again for each", "IP:PORT");
    options.optopt("", "store", "the weight store", "IP:PORT");
    options.optopt("", "slots", "requests that it runs at a time", "N");
    options.optopt("", "token-ms", "the time of one token", "MS");
    options.optopt("", "work-ms", "the time of one call or fetch", "MS");
    options.optopt("", "folder", "where files go", "DIR");
    options.optopt("", "seed", "the seed of an experiment", "N");
    options.optflag("", "ignores-fence", "the engine does not check fencing numbers");
    options.optflag("h", "help", "print this help");
    options
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = options();
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("chestnutdrift-standins: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") || matches.free.is_empty() {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnutdrift-standins: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &Matches) -> anyhow::Result<()> {
    let folder = PathBuf::from(matches.opt_str("folder").unwrap_or_else(|| "run".into()));
    match matches.free[0].as_str() {
        "engine" => stay(Engine::start(engine(matches)?)?),
        "desk" => stay(Desk::start(desk(matches)?)?),
        "store" => {
            let fetch = Duration::from_millis(number(matches, "work-ms", 40)?);
            let at_once = usize::try_from(number(matches, "slots", 4)?)?;
            stay(Store::start(address(matches)?, at_once, fetch)?)
        }
        "balancer" => stay(Balancer::start(address(matches)?, socket_hosts(matches)?)?),
        "quickstart" => quickstart::run(&folder),
        "experiment" => {
            let name = matches.free.get(1).map_or("", String::as_str);
            experiment::run(name, &folder, number(matches, "seed", 1)?)
        }
        other => bail!("no command is named {other}"),
    }
}

/// Keeps a stand-in until the process is ended.
fn stay<T>(_standin: T) -> anyhow::Result<()> {
    loop {
        std::thread::park();
    }
}

fn number(matches: &Matches, name: &str, default: u64) -> anyhow::Result<u64> {
    let Some(text) = matches.opt_str(name) else { return Ok(default) };
    text.parse().with_context(|| format!("--{name} {text} is not a whole number"))
}

fn address(matches: &Matches) -> anyhow::Result<SocketAddr> {
    let text = matches.opt_str("address").context("--address is missing")?;
    text.parse().with_context(|| format!("--address {text} is not an IP number and port"))
}

fn hosts(matches: &Matches) -> Vec<Box<str>> {
    matches.opt_strs("host").into_iter().map(Into::into).collect()
}

fn socket_hosts(matches: &Matches) -> anyhow::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for host in matches.opt_strs("host") {
        addresses.push(host.parse().with_context(|| format!("--host {host}"))?);
    }
    Ok(addresses)
}

fn engine(matches: &Matches) -> anyhow::Result<EngineSettings> {
    let name = matches.opt_str("name").context("--name is missing")?;
    let service = matches.opt_str("service").context("--service is missing")?;
    let mut cfg = EngineSettings::new(name, service)
        .address(address(matches)?)
        .hosts(hosts(matches))
        .slots(u32::try_from(number(matches, "slots", 8)?)?)
        .token_interval(Duration::from_millis(number(matches, "token-ms", 2)?))
        .checks_fence(!matches.opt_present("ignores-fence"));
    if let Some(store) = matches.opt_str("store") {
        cfg = cfg.store(store);
    }
    Ok(cfg)
}

fn desk(matches: &Matches) -> anyhow::Result<DeskSettings> {
    Ok(DeskSettings {
        name: matches.opt_str("name").context("--name is missing")?.into(),
        service: matches.opt_str("service").context("--service is missing")?.into(),
        address: address(matches)?,
        hosts: hosts(matches),
        booking_time: Duration::from_millis(number(matches, "work-ms", 20)?),
    })
}
