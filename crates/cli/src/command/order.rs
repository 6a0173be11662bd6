//! `chestnutdrift order`.

use anyhow::bail;
use chestnutdrift_wire::api::operator::{OrderAnswer, OrderBody};
use getopts::Options;

use super::Context;

/// Returns the options of the command.
pub(super) fn options() -> Options {
    let mut options = Options::new();
    options.reqopt("", "zone", "the engine's zone", "NAME");
    options.reqopt("", "upstream", "the engine", "NAME");
    options.optopt("", "adapter", "the adapter to load", "NAME");
    options.optopt("", "role", "the role to take", "NAME");
    options
}

/// Orders an engine to load an adapter or to take a role.
pub(super) fn run(cx: &Context) -> anyhow::Result<()> {
    let text = |name: &str| cx.matches.opt_str(name).map(Into::into);
    let body = OrderBody {
        zone: text("zone").unwrap_or_default(),
        upstream: text("upstream").unwrap_or_default(),
        adapter: text("adapter"),
        role: text("role"),
    };
    let answer: OrderAnswer = cx.fleet.post("/v1/operator/orders", &body, &[200])?;
    if cx.json {
        return cx.print_json(&answer);
    }
    if !answer.obeyed {
        bail!(
            "{} did not carry out the order; see `chestnutdrift timeline --subject {0}`",
            body.upstream
        );
    }
    println!("{} carried out the order", body.upstream);
    Ok(())
}
