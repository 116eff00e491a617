use std::time::Duration;

use crate::SlotSchedule;

/// How the targets of a service behave while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Time after its start for which a target is cold.
    pub duration: Duration,
    /// Requests per second that a cold target tolerates.
    pub per_second: f64,
}

/// The deployment's bound on the requests that arrive at a cold target in any second, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor on the tolerated requests.
    pub overrun: f64,
    /// Requests allowed in addition.
    pub slack: f64,
}

impl ColdBound {
    /// Returns the most requests that may arrive in any second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gateway::{ColdBound, ColdLimit};
    ///
    /// let limit = ColdLimit { duration: Duration::from_secs(8), per_second: 16.0 };
    /// let bound = ColdBound { overrun: 1.5, slack: 5.0 };
    /// assert_eq!(bound.most(&limit), 29);
    /// ```
    pub fn most(&self, limit: &ColdLimit) -> u32 {
        // The conversion saturates, and turns NaN into 0.
        (limit.per_second * self.overrun + self.slack) as u32
    }
}

/// The limit of a service and the schedule that keeps it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRules {
    /// The limit.
    pub limit: ColdLimit,
    /// The schedule of sends; `None` if no request may be sent to a cold target.
    pub schedule: Option<SlotSchedule>,
}

impl ColdRules {
    /// Creates the rules of a service.
    pub fn new(limit: ColdLimit, bound: &ColdBound) -> Self {
        Self {
            limit,
            schedule: SlotSchedule::for_cold_targets(&limit, bound),
        }
    }
}
