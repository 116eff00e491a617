use std::collections::BTreeMap;
use std::time::Duration;

use ledger::{Attempt, Batcher, Breaker, Job};
use utils::Monotonic;

/// Whose a write is.
pub(crate) enum Tag {
    Insert(u64),
    Job(Box<Job>),
}

/// A try under way.
pub(crate) struct Open {
    pub(crate) call: Attempt,
    pub(crate) key: u64,
    pub(crate) target: usize,
    pub(crate) came: Monotonic,
}

/// An entry host: what the ledger's driver holds, without threads.
pub(crate) struct Host {
    pub(crate) incarnation: u64,
    pub(crate) died_at: Option<Monotonic>,
    pub(crate) paused_from: Monotonic,
    pub(crate) paused_until: Monotonic,
    pub(crate) inserts: Batcher<Tag>,
    pub(crate) jobs: Batcher<Tag>,
    pub(crate) is_writing: bool,
    pub(crate) breaker: Breaker,
    pub(crate) open: BTreeMap<u64, Open>,
}

impl Host {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            died_at: None,
            paused_from: Monotonic::ZERO,
            paused_until: Monotonic::ZERO,
            inserts: Batcher::default(),
            jobs: Batcher::default(),
            is_writing: false,
            breaker: Breaker::new(Duration::from_millis(250)),
            open: BTreeMap::new(),
        }
    }

    pub(crate) fn push_job(&mut self, job: Job) {
        self.jobs.push(job.write().clone(), Tag::Job(Box::new(job)));
    }
}
