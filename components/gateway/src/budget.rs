use std::collections::VecDeque;
use std::time::Duration;

use utils::Monotonic;

/// Parts into which the window is divided.
const BUCKET_COUNT: u32 = 20;
/// Share of the allowance that is spent; the rest covers hosts whose windows are shifted against each other.
const USABLE_SHARE: f64 = 0.8;

/// Counts of one part of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the part since the start of time.
    index: u64,
    /// Requests.
    requests: u32,
    /// Sends beyond the first of each request.
    retries: u32,
}

/// This host's part of a service's budget of repeats.
///
/// The allowance is a share of the requests of a sliding window, plus a slack for all hosts together. A host spends the
/// share of its own requests and its even part of the slack, so all hosts together keep the bound without a common counter.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Repeats as a share of requests.
    ratio: f64,
    /// Repeats beside that, for all hosts.
    slack: f64,
    /// Length of a part of the window.
    bucket_length: Duration,
    /// Parts, oldest first.
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// A budget of nothing used.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gateway::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(0.2, 10.0, Duration::from_secs(10));
    /// let now = Duration::from_secs(100);
    /// let taken = (0..20).filter(|_| budget.try_take(2, now)).count();
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

    /// Counts a request.
    pub fn record_request(&mut self, now: Monotonic) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes a repeat if the allowance of this host has one left.
    pub fn try_take(&mut self, hosts: usize, now: Monotonic) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let slack = self.slack / hosts.max(1) as f64;
        let allowed = USABLE_SHARE * (self.ratio * f64::from(requests) + slack);
        let has_room = f64::from(retries + 1) <= allowed;
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
