use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::Waker;
use std::time::{Duration, Instant};

use policy::{Grant, Holder, HolderPhase, MemoryBudget, MemoryRequest};
use slotmap::SlotMap;
use utils::Monotonic;

use crate::ConnectionLimits;

slotmap::new_key_type! {
    /// Key of a connection in the account.
    struct HolderKey;
}

/// Bytes charged for an open connection: its buffers of 8 KiB for reading and writing, its task and its state.
const CONNECTION_BYTES: usize = 20 << 10;

/// Kind of a refusal for memory or connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// A body that had made no progress was evicted.
    BodyEvicted,
    /// A body or an answer found no room.
    NoRoom,
    /// A connection without a whole request was closed to make room.
    ConnectionClosed,
    /// A connection was closed whose caller did not read an answer.
    AnswerUnread,
    /// A new connection found no room.
    ConnectionRefused,
    /// A connection had no request for longer than allowed, as callers do at the end of their work.
    IdleExpired,
    /// A head did not arrive in the allowed time.
    HeadLate,
    /// The head of a request was larger than allowed.
    HeadTooLarge,
    /// An answer to this process was larger than its kind may be, and its connection was closed.
    AnswerTooLarge,
}

impl Shortage {
    /// All kinds.
    pub const ALL: [Self; 9] = [
        Self::BodyEvicted,
        Self::NoRoom,
        Self::ConnectionClosed,
        Self::AnswerUnread,
        Self::ConnectionRefused,
        Self::IdleExpired,
        Self::HeadLate,
        Self::HeadTooLarge,
        Self::AnswerTooLarge,
    ];

    /// Returns the name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BodyEvicted => "body-evicted",
            Self::NoRoom => "no-room",
            Self::ConnectionClosed => "connection-closed",
            Self::AnswerUnread => "answer-unread",
            Self::ConnectionRefused => "connection-refused",
            Self::IdleExpired => "idle-expired",
            Self::HeadLate => "head-late",
            Self::HeadTooLarge => "head-too-large",
            Self::AnswerTooLarge => "answer-too-large",
        }
    }
}

/// Error for memory that the budget does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("no memory is left")]
pub struct OutOfMemory;

/// The memory that a process holds for callers and targets, shared by all its servers.
///
/// ```
/// let account = http_io::MemoryAccount::new(policy::MemoryBudget::new(1 << 20));
/// assert_eq!((account.used(), account.connections()), (0, 0));
/// ```
pub struct MemoryAccount {
    /// Decides what may be held.
    budget: MemoryBudget,
    /// Bytes held.
    used: AtomicUsize,
    /// Open connections.
    connections: AtomicUsize,
    /// Open connections by key.
    holders: Mutex<SlotMap<HolderKey, Weak<HolderState>>>,
    /// Number of refusals by kind, in the order of [`Shortage::ALL`].
    shortages: [AtomicU64; Shortage::ALL.len()],
    /// Time zero of the holders' times.
    started: Instant,
}

impl MemoryAccount {
    /// Creates an account with a budget.
    pub fn new(budget: MemoryBudget) -> Arc<Self> {
        Arc::new(Self {
            budget,
            used: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            holders: Mutex::default(),
            shortages: Default::default(),
            started: Instant::now(),
        })
    }

    /// Creates an account that never refuses, for processes without a budget.
    pub fn unlimited() -> Arc<Self> {
        Self::new(MemoryBudget::new(usize::MAX / 2))
    }

    /// Creates the account of the answers to a process's own calls on a machine with `memory` bytes.
    pub fn for_calls(memory: usize) -> Arc<Self> {
        Self::new(MemoryBudget::for_calls(memory))
    }

    /// Returns the bytes that may be held.
    pub fn capacity(&self) -> usize {
        self.budget.capacity()
    }

