/// Why a request is refused for lack of capacity at engines. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShortCapacity {
    /// Requests wait at the engines, and a share of the requests of this priority is refused in favor of more urgent
    /// ones.
    Shed,
    /// Requests wait at the engines, and a share of the most urgent requests is refused.
    Crowded,
    /// No engine has room for a request of this priority; it would wait and delay others.
    AllFull,
    /// No engine is expected to begin before the request's deadline.
    TooLate,
}

impl ShortCapacity {
    /// Returns the reason for the caller, the log and the metrics.
    ///
    /// ```
    /// assert_eq!(gateway::ShortCapacity::AllFull.as_str(), "every target is full");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Shed => "capacity is short, and more urgent requests go first",
            Self::Crowded => "capacity is short, and too many requests wait already",
            Self::AllFull => "every target is full",
            Self::TooLate => "no target is expected to begin before the deadline",
        }
    }
}
