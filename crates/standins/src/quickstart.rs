//! The quick start: a fleet and its stand-ins on loopback, with every answer checked.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use chestnutdrift_wire::api::operator::{ChangeBody, EditBody};
use serde_json::{Value, json};

use crate::client::Client;
use crate::engine::expected_answer;
use crate::fleet::{Fleet, FleetPlan};
use crate::load::{self, LoadPlan, LoadTarget};
use crate::ports::free_addresses;
use crate::process::{Process, sibling_program, wait_until};
use crate::trainer::{Trainer, prompt_groups};

const ZONES: [&str; 3] = ["fukuoka-hakata", "kumamoto-kita", "kagoshima-port"];
const MODEL: &str = "quote-drafters";
const DESK_SERVICE: &str = "order-desk";
const ENGINES_PER_ZONE: usize = 4;
const GROUPS_PER_STEP: u32 = 8;
const SAMPLES_PER_GROUP: u32 = 4;
const TOKENS_PER_SAMPLE: u32 = 24;

/// The time limit of each stage; a stage ends as soon as its condition holds.
const STAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// The stand-ins of the quick start, as processes.
#[derive(Debug)]
struct StandIns {
    processes: Vec<Process>,
    /// The address of the balancer.
    entry: Box<str>,
    /// The addresses of the desks.
    desks: Vec<Box<str>>,
}

/// Runs the quick start and prints the results.
///
/// # Errors
///
/// Returns an error for the first check that fails, or where a process can't be started or called.
pub fn run(folder: &Path) -> anyhow::Result<()> {
    let folder = folder.join(format!("quickstart-{}", std::process::id()));
    let fleet = Fleet::start(&FleetPlan::new(&ZONES), &folder)?;
    println!("files of this run: {}", folder.display());
    let took = fleet.wait_ready(STAGE_TIMEOUT)?;
    println!(
        "9 of 9 hosts ready, the fleet and every zone with a leader, after {} ms",
        took.as_millis()
    );
    let stand_ins = StandIns::start(&fleet, &folder)?;
    wait_for_upstreams(&fleet)?;
    let entry = stand_ins.entry.clone();
    let chats = std::thread::spawn(move || run_chats(entry));
    train(&fleet, &stand_ins.entry)?;
    let chats = chats.join().map_err(|_| anyhow::anyhow!("the chats panicked"))??;
    println!("{chats}");
    check_stream(&stand_ins.entry)?;
    check_booking(&stand_ins)?;
    check_change(&fleet)?;
    check_timeline(&fleet)?;
    fleet.close(STAGE_TIMEOUT)?;
    println!("9 of 9 hosts stopped without a failure");
    stand_ins.close()?;
    println!("all checks passed");
    Ok(())
}

impl StandIns {
    fn start(fleet: &Fleet, folder: &Path) -> anyhow::Result<Self> {
        let program = sibling_program("chestnutdrift-standins")?;
        let count = 2 + ZONES.len() * (ENGINES_PER_ZONE + 1);
        let addresses = free_addresses(count)?;
        let mut free = addresses.iter().map(ToString::to_string);
        let mut next = || free.next().context("no free address is left");
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
            let host_args: Vec<&str> = hosts.iter().flat_map(|host| ["--host", &**host]).collect();
            for index in 0..ENGINES_PER_ZONE {
                let name = format!("drafter-{zone}-{index}");
                let address = next()?;
                let own_args =
                    ["engine", "--name", &name, "--service", MODEL, "--address", &address];
                let args = [&own_args[..], &["--store", &store], &host_args].concat();
                start(&name, &args)?;
            }
            let name = format!("desk-{zone}");
            let address = next()?;
            let own_args =
                ["desk", "--name", &name, "--service", DESK_SERVICE, "--address", &address];
            start(&name, &[&own_args[..], &host_args].concat())?;
            desks.push(address.into());
        }
        let entry = next()?;
        let hosts: Vec<String> = fleet.hosts.iter().map(|host| host.http.to_string()).collect();
        let host_args: Vec<&str> =
            hosts.iter().flat_map(|host| ["--host", host.as_str()]).collect();
        start("balancer", &[&["balancer", "--address", &entry][..], &host_args].concat())?;
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
    wait_until("every host lists the upstreams of its zone", STAGE_TIMEOUT, || {
        (0..count).all(|index| {
            let listed = fleet.client.get_json(&fleet.url(index, "/v1/operator/upstreams"));
            listed.is_ok_and(|list| {
                list.as_array().is_some_and(|list| list.len() == ENGINES_PER_ZONE + 1)
            })
        })
    })?;
    Ok(())
}

/// Runs two training steps and publishes a new version of the weights between them.
fn train(fleet: &Fleet, entry: &str) -> anyhow::Result<()> {
    let mut trainer = Trainer::new("quote-trainer", MODEL, entry);
    let per_step = (GROUPS_PER_STEP * SAMPLES_PER_GROUP) as usize;
    for step in 1..=2 {
        let start = Instant::now();
        let groups = prompt_groups(step, GROUPS_PER_STEP, SAMPLES_PER_GROUP, TOKENS_PER_SAMPLE);
        trainer.submit(step, &groups, STAGE_TIMEOUT)?;
        trainer.fetch_until(per_step * usize::try_from(step)?, STAGE_TIMEOUT)?;
        println!("step {step}: {per_step} samples after {} ms", start.elapsed().as_millis());
        if step == 1 {
            let version = trainer.publish(2, STAGE_TIMEOUT)?;
            wait_for_version(fleet, version)?;
        }
    }
    check_samples(&trainer, per_step * 2)?;
    Ok(())
}

