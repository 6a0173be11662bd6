//! `chestnutdrift drain`.

use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use serde_json::Value;

use super::Context;

/// How long the command waits for a host to stop.
const WAIT: Duration = Duration::from_secs(120);

/// The time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Drains a host and waits until it has stopped.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let Some(name) = cx.matches.free.first() else { bail!("name the host to drain") };
    let hosts = cx.fleet.hosts()?;
    let host = hosts.iter().find(|host| *host.name == **name);
    let host = host.with_context(|| format!("no host is named {name}"))?;
    let body = serde_json::json!({});
    let _: Value = cx.fleet.post_to(&host.http, "/v1/operator/drain", &body, &[202])?;
    println!("{name} takes no new work and finishes what it holds");
    let start = Instant::now();
    while cx.fleet.get_from::<Value>(&host.http, "/healthz").is_ok() {
        if start.elapsed() > WAIT {
            bail!(
                "{name} still holds work after {WAIT:?}; see `chestnutdrift timeline --on {name}`"
            );
        }
        std::thread::sleep(LOOK_EVERY);
    }
    println!("{name} has stopped after {} ms", start.elapsed().as_millis());
    Ok(())
}
