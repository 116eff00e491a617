use std::time::Duration;

/// Maximum reads of the head row per second, over all hosts together.
const READS_PER_SECOND: u32 = 240;
/// Maximum rows written per second, over all hosts together.
const WRITES_PER_SECOND: u32 = 72;

/// Returns the time between two reads of the head row by one of `hosts` hosts, at least `shortest`.
///
/// ```
/// use std::time::Duration;
///
/// let shortest = Duration::from_millis(500);
/// assert_eq!(notes::head_interval(shortest, 9), shortest);
/// assert_eq!(notes::head_interval(shortest, 480), Duration::from_secs(2));
/// ```
pub fn head_interval(shortest: Duration, hosts: u32) -> Duration {
    shortest.max(Duration::from_secs(1) * hosts / READS_PER_SECOND)
}

/// Returns the time over which `hosts` hosts spread one write each.
///
/// ```
/// assert_eq!(notes::write_window(144), std::time::Duration::from_secs(2));
/// ```
pub fn write_window(hosts: u32) -> Duration {
    Duration::from_secs(1) * hosts / WRITES_PER_SECOND
}
