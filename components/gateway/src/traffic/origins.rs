use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use utils::Clock;

use crate::software::{OriginKey, OriginRecords, OriginUnknown, StreamOrigin};
use crate::telemetry::OriginTelemetry;

/// Capacity of the queue of look-ups.
const FIND_QUEUE_CAPACITY: usize = 256;
/// Longest time that a look-up takes.
const FIND_TIMEOUT: Duration = Duration::from_millis(800);

/// Result of a look-up.
pub(crate) type FindResult = Result<Option<StreamOrigin>, OriginUnknown>;

/// The records of stream origins that this host has made, and the queues to the control thread, which writes records
/// and looks up those of other hosts.
pub(crate) struct Origins {
    clock: Arc<dyn Clock>,
    telemetry: OriginTelemetry,
    /// Records of this host.
    records: Mutex<OriginRecords>,
    /// Wakes a task that writes records.
    wake: (Sender<()>, Receiver<()>),
    /// Wakes the task that copies origins to another host.
    copy_wake: (Sender<()>, Receiver<()>),
    /// Look-ups that wait for the control thread.
    finds: (Sender<FindQuery>, Receiver<FindQuery>),
}

/// A look-up of a record that this host did not make.
pub(crate) struct FindQuery {
    /// Identifies the stream.
    pub key: OriginKey,
    result: Sender<FindResult>,
}

impl FindQuery {
    /// Whether no one waits for the result any more.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.result.is_closed()
    }

    /// Returns the result to the request that asked.
    pub(crate) fn answer(self, result: FindResult) {
        // Fails if the request no longer waits.
        let _ = self.result.try_send(result);
    }
}

/// A record that is being written. Dropping it does not cancel the write.
pub(crate) struct Recording {
    written: Receiver<()>,
    is_written: bool,
}

impl Recording {
    /// Waits at most `limit` until the store has the record; returns whether it has. Can be called again after a limit has
    /// passed; returns at once if the record was not taken or has expired.
    pub(crate) async fn wait(&mut self, limit: Duration) -> bool {
        if !self.is_written {
            let written = async { self.written.recv().await.is_ok() };
            let late = async {
                smol::Timer::after(limit).await;
                false
            };
            self.is_written = written.or(late).await;
        }
        self.is_written
    }
}

impl Origins {
    pub(crate) fn new(clock: Arc<dyn Clock>, telemetry: OriginTelemetry) -> Self {
        Self {
            clock,
            telemetry,
            records: Mutex::default(),
            wake: async_channel::bounded(1),
            copy_wake: async_channel::bounded(1),
            finds: async_channel::bounded(FIND_QUEUE_CAPACITY),
        }
    }

    /// Begins to record the origin of a stream. The first record of a stream is final, as its write may be performed
    /// late: a request that has one must stay at this version, also in retries.
    pub(crate) fn record(&self, origin: StreamOrigin) -> Recording {
        let (tx, written) = async_channel::bounded(1);
        let is_running = !self.wake.0.is_closed();
        if is_running && self.records().add(origin.clone(), tx, self.clock.now()) {
            self.wake();
            self.wake_copies();
        } else {
            self.telemetry.refused(&origin);
        }
        Recording {
            written,
            is_written: false,
        }
    }

    /// Holds the origin of a stream that needs no record, in case the store is restored.
    pub(crate) fn hold(&self, origin: StreamOrigin) {
        self.records().hold(origin, self.clock.now());
        self.wake_copies();
    }

    /// Holds origins of streams that began at another host.
    pub(crate) fn hold_copies(&self, origins: Vec<StreamOrigin>) {
        let now = self.clock.now();
        let mut records = self.records();
        for origin in origins {
            records.hold_copy(origin, now);
        }
    }

    /// Returns whether records can't be written at this moment.
    pub(crate) fn is_failing(&self) -> bool {
        self.records().is_failing()
    }

    /// Looks up the origin of a stream: in the records of this host, then in the store. `None` means that there is no
    /// record.
    ///
    /// # Errors
    /// [`OriginUnknown`] if the store does not answer in time, its record can't be read, or it was restored and this host
    /// does not know yet what it has lost.
    pub(crate) async fn find(&self, key: &OriginKey) -> FindResult {
        let own = self.records().get(key).cloned();
        if let Some(own) = own {
            self.telemetry.found_own(&own);
            return Ok(Some(own));
        }
        let result = self.find_stored(*key).await;
        self.telemetry.found(key, &result);
        result
    }

    async fn find_stored(&self, key: OriginKey) -> FindResult {
        let (result, rx) = async_channel::bounded(1);
        let query = FindQuery { key, result };
        self.finds.0.try_send(query).map_err(|_| OriginUnknown)?;
        let answered = async { rx.recv().await.unwrap_or(Err(OriginUnknown)) };
        let late = async {
            smol::Timer::after(FIND_TIMEOUT).await;
            Err(OriginUnknown)
        };
        answered.or(late).await
    }

    /// Locks the records of this host.
    pub(crate) fn records(&self) -> MutexGuard<'_, OriginRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes a task that writes records.
    pub(crate) fn wake(&self) {
        // If the queue is full, a task is about to wake.
        let _ = self.wake.0.try_send(());
    }

    /// Waits for the next call of [`Self::wake`].
    pub(crate) async fn woken(&self) {
        // Fails only after the tasks were cancelled.
        let _ = self.wake.1.recv().await;
    }

    fn wake_copies(&self) {
        // If the queue is full, the task is about to wake.
        let _ = self.copy_wake.0.try_send(());
    }

    /// Waits until origins have come that no other host has a copy of.
    pub(crate) async fn copies_due(&self) {
        // Fails only after the tasks were cancelled.
        let _ = self.copy_wake.1.recv().await;
    }

    /// Waits for the next look-up; `None` once the control thread stops.
    pub(crate) async fn next_find(&self) -> Option<FindQuery> {
        self.finds.1.recv().await.ok()
    }

    /// Refuses records and look-ups from now on; to be called when the control thread stops.
    pub(crate) fn close(&self) {
        self.wake.0.close();
        self.copy_wake.0.close();
        self.finds.0.close();
    }
}
