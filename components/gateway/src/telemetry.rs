//! Log lines and metrics of requests: a numbered event and a counter for each decision.

mod origins;

use std::sync::Arc;
use std::time::Duration;

use errors::{Outcome, events};
use http_io::MemoryAccount;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use slog::{Logger, info, warn};

pub(crate) use origins::OriginTelemetry;

use crate::admission::PressureChange;
use crate::traffic::{Call, Exclusion, OriginBasis, Placed, Refusal};
use crate::{CallFacts, LimitChange, NamedLimit, RequestedPause};

/// Name of the meter of all metrics.
const METER: &str = "laburnumtally";

/// Log and metric instruments of the traffic thread.
pub(crate) struct Telemetry {
    /// The log.
    log: Logger,
    /// Collects the values of the instruments.
    registry: Registry,
    /// Keeps the instruments alive and creates those of the control thread.
    provider: SdkMeterProvider,
    /// Requests by outcome and reason.
    requests: Counter<u64>,
    /// Refused requests for which no target was a candidate, by the reason.
    exclusions: Counter<u64>,
    /// Sends to targets by result.
    sends: Counter<u64>,
    /// Time from a send to the first byte of its answer, in seconds.
    first_byte: Histogram<f64>,
    /// Time since weights were replaced, at the first byte of an answer on them, in seconds.
    replaced_weights_age: Histogram<f64>,
    /// Retries by whether the budget allowed them.
    retries: Counter<u64>,
    /// Pauses that targets have asked for.
    pauses: Counter<u64>,
    /// Targets that have said that they are leaving.
    leavings: Counter<u64>,
    /// Refusals of targets that do not state that the request has not run, by status.
    unproven_refusals: Counter<u64>,
    /// Sends to cold targets by whether the quota allowed them.
    cold_sends: Counter<u64>,
    /// Cold targets.
    cold_targets: Gauge<u64>,
    /// Sends to targets with a limit, by result.
    limited_sends: Counter<u64>,
    /// Number of targets with a limit.
    limited_targets: Gauge<u64>,
    /// How short the capacity of each service is, from 0 if it is not.
    pressure: Gauge<f64>,
    /// Calls to the platform's store by result.
    store_calls: Counter<u64>,
    /// Bytes of answers that were received in part and given up, by who sent them.
    abandoned_bytes: Counter<u64>,
    /// Time since the platform's store last answered, in seconds.
    store_age: Gauge<f64>,
    /// Requests in flight.
    in_flight: Gauge<u64>,
    /// Version of the operator's declarations (routes, services, workspaces, limits) in force.
    declared: Gauge<u64>,
    /// Targets that may be used.
    targets: Gauge<u64>,
    /// Entry hosts in the view.
    hosts: Gauge<u64>,
    /// Evacuated failure domains.
    evacuated: Gauge<u64>,
    /// 1 while this host holds the lease to order engines to load weights.
    lease: Gauge<u64>,
    /// Records of stream origins.
    pub origins: OriginTelemetry,
}

/// Values of the gauges that describe the host's state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct GaugeValues {
    /// Time since the platform's store last answered.
    pub store_age: Duration,
    /// Requests in flight.
    pub in_flight: usize,
    /// Version of the operator's declarations (routes, services, workspaces, limits) in force; 0 before the
    /// first.
    pub declared: u64,
    /// Targets that may be used.
    pub targets: usize,
    /// Entry hosts in the view.
    pub hosts: usize,
    /// Evacuated failure domains.
    pub evacuated: usize,
}

/// The result of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendResult {
    /// No byte of the request reached the target.
    NotSent,
    /// The target did not run the request.
    NotRun,
    /// The request may have run; no answer came.
    NoAnswer,
    /// The request was withdrawn before its answer began; it may have run.
    Withdrawn,
    /// The target answered.
    Answered,
}

/// The declarations that a refusal was decided by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DeclaredState {
    /// Version of the declarations; `None` if the host has none yet.
    pub version: Option<u64>,
    /// Time since they were last known to be current, in milliseconds; `None` if they never were.
    pub age_ms: Option<u64>,
}

