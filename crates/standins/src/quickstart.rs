//! The whole frame on loopback, once through, with every answer checked.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};
use serde_json::{Value, json};

use crate::client::Client;
use crate::engine::expected_answer;
use crate::fleet::{Fleet, FleetPlan, free_addresses};
use crate::load::{self, LoadPlan, LoadTarget};
use crate::process::{Process, sibling_program, wait_until};
use crate::trainer::{Trainer, prompt_groups};

const ZONES: [&str; 3] = ["fukuoka-hakata", "kumamoto-kita", "kagoshima-port"];
const MODEL: &str = "quote-drafters";
const DESK: &str = "order-desk";
const ENGINES_PER_ZONE: usize = 4;
const GROUPS: u32 = 8;
const SAMPLES: u32 = 4;
const TOKENS: u32 = 24;

/// How long each stage may take; a stage ends as soon as it is done.
const STAGE: Duration = Duration::from_secs(60);

/// The stand-ins of the frame, as processes.
#[derive(Debug)]
struct Surroundings {
    processes: Vec<Process>,
    entry: Box<str>,
    desks: Vec<Box<str>>,
}

/// Runs the frame and prints what came back.
///
/// # Errors
///
/// Returns the first thing that is wrong.
pub fn run(folder: &Path) -> anyhow::Result<()> {
    let folder = folder.join(format!("quickstart-{}", std::process::id()));
    let fleet = Fleet::start(&FleetPlan::new(&ZONES), &folder)?;
    println!("files of this run: {}", folder.display());
    let took = fleet.wait_ready(STAGE)?;
    println!("9 of 9 hosts ready, every zone and the fleet led, after {} ms", took.as_millis());
    let surroundings = Surroundings::start(&fleet, &folder)?;
    wait_for_upstreams(&fleet)?;
    let entry = surroundings.entry.clone();
    let chats = std::thread::spawn(move || interactive(entry));
    train(&fleet, &surroundings.entry)?;
    let chats = chats.join().map_err(|_| anyhow::anyhow!("the chats panicked"))??;
    println!("{chats}");
    stream_once(&surroundings.entry)?;
    book_twice(&surroundings)?;
    change_once(&fleet)?;
    show_timeline(&fleet)?;
    fleet.close(STAGE)?;
    println!("9 of 9 hosts stopped, nothing cut");
    surroundings.close()?;
    println!("all is as it should be");
    Ok(())
}

impl Surroundings {
    fn start(fleet: &Fleet, folder: &Path) -> anyhow::Result<Self> {
        let program = sibling_program("chestnutdrift-standins")?;
        let count = 2 + ZONES.len() * (ENGINES_PER_ZONE + 1);
        let addresses = free_addresses(count)?;
        let mut free = addresses.iter().map(ToString::to_string);
        let mut next = || free.next().context("no address is left");
        let mut processes = Vec::new();
        let mut start = |name: &str, args: &[&str]| -> anyhow::Result<()> {
            let log = folder.join(format!("{name}.log"));
            processes.push(Process::start(name, &program, args, &log)?);
            Ok(())
        };
        let store = next()?;
        start("store", &["store", "--address", &store])?;
        let mut desks = Vec::new();
        for zone in ZONES {
            let hosts = fleet.zone_hosts(zone);
            let told: Vec<&str> = hosts.iter().flat_map(|host| ["--host", &**host]).collect();
            for at in 0..ENGINES_PER_ZONE {
                let name = format!("drafter-{zone}-{at}");
                let address = next()?;
                let own = ["engine", "--name", &name, "--service", MODEL, "--address", &address];
                let args = [&own[..], &["--store", &store], &told].concat();
                start(&name, &args)?;
            }
            let name = format!("desk-{zone}");
            let address = next()?;
            let own = ["desk", "--name", &name, "--service", DESK, "--address", &address];
            start(&name, &[&own[..], &told].concat())?;
            desks.push(address.into());
        }
        let entry = next()?;
        let hosts: Vec<String> = fleet.hosts.iter().map(|host| host.http.to_string()).collect();
        let told: Vec<&str> = hosts.iter().flat_map(|host| ["--host", host.as_str()]).collect();
        start("balancer", &[&["balancer", "--address", &entry][..], &told].concat())?;
        Ok(Self { processes, entry: entry.into(), desks })
    }

