//! Stand-ins for the cases of the review, and the cases themselves: `standin CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod fleet;
mod http;
mod record;
mod worker;

use std::sync::Arc;
use std::time::Duration;

/// How long a case may run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, record) = (case.clone(), Arc::new(record::Record::create(path)));
    record.say(&format!("case {case}, trouble {trouble}"));
    let late = Arc::clone(&record);
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        late.say("the case took too long");
        fleet::end_all();
        std::process::exit(2);
    });
    let shared = Arc::clone(&record);
    let ran = std::thread::spawn(move || cases::run(&case, trouble, &shared)).join();
    let code = match ran {
        Ok(Some(true)) => 1,
        Ok(Some(false)) => 0,
        Ok(None) | Err(_) => 2,
    };
    fleet::end_all();
    record.say(&format!("exit {code}"));
    std::process::exit(code);
}