impl SendResult {
    fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::NotRun => "not-run",
            Self::NoAnswer => "no-answer",
            Self::Withdrawn => "withdrawn",
            Self::Answered => "answered",
        }
    }
}

impl Telemetry {
    pub(crate) fn new(log: Logger, memory: &Arc<MemoryAccount>) -> Self {
        let registry = Registry::new();
        let mut provider = SdkMeterProvider::builder();
        match opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
        {
            Ok(exporter) => provider = provider.with_reader(exporter),
            Err(e) => {
                warn!(log, "failed to set up the metrics exporter"; events::METRICS_MISSING, "error" => %e)
            }
        }
        let provider = provider.build();
        let meter = provider.meter(METER);
        memory.register(&meter);
        let first_byte = meter.f64_histogram("laburnumtally.route.first_byte");
        let replaced_weights_age = meter.f64_histogram("laburnumtally.route.replaced_weights_age");
        Self {
            requests: meter.u64_counter("laburnumtally.route.requests").build(),
            exclusions: meter.u64_counter("laburnumtally.route.exclusions").build(),
            sends: meter.u64_counter("laburnumtally.route.sends").build(),
            first_byte: first_byte.with_unit("s").build(),
            replaced_weights_age: replaced_weights_age.with_unit("s").build(),
            retries: meter.u64_counter("laburnumtally.route.repeats").build(),
            pauses: meter.u64_counter("laburnumtally.targets.pauses").build(),
            leavings: meter.u64_counter("laburnumtally.targets.leaving").build(),
            unproven_refusals: meter
                .u64_counter("laburnumtally.targets.unproven_refusals")
                .build(),
            cold_sends: meter.u64_counter("laburnumtally.cold.sends").build(),
            cold_targets: meter.u64_gauge("laburnumtally.cold.targets").build(),
            limited_sends: meter.u64_counter("laburnumtally.limited.sends").build(),
            limited_targets: meter.u64_gauge("laburnumtally.limited.targets").build(),
            pressure: meter.f64_gauge("laburnumtally.capacity.pressure").build(),
            store_calls: meter.u64_counter("laburnumtally.store.calls").build(),
            abandoned_bytes: meter.u64_counter("laburnumtally.abandoned.bytes").build(),
            store_age: meter.f64_gauge("laburnumtally.store.age").with_unit("s").build(),
            in_flight: meter.u64_gauge("laburnumtally.route.open").build(),
            declared: meter.u64_gauge("laburnumtally.declared.version").build(),
            targets: meter.u64_gauge("laburnumtally.targets").build(),
            hosts: meter.u64_gauge("laburnumtally.hosts").build(),
            evacuated: meter.u64_gauge("laburnumtally.evacuated").build(),
            lease: meter.u64_gauge("laburnumtally.lease.held").build(),
            origins: OriginTelemetry::new(log.clone(), &meter),
            log,
            registry,
            provider,
        }
    }

    /// Registers the metrics of the account for answers to this host's own calls.
    pub(crate) fn register_calls(&self, memory: &Arc<MemoryAccount>) {
        memory.register_as(&self.provider.meter(METER), "laburnumtally.calls");
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Encoding into memory fails only for families without metrics; the output leaves them out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }

