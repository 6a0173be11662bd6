//! The metrics page of a gateway.

use std::sync::LazyLock;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chestnutdrift_core::gateway::{Counters, ForwardEnd, RewardRequest};
use prometheus::{
    CounterVec, Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

use super::pool::Pool;
use super::protocol::Listener;
use crate::exchange::FullReply;
use crate::link::LINK_COUNTERS;
use crate::memory::{HOLDERS, MemoryUse};

/// The bucket bounds of the answer time histogram, in seconds.
const BUCKETS: [f64; 12] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 5.0, 15.0];

struct Metrics {
    registry: Registry,
    gateway: IntGaugeVec,
    answers: HistogramVec,
    event_wait: Histogram,
    thread_busy: CounterVec,
    encode_seconds: Gauge,
    decode_seconds: Gauge,
    sent_bytes: IntGauge,
    deflated_bytes: IntGauge,
    sent_messages: IntGauge,
    dropped_messages: IntGauge,
    unhandled_messages: IntGauge,
    connections: IntGauge,
    memory: IntGaugeVec,
    snapshots_written: IntGauge,
    snapshot_bytes: IntGauge,
    refused_bodies: IntCounter,
    unreadable_calls: IntCounterVec,
    reward_calls: IntCounterVec,
    reward_retries: IntCounterVec,
    reward_wait: HistogramVec,
}

static METRICS: LazyLock<Option<Metrics>> = LazyLock::new(|| match Metrics::new() {
    Ok(metrics) => Some(metrics),
    Err(error) => {
        log::error!(event = "no-metrics"; "{error}");
        None
    }
});

impl Metrics {
    fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let opts = Opts::new("chestnutdrift_gateway", "Counters and gauges of the host, by name");
        let gateway = IntGaugeVec::new(opts, &["name"])?;
        let help = "Time from the head of a request to the start of its answer, by listener";
        let opts = HistogramOpts::new("chestnutdrift_answer_seconds", help);
        let answers = HistogramVec::new(opts.buckets(BUCKETS.to_vec()), &["door"])?;
        let help = "Time that an event waited before the control thread handled it";
        let opts = HistogramOpts::new("chestnutdrift_event_wait_seconds", help);
        let event_wait = Histogram::with_opts(opts.buckets(BUCKETS.to_vec()))?;
        let opts = Opts::new("chestnutdrift_thread_busy_seconds", "Time spent working, by thread");
        let thread_busy = CounterVec::new(opts, &["thread"])?;
        let help = "Time spent on encoding messages to hosts";
        let encode_seconds = Gauge::new("chestnutdrift_link_encode_seconds", help)?;
        let help = "Time spent on decoding messages from hosts";
        let decode_seconds = Gauge::new("chestnutdrift_link_decode_seconds", help)?;
        let sent_bytes = IntGauge::new("chestnutdrift_link_sent_bytes", "Bytes sent to hosts")?;
        let help = "Bytes compressed for hosts";
        let deflated_bytes = IntGauge::new("chestnutdrift_link_deflated_bytes", help)?;
        let help = "Messages sent to hosts";
        let sent_messages = IntGauge::new("chestnutdrift_link_sent_messages", help)?;
        let help = "Messages to hosts that were dropped because no room was left for them";
        let dropped_messages = IntGauge::new("chestnutdrift_link_dropped_messages", help)?;
        let help = "Messages from hosts that were dropped because no room was left for them";
        let unhandled_messages = IntGauge::new("chestnutdrift_link_unhandled_messages", help)?;
        let help = "Connections opened to upstreams";
        let connections = IntGauge::new("chestnutdrift_upstream_connections", help)?;
        let opts =
            Opts::new("chestnutdrift_memory_bytes", "Memory of the process, and its holders");
        let memory = IntGaugeVec::new(opts, &["kind"])?;
        let help = "Snapshots written to the disk";
        let snapshots_written = IntGauge::new("chestnutdrift_disk_snapshots_written", help)?;
        let help = "Bytes of the journals written with snapshots";
        let snapshot_bytes = IntGauge::new("chestnutdrift_disk_snapshot_bytes", help)?;
        let help = "Requests refused because no memory was left for their bodies";
        let refused_bodies = IntCounter::new("chestnutdrift_refused_bodies", help)?;
        let opts = Opts::new("chestnutdrift_reward_calls", "Reward calls that ended");
        let reward_calls = IntCounterVec::new(opts, &["service", "end"])?;
        let help = "Reward calls after the first one of a text";
        let opts = Opts::new("chestnutdrift_reward_retries", help);
        let reward_retries = IntCounterVec::new(opts, &["service"])?;
        let help = "Time from the end of a text to its first reward call";
        let opts = HistogramOpts::new("chestnutdrift_reward_wait_seconds", help);
        let reward_wait = HistogramVec::new(opts.buckets(BUCKETS.to_vec()), &["service"])?;
        let help = "Calls refused because they could not be read, by listener";
        let opts = Opts::new("chestnutdrift_unreadable_calls", help);
        let unreadable_calls = IntCounterVec::new(opts, &["door"])?;
        registry.register(Box::new(unreadable_calls.clone()))?;
        registry.register(Box::new(reward_calls.clone()))?;
        registry.register(Box::new(reward_retries.clone()))?;
        registry.register(Box::new(reward_wait.clone()))?;
        registry.register(Box::new(refused_bodies.clone()))?;
        registry.register(Box::new(gateway.clone()))?;
        registry.register(Box::new(answers.clone()))?;
        registry.register(Box::new(event_wait.clone()))?;
        registry.register(Box::new(thread_busy.clone()))?;
        registry.register(Box::new(encode_seconds.clone()))?;
        registry.register(Box::new(decode_seconds.clone()))?;
        registry.register(Box::new(sent_bytes.clone()))?;
        registry.register(Box::new(deflated_bytes.clone()))?;
        registry.register(Box::new(sent_messages.clone()))?;
        registry.register(Box::new(dropped_messages.clone()))?;
        registry.register(Box::new(unhandled_messages.clone()))?;
        registry.register(Box::new(connections.clone()))?;
        registry.register(Box::new(memory.clone()))?;
        registry.register(Box::new(snapshots_written.clone()))?;
        registry.register(Box::new(snapshot_bytes.clone()))?;
        Ok(Self {
            registry,
            gateway,
            answers,
            event_wait,
            thread_busy,
            encode_seconds,
            decode_seconds,
            sent_bytes,
            deflated_bytes,
            sent_messages,
            dropped_messages,
            unhandled_messages,
            connections,
            memory,
            snapshots_written,
            snapshot_bytes,
            refused_bodies,
            unreadable_calls,
            reward_calls,
            reward_retries,
            reward_wait,
        })
    }
}

