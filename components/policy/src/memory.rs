use std::time::Duration;

use utils::Monotonic;

/// Memory that the process uses without callers and targets: code, state and the store's tables. An idle host peaks at
/// about 16 MB; the rest is for the buffers of sockets in use, which are not charged exactly.
const PROCESS_BYTES: usize = 28 << 20;
/// Part of the remaining memory that is given out. The allocator and the kernel need the rest.
const USABLE_SHARE: usize = 2;
/// Part of that for the answers to the process's own calls, beside the budget for callers and targets.
const CALLS_SHARE: usize = 4;
/// Smallest budget, for a machine without room beside the process.
const MIN_BUDGET: usize = 4 << 20;
/// Part of the budget that large bodies do not use, so that ordinary requests and answers pass a crowd of them.
const RESERVED_SHARE: usize = 8;
/// Largest body that counts as small, in bytes.
const SMALL_BODY_BYTES: usize = 128 << 10;
/// Part of the budget that is freed in one go, so that not every following charge looks for holders to evict.
const EVICTION_SHARE: usize = 64;
/// Time without progress before a holder may be evicted. Holders that make progress do not evict each other.
const MIN_STALL: Duration = Duration::from_millis(250);
/// The same for an answer that the caller does not read. Longer, as the work for it is done.
const MIN_UNREAD: Duration = Duration::from_secs(1);

/// Age from which an arriving body may be evicted for its low rate, though it makes progress. Younger ones have not shown
/// their rate.
const MIN_RATE_AGE: Duration = Duration::from_secs(2);

/// What a holder of memory is doing, as far as it decides whether it may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HolderPhase {
    /// A connection without a request.
    #[default]
    Idle,
    /// A request whose head has not fully arrived.
    Head,
    /// A request whose body has not fully arrived; it has not been sent to a target.
    Body,
    /// A request that may have been sent to a target.
    Running,
    /// An answer that is being passed to the caller.
    Answering,
    /// An answer that the caller does not read.
    Unread,
}

impl HolderPhase {
    /// Whether a holder in this phase may lose its memory. A request that may run is never evicted.
    pub fn is_evictable(self) -> bool {
        !matches!(self, Self::Running | Self::Answering)
    }

    /// Returns the order of eviction; lower phases go first.
    fn rank(self) -> u8 {
        match self {
            Self::Head | Self::Body => 0,
            Self::Unread => 1,
            Self::Idle => 2,
            Self::Running | Self::Answering => 3,
        }
    }
}

/// A connection and what is held for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder<K> {
    /// Key of the holder.
    pub key: K,
    /// What it is doing.
    pub phase: HolderPhase,
    /// Bytes that it holds.
    pub bytes: usize,
    /// Time at which its phase began.
    pub started_at: Monotonic,
    /// Time at which it last made progress.
    pub progress_at: Monotonic,
    /// Whether it has been evicted and is about to release its memory.
    pub is_leaving: bool,
}

/// A request for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryRequest<K> {
    /// Holder that needs the memory; it is not evicted for itself.
    pub holder: K,
    /// Bytes of the request's body that the holder has, or that it is known to need in all; 0 for anything but a body
    /// that arrives.
    pub body: usize,
}

/// The decision on a request for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Grant<K> {
    /// The memory is granted once these holders have been evicted.
    Granted {
        /// Holders to evict, in the order of eviction.
        evict: Vec<K>,
    },
    /// There is no room, and nothing may be evicted.
    Refused,
}

