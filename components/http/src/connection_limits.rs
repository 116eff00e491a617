use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Size of the buffer that every connection has, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Smallest limit on a head, in bytes. Smaller ones would refuse every request.
const MIN_HEAD_BYTES: usize = 1 << 10;
/// Largest limit on a head, in bytes. Larger heads would not be served by targets either.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Shortest time for a head or without a request.
const MIN_TIME: Duration = Duration::from_millis(100);
/// Longest time for a head or without a request. Keeps arithmetic on times from overflowing.
const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);

/// Limits on the connections of callers. They can change while a server runs.
///
/// ```
/// use std::time::Duration;
///
/// let limits = http_io::ConnectionLimits::new(16_384, Duration::from_secs(3), Duration::from_secs(15));
/// limits.set(16_384, Duration::MAX, Duration::ZERO);
/// assert_eq!(limits.header_time(), Duration::from_secs(86_400));
/// assert_eq!(limits.idle_time(), Duration::from_millis(100));
/// ```
#[derive(Debug)]
pub struct ConnectionLimits {
    head_bytes: AtomicUsize,
    header_ms: AtomicU64,
    idle_ms: AtomicU64,
}

impl ConnectionLimits {
    /// Creates limits: the largest head, the longest time in which it has to arrive, and the longest time without a
    /// request.
    pub fn new(head_bytes: usize, header_time: Duration, idle_time: Duration) -> Self {
        let limits = Self {
            head_bytes: AtomicUsize::default(),
            header_ms: AtomicU64::default(),
            idle_ms: AtomicU64::default(),
        };
        limits.set(head_bytes, header_time, idle_time);
        limits
    }

    /// Changes the limits. Values that can not be used are replaced by the nearest that can.
    pub fn set(&self, head_bytes: usize, header_time: Duration, idle_time: Duration) {
        let head_bytes = head_bytes.clamp(MIN_HEAD_BYTES, MAX_HEAD_BYTES);
        self.head_bytes.store(head_bytes, Ordering::Relaxed);
        self.header_ms.store(as_ms(header_time), Ordering::Relaxed);
        self.idle_ms.store(as_ms(idle_time), Ordering::Relaxed);
    }

    /// Returns the largest head, in bytes.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes.load(Ordering::Relaxed)
    }

    /// Returns the size of a connection's buffers, which hold a whole head.
    pub(crate) fn buffer_bytes(&self) -> usize {
        self.head_bytes().max(MIN_BUFFER_BYTES)
    }

    /// Returns the longest time in which a head has to arrive, from its first byte.
    pub fn header_time(&self) -> Duration {
        Duration::from_millis(self.header_ms.load(Ordering::Relaxed))
    }

    /// Returns the longest time without a request.
    pub fn idle_time(&self) -> Duration {
        Duration::from_millis(self.idle_ms.load(Ordering::Relaxed))
    }
}

fn as_ms(time: Duration) -> u64 {
    time.clamp(MIN_TIME, MAX_TIME).as_millis() as u64
}
