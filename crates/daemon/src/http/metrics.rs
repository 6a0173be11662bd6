//! The metrics page of a host.

use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use chestnutdrift_core::action::Counters;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::exchange::FullReply;
use crate::link::LINK_COUNTERS;

/// The histogram buckets of the response time, in seconds.
const BUCKETS: [f64; 12] = [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0];

struct Metrics {
    registry: Registry,
    core: IntGaugeVec,
    response_seconds: Histogram,
    sent_bytes: IntGauge,
    sent_messages: IntGauge,
}

static METRICS: LazyLock<Option<Metrics>> = LazyLock::new(|| Metrics::new().ok());

impl Metrics {
    fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let opts = Opts::new("chestnutdrift_core", "Counters and gauges of the core, by name");
        let core = IntGaugeVec::new(opts, &["name"])?;
        let help = "Time from the head of a request to the start of its answer";
        let opts = HistogramOpts::new("chestnutdrift_answer_seconds", help);
        let response_seconds = Histogram::with_opts(opts.buckets(BUCKETS.to_vec()))?;
        let sent_bytes = IntGauge::new("chestnutdrift_link_sent_bytes", "Bytes sent to hosts")?;
        let sent_messages =
            IntGauge::new("chestnutdrift_link_sent_messages", "Messages sent to hosts")?;
        registry.register(Box::new(sent_bytes.clone()))?;
        registry.register(Box::new(sent_messages.clone()))?;
        registry.register(Box::new(core.clone()))?;
        registry.register(Box::new(response_seconds.clone()))?;
        Ok(Self { registry, core, response_seconds, sent_bytes, sent_messages })
    }
}

/// Records how long an answer took to start.
pub(super) fn observe(seconds: f64) {
    let Some(metrics) = METRICS.as_ref() else { return };
    metrics.response_seconds.observe(seconds);
}

/// Returns the metrics page.
pub(super) fn reply(counters: &Counters) -> FullReply {
    let mut body = Vec::new();
    if let Some(metrics) = METRICS.as_ref() {
        set_core_counters(&metrics.core, counters);
        set_link_counters(metrics);
        let _ = TextEncoder::new().encode(&metrics.registry.gather(), &mut body);
    }
    let content_type = "text/plain; version=0.0.4".into();
    FullReply { status: 200, content_type, headers: Vec::new(), body: Bytes::from(body) }
}

fn set_link_counters(metrics: &Metrics) {
    let gauge =
        |count: &AtomicU64| i64::try_from(count.load(Ordering::Relaxed)).unwrap_or(i64::MAX);
    metrics.sent_bytes.set(gauge(&LINK_COUNTERS.sent_bytes));
    metrics.sent_messages.set(gauge(&LINK_COUNTERS.sent_messages));
}

fn set_core_counters(core: &IntGaugeVec, counters: &Counters) {
    let values = [
        ("arrived", counters.arrived),
        ("answered", counters.answered),
        ("refused", counters.refused),
        ("attempts", counters.attempts),
        ("retries", counters.retries),
        ("failures", counters.failures),
        ("queued", counters.queued),
        ("running", counters.running),
        ("settings_version", counters.settings_version),
        ("ready", u64::from(counters.ready)),
        ("votes", counters.votes),
        ("leads", counters.leads),
    ];
    for (name, value) in values {
        core.with_label_values(&[name]).set(i64::try_from(value).unwrap_or(i64::MAX));
    }
}