/// Checks that each sample arrived once and complete, with a version for every token.
fn check_samples(trainer: &Trainer, count: usize) -> anyhow::Result<()> {
    ensure!(trainer.received().len() == count, "{} of {count} samples", trainer.received().len());
    let mut by_version = std::collections::BTreeMap::new();
    for ((step, group, index), samples) in trainer.received() {
        let label = format!("sample {step}/{group}/{index}");
        ensure!(samples.len() == 1, "{label} arrived {} times", samples.len());
        let sample = &samples[0];
        let order: u32 = group.trim_start_matches('g').parse()?;
        let prompt = format!("draft a quote for order {order} of step {step}");
        let text = sample.text.as_deref().with_context(|| format!("{label} failed"))?;
        ensure!(
            *text == *expected_answer(&prompt, TOKENS_PER_SAMPLE),
            "{label} is not the answer to its prompt"
        );
        let mut covered = 0;
        for span in &sample.versions {
            ensure!(span.from == covered, "{label}: gap in its versions");
            covered = span.to;
            *by_version.entry(span.version).or_insert(0_u32) += span.to - span.from;
        }
        ensure!(
            covered == TOKENS_PER_SAMPLE,
            "{label}: versions for {covered} of {TOKENS_PER_SAMPLE} tokens"
        );
    }
    println!("{count} samples, each once and complete; tokens by version: {by_version:?}");
    Ok(())
}

/// Waits until every engine runs a version.
fn wait_for_version(fleet: &Fleet, version: u64) -> anyhow::Result<()> {
    let count = fleet.hosts.len();
    let took = wait_until("every engine runs the published version", STAGE_TIMEOUT, || {
        (0..count).all(|index| {
            let listed = fleet.client.get_json(&fleet.url(index, "/v1/operator/upstreams"));
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

/// Sends chats through the balancer while the training steps run, and returns a summary line.
fn run_chats(entry: Box<str>) -> anyhow::Result<String> {
    let target = LoadTarget::Entry(vec![entry]);
    let plan = LoadPlan::new(target, MODEL).requests(40.0, 80).tokens(8).seed(7);
    let report = load::run(&plan)?;
    ensure!(report.wrong == 0 && report.failed == 0, "{report:?}");
    ensure!(report.refused == 0, "{} chats were refused", report.refused);
    Ok(format!(
        "{} chats of 8 tokens, all complete; latency p50 {:.1} ms, p99 {:.1} ms",
        report.times.len(),
        report.millis(0.5),
        report.millis(0.99)
    ))
}

/// Checks the tokens and the end mark of a streamed chat.
fn check_stream(entry: &str) -> anyhow::Result<()> {
    let client = Client::new(STAGE_TIMEOUT);
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
    let expected = expected_answer("user: two stretcher bars\n", 6);
    ensure!(answer == expected, "the stream gave {answer:?}, not {expected:?}");
    ensure!(text.trim_end().ends_with("data: [DONE]"), "the stream has no end mark");
    println!("a streamed chat arrived complete, with its end mark");
    Ok(())
}

/// Sends a booking twice through the balancer, and checks that it runs once and that both answers
/// are the same.
fn check_booking(stand_ins: &StandIns) -> anyhow::Result<()> {
    let client = Client::new(STAGE_TIMEOUT);
    let url = format!("http://{}/v1/services/{DESK_SERVICE}/pallets", stand_ins.entry);
    let headers = [("idempotency-key", "pallet-1"), ("chestnutdrift-caller", "shop-7")];
    let mut answers = Vec::new();
    for _ in 0..2 {
        let body = json!({ "canvas": 40 });
        answers.push(client.post_with_headers(&url, &body, &headers)?.ok()?.text());
    }
    ensure!(answers[0] == answers[1], "two answers for one booking: {answers:?}");
    let mut ran = 0;
    for desk in &stand_ins.desks {
        let bookings = client.get_json(&format!("http://{desk}/bookings"))?;
        ran += bookings["pallet-1"].as_u64().unwrap_or(0);
    }
    ensure!(ran == 1, "the booking ran {ran} times");
    println!("a booking sent twice ran once, both answers: {}", answers[0]);
    Ok(())
}

/// Checks that a change of the settings comes into force on all hosts within 5 s, and that it gets
/// the same answer when it is sent again.
fn check_change(fleet: &Fleet) -> anyhow::Result<()> {
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
    let repeated = fleet.propose_change(8, &change)?;
    ensure!(repeated == answer, "the repeated change got {repeated:?}, not {answer:?}");
    let count = fleet.hosts.len();
    wait_until("the change is in force on every host", Duration::from_secs(5), || {
        (0..count).all(|index| {
            fleet.settings_version(index).is_ok_and(|in_force| in_force == answer.version)
        })
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

/// Checks that the command-line tool shows the change coming into force once for each host.
fn check_timeline(fleet: &Fleet) -> anyhow::Result<()> {
    let program = sibling_program("chestnutdrift")?;
    let entry = fleet.hosts[0].http.to_string();
    let output = std::process::Command::new(program)
        .args(["--host", &entry, "timeline", "--kind", "settings-in-force"])
        .output()?;
    ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8_lossy(&output.stdout);
    ensure!(text.lines().count() == fleet.hosts.len(), "unexpected time line:\n{text}");
    println!(
        "time line of all hosts, filtered for the change coming into force:\n{}",
        text.trim_end()
    );
    Ok(())
}
