use std::time::Duration;

use utils::{Monotonic, SoftwareVersion};

/// Shortest time for which a stream is presumed to live.
pub(super) const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(30);

/// Whether a record must say at which software version a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordNeed {
    /// No record: a stream without one is known to have begun at this version.
    None,
    /// Without a record the stream can't be taken up.
    Wanted,
    /// Without a record the stream would be taken up at another version.
    Required,
}

/// What a host knows of the software versions of a service.
///
/// ```
/// use gateway::{RecordNeed, ServiceSoftware};
///
/// let software = ServiceSoftware {
///     baseline: Some("1".into()),
///     is_baseline_listed: true,
///     ..ServiceSoftware::default()
/// };
/// assert_eq!(software.record_need("1"), RecordNeed::None);
/// assert_eq!(software.record_need("2"), RecordNeed::Required);
/// assert_eq!(ServiceSoftware::default().record_need("1"), RecordNeed::Wanted);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSoftware {
    /// Version at which streams without a record began; `None` while it is unknown.
    pub baseline: Option<SoftwareVersion>,
    /// Whether a target of that version is listed.
    pub is_baseline_listed: bool,
    /// Whether a target of another version is listed.
    pub has_others: bool,
    /// Time since which no target of another version has been listed at this host.
    pub alone_since: Option<Monotonic>,
    /// Longest time for which a stream is taken up after its begin.
    pub lifetime: Duration,
}

impl Default for ServiceSoftware {
    /// What is known of a service that the host has not read anything about.
    fn default() -> Self {
        Self {
            baseline: None,
            is_baseline_listed: false,
            has_others: false,
            alone_since: None,
            lifetime: MIN_STREAM_LIFETIME,
        }
    }
}

impl ServiceSoftware {
    /// Returns whether a stream that begins at a version needs a record.
    pub fn record_need(&self, software: &str) -> RecordNeed {
        match &self.baseline {
            Some(baseline) if **baseline == *software => RecordNeed::None,
            Some(_) if self.is_baseline_listed => RecordNeed::Required,
            _ => RecordNeed::Wanted,
        }
    }

    /// Returns whether no target of another version than the baseline's can have begun a stream that still lives.
    pub fn has_only_baseline(&self, now: Monotonic) -> bool {
        let since = self.alone_since.filter(|_| self.baseline.is_some());
        since.is_some_and(|since| now.saturating_sub(since) >= self.lifetime)
    }
}
