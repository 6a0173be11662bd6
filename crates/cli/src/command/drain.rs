//! `chestnutdrift drain`.

use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use serde_json::Value;

use super::Context;

/// How long the command waits for the host to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(120);

/// The pause between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Drains a host and waits until it has stopped, that is, until `/healthz` fails.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let Some(name) = cx.matches.free.first() else { bail!("name the host to drain") };
    let hosts = cx.fleet.hosts()?;
    let host = hosts.iter().find(|host| *host.name == **name);
    let host = host.with_context(|| format!("no host is named {name}"))?;
    let body = serde_json::json!({});
    let _: Value = cx.fleet.post_to(&host.http, "/v1/operator/drain", &body, &[202])?;
    println!("{name} accepts no new work and finishes its open work");
    let start = Instant::now();
    while cx.fleet.get_from::<Value>(&host.http, "/healthz").is_ok() {
        if start.elapsed() > STOP_TIMEOUT {
            bail!(
                "{name} has not stopped after {STOP_TIMEOUT:?}; \
                 see `chestnutdrift timeline --on {name}`"
            );
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    println!("{name} has stopped after {} ms", start.elapsed().as_millis());
    Ok(())
}
