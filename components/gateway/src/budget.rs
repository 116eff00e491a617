use std::collections::VecDeque;
use std::time::Duration;

use utils::Monotonic;

/// Buckets that the sliding window is divided into.
const BUCKET_COUNT: u32 = 20;
/// Share of the allowance that hosts spend. The rest covers hosts whose windows are offset from each other.
const USABLE_SHARE: f64 = 0.8;

/// Counts of one bucket of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of bucket lengths since time zero.
    index: u64,
    /// Requests.
    requests: u32,
    /// Sends beyond the first of each request.
    retries: u32,
}

/// This host's share of a service's retry budget.
///
/// The budget is a ratio of the requests of a sliding window, plus a slack for all hosts together. Each host
/// spends the ratio of its own requests and its share of the slack ([`crate::SlotHosts::slack_share`]). All hosts together
/// stay within the budget without a shared counter.
///
/// The budget also holds in each half of the window: a host that spends the ratio of a whole window's requests at once and then
/// ends leaves its callers to other hosts, which count their next requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries allowed per request.
    ratio: f64,
    /// Further retries allowed for all hosts together in each window.
    slack: f64,
    /// Length of a bucket.
    bucket_length: Duration,
    /// Buckets of the window, oldest first.
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget with no requests and no retries counted yet.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gateway::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(0.2, 10.0, Duration::from_secs(10));
    /// let now = Duration::from_secs(100);
    /// let taken = (0..20).filter(|_| budget.try_take(0.5, now)).count();
    /// assert_eq!(taken, 4);
    /// ```
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            bucket_length: window / BUCKET_COUNT,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request in the current bucket.
    pub fn record_request(&mut self, now: Monotonic) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes a retry and returns true if this host's part of the budget, with this share of the slack, allows another
    /// retry.
    pub fn try_take(&mut self, slack_share: f64, now: Monotonic) -> bool {
        let current = self.current_bucket(now).index;
        let slack = self.slack * slack_share;
        let has_room = [BUCKET_COUNT, BUCKET_COUNT / 2].into_iter().all(|count| {
            let first = current.saturating_sub(u64::from(count));
            let window = || self.buckets.iter().filter(|bucket| bucket.index >= first);
            let requests: u32 = window().map(|bucket| bucket.requests).sum();
            let retries: u32 = window().map(|bucket| bucket.retries).sum();
            f64::from(retries + 1) <= USABLE_SHARE * (self.ratio * f64::from(requests) + slack)
        });
        if has_room {
            self.current_bucket(now).retries += 1;
        }
        has_room
    }

    fn current_bucket(&mut self, now: Monotonic) -> &mut Bucket {
        let index = (now.as_nanos() / self.bucket_length.as_nanos().max(1)) as u64;
        let oldest = index.saturating_sub(u64::from(BUCKET_COUNT));
        while self.buckets.front().is_some_and(|b| b.index < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.index < index) {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
