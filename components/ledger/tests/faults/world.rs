use std::collections::BTreeMap;

use ledger::{RecordedBody, RecordedReply};
use metadata::MemoryTable;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use utils::Monotonic;

/// Number of targets of the service.
pub(crate) const TARGETS: usize = 3;

/// Fault injected at random times.
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

/// How the table service handles a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreResponse {
    Answers,
    LosesAnswer,
    NotReached,
    Silent,
    /// The transaction takes effect after its sender has stopped waiting.
    Late,
}

/// How far a call to a target gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallDelivery {
    Answered,
    NotSent,
    /// The connection stops responding before the call reaches the target.
    LostBefore,
    /// The connection delivers the call after its sender has stopped waiting.
    Late,
    /// The connection stops responding after the call ran.
    LostAfter,
}

/// A target of the service, which records the calls it ran.
#[derive(Debug, Default)]
pub(crate) struct Target {
    /// Attempt that ran last, by key of the call.
    pub(crate) ran: BTreeMap<u64, u64>,
    pub(crate) is_down: bool,
}

/// State outside the entry hosts: table service, targets and connections.
#[derive(Debug, Default)]
pub(crate) struct World {
    pub(crate) table: MemoryTable,
    pub(crate) targets: [Target; TARGETS],
    /// Attempts that ran, by key of the call.
    pub(crate) runs: BTreeMap<u64, Vec<u64>>,
    pub(crate) is_store_down: bool,
    pub(crate) is_losing_answers: bool,
    pub(crate) is_connection_silent: bool,
}

impl World {
    pub(crate) fn store_response(&self, rng: &mut ChaCha8Rng) -> StoreResponse {
        if self.is_store_down {
            let responses = [
                StoreResponse::NotReached,
                StoreResponse::Silent,
                StoreResponse::Late,
            ];
            return responses[rng.random_range(0..responses.len())];
        }
        if self.is_losing_answers && rng.random::<f64>() < 0.5 {
            return StoreResponse::LosesAnswer;
        }
        StoreResponse::Answers
    }

    pub(crate) fn call_delivery(&self, target: usize, rng: &mut ChaCha8Rng) -> CallDelivery {
        if self.targets[target].is_down {
            return CallDelivery::NotSent;
        }
        if self.is_connection_silent && rng.random::<f64>() < 0.5 {
            let deliveries = [
                CallDelivery::LostBefore,
                CallDelivery::Late,
                CallDelivery::LostAfter,
            ];
            return deliveries[rng.random_range(0..deliveries.len())];
        }
        CallDelivery::Answered
    }

    /// Runs a call at a target; returns false if the target is down.
    pub(crate) fn run(&mut self, target: usize, key: u64, attempt: u64) -> bool {
        if self.targets[target].is_down {
            return false;
        }
        self.runs.entry(key).or_default().push(attempt);
        self.targets[target].ran.insert(key, attempt);
        true
    }
}

/// Returns a target's reply to an attempt; its body is the number of the attempt.
pub(crate) fn reply(attempt: u64) -> RecordedReply {
    RecordedReply {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: RecordedBody::Text(attempt.to_string()),
    }
}

/// Returns a random duration between two bounds in milliseconds.
pub(crate) fn random_millis(rng: &mut ChaCha8Rng, from: u64, to: u64) -> Monotonic {
    Monotonic::from_micros(rng.random_range(from * 1_000..to * 1_000))
}