    fn close(self) -> anyhow::Result<()> {
        for process in self.processes {
            let (name, id) = (process.name().to_string(), process.id());
            process.kill().with_context(|| format!("{name} ({id}) can't be stopped"))?;
        }
        Ok(())
    }
}

fn wait_for_upstreams(fleet: &Fleet) -> anyhow::Result<()> {
    let count = fleet.hosts.len();
    wait_until("every host knows its zone's upstreams", STAGE, || {
        (0..count).all(|at| {
            let listed = fleet.client.get_json(&fleet.url(at, "/v1/operator/upstreams"));
            listed.is_ok_and(|list| {
                list.as_array().is_some_and(|list| list.len() == ENGINES_PER_ZONE + 1)
            })
        })
    })?;
    Ok(())
}

/// Runs two training steps with a change of weights between them.
fn train(fleet: &Fleet, entry: &str) -> anyhow::Result<()> {
    let mut trainer = Trainer::new("quote-trainer", MODEL, entry);
    let per_step = (GROUPS * SAMPLES) as usize;
    for step in 1..=2 {
        let start = Instant::now();
        let groups = prompt_groups(step, GROUPS, SAMPLES, TOKENS);
        trainer.submit(step, &groups, STAGE)?;
        trainer.fetch_until(per_step * usize::try_from(step)?, STAGE)?;
        println!("step {step}: {per_step} samples after {} ms", start.elapsed().as_millis());
        if step == 1 {
            let version = trainer.publish(2, STAGE)?;
            wait_for_version(fleet, version)?;
        }
    }
    check_samples(&trainer, per_step * 2)?;
    Ok(())
}

fn check_samples(trainer: &Trainer, count: usize) -> anyhow::Result<()> {
    ensure!(trainer.received().len() == count, "{} of {count} samples", trainer.received().len());
    let mut by_version = std::collections::BTreeMap::new();
    for ((step, group, index), samples) in trainer.received() {
        let place = format!("sample {step}/{group}/{index}");
        ensure!(samples.len() == 1, "{place} came {} times", samples.len());
        let sample = &samples[0];
        let at: u32 = group.trim_start_matches('g').parse()?;
        let prompt = format!("draft a quote for order {at} of step {step}");
        let text = sample.text.as_deref().with_context(|| format!("{place} failed"))?;
        ensure!(*text == *expected_answer(&prompt, TOKENS), "{place} is not its prompt's answer");
        let mut covered = 0;
        for span in &sample.versions {
            ensure!(span.from == covered, "{place}: a gap in its versions");
            covered = span.to;
            *by_version.entry(span.version).or_insert(0_u32) += span.to - span.from;
        }
        ensure!(covered == TOKENS, "{place}: versions for {covered} of {TOKENS} tokens");
    }
    println!("{count} samples, each once and whole; tokens by version: {by_version:?}");
    Ok(())
}

/// Waits until every engine reports a version.
fn wait_for_version(fleet: &Fleet, version: u64) -> anyhow::Result<()> {
    let count = fleet.hosts.len();
    let took = wait_until("every engine runs the published version", STAGE, || {
        (0..count).all(|at| {
            let listed = fleet.client.get_json(&fleet.url(at, "/v1/operator/upstreams"));
            let Ok(Value::Array(list)) = listed else { return false };
            let engines = list.iter().filter(|upstream| upstream["service"] == MODEL);
            engines.clone().count() == ENGINES_PER_ZONE
                && engines.clone().all(|engine| engine["version"] == version)
        })
    })?;
    let engines = ENGINES_PER_ZONE * ZONES.len();
    println!("version {version} on {engines} of {engines} engines after {} ms", took.as_millis());
    Ok(())
}

/// Offers chats through the balancer while the trainer works.
fn interactive(entry: Box<str>) -> anyhow::Result<String> {
    let target = LoadTarget::Entry(vec![entry]);
    let plan = LoadPlan::new(target, MODEL).requests(40.0, 80).tokens(8).seed(7);
    let report = load::run(&plan)?;
    ensure!(report.wrong == 0 && report.failed == 0, "{report:?}");
    ensure!(report.refused == 0, "{} chats were refused", report.refused);
    Ok(format!(
        "{} chats of 8 tokens, all whole; wait p50 {:.1} ms, p99 {:.1} ms",
        report.times.len(),
        report.millis(0.5),
        report.millis(0.99)
    ))
}