    /// Returns the bytes held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns how often a kind of refusal has happened.
    pub fn count(&self, kind: Shortage) -> u64 {
        self.shortages[kind as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn record(&self, kind: Shortage) {
        self.shortages[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn now(&self) -> Monotonic {
        self.started.elapsed()
    }

    /// Charges a new connection. The caller counts a refusal.
    pub(crate) fn open(self: &Arc<Self>) -> Result<MemoryHolder, OutOfMemory> {
        let holder = self.add_holder(false)?;
        self.charge(&holder.0, CONNECTION_BYTES, 0)?;
        Ok(holder)
    }

    /// Charges a new connection that is accepted without room in the budget, and that is not evicted while idle.
    pub(crate) fn open_reserved(self: &Arc<Self>) -> Result<MemoryHolder, OutOfMemory> {
        let holder = self.add_holder(true)?;
        self.used.fetch_add(CONNECTION_BYTES, Ordering::Relaxed);
        holder.0.bytes.fetch_add(CONNECTION_BYTES, Ordering::Relaxed);
        Ok(holder)
    }

    fn add_holder(self: &Arc<Self>, is_reserved: bool) -> Result<MemoryHolder, OutOfMemory> {
        let state = {
            let mut holders = self.holders();
            let mut opened = None;
            holders.insert_with_key(|key| {
                let state = Arc::new(HolderState::new(self.clone(), key, is_reserved));
                let weak = Arc::downgrade(&state);
                opened = Some(state);
                weak
            });
            opened.ok_or(OutOfMemory)?
        };
        self.connections.fetch_add(1, Ordering::Relaxed);
        Ok(MemoryHolder(state))
    }

    /// Charges a connection that this process opens. It is never evicted.
    ///
    /// # Errors
    /// [`OutOfMemory`] if the budget is used up.
    pub fn open_outgoing(self: &Arc<Self>) -> Result<MemoryHolder, OutOfMemory> {
        let holder = self.open().inspect_err(|_| self.record(Shortage::NoRoom))?;
        holder.set_phase(HolderPhase::Running);
        Ok(holder)
    }

    /// Adds a connection for calls of this process. Only what it reads is charged: its own buffers are of fixed size, and
    /// their number follows from the addresses that are called. It is never evicted.
    pub(crate) fn open_for_calls(self: &Arc<Self>) -> Result<MemoryHolder, OutOfMemory> {
        let holder = self.add_holder(true)?;
        holder.set_phase(HolderPhase::Running);
        Ok(holder)
    }

    /// Charges bytes to a holder whose arriving body has, or is known to need, `body` bytes.
    fn charge(&self, holder: &HolderState, bytes: usize, body: usize) -> Result<(), OutOfMemory> {
        let used = self
            .used
            .fetch_add(bytes, Ordering::Relaxed)
            .saturating_add(bytes);
        if self.budget.has_room(used, body) || self.make_room(holder, body) {
            holder.bytes.fetch_add(bytes, Ordering::Relaxed);
            return Ok(());
        }
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        Err(OutOfMemory)
    }

    /// Evicts holders so that all have room; returns false if that is not possible.
    #[cold]
    fn make_room(&self, holder: &HolderState, body: usize) -> bool {
        // The states are dropped after the lock is released, as dropping the last reference takes it again.
        let open: Vec<Arc<HolderState>> = self.holders().values().filter_map(Weak::upgrade).collect();
        let request = MemoryRequest {
            holder: holder.key,
            body,
        };
        let holders = open.iter().filter(|state| !state.is_kept_idle());
        let holders = holders.map(|state| state.describe());
        match self.budget.decide(request, self.used(), holders, self.now()) {
            Grant::Refused => false,
            Grant::Granted { evict } => {
                let evicted = open.iter().filter(|state| evict.contains(&state.key));
                evicted.for_each(|state| state.evict());
                true
            }
        }
    }

    fn holders(&self) -> MutexGuard<'_, SlotMap<HolderKey, Weak<HolderState>>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a connection holds and does.
struct HolderState {
    account: Arc<MemoryAccount>,
    key: HolderKey,
    /// Whether its listener has connections of its own, which are not evicted while idle.
    is_reserved: bool,
    /// Bytes charged to it.
    bytes: AtomicUsize,
    /// Time at which the phase began, in milliseconds.
    phase_ms: AtomicU64,
    /// Time of the last progress, in milliseconds.
    progress_ms: AtomicU64,
    /// A [`HolderPhase`]; written only under the lock of `waker`.
    phase: AtomicU8,
    /// Whether it has been evicted; written only under the lock of `waker`.
    is_leaving: AtomicBool,
    /// Whether the peer takes no more bytes.
    is_blocked: AtomicBool,
    /// Whether the last request was answered before its body had arrived, so that the next bytes may belong to it.
    has_unread_body: AtomicBool,
    /// Wakes the connection's task.
    waker: Mutex<Option<Waker>>,
}

impl HolderState {
    fn new(account: Arc<MemoryAccount>, key: HolderKey, is_reserved: bool) -> Self {
        let now = account.now();
        Self {
            account,
            key,
            is_reserved,
            bytes: AtomicUsize::new(0),
            phase_ms: AtomicU64::new(as_ms(now)),
            progress_ms: AtomicU64::new(as_ms(now)),
            phase: AtomicU8::new(HolderPhase::Idle as u8),
            is_leaving: AtomicBool::new(false),
            is_blocked: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            waker: Mutex::default(),
        }
    }

    fn phase(&self) -> HolderPhase {
        let phase = phase_of(self.phase.load(Ordering::Acquire));
        let is_written = matches!(phase, HolderPhase::Idle | HolderPhase::Answering);
        match is_written && self.is_blocked.load(Ordering::Relaxed) {
            true => HolderPhase::Unread,
            false => phase,
        }
    }

    /// Whether it is idle and keeps its connection when memory is short.
    fn is_kept_idle(&self) -> bool {
        self.is_reserved && self.phase() == HolderPhase::Idle
    }

    /// Returns the size of the body if it is that of a request that arrives. Answers, and all that running requests
    /// need, may use the whole budget, as refusing them loses work.
    fn body_of(&self, size: usize) -> usize {
        match self.phase() {
            HolderPhase::Body => size,
            _ => 0,
        }
    }

    fn describe(&self) -> Holder<HolderKey> {
        Holder {
            key: self.key,
            phase: self.phase(),
            bytes: self.bytes.load(Ordering::Relaxed),
            started_at: Duration::from_millis(self.phase_ms.load(Ordering::Relaxed)),
            progress_at: Duration::from_millis(self.progress_ms.load(Ordering::Relaxed)),
            is_leaving: self.is_leaving.load(Ordering::Acquire),
        }
    }

    /// Evicts the holder unless it has come to a phase that is not evicted.
    fn evict(&self) {
        let kind = match self.phase() {
            HolderPhase::Body => Shortage::BodyEvicted,
            HolderPhase::Unread => Shortage::AnswerUnread,
            _ => Shortage::ConnectionClosed,
        };
        self.leave(kind);
    }

    /// Marks the holder as evicted, and wakes its task, unless it is in a phase that keeps its memory.
    fn leave(&self, kind: Shortage) {
        let waker = {
            let waker = self.lock();
            if !self.phase().is_evictable() || self.is_leaving.swap(true, Ordering::AcqRel) {
                return;
            }
            waker.clone()
        };
        self.account.record(kind);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Waker>> {
        self.waker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for HolderState {
    fn drop(&mut self) {
        self.account.holders().remove(self.key);
        self.account.connections.fetch_sub(1, Ordering::Relaxed);
        self.account
            .used
            .fetch_sub(*self.bytes.get_mut(), Ordering::Relaxed);
    }
}

/// A connection that memory is charged to. Clones stand for the same connection.
#[derive(Clone)]
pub struct MemoryHolder(Arc<HolderState>);

impl MemoryHolder {
    /// Returns a holder that is never refused, for requests that no server has received.
    pub fn unlimited() -> Self {
        let account = MemoryAccount::unlimited();
        let state = HolderState::new(account.clone(), HolderKey::default(), false);
        account.connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::new(state))
    }

    /// Returns the holder of the connection that a request arrived on.
    pub fn of<B>(req: &hyper::Request<B>) -> Self {
        req.extensions().get().cloned().unwrap_or_else(Self::unlimited)
    }

    pub(crate) fn downgrade(&self) -> WeakHolder {
        WeakHolder(Arc::downgrade(&self.0))
    }

    /// Counts a refusal in the account.
    pub(crate) fn record(&self, kind: Shortage) {
        self.0.account.record(kind);
    }

    /// Returns an empty charge.
    pub fn charge(&self) -> Charge {
        Charge {
            holder: self.clone(),
            bytes: 0,
        }
    }

    /// Checks that a body of this size has room now, and evicts others for it. Charges nothing.
    pub(crate) fn check_room(&self, size: usize) -> Result<(), OutOfMemory> {
        let checked = self.0.account.charge(&self.0, 0, self.0.body_of(size));
        checked.inspect_err(|_| self.0.account.record(Shortage::NoRoom))
    }

    /// Records that the request has fully arrived. From now on it is not evicted.
    pub(crate) fn record_complete(&self) {
        self.set_phase(HolderPhase::Running);
    }

    /// Whether the connection was evicted.
    pub(crate) fn is_evicted(&self) -> bool {
        self.0.is_leaving.load(Ordering::Acquire)
    }

    /// Whether the connection has to be closed: it was evicted, and no request is in progress that could be answered.
    pub(crate) fn must_close(&self) -> bool {
        let answers = matches!(self.0.phase(), HolderPhase::Body | HolderPhase::Running);
        self.is_evicted() && !answers
    }

    /// Evicts the connection unless it has a request that may run or an answer that makes progress. Its
    /// task then refuses the request or closes the connection.
    pub(crate) fn evict(&self) {
        self.0.evict();
    }

    /// Closes the connection if it has no whole head for longer than allowed.
    pub(crate) fn close_if_late(&self, limits: &ConnectionLimits) {
        let (limit, kind) = match self.phase() {
            HolderPhase::Idle => (limits.idle_time(), Shortage::IdleExpired),
            HolderPhase::Head => (limits.header_time(), Shortage::HeadLate),
            _ => return,
        };
        if self.quiet_time() >= limit {
            self.0.leave(kind);
        }
    }

    pub(crate) fn set_phase(&self, phase: HolderPhase) {
        let _lock = self.0.lock();
        self.0.phase.store(phase as u8, Ordering::Release);
        self.0.is_leaving.store(false, Ordering::Release);
        drop(_lock);
        self.record_progress();
        let now = self.0.progress_ms.load(Ordering::Relaxed);
        self.0.phase_ms.store(now, Ordering::Relaxed);
    }

    pub(crate) fn phase(&self) -> HolderPhase {
        self.0.phase()
    }

    /// Returns the time since the last progress.
    pub(crate) fn quiet_time(&self) -> Duration {
        let progress_at = Duration::from_millis(self.0.progress_ms.load(Ordering::Relaxed));
        self.0.account.now().saturating_sub(progress_at)
    }

    pub(crate) fn record_progress(&self) {
        let now = as_ms(self.0.account.now());
        self.0.progress_ms.store(now, Ordering::Relaxed);
    }

    /// Records that the handler has answered.
    pub(crate) fn record_answered(&self) {
        let is_unread = self.0.phase() == HolderPhase::Body;
        self.0.has_unread_body.store(is_unread, Ordering::Relaxed);
        self.set_phase(HolderPhase::Answering);
    }

    /// Whether received bytes may still belong to the body of a request that was answered early.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.0.has_unread_body.load(Ordering::Relaxed)
    }

    /// Records whether the peer takes more bytes.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        self.0.is_blocked.store(is_blocked, Ordering::Relaxed);
    }

    /// Records the task that is woken when the connection is evicted.
    pub(crate) fn register(&self, waker: &Waker) {
        let mut registered = self.0.lock();
        if !registered.as_ref().is_some_and(|known| known.will_wake(waker)) {
            *registered = Some(waker.clone());
        }
    }

    /// Describes the holder under its index in a list.
    pub(crate) fn describe(&self, index: usize) -> Holder<usize> {
        let Holder {
            phase,
            bytes,
            started_at,
            progress_at,
            is_leaving,
            ..
        } = self.0.describe();
        Holder {
            key: index,
            phase,
            bytes,
            started_at,
            progress_at,
            is_leaving,
        }
    }
}

/// A connection that may have ended. It keeps nothing charged.
pub(crate) struct WeakHolder(Weak<HolderState>);

impl WeakHolder {
    /// Returns the connection unless it has ended.
    pub(crate) fn upgrade(&self) -> Option<MemoryHolder> {
        self.0.upgrade().map(MemoryHolder)
    }
}

/// Bytes charged to a connection until they are released; dropping it releases all.
pub struct Charge {
    holder: MemoryHolder,
    bytes: usize,
}

impl Charge {
    /// Charges more bytes.
    ///
    /// # Errors
    /// [`OutOfMemory`] if the budget is used up and nothing may be evicted; nothing is charged then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        // Reserved connections can bring the account over its budget, and need no more memory for an ordinary head.
        if bytes == 0 {
            return Ok(());
        }
        let state = &self.holder.0;
        let body = state.body_of(self.bytes.saturating_add(bytes));
        let charged = state.account.charge(state, bytes, body);
        charged.inspect_err(|_| state.account.record(Shortage::NoRoom))?;
        self.bytes += bytes;
        Ok(())
    }

    /// Releases bytes, at most all that are charged.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.holder.0.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.holder.0.account.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Changes the charge to a number of bytes.
    ///
    /// # Errors
    /// As [`Charge::grow`].
    pub fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.grow(more),
            None => {
                self.shrink(self.bytes - bytes);
                Ok(())
            }
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

fn as_ms(time: Monotonic) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn phase_of(number: u8) -> HolderPhase {
    let phases = [
        HolderPhase::Idle,
        HolderPhase::Head,
        HolderPhase::Body,
        HolderPhase::Running,
        HolderPhase::Answering,
        HolderPhase::Unread,
    ];
    phases.get(usize::from(number)).copied().unwrap_or_default()
}