    /// Counts a retry that the budget allowed or refused.
    pub(crate) fn retry(&self, is_allowed: bool) {
        let result = if is_allowed { "allowed" } else { "refused" };
        self.retries.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a send to a cold target that the quota allowed, or refused right before it.
    pub(crate) fn cold_send(&self, is_allowed: bool) {
        let result = if is_allowed { "allowed" } else { "refused" };
        self.cold_sends.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a send to a target with a limit that a slot allowed, or that was given up right before it.
    pub(crate) fn limited_send(&self, is_allowed: bool) {
        let result = if is_allowed { "allowed" } else { "refused" };
        self.limited_sends.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the number of targets with a limit.
    pub(crate) fn record_limited_targets(&self, count: usize) {
        self.limited_targets.record(count as u64, &[]);
    }

    /// Logs a limit that a target has named, or that has ended.
    pub(crate) fn limit(
        &self,
        id: &str,
        target: &str,
        named: Option<NamedLimit>,
        change: Option<LimitChange>,
    ) {
        match change {
            Some(LimitChange::Named(per_second)) => {
                info!(self.log, "target named a limit"; events::TARGET_LIMITED, "request" => id,
                    "target" => target, "per_second" => per_second);
            }
            Some(LimitChange::Ended) => {
                info!(self.log, "limit of a target ended"; events::TARGET_UNLIMITED, "request" => id,
                    "target" => target);
            }
            None if named == Some(NamedLimit::Unusable) => {
                warn!(self.log, "limit can not be used"; events::TARGET_LIMITED, "request" => id,
                    "target" => target);
            }
            None => {}
        }
    }

    /// Records the number of cold targets.
    pub(crate) fn record_cold_targets(&self, count: usize) {
        self.cold_targets.record(count as u64, &[]);
    }

    /// Counts a call to the platform's store.
    pub(crate) fn store_call(&self, is_answered: bool) {
        let result = if is_answered { "answered" } else { "failed" };
        self.store_calls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts the bytes of an answer that was given up before its end.
    pub(crate) fn abandoned(&self, source: &'static str, bytes: usize) {
        self.abandoned_bytes
            .add(bytes as u64, &[KeyValue::new("source", source)]);
    }

    /// Records whether this host holds the lease to order engines to load weights.
    pub(crate) fn lease(&self, is_held: bool) {
        self.lease.record(u64::from(is_held), &[]);
    }

    /// Records the gauges that describe the host's state.
    pub(crate) fn record_gauges(&self, values: &GaugeValues) {
        self.store_age.record(values.store_age.as_secs_f64(), &[]);
        self.in_flight.record(values.in_flight as u64, &[]);
        self.declared.record(values.declared, &[]);
        self.targets.record(values.targets as u64, &[]);
        self.hosts.record(values.hosts as u64, &[]);
        self.evacuated.record(values.evacuated as u64, &[]);
    }

    /// Logs the target chosen for a request, with its cost and the declarations that decided.
    pub(crate) fn placed(&self, call: &Call, placed: &Placed, attempt: u32) {
        let Placed { target, choice, .. } = placed;
        info!(self.log, "request placed"; events::ROUTE_PLACED, "request" => &call.id,
            "target" => &target.instance, "domain" => &*target.domain, "cost" => choice.cost,
            "expected_ms" => choice.expected_ms, "try" => attempt, "declared" => placed.declared,
            "admitted" => call.declared, "software" => &*target.software);
    }

    /// Counts a send and logs it if it failed.
    pub(crate) fn sent(&self, id: &str, target: &str, result: SendResult) {
        self.sends.add(1, &[KeyValue::new("result", result.as_str())]);
        if result != SendResult::Answered {
            warn!(self.log, "attempt failed"; events::ROUTE_ATTEMPT_FAILED, "request" => id,
                "target" => target, "result" => result.as_str());
        }
    }

    /// Records the time from a send to the first byte of its answer.
    pub(crate) fn first_byte(&self, after: Duration) {
        self.first_byte.record(after.as_secs_f64(), &[]);
    }

    /// Records and logs an answer that began on replaced weights. `age` is the time since newer weights were
    /// declared, if it is known, and `waited` the time since the request was sent.
    pub(crate) fn replaced_weights_used(
        &self,
        id: &str,
        target: &str,
        age: Option<Duration>,
        waited: Duration,
    ) {
        if let Some(age) = age {
            self.replaced_weights_age.record(age.as_secs_f64(), &[]);
        }
        info!(self.log, "answer began on replaced weights"; events::REPLACED_WEIGHTS_USED, "request" => id,
            "target" => target, "age_ms" => age.map(|age| age.as_millis() as u64),
            "waited_ms" => waited.as_millis() as u64);
    }

    /// Counts and logs a request that a target answered.
    pub(crate) fn answered(&self, id: &str, target: &str, status: u16, events: u64, attempts: u32) {
        self.count(Outcome::Ran, "answered");
        info!(self.log, "request answered"; events::ROUTE_ANSWERED, "request" => id, "target" => target,
            "status" => status, "events" => events, "tries" => attempts);
    }

    /// Counts and logs a request that the host answers in place of a target.
    pub(crate) fn refused(&self, id: &str, refusal: &Refusal, declared: DeclaredState) {
        let (outcome, reason) = (refusal.outcome, refusal.detail);
        self.count(outcome, reason);
        let exclusion = refusal.exclusion.map(Exclusion::as_str);
        if let Some(exclusion) = exclusion {
            self.exclusions.add(1, &[KeyValue::new("reason", exclusion)]);
        }
        warn!(self.log, "request refused"; events::ROUTE_REFUSED, "request" => id,
            "outcome" => outcome.as_str(), "reason" => reason, "exclusion" => exclusion,
            "declared" => declared.version, "declared_age_ms" => declared.age_ms);
    }

    /// Counts and logs a stream that ended early.
    pub(crate) fn cut(&self, id: &str, events: u64, reason: &'static str) {
        self.count(Outcome::MayHaveRun, reason);
        warn!(self.log, "stream interrupted"; events::ROUTE_INTERRUPTED, "request" => id, "events" => events,
            "reason" => reason);
    }

    /// Logs a request with which a caller resumes a stream that began at this software version, if it is known.
    pub(crate) fn resumption(&self, facts: &CallFacts, software: Option<&str>, basis: OriginBasis) {
        info!(self.log, "caller resumes a stream"; events::STREAM_RESUMPTION, "request" => facts.id.as_deref(),
            "began_as" => facts.resumes.as_deref(), "after" => facts.last_event.as_deref(),
            "software" => software, "basis" => basis.as_str());
    }

    /// Logs a stream that another target continues.
    pub(crate) fn resumed(&self, id: &str, target: &str, after: &str) {
        info!(self.log, "resumed"; events::ROUTE_RESUMED, "request" => id,
            "target" => target, "after" => after);
    }

    /// Logs that a target has said that it is leaving.
    pub(crate) fn leaving(&self, id: &str, target: &str) {
        self.leavings.add(1, &[]);
        info!(self.log, "target is leaving"; events::TARGET_LEAVING, "request" => id, "target" => target);
    }

    /// Counts and logs an answer whose status promises that the request has not run, from a target that does not state it.
    pub(crate) fn unproven_refusal(&self, id: &str, target: &str, status: u16) {
        self.unproven_refusals
            .add(1, &[KeyValue::new("status", i64::from(status))]);
        warn!(self.log, "refusal without proof"; events::REFUSAL_UNPROVEN, "request" => id, "target" => target,
            "status" => status);
    }

    /// Logs that a target has asked for a pause.
    pub(crate) fn pause_requested(&self, id: &str, target: &str, pause: RequestedPause) {
        self.pauses.add(1, &[]);
        match pause {
            RequestedPause::For(pause) => {
                info!(self.log, "target asked for a pause"; events::PAUSE_REQUESTED, "request" => id,
                    "target" => target, "ms" => u64::try_from(pause.as_millis()).unwrap_or(u64::MAX));
            }
            RequestedPause::Unusable => {
                warn!(self.log, "pause can not be used"; events::PAUSE_REQUESTED, "request" => id,
                    "target" => target);
            }
        }
    }

    /// Records how short the capacity of a service is, and logs when it becomes short and when it no longer is.
    pub(crate) fn pressure(&self, service: &str, level: f64, change: Option<PressureChange>) {
        if level > 0.0 || change.is_some() {
            self.pressure
                .record(level, &[KeyValue::new("service", service.to_owned())]);
        }
        match change {
            Some(PressureChange::Short) => {
                warn!(self.log, "capacity is short"; events::CAPACITY_SHORT, "service" => service);
            }
            Some(PressureChange::Enough(lasted)) => {
                info!(self.log, "capacity is enough again"; events::CAPACITY_ENOUGH, "service" => service,
                    "lasted_ms" => u64::try_from(lasted.as_millis()).unwrap_or(u64::MAX));
            }
            None => {}
        }
    }

    /// Logs that a crash is not reported to other hosts.
    pub(crate) fn crash_not_shared(&self, id: &str) {
        warn!(self.log, "crash not reported to other hosts"; events::CRASH_NOT_SHARED, "request" => id);
    }

    fn count(&self, outcome: Outcome, reason: &'static str) {
        let labels = [
            KeyValue::new("outcome", outcome.as_str()),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
    }
}