/// Budget for the memory that a process holds for callers and targets.
///
/// ```
/// use policy::MemoryBudget;
///
/// let budget = MemoryBudget::for_machine(88 << 20);
/// assert_eq!(budget.capacity(), 30 << 20);
/// assert!(budget.has_room(4 << 20, 4 << 20));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Bytes that may be held.
    capacity: usize,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity }
    }

    /// Derives the budget from the memory of the machine, in bytes.
    pub fn for_machine(memory: usize) -> Self {
        let capacity = memory.saturating_sub(PROCESS_BYTES) / USABLE_SHARE;
        Self::new(capacity.max(MIN_BUDGET))
    }

    /// Derives the budget for the answers to the process's own calls from the memory of the machine, in bytes. It is a
    /// budget of its own, so that callers and calls do not take each other's memory.
    pub fn for_calls(memory: usize) -> Self {
        let capacity = Self::for_machine(memory).capacity / CALLS_SHARE;
        Self::new(capacity.max(MIN_BUDGET))
    }

    /// Returns the bytes that may be held.
    pub fn capacity(self) -> usize {
        self.capacity
    }

    /// Whether a holder whose body has `body` bytes has room while `used` bytes are held by all, its own included.
    pub fn has_room(self, used: usize, body: usize) -> bool {
        used <= self.limit_of(body)
    }

    /// Decides on a request for memory. `used` are the bytes that all hold, the requested ones included.
    pub fn decide<K: Copy + PartialEq>(
        self,
        request: MemoryRequest<K>,
        used: usize,
        holders: impl IntoIterator<Item = Holder<K>>,
        now: Monotonic,
    ) -> Grant<K> {
        let limit = self.limit_of(request.body);
        let mut left = used;
        let mut candidates = Vec::new();
        let mut arriving = Vec::new();
        let mut own_rate = usize::MAX;
        for holder in holders {
            if holder.key == request.holder {
                own_rate = rate(&holder, now);
                continue;
            }
            if holder.is_leaving {
                left = left.saturating_sub(holder.bytes);
            } else if is_stalled(&holder, now) {
                candidates.push(holder);
            } else {
                arriving.push((rate(&holder, now), holder));
            }
        }
        if left <= limit {
            return Grant::Granted { evict: Vec::new() };
        }
        candidates.sort_by_key(|holder| (holder.phase.rank(), holder.progress_at));
        let goal = limit.saturating_sub(self.capacity / EVICTION_SHARE);
        let mut evict = Vec::new();
        for holder in candidates {
            if left <= goal {
                break;
            }
            left = left.saturating_sub(holder.bytes);
            evict.push(holder.key);
        }
        // Callers that send a byte now and then are never stalled. Only slower ones are evicted, so that callers do not
        // evict each other in turns.
        arriving.retain(|(rate, _)| *rate < own_rate);
        arriving.sort_by_key(|(rate, _)| *rate);
        for (_, holder) in arriving {
            if left <= limit {
                break;
            }
            left = left.saturating_sub(holder.bytes);
            evict.push(holder.key);
        }
        match left <= limit {
            true => Grant::Granted { evict },
            false => Grant::Refused,
        }
    }

    /// Returns the bytes that all may hold when a holder whose body has `body` bytes asks for more.
    fn limit_of(self, body: usize) -> usize {
        match body <= SMALL_BODY_BYTES {
            true => self.capacity,
            false => self.capacity - self.capacity / RESERVED_SHARE,
        }
    }
}

/// Chooses up to `count` connections to close for new ones when no more may be open: those that have been idle for
/// longest, then those whose head has not arrived for longest, then those whose body or answer is stalled for longest.
pub fn choose_to_close<K: Copy>(
    holders: impl IntoIterator<Item = Holder<K>>,
    count: usize,
    now: Monotonic,
) -> Vec<K> {
    let rank = |holder: &Holder<K>| match holder.phase {
        HolderPhase::Idle => Some(0),
        HolderPhase::Head => Some(1),
        HolderPhase::Body | HolderPhase::Unread if is_stalled(holder, now) => Some(2),
        _ => None,
    };
    let open = holders.into_iter().filter(|holder| !holder.is_leaving);
    let mut ranked: Vec<_> = open.filter_map(|holder| Some((rank(&holder)?, holder))).collect();
    ranked.sort_by_key(|(rank, holder)| (*rank, holder.progress_at));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, holder)| holder.key)
        .collect()
}

/// Returns the bytes a second that have arrived for a request; the highest value if the rate does not count.
fn rate<K>(holder: &Holder<K>, now: Monotonic) -> usize {
    let age = now.saturating_sub(holder.started_at);
    match holder.phase {
        HolderPhase::Head | HolderPhase::Body if age >= MIN_RATE_AGE => {
            (holder.bytes as f64 / age.as_secs_f64()) as usize
        }
        _ => usize::MAX,
    }
}

fn is_stalled<K>(holder: &Holder<K>, now: Monotonic) -> bool {
    let stall = match holder.phase {
        HolderPhase::Unread => MIN_UNREAD,
        _ => MIN_STALL,
    };
    holder.phase.is_evictable() && now.saturating_sub(holder.progress_at) >= stall
}
