//! How long a host waits in the calls and pauses with which it follows the tables of the store.

use std::time::Duration;

use utils::Monotonic;

/// Time after which a call to the store whose answer has not begun is given up, in addition to the wait that it asks for.
pub const STORE_ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Largest part by which a pause after a failed call varies, in either direction.
pub const PAUSE_JITTER: f64 = 0.5;

/// Time reserved for the way of an answer, and for delays of a busy host.
const RESERVE: Duration = Duration::from_millis(300);
/// Time reserved to notice that no relay answers, and to ask the store.
const RELAY_RESERVE: Duration = Duration::from_millis(1_000);
/// Longest wait of the store for a change.
const MAX_WAIT: Duration = Duration::from_millis(3_000);
/// Shortest one, which bounds the rate of calls where a change must be in force sooner than a lost call is noticed.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Longest wait of a relay, whose state ages meanwhile for the hosts that follow it.
const RELAY_WAIT: Duration = Duration::from_millis(1_000);
/// Time for which the next read waits for each byte of the last one, so that changes in quick succession do not fill a
/// link with reads of a large table.
const PAUSE_PER_BYTE: Duration = Duration::from_micros(1);
/// Largest share of the bound for that pause.
const MAX_READ_PAUSE_SHARE: f64 = 0.3;
/// Time for which a host waits for a relay that is receiving a large change.
const RECEIVING_RELIANCE: Duration = Duration::from_millis(1_500);
/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(700);

/// The waits and pauses of the calls that follow a table, derived from the time within which a change must be in force.
/// Without I/O.
///
/// Nothing tells a host that the answer to a call was lost. The wait, the timeout and the pause after it, or the age of a
/// relay's state and the time to replace the relay, add up; the sum stays within the bound.
///
/// ```
/// use std::time::Duration;
/// use gateway::FollowPace;
///
/// let mut pace = FollowPace::new(Duration::from_millis(2_500));
/// // A call that reaches the store in an outage may never be answered.
/// assert_eq!(pace.wait(true, false), Duration::ZERO);
/// let first = pace.failed();
/// assert!(pace.failed() > first);
/// pace.answered();
/// assert_eq!(pace.failed(), first);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct FollowPace {
    /// Time within which a change must be in force.
    bound: Duration,
    /// Mean pause after the next failed call.
    pause: Duration,
    /// Whether the last call for this table failed.
    has_failed: bool,
    /// Pause after the last change, which is part of the time within which the next one must be in force.
    read_pause: Duration,
}

impl FollowPace {
    /// Creates the pace for a table whose changes must be in force within `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            pause: FIRST_PAUSE,
            has_failed: false,
            read_pause: Duration::ZERO,
        }
    }

    /// Returns how long the next call asks the store to wait for a change. After a failed call it does not wait, whatever
    /// calls for other tables show.
    pub fn wait(&self, is_store_down: bool, is_relay: bool) -> Duration {
        if is_store_down || self.has_failed {
            return Duration::ZERO;
        }
        let spent = STORE_ANSWER_TIMEOUT + longest(FIRST_PAUSE) + RESERVE + self.read_pause;
        let wait = self.bound.saturating_sub(spent).clamp(MIN_WAIT, MAX_WAIT);
        let longest_of_relay = RELAY_WAIT.saturating_sub(self.read_pause).max(MIN_WAIT);
        if is_relay {
            wait.min(longest_of_relay)
        } else {
            wait
        }
    }

    /// Records an answered call.
    pub fn answered(&mut self) {
        self.pause = FIRST_PAUSE;
        self.has_failed = false;
    }

    /// Records a failed call; returns the mean pause before the next one.
    pub fn failed(&mut self) -> Duration {
        self.has_failed = true;
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_PAUSE);
        pause
    }

    /// Returns the pause after a change of so many bytes. The next call waits that much less.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gateway::FollowPace;
    ///
    /// let mut pace = FollowPace::new(Duration::from_secs(4));
    /// assert_eq!(pace.after_change(0), Duration::ZERO);
    /// assert!(pace.after_change(usize::MAX) < Duration::from_secs(2));
    /// ```
    pub fn after_change(&mut self, bytes: usize) -> Duration {
        let longest = self.bound.mul_f64(MAX_READ_PAUSE_SHARE);
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.read_pause = PAUSE_PER_BYTE.saturating_mul(bytes).min(longest);
        self.read_pause
    }

    /// Returns how long after `now` a host still relies on relays that have shown it the state of the store at
    /// `confirmed_at`; zero for a host that must follow the store itself.
    pub fn relayed_for(&self, confirmed_at: Monotonic, now: Monotonic) -> Duration {
        (confirmed_at + self.max_relay_age()).saturating_sub(now)
    }

    /// Returns until when a host waits for a relay, asked at `asked_at`, that is receiving a large change; until the answer to
    /// the next query, but not for long after the state at `confirmed_at`, the last that relays have shown.
    pub fn receiving_until(&self, asked_at: Monotonic, confirmed_at: Monotonic) -> Monotonic {
        (asked_at + RECEIVING_RELIANCE).min(confirmed_at + self.bound * 2)
    }

    /// Returns the largest age at which the state of a relay is used.
    pub fn max_relay_age(&self) -> Duration {
        self.bound.saturating_sub(RELAY_RESERVE)
    }
}

/// Returns the longest pause with this mean.
fn longest(pause: Duration) -> Duration {
    pause.mul_f64(1.0 + PAUSE_JITTER)
}
