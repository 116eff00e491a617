//! Pauses of a host between its calls for a table.

use std::time::Duration;

use crate::cached_state::LIMIT_PREFIX;
use crate::crash_rows::is_on_crash;
use crate::ports::{Snapshot, Table};

/// Pause after a change of targets, which batches changes in quick succession into few calls. Well below the
/// time within which a host must stop using a leaving target.
const TARGETS_PAUSE: Duration = Duration::from_millis(600);
/// Pause after cold targets have only renewed their entries, which they do often. As long as the wait of a relay, so that
/// relays call no more often than without renewals.
const COLD_RENEWAL_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause after a change of the shared table that concerns crashes or limits of targets.
const URGENT_PAUSE: Duration = Duration::from_millis(500);
/// Pause after any other change of the shared table.
const SHARED_PAUSE: Duration = Duration::from_millis(2_000);

/// Returns the pause before the next call for a table. `is_cold_renewal` if the changes are nothing but renewed entries
/// of cold targets.
///
/// ```
/// use std::time::Duration;
/// use gateway::pause_after;
/// use gateway::ports::{Snapshot, Table};
///
/// assert_eq!(pause_after(Table::Shared, &Snapshot::default(), false), Duration::ZERO);
/// ```
pub fn pause_after(table: Table, changed: &Snapshot, is_cold_renewal: bool) -> Duration {
    let is_urgent = |key: &str| is_on_crash(key) || key.starts_with(LIMIT_PREFIX);
    let is_urgent = || changed.records.iter().any(|record| is_urgent(&record.key));
    match table {
        _ if changed.records.is_empty() => Duration::ZERO,
        Table::Targets if is_cold_renewal => COLD_RENEWAL_PAUSE,
        Table::Targets => TARGETS_PAUSE,
        Table::Shared if is_urgent() => URGENT_PAUSE,
        Table::Shared => SHARED_PAUSE,
        Table::Declared | Table::Orders => Duration::ZERO,
    }
}
