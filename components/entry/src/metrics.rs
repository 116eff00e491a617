use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use errors::Outcome;
use http_io::MemoryAccount;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::EntryError;

/// Metrics of the host, recorded with OpenTelemetry and exported in the Prometheus text format.
pub(crate) struct Metrics {
    /// Registry that the exporter writes to.
    registry: Registry,
    /// Keeps the instruments connected to the exporter.
    _provider: SdkMeterProvider,
    /// Requests by kind and outcome.
    requests: Counter<u64>,
    /// Attempts at targets by result.
    attempts: Counter<u64>,
    /// Time from the arrival of a request to its first token, in seconds.
    first_token: Histogram<f64>,
    /// Tokens relayed to callers.
    tokens: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new(memory: &Arc<MemoryAccount>) -> Result<Self, Report<EntryError>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .change_context(EntryError::Metrics)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("laburnumtally");
        memory.register(&meter);
        Ok(Self {
            registry,
            requests: meter.u64_counter("laburnumtally_requests").build(),
            attempts: meter.u64_counter("laburnumtally_attempts").build(),
            first_token: meter
                .f64_histogram("laburnumtally_first_token")
                .with_unit("s")
                .build(),
            tokens: meter.u64_counter("laburnumtally_tokens").build(),
            _provider: provider,
        })
    }

    pub(crate) fn record_request(&self, kind: &'static str, outcome: Outcome) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome.as_str()),
        ];
        self.requests.add(1, &labels);
    }

    pub(crate) fn record_attempt(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_first_token(&self, after: Duration) {
        self.first_token.record(after.as_secs_f64(), &[]);
    }

    pub(crate) fn record_tokens(&self, count: u64) {
        self.tokens.add(count, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Encoding into memory fails only for a family without metrics, and `gather` leaves those out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}