/// Records the time from the head of a request to the start of its answer.
pub(super) fn observe_answer(listener: Listener, took: Duration) {
    let Some(metrics) = METRICS.as_ref() else { return };
    metrics.answers.with_label_values(&[listener.name()]).observe(took.as_secs_f64());
}

/// Records how long an event waited for the control thread.
pub(super) fn observe_event_wait(waited: Duration) {
    let Some(metrics) = METRICS.as_ref() else { return };
    metrics.event_wait.observe(waited.as_secs_f64());
}

/// Adds to the time that a thread has been busy.
pub(super) fn add_thread_busy(thread: &str, busy: Duration) {
    let Some(metrics) = METRICS.as_ref() else { return };
    metrics.thread_busy.with_label_values(&[thread]).inc_by(busy.as_secs_f64());
}

/// Counts a request that was refused because no memory was left for its body.
pub(super) fn count_refused_body() {
    let Some(metrics) = METRICS.as_ref() else { return };
    metrics.refused_bodies.inc();
}

/// Counts a call that could not be read.
pub(super) fn count_unreadable_call(listener: Listener) {
    let Some(metrics) = METRICS.as_ref() else { return };
    metrics.unreadable_calls.with_label_values(&[listener.name()]).inc();
}

/// Records that a reward call is sent.
pub(super) fn observe_reward_call(request: &RewardRequest) {
    let Some(metrics) = METRICS.as_ref() else { return };
    if request.number > 1 {
        metrics.reward_retries.with_label_values(&[&*request.service]).inc();
        return;
    }
    let waited = Duration::from_millis(request.waited.0).as_secs_f64();
    metrics.reward_wait.with_label_values(&[&*request.service]).observe(waited);
}

/// Counts the end of a reward call.
pub(super) fn count_reward_end(service: &str, end: &ForwardEnd, scored: bool) {
    let Some(metrics) = METRICS.as_ref() else { return };
    let end = match end {
        _ if scored => "scored",
        ForwardEnd::Held { .. } => "failed",
        ForwardEnd::NotRun { .. } => "not_run",
        ForwardEnd::NotSent { .. } | ForwardEnd::ConnectRefused { .. } => "not_sent",
        ForwardEnd::UpstreamEnded { .. } => "upstream_ended",
        ForwardEnd::Delivered { .. } | ForwardEnd::Begun { .. } | ForwardEnd::Broken { .. } => {
            "broken"
        }
    };
    metrics.reward_calls.with_label_values(&[service, end]).inc();
}

