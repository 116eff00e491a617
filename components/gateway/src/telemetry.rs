//! What a request's way leaves behind: a numbered log line and a count for each decision.

use std::time::Duration;

use errors::{Outcome, events};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use slog::{Logger, info, warn};

use crate::placement::Choice;

/// Log lines and metrics of requests.
pub(crate) struct Telemetry {
    /// The log.
    log: Logger,
    /// Collects what the instruments record.
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    /// Requests by outcome and reason.
    requests: Counter<u64>,
    /// Sends to targets by result.
    sends: Counter<u64>,
    /// Time from a send to the first byte of its answer, in seconds.
    first_byte: Histogram<f64>,
    /// Repeats by whether the budget allowed them.
    retries: Counter<u64>,
    /// Calls to the platform's store by result.
    store_calls: Counter<u64>,
    /// Time since the platform's store last answered, in seconds.
    store_age: Gauge<f64>,
    /// Requests under way.
    in_flight: Gauge<u64>,
    /// Version of the declarations that are obeyed.
    declared: Gauge<u64>,
    /// Targets that may be used.
    targets: Gauge<u64>,
    /// Entry hosts that are known.
    hosts: Gauge<u64>,
    /// 1 while this host may give orders to engines.
    lease: Gauge<u64>,
}

/// What a host is and believes, as its gauges show it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct GaugeValues {
    /// Time since the platform's store last answered.
    pub store_age: Duration,
    /// Requests under way.
    pub in_flight: usize,
    /// Version of the declarations that are obeyed; 0 before the first.
    pub declared: u64,
    /// Targets that may be used.
    pub targets: usize,
    /// Entry hosts that are known.
    pub hosts: usize,
}

/// What became of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendResult {
    /// No byte of it reached the target.
    NotSent,
    /// The target did not run it.
    NotRun,
    /// It may have run; no answer came.
    NoAnswer,
    /// It was answered.
    Answered,
}

impl SendResult {
    fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::NotRun => "not-run",
            Self::NoAnswer => "no-answer",
            Self::Answered => "answered",
        }
    }
}

impl Telemetry {
    pub(crate) fn new(log: Logger) -> Self {
        let registry = Registry::new();
        let mut provider = SdkMeterProvider::builder();
        match opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
        {
            Ok(exporter) => provider = provider.with_reader(exporter),
            Err(e) => warn!(log, "no metrics"; events::METRICS_MISSING, "error" => %e),
        }
        let provider = provider.build();
        let meter = provider.meter("laburnumtally");
        let first_byte = meter.f64_histogram("laburnumtally.route.first_byte");
        Self {
            requests: meter.u64_counter("laburnumtally.route.requests").build(),
            sends: meter.u64_counter("laburnumtally.route.sends").build(),
            first_byte: first_byte.with_unit("s").build(),
            retries: meter.u64_counter("laburnumtally.route.repeats").build(),
            store_calls: meter.u64_counter("laburnumtally.store.calls").build(),
            store_age: meter.f64_gauge("laburnumtally.store.age").with_unit("s").build(),
            in_flight: meter.u64_gauge("laburnumtally.route.open").build(),
            declared: meter.u64_gauge("laburnumtally.declared.version").build(),
            targets: meter.u64_gauge("laburnumtally.targets").build(),
            hosts: meter.u64_gauge("laburnumtally.hosts").build(),
            lease: meter.u64_gauge("laburnumtally.lease.held").build(),
            log,
            registry,
            _provider: provider,
        }
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Encoding into memory fails only for families without metrics, which are left out then.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }

    /// The budget was asked for a repeat.
    pub(crate) fn retry(&self, is_allowed: bool) {
        let result = if is_allowed { "allowed" } else { "refused" };
        self.retries.add(1, &[KeyValue::new("result", result)]);
    }

    /// The platform's store was called.
    pub(crate) fn store_call(&self, is_answered: bool) {
        let result = if is_answered { "answered" } else { "failed" };
        self.store_calls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Whether this host may give orders.
    pub(crate) fn lease(&self, is_held: bool) {
        self.lease.record(u64::from(is_held), &[]);
    }

    /// What the host is and believes now.
    pub(crate) fn record_gauges(&self, values: &GaugeValues) {
        self.store_age.record(values.store_age.as_secs_f64(), &[]);
        self.in_flight.record(values.in_flight as u64, &[]);
        self.declared.record(values.declared, &[]);
        self.targets.record(values.targets as u64, &[]);
        self.hosts.record(values.hosts as u64, &[]);
    }

    /// Where a request goes and why.
    pub(crate) fn placed(&self, id: &str, target: &str, choice: &Choice, tries: u32) {
        info!(self.log, "placed"; events::ROUTE_PLACED, "request" => id, "target" => target,
            "cost" => choice.cost, "expected_ms" => choice.expected_ms, "try" => tries);
    }

    /// A send ended.
    pub(crate) fn sent(&self, id: &str, target: &str, result: SendResult) {
        self.sends.add(1, &[KeyValue::new("result", result.as_str())]);
        if result != SendResult::Answered {
            warn!(self.log, "try failed"; events::ROUTE_TRY_FAILED, "request" => id,
                "target" => target, "result" => result.as_str());
        }
    }

    /// The first byte of an answer has come.
    pub(crate) fn first_byte(&self, after: Duration) {
        self.first_byte.record(after.as_secs_f64(), &[]);
    }

    /// A request got its answer.
    pub(crate) fn answered(&self, id: &str, target: &str, status: u16, events: u64, tries: u32) {
        self.count(Outcome::Ran, "answered");
        info!(self.log, "answered"; events::ROUTE_ANSWERED, "request" => id, "target" => target,
            "status" => status, "events" => events, "tries" => tries);
    }

    /// A request got no answer of a target.
    pub(crate) fn refused(&self, id: &str, outcome: Outcome, reason: &'static str) {
        self.count(outcome, reason);
        warn!(self.log, "refused"; events::ROUTE_REFUSED, "request" => id,
            "outcome" => outcome.as_str(), "reason" => reason);
    }

    /// A stream ended early.
    pub(crate) fn cut(&self, id: &str, events: u64, reason: &'static str) {
        self.count(Outcome::MayHaveRun, reason);
        warn!(self.log, "cut"; events::ROUTE_CUT, "request" => id, "events" => events, "reason" => reason);
    }

    /// A stream went on at another target.
    pub(crate) fn resumed(&self, id: &str, target: &str, after: &str) {
        info!(self.log, "resumed"; events::ROUTE_RESUMED, "request" => id, "target" => target, "after" => after);
    }

    /// Other hosts are not told of a crash.
    pub(crate) fn crash_not_shared(&self, id: &str) {
        warn!(self.log, "crash not told"; events::CRASH_UNTOLD, "request" => id);
    }

    fn count(&self, outcome: Outcome, reason: &'static str) {
        let labels = [
            KeyValue::new("outcome", outcome.as_str()),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
    }
}
