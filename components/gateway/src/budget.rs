use std::collections::VecDeque;
use std::time::Duration;

use utils::Monotonic;

/// Parts into which the window is divided.
const BUCKETS: u32 = 20;
/// Share of the allowance that is spent; the rest covers hosts whose windows are shifted against each other.
const SPENT_SHARE: f64 = 0.8;

/// Counts of one part of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the part since the start of time.
    number: u64,
    /// Requests.
    requests: u32,
    /// Sends beyond the first of each request.
    repeats: u32,
}

/// This host's part of a service's budget of repeats.
///
/// The allowance is a share of the requests of a sliding window, plus a slack for all hosts together. A host spends the
/// share of its own requests and its even part of the slack, so all hosts together keep the bound without a common counter.
#[derive(Debug, Clone)]
pub struct RetryShare {
    /// Repeats as a share of requests.
    ratio: f64,
    /// Repeats beside that, for all hosts.
    slack: f64,
    /// Length of a part of the window.
    step: Duration,
    /// Parts, oldest first.
    buckets: VecDeque<Bucket>,
}

impl RetryShare {
    /// A budget of nothing used.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gateway::RetryShare;
    ///
    /// let mut share = RetryShare::new(0.2, 10.0, Duration::from_secs(10));
    /// let now = Duration::from_secs(100);
    /// let taken = (0..20).filter(|_| share.take(2, now)).count();
    /// assert_eq!(taken, 4);
    /// ```
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            step: window / BUCKETS,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now: Monotonic) {
        self.current(now).requests += 1;
    }

    /// Takes a repeat if the allowance of this host has one left.
    pub fn take(&mut self, hosts: usize, now: Monotonic) -> bool {
        self.current(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|b| b.repeats).sum();
        let slack = self.slack / hosts.max(1) as f64;
        let allowed = SPENT_SHARE * (self.ratio * f64::from(requests) + slack);
        let has_room = f64::from(repeats + 1) <= allowed;
        if has_room {
            self.current(now).repeats += 1;
        }
        has_room
    }

    fn current(&mut self, now: Monotonic) -> &mut Bucket {
        let number = (now.as_nanos() / self.step.as_nanos().max(1)) as u64;
        let oldest = number.saturating_sub(u64::from(BUCKETS));
        while self.buckets.front().is_some_and(|b| b.number < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