/// Encodes the metrics page.
pub(super) fn encode_page(counters: &Counters, pool: &Pool) -> FullReply {
    let mut body = Vec::new();
    if let Some(metrics) = METRICS.as_ref() {
        set_counters(&metrics.gateway, counters);
        metrics.encode_seconds.set(seconds(LINK_COUNTERS.encode_us.load(Ordering::Relaxed)));
        metrics.decode_seconds.set(seconds(LINK_COUNTERS.decode_us.load(Ordering::Relaxed)));
        metrics.sent_bytes.set(gauge_value(LINK_COUNTERS.sent_bytes.load(Ordering::Relaxed)));
        let deflated = LINK_COUNTERS.deflated_bytes.load(Ordering::Relaxed);
        metrics.deflated_bytes.set(gauge_value(deflated));
        metrics.sent_messages.set(gauge_value(LINK_COUNTERS.sent_messages.load(Ordering::Relaxed)));
        let dropped = LINK_COUNTERS.dropped_messages.load(Ordering::Relaxed);
        metrics.dropped_messages.set(gauge_value(dropped));
        let unhandled = LINK_COUNTERS.unhandled_messages.load(Ordering::Relaxed);
        metrics.unhandled_messages.set(gauge_value(unhandled));
        metrics.connections.set(gauge_value(pool.opened()));
        set_memory(metrics);
        if let Err(error) = TextEncoder::new().encode(&metrics.registry.gather(), &mut body) {
            log::error!(event = "metrics-unwritten"; "{error}");
        }
    }
    let content_type = "text/plain; version=0.0.4".into();
    FullReply { status: 200, content_type, headers: Vec::new(), body: Bytes::from(body) }
}

fn seconds(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64()
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn set_memory(metrics: &Metrics) {
    let used = MemoryUse::read();
    let values = [
        ("resident", used.resident),
        ("allocated", used.allocated),
        ("peak_allocated", used.peak_allocated),
        ("log", HOLDERS.log_bytes.load(Ordering::Relaxed)),
        ("jobs", HOLDERS.job_bytes.load(Ordering::Relaxed)),
        ("text_cache", HOLDERS.text_cache_bytes.load(Ordering::Relaxed)),
        ("link_queues", HOLDERS.link_queue_bytes.load(Ordering::Relaxed)),
        ("input_queue", HOLDERS.input_queue_bytes.load(Ordering::Relaxed)),
        ("disk_queue", HOLDERS.disk_queue_bytes.load(Ordering::Relaxed)),
    ];
    for (kind, bytes) in values {
        metrics.memory.with_label_values(&[kind]).set(gauge_value(bytes));
    }
    let snapshots = HOLDERS.snapshots_written.load(Ordering::Relaxed);
    metrics.snapshots_written.set(gauge_value(snapshots));
    let snapshot_bytes = HOLDERS.snapshot_bytes.load(Ordering::Relaxed);
    metrics.snapshot_bytes.set(gauge_value(snapshot_bytes));
}

fn set_counters(gateway: &IntGaugeVec, counters: &Counters) {
    let values = [
        ("requests", counters.requests),
        ("delivered", counters.delivered),
        ("refused", counters.refused),
        ("failed", counters.failed),
        ("abandoned", counters.abandoned),
        ("forwards", counters.forwards),
        ("upstreams_ended", counters.upstreams_ended),
        ("quarantined", counters.quarantined),
        ("suspects", counters.suspects),
        ("jobs", counters.jobs),
        ("jobs_without_memory", counters.jobs_without_memory),
        ("appends_without_memory", counters.appends_without_memory),
        ("item_runs", counters.item_runs),
        ("items_completed", counters.items_completed),
        ("items_errored", counters.items_errored),
        ("items_moved", counters.items_moved),
        ("texts_dropped", counters.texts_dropped),
        ("items_moved_in_time", counters.items_moved_in_time),
        ("scaling_orders", counters.scaling_orders),
        ("scaling_refused", counters.scaling_refused),
        ("upstreams_intended", counters.upstreams_intended),
        ("reward_calls", counters.reward_calls),
        ("unscored_items", counters.unscored_items),
        ("orders", counters.orders),
        ("upstreams", counters.upstreams),
        ("upstreams_leaving", counters.upstreams_leaving),
        ("upstreams_limited", counters.upstreams_limited),
        ("upstreams_unreachable", counters.upstreams_unreachable),
        ("links_lost", u64::from(counters.links_lost)),
        ("forwards_relayed", counters.forwards_relayed),
        ("relayed_connections", counters.relayed_connections),
        ("relays_refused", counters.relays_refused),
        ("quota_requests", counters.quota_requests),
        ("permits_granted", counters.permits_granted),
        ("over_limit", counters.over_limit),
        ("over_capacity", counters.over_capacity),
        ("upstreams_slow", counters.upstreams_slow),
        ("announced_slots", counters.announced_slots),
        ("learned_slots", counters.learned_slots),
        ("oldest_estimate_ms", counters.oldest_estimate_ms),
        ("streams_refused", counters.streams_refused),
        ("provider_calls", counters.provider_calls),
        ("provider_failures", counters.provider_failures),
        ("usage_starts", counters.usage_starts),
        ("usage_merges", counters.usage_merges),
        ("usage_lost_starts", counters.usage_lost_starts),
        ("usage_late_starts", counters.usage_late_starts),
        ("usage_settled", counters.usage_settled),
        ("usage_reported", counters.usage_reported),
        ("usage_late", counters.usage_late),
        ("usage_dropped", counters.usage_dropped),
        ("usage_last_window", counters.usage_last_window),
        ("routing_version", counters.routing_version),
        ("ready", u64::from(counters.ready)),
        ("leads", u64::from(counters.leads)),
    ];
    for (name, value) in values {
        gateway.with_label_values(&[name]).set(gauge_value(value));
    }
}
