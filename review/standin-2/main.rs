//! The stand-ins of the cases: operator, trainers, clients, workers and network paths.
//!
//! `standin CASE FOLDER TEMP TROUBLE` plays one case, and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod deployment;
mod http;
mod leave;
mod limits;
mod orders;
mod path;
mod scale;
mod streams;
mod trainer;
mod worker;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, temp, trouble] = &args[..] else {
        eprintln!("standin CASE FOLDER TEMP TROUBLE");
        return ExitCode::from(2);
    };
    let log = deployment::Log::create(&Path::new(folder).join("record.txt"));
    let trouble = trouble != "0";
    log.note(format!("case {case}, with the disruption: {trouble}"));
    let temp = Path::new(temp);
    let verdict = match case.as_str() {
        "leave" => leave::play(&log, temp, trouble),
        "limits" => limits::play(&log, temp, trouble),
        "streams" => streams::play(&log, temp, trouble),
        "scale" => scale::play(&log, temp, trouble),
        "orders" => orders::play(&log, temp, trouble),
        _ => Verdict::CouldNotRun,
    };
    let (word, code) = match verdict {
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::Held => ("the rule held", 0),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    log.note(word);
    println!("{word}");
    ExitCode::from(code)
}
