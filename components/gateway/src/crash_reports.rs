//! When a host reports the requests that were in flight at crashes to the other hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::{Incarnation, Monotonic};

use crate::Crash;
use crate::crash_rows::CRASH_PREFIX;
use crate::quarantine::{CRASH_RETENTION, CRASHES_TO_QUARANTINE, Fingerprint};
use crate::suspects::{AnswerStage, CrashEvidence};

/// Rows on crashes that all hosts together write per second in the long run. Each is removed again later, and is read by
/// all who follow the store. With one row for each request, a third of the engines that crashed again and again cost
/// 10,809 calls to the store in a minute.
const ROWS_PER_SECOND: f64 = 8.0;
/// Rows that a host may write in quick succession after a quiet time.
const MAX_BURST: f64 = 5.0;
/// Rows that a host keeps for requests that have probably caused a crash: bystanders wait until it has more left.
const BYSTANDER_RESERVE: f64 = 3.0;
/// Rows that a host keeps for requests that a target had just begun: those that may have waited in its queue wait until it
/// has more left. With 1 of 4 the former waited for up to 10.3 s in a minute of crashes, with 2 of 5 for 4.2 s.
const NO_HEAD_RESERVE: f64 = 2.0;
/// Most requests in one row. Bounds the size of a row to some 20 kB.
const MAX_REQUESTS_PER_ROW: usize = 32;
/// Most requests that wait to be reported; those with the weakest evidence are dropped first.
const MAX_PENDING: usize = 256;

/// The value of a row on crashes. Hosts of earlier versions read only the first request, whose fingerprint is in the
/// row's key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashRowValue {
    /// What is known of the request in the key.
    #[serde(flatten)]
    pub first: CrashEvidence,
    /// Crashes with this request in flight that the host has seen; earlier versions have it in the key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
    /// Further requests that the host reports with it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub others: Vec<FurtherCrash>,
}

/// A further request in a row on crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FurtherCrash {
    /// The request.
    pub request: Fingerprint,
    /// Crashes with this request in flight that the host has seen.
    #[serde(default = "first_crash")]
    pub count: u32,
    /// What is known of it.
    #[serde(flatten)]
    pub evidence: CrashEvidence,
}

/// The value of a row on a prompt part that succeeded while it was suspected; empty in rows of earlier versions.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SoundRowValue {
    /// Time on the store's clock, if the host knew it. Crashes until then are no evidence against the part, also if they
    /// are reported later.
    pub at: Option<Duration>,
}

/// The count of a request in a row that does not tell it.
fn first_crash() -> u32 {
    1
}

/// Crashes that wait to be reported, and this host's share of the rows that all hosts may write.
///
/// All evidence is reported, but requests that were in flight at crashes in quick succession share rows. Strong evidence
/// is reported at once as long as the host has rows left, weaker evidence while it has more left.
#[derive(Debug)]
pub struct CrashReports {
    /// Crashes that wait.
    pending: Vec<Crash>,
    /// Rows that this host may write now.
    rows_left: f64,
    /// Time at which `rows_left` was computed.
    refilled_at: Monotonic,
    /// Rows that have got a key.
    keys: u64,
}

impl Default for CrashReports {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            rows_left: MAX_BURST,
            refilled_at: Monotonic::ZERO,
            keys: 0,
        }
    }
}

impl CrashReports {
    /// Adds a crash; returns one that is dropped for it if too many wait.
    pub fn add(&mut self, crash: Crash) -> Option<Crash> {
        let position = self
            .pending
            .partition_point(|other| Strength::of(other) >= Strength::of(&crash));
        self.pending.insert(position, crash);
        match self.pending.len() > MAX_PENDING {
            true => self.pending.pop(),
            false => None,
        }
    }

    /// Adds the requests of a row that could not be written, without those past the retention time; returns the crashes that
    /// are dropped.
    pub fn put_back(&mut self, crashes: Vec<Crash>, now: Monotonic) -> Vec<Crash> {
        let is_expired = |crash: &Crash| now >= crash.at + CRASH_RETENTION;
        let (mut dropped, kept): (Vec<_>, Vec<_>) = crashes.into_iter().partition(is_expired);
        dropped.extend(kept.into_iter().filter_map(|crash| self.add(crash)));
        dropped
    }

    /// Whether no crash waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes the requests of a row that may be written now, those with the strongest evidence first; none if none may.
    pub fn take_row(&mut self, hosts: usize, now: Monotonic) -> Vec<Crash> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let refilled = self.rows_left + elapsed * ROWS_PER_SECOND / hosts.max(1) as f64;
        self.rows_left = refilled.min(MAX_BURST);
        self.refilled_at = now;
        let reserve = self.pending.first().map(|first| Strength::of(first).reserve());
        if reserve.is_none_or(|reserve| self.rows_left < reserve + 1.0) {
            return Vec::new();
        }
        self.rows_left -= 1.0;
        let count = self.pending.len().min(MAX_REQUESTS_PER_ROW);
        self.pending.drain(..count).collect()
    }

    /// Returns the key of the next row. No other row of any host has it, so that a crash never replaces the evidence of
    /// an earlier one.
    pub fn next_key(&mut self, first: &Fingerprint, host: &str, incarnation: Incarnation) -> String {
        self.keys += 1;
        format!(
            "{CRASH_PREFIX}{}/{host}/{incarnation}/{}",
            first.text(),
            self.keys
        )
    }
}

/// How probably a request caused the crash at which it was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Strength {
    /// The target could run it.
    Bystander,
    /// The target no longer accepts connections, and had not begun to answer it.
    NoHead,
    /// The target had just begun it, or it was in flight at crashes before.
    Strong,
}

impl Strength {
    fn of(crash: &Crash) -> Self {
        match crash.stage {
            _ if crash.count >= CRASHES_TO_QUARANTINE => Self::Strong,
            AnswerStage::Head => Self::Strong,
            // Crashes with a count of 1 are reported only if the target no longer accepts connections.
            AnswerStage::NoHead => Self::NoHead,
            AnswerStage::Events => Self::Bystander,
        }
    }

    /// Returns the rows that must be left to the host after a row on such a request.
    fn reserve(self) -> f64 {
        match self {
            Self::Bystander => BYSTANDER_RESERVE,
            Self::NoHead => NO_HEAD_RESERVE,
            Self::Strong => 0.0,
        }
    }
}

/// Time between checks whether a row may be written, while crashes wait.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(200);
