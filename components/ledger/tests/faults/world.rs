use std::collections::BTreeMap;

use ledger::{RecordedBody, RecordedReply};
use metadata::MemoryTable;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use utils::Monotonic;

/// Targets of the service.
pub(crate) const TARGETS: usize = 3;

/// What goes wrong from time to time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    HostKilled,
    TargetKilled,
    StoreDown,
    AnswerLost,
    ConnectionSilent,
    HolderPaused,
}

impl Fault {
    pub(crate) const ALL: [Self; 6] = [
        Self::HostKilled,
        Self::TargetKilled,
        Self::StoreDown,
        Self::AnswerLost,
        Self::ConnectionSilent,
        Self::HolderPaused,
    ];
}

/// What the table service makes of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreMood {
    Answers,
    LosesAnswer,
    NotReached,
    Silent,
    /// The transaction takes effect after its sender has stopped waiting.
    Late,
}

/// What becomes of a call to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFate {
    Answered,
    NotSent,
    /// The connection goes silent before the call reaches the target.
    LostBefore,
    /// The connection holds the call back until its sender has stopped waiting.
    Late,
    /// The connection goes silent after the call ran.
    LostAfter,
}

/// A target of the service: it remembers what it ran.
#[derive(Debug, Default)]
pub(crate) struct Target {
    /// Replies by key.
    pub(crate) ran: BTreeMap<u64, u64>,
    pub(crate) is_down: bool,
}

/// What lies outside the entry hosts.
#[derive(Debug, Default)]
pub(crate) struct World {
    pub(crate) table: MemoryTable,
    pub(crate) targets: [Target; TARGETS],
    /// Tries that ran, by key.
    pub(crate) runs: BTreeMap<u64, Vec<u64>>,
    pub(crate) is_store_down: bool,
    pub(crate) is_losing_answers: bool,
    pub(crate) is_silent: bool,
}

impl World {
    pub(crate) fn store_mood(&self, rng: &mut ChaCha8Rng) -> StoreMood {
        if self.is_store_down {
            let moods = [StoreMood::NotReached, StoreMood::Silent, StoreMood::Late];
            return moods[rng.random_range(0..moods.len())];
        }
        if self.is_losing_answers && rng.random::<f64>() < 0.5 {
            return StoreMood::LosesAnswer;
        }
        StoreMood::Answers
    }

    pub(crate) fn call_fate(&self, target: usize, rng: &mut ChaCha8Rng) -> CallFate {
        if self.targets[target].is_down {
            return CallFate::NotSent;
        }
        if self.is_silent && rng.random::<f64>() < 0.5 {
            let fates = [CallFate::LostBefore, CallFate::Late, CallFate::LostAfter];
            return fates[rng.random_range(0..fates.len())];
        }
        CallFate::Answered
    }

    /// A target runs a call; false if it is down.
    pub(crate) fn run(&mut self, target: usize, key: u64, attempt: u64) -> bool {
        if self.targets[target].is_down {
            return false;
        }
        self.runs.entry(key).or_default().push(attempt);
        self.targets[target].ran.insert(key, attempt);
        true
    }
}

/// The reply that a target gives to a try: it names the try.
pub(crate) fn reply(attempt: u64) -> RecordedReply {
    RecordedReply {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: RecordedBody::Text(attempt.to_string()),
    }
}

/// A random time in milliseconds.
pub(crate) fn millis(rng: &mut ChaCha8Rng, from: u64, to: u64) -> Monotonic {
    Monotonic::from_micros(rng.random_range(from * 1_000..to * 1_000))
}
