use error_stack::Report;
use serde::{Deserialize, Serialize};
use utils::{Monotonic, ServiceId, SoftwareVersion};

use crate::ports::UnusableRecord;

/// Prefix of the keys under which the baselines are kept; the name of the service follows.
pub(crate) const BASELINE_PREFIX: &str = "software/";
/// Highest term that hosts reach. A row with a higher one comes from another writer and could never be replaced.
const MAX_TERM: u64 = u64::MAX / 2;

/// The software version at which the streams of a service began that have no record of their own; the content of a row
/// of the shared table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Baseline {
    /// Version of the software.
    pub software: SoftwareVersion,
    /// Increases with each write of the row.
    pub term: u64,
    /// Era of the store in which the row was written. After a restore of the store the row alone proves nothing: a
    /// later one may be lost.
    pub era: u64,
}

impl Baseline {
    /// Parses a row that was read in an era of the store.
    pub(crate) fn parse(value: &[u8], read_in_era: u64) -> Result<Self, Report<UnusableRecord>> {
        let baseline = serde_json::from_slice(value);
        let baseline: Self = baseline.map_err(|e| Report::new(e).change_context(UnusableRecord))?;
        if baseline.era > read_in_era || baseline.term > MAX_TERM {
            return Err(Report::new(UnusableRecord).attach("the term or the era is too high"));
        }
        Ok(baseline)
    }

    /// Whether this row was written after the other one. A row of a later era was written by a host that knew of the
    /// restore, so it counts more than a higher term of an earlier era.
    pub(crate) fn is_newer(&self, other: &Self) -> bool {
        (self.era, self.term) > (other.era, other.term)
    }
}

/// Why the row of a baseline is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineChange {
    /// The service has no baseline.
    Created,
    /// Another version alone has been listed for the lifetime of a stream.
    Changed,
    /// The store has lost the row, or may have lost a later one.
    Confirmed,
}

/// A row that the shared table should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BaselineWrite {
    /// Service of the baseline.
    pub service: ServiceId,
    /// Content of the row.
    pub baseline: Baseline,
    /// Why it is written.
    pub change: BaselineChange,
    /// Time from which on it is due.
    pub due_since: Monotonic,
}

impl BaselineWrite {
    /// Returns the key of the row.
    ///
    /// ```
    /// use gateway::{Baseline, BaselineChange, BaselineWrite};
    ///
    /// let write = BaselineWrite {
    ///     service: "chat".into(),
    ///     baseline: Baseline { software: "2.1".into(), term: 1, era: 0 },
    ///     change: BaselineChange::Created,
    ///     due_since: std::time::Duration::ZERO,
    /// };
    /// assert_eq!(write.key(), "software/chat");
    /// ```
    pub fn key(&self) -> String {
        format!("{BASELINE_PREFIX}{}", self.service)
    }
}
