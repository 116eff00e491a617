use std::collections::BTreeMap;
use std::time::Duration;

use ledger::{Attempt, Batcher, Breaker, Job};
use utils::Monotonic;

/// Receiver of a write's result.
pub(crate) enum Tag {
    Insert(u64),
    Job(Box<Job>),
}

/// An attempt in flight.
pub(crate) struct InFlight {
    pub(crate) call: Attempt,
    pub(crate) key: u64,
    pub(crate) target: usize,
    pub(crate) arrived_at: Monotonic,
}

/// An entry host with the state of the ledger's writer and handles, without threads.
pub(crate) struct Host {
    pub(crate) incarnation: u64,
    pub(crate) replaced_at: Option<Monotonic>,
    pub(crate) paused_from: Monotonic,
    pub(crate) paused_until: Monotonic,
    pub(crate) inserts: Batcher<Tag>,
    pub(crate) jobs: Batcher<Tag>,
    pub(crate) is_writing: bool,
    pub(crate) breaker: Breaker,
    pub(crate) in_flight: BTreeMap<u64, InFlight>,
}

impl Host {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            replaced_at: None,
            paused_from: Monotonic::ZERO,
            paused_until: Monotonic::ZERO,
            inserts: Batcher::default(),
            jobs: Batcher::default(),
            is_writing: false,
            breaker: Breaker::new(Duration::from_millis(250)),
            in_flight: BTreeMap::new(),
        }
    }

    pub(crate) fn push_job(&mut self, job: Job) {
        self.jobs.push(job.write().clone(), Tag::Job(Box::new(job)));
    }
}
