//! Reads and writes of the hosts at the table service.

use error_stack::Report;
use ledger::{Batch, ClaimRow, Input, JobStep, StoredClaim, WriteResult};
use metadata::{Committed, PlatformError};
use rand::RngExt;
use std::time::Duration;

use crate::host::Tag;
use crate::sim::{Event, STORE_TIMEOUT_MS, Sim, row_key};
use crate::world::{StoreResponse, random_millis};

const STORE_TIMEOUT: Duration = Duration::from_millis(STORE_TIMEOUT_MS);
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(40);
const COMMIT_WINDOW: Duration = Duration::from_millis(3);
const BATCH_ROWS: usize = 64;

impl Sim {
    pub(crate) fn wake(&mut self, host: usize) {
        if !self.hosts[host].is_writing {
            self.hosts[host].is_writing = true;
            self.schedule_after(COMMIT_WINDOW, Some(host), Event::Flush);
        }
    }

    /// Sends the waiting writes. While the table service is unavailable, claims are refused and settlements
    /// wait.
    pub(crate) fn flush(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        state.is_writing = false;
        let mut batch = Batch::default();
        state.inserts.fill(&mut batch, BATCH_ROWS);
        if !state.breaker.is_closed() {
            let (results, _) =
                batch.handle_answer(Err(Report::new(PlatformError::Unreachable)), |_: &ClaimRow| true);
            results
                .into_iter()
                .for_each(|(tag, result)| self.deliver(host, tag, result));
            return;
        }
        state.jobs.fill(&mut batch, BATCH_ROWS);
        if !batch.is_empty() {
            self.write(host, batch);
        }
    }

    pub(crate) fn write(&mut self, host: usize, batch: Batch<Tag>) {
        self.hosts[host].is_writing = true;
        self.counts.transactions += 1;
        self.counts.rows += batch.len();
        let round_trip = random_millis(&mut self.rng, 1, 4);
        let tx = batch.transaction();
        let lost = Err(PlatformError::AnswerLost);
        let (wait, answer) = match self.world.store_response(&mut self.rng) {
            StoreResponse::Answers => (round_trip, Ok(self.world.table.apply(&tx))),
            StoreResponse::LosesAnswer => {
                self.world.table.apply(&tx);
                (STORE_TIMEOUT, lost)
            }
            StoreResponse::NotReached => (round_trip, Err(PlatformError::Unreachable)),
            StoreResponse::Silent => (STORE_TIMEOUT, lost),
            StoreResponse::Late => {
                let delay = random_millis(&mut self.rng, 1, 5_000);
                self.schedule_after(delay, None, Event::Late { tx });
                (STORE_TIMEOUT, lost)
            }
        };
        self.schedule_after(wait, Some(host), Event::Answer { batch, answer });
    }

    pub(crate) fn handle_store_answer(
        &mut self,
        host: usize,
        batch: Batch<Tag>,
        answer: Result<Committed, PlatformError>,
    ) {
        self.record_store_call(host, answer.is_ok());
        let is_alive = self.liveness();
        let (results, rest) = batch.handle_answer(answer.map_err(Report::new), |row| is_alive(&row.holder));
        results
            .into_iter()
            .for_each(|(tag, result)| self.deliver(host, tag, result));
        self.hosts[host].is_writing = false;
        match rest {
            Some(rest) => self.write(host, rest),
            None if !self.hosts[host].inserts.is_empty() || !self.hosts[host].jobs.is_empty() => {
                self.wake(host)
            }
            None => {}
        }
    }

    pub(crate) fn deliver(&mut self, host: usize, tag: Tag, result: WriteResult) {
        match tag {
            Tag::Insert(attempt) => {
                let input = match result {
                    WriteResult::Applied(version) => Input::Applied(version),
                    WriteResult::Refused(found) => Input::Refused(found),
                    WriteResult::Lost => Input::Lost,
                    WriteResult::NotSent | WriteResult::Malformed => Input::StoreFailed,
                };
                self.input(host, attempt, input);
            }
            Tag::Job(mut job) => {
                if job.step(&result) == JobStep::Retry {
                    self.hosts[host].push_job(*job);
                }
            }
        }
    }

    /// Updates the host's circuit breaker with the result of a call to the table service.
    pub(crate) fn record_store_call(&mut self, host: usize, is_answered: bool) {
        if is_answered {
            self.hosts[host].breaker.record_success();
            return;
        }
        if self.hosts[host].breaker.is_closed() {
            self.schedule_after(Duration::from_millis(1), Some(host), Event::Probe);
        }
        let jitter = self.rng.random::<f64>();
        self.hosts[host].breaker.record_failure(self.now, jitter);
    }

    pub(crate) fn probe(&mut self, host: usize) {
        if self.world.store_response(&mut self.rng) == StoreResponse::Answers {
            self.hosts[host].breaker.record_success();
            return self.wake(host);
        }
        let jitter = self.rng.random::<f64>();
        self.hosts[host].breaker.record_failure(self.now, jitter);
        let due = self.hosts[host].breaker.probe_at().unwrap_or(self.now);
        self.schedule_after(due - self.now, Some(host), Event::Probe);
    }

    pub(crate) fn read_back(&mut self, host: usize, attempt: u64) {
        let round_trip = random_millis(&mut self.rng, 1, 4);
        match self.world.store_response(&mut self.rng) {
            StoreResponse::Answers => {
                self.schedule_after(round_trip, Some(host), Event::ReadBack { attempt })
            }
            _ => self.schedule_after(READ_BACK_TIMEOUT, Some(host), Event::ReadFailed { attempt }),
        }
    }

    pub(crate) fn read(&self, host: usize, attempt: u64) -> Option<StoredClaim> {
        let in_flight = self.hosts[host].in_flight.get(&attempt)?;
        let row = self.world.table.get(&row_key(in_flight.key))?;
        let is_alive = self.liveness();
        Some(StoredClaim::parse(&row, |row| is_alive(&row.holder)).expect("claim"))
    }
}