fn stream_once(entry: &str) -> anyhow::Result<()> {
    let client = Client::new(STAGE);
    let body = json!({
        "model": MODEL,
        "stream": true,
        "max_completion_tokens": 6,
        "messages": [{ "role": "user", "content": "two stretcher bars" }],
    });
    let url = format!("http://{entry}/v1/chat/completions");
    let text = client.post(&url, &body)?.ok()?.text();
    let mut answer = String::new();
    for line in text.lines() {
        let Some(data) = line.strip_prefix("data: ").filter(|data| *data != "[DONE]") else {
            continue;
        };
        let chunk: Value = serde_json::from_str(data)?;
        answer.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    let wanted = expected_answer("user: two stretcher bars\n", 6);
    ensure!(answer == wanted, "the stream gave {answer:?}, not {wanted:?}");
    ensure!(text.trim_end().ends_with("data: [DONE]"), "the stream has no end mark");
    println!("a streamed chat came whole, with its end mark");
    Ok(())
}

/// Sends one booking twice, through whichever hosts the balancer takes.
fn book_twice(surroundings: &Surroundings) -> anyhow::Result<()> {
    let client = Client::new(STAGE);
    let url = format!("http://{}/v1/services/{DESK}/pallets", surroundings.entry);
    let headers = [("idempotency-key", "pallet-1"), ("chestnutdrift-caller", "shop-7")];
    let mut answers = Vec::new();
    for _ in 0..2 {
        let body = json!({ "canvas": 40 });
        answers.push(client.post_with_headers(&url, &body, &headers)?.ok()?.text());
    }
    ensure!(answers[0] == answers[1], "two answers for one booking: {answers:?}");
    let mut ran = 0;
    for desk in &surroundings.desks {
        let bookings = client.get_json(&format!("http://{desk}/bookings"))?;
        ran += bookings["pallet-1"].as_u64().unwrap_or(0);
    }
    ensure!(ran == 1, "the booking ran {ran} times");
    println!("a booking sent twice ran once, both answers: {}", answers[0]);
    Ok(())
}

fn change_once(fleet: &Fleet) -> anyhow::Result<()> {
    let edits = vec![
        EditBody { key: "staleness".into(), value: Some(3), scope: None, reason: "".into() },
        EditBody {
            key: "upstream_slots".into(),
            value: Some(6),
            scope: Some("zone:kumamoto-kita".into()),
            reason: "its engines share their machines until Monday".into(),
        },
    ];
    let base = fleet.settings_version(0)?;
    let id = "quickstart-1".into();
    let change = ChangeBody { id, base_version: base, author: "quickstart".into(), edits };
    let start = Instant::now();
    let answer = fleet.propose_change(4, &change)?;
    ensure!(answer.accepted, "the change was not accepted: {answer:?}");
    let again = fleet.propose_change(8, &change)?;
    ensure!(again == answer, "the change sent again got {again:?}, not {answer:?}");
    let count = fleet.hosts.len();
    wait_until("the change is in force everywhere", Duration::from_secs(5), || {
        (0..count)
            .all(|at| fleet.settings_version(at).is_ok_and(|in_force| in_force == answer.version))
    })?;
    println!(
        "settings version {} in force on {count} of {count} hosts after {} ms",
        answer.version,
        start.elapsed().as_millis()
    );
    let report = fleet.client.get_json(&fleet.url(3, "/v1/operator/settings"))?;
    for effective in report["effective"].as_array().into_iter().flatten() {
        if effective["from"] == "built-in" {
            continue;
        }
        println!("  {}: {}", fleet.hosts[3].name, effective);
    }
    Ok(())
}

fn show_timeline(fleet: &Fleet) -> anyhow::Result<()> {
    let program = sibling_program("chestnutdrift")?;
    let entry = fleet.hosts[0].http.to_string();
    let output = std::process::Command::new(program)
        .args(["--host", &entry, "timeline", "--kind", "settings-in-force"])
        .output()?;
    ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8_lossy(&output.stdout);
    ensure!(text.lines().count() == fleet.hosts.len(), "the time line gave:\n{text}");
    println!("time line of all processes, when the change came into force:\n{}", text.trim_end());
    Ok(())
}
