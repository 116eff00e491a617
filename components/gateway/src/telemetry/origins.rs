use std::sync::{Arc, Mutex, PoisonError};

use error_stack::Report;
use errors::events;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use policy::TokenBucket;
use slog::{Logger, info, warn};
use utils::Monotonic;

use crate::ports::StoreError;
use crate::software::{OriginKey, OriginUnknown, StreamOrigin};

/// Lines a second that say that records are not written.
const UNWRITTEN_LINES_PER_SECOND: f64 = 1.0;

/// Log lines and metrics of records of stream origins.
#[derive(Clone)]
pub(crate) struct OriginTelemetry {
    log: Logger,
    /// Records by result: writes and removals.
    records: Counter<u64>,
    /// Look-ups by result.
    finds: Counter<u64>,
    /// Limits the lines on records that are not written.
    unwritten_lines: Arc<Mutex<TokenBucket>>,
}

impl OriginTelemetry {
    pub(super) fn new(log: Logger, meter: &Meter) -> Self {
        let lines = TokenBucket::new(UNWRITTEN_LINES_PER_SECOND, 1.0, Monotonic::ZERO);
        Self {
            log,
            records: meter.u64_counter("laburnumtally.origins.records").build(),
            finds: meter.u64_counter("laburnumtally.origins.finds").build(),
            unwritten_lines: Arc::new(Mutex::new(lines)),
        }
    }

    /// Counts records that the store has acknowledged.
    pub(crate) fn written(&self, count: usize) {
        self.count_records(count, "written");
    }

    /// Counts and logs records whose write has failed and is repeated.
    pub(crate) fn not_written(&self, count: usize, error: &Report<StoreError>, now: Monotonic) {
        self.count_records(count, "failed");
        let mut lines = self
            .unwritten_lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if lines.take(1.0, now).is_ok() {
            warn!(self.log, "stream origins not written yet"; events::ORIGINS_UNWRITTEN, "records" => count,
                "error" => format!("{error:?}"));
        }
    }

    /// Counts and logs a record that is not taken.
    pub(crate) fn refused(&self, origin: &StreamOrigin) {
        self.count_records(1, "refused");
        warn!(self.log, "stream origin not recorded"; events::ORIGIN_REFUSED, "stream" => %origin.key,
            "software" => &*origin.software);
    }

    /// Counts and logs records whose removal was tried.
    pub(crate) fn removed(&self, count: usize, result: Result<&(), &Report<StoreError>>) {
        match result {
            Ok(()) => {
                self.count_records(count, "removed");
                info!(self.log, "stream origins removed"; events::ORIGINS_REMOVED, "records" => count);
            }
            Err(e) => warn!(self.log, "stream origins not removed yet"; events::ORIGINS_REMOVED,
                "records" => count, "error" => format!("{e:?}")),
        }
    }

    /// Counts and logs an origin that this host has recorded itself.
    pub(crate) fn found_own(&self, origin: &StreamOrigin) {
        self.count_find("own");
        self.log_found(&origin.key, Some(origin));
    }

    /// Counts and logs the result of a look-up in the store.
    pub(crate) fn found(&self, key: &OriginKey, result: &Result<Option<StreamOrigin>, OriginUnknown>) {
        match result {
            Ok(origin) => {
                self.count_find(if origin.is_some() { "stored" } else { "none" });
                self.log_found(key, origin.as_ref());
            }
            Err(OriginUnknown) => {
                self.count_find("unknown");
                warn!(self.log, "stream origin unknown"; events::ORIGIN_UNKNOWN, "stream" => %key);
            }
        }
    }

    /// Logs why a look-up in the store has failed.
    pub(crate) fn find_failed(&self, key: &OriginKey, error: &Report<StoreError>) {
        warn!(self.log, "look-up of a stream origin failed"; events::ORIGIN_UNKNOWN, "stream" => %key,
            "error" => format!("{error:?}"));
    }

    fn log_found(&self, key: &OriginKey, origin: Option<&StreamOrigin>) {
        info!(self.log, "stream origin looked up"; events::ORIGIN_FOUND, "stream" => %key,
            "software" => origin.map(|origin| &*origin.software));
    }

    fn count_records(&self, count: usize, result: &'static str) {
        self.records.add(count as u64, &[KeyValue::new("result", result)]);
    }

    fn count_find(&self, result: &'static str) {
        self.finds.add(1, &[KeyValue::new("result", result)]);
    }
}
