use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;
use slotmap::{SlotMap, new_key_type};
use utils::{Monotonic, WorkspaceId};

new_key_type! {
    /// Key of a request in a [`FairQueue`].
    pub struct QueueKey;
}

/// A request that is queued for a target of its model.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Relative share of the workspace; greater than 0.
    pub weight: f64,
    /// Priority under load; lower values are served first.
    pub priority: u8,
    /// Cost of the request, in prompt tokens.
    pub cost: f64,
    /// Deadline of the first token.
    pub due: Monotonic,
    /// Minimum time from the start on a free target to the first token.
    pub expected: Duration,
}

/// Why a request is not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShedReason {
    /// No target can meet its deadline.
    Deadline,
    /// The queue is full and holds no request that ranks after it.
    Overload,
}

/// The queued requests of one workspace.
#[derive(Debug, Clone, Default)]
struct WorkspaceQueue {
    /// Requests ordered by priority, then deadline.
    order: BTreeSet<(u8, Monotonic, QueueKey)>,
    /// Service received, in tokens divided by the workspace's weight.
    served: f64,
}

/// Requests queued for the targets of one model, with weighted fair queueing between workspaces. Each
/// workspace receives service in proportion to its weight; its own requests are ordered by priority, then
/// deadline. A full queue sheds a request of the lowest priority, from the workspace with the most queued
/// requests.
///
/// ```
/// use std::time::Duration;
/// use policy::{FairQueue, QueuedRequest};
///
/// let mut queue = FairQueue::new(100);
/// let waiting = |workspace: &str| QueuedRequest {
///     workspace: workspace.into(),
///     weight: 1.0,
///     priority: 0,
///     cost: 1_000.0,
///     due: Duration::from_secs(9),
///     expected: Duration::ZERO,
/// };
/// for _ in 0..10 {
///     queue.push(waiting("busy"), Duration::ZERO).unwrap();
/// }
/// queue.push(waiting("quiet"), Duration::ZERO).unwrap();
/// queue.pop(Duration::ZERO);
/// let (_, second) = queue.pop(Duration::ZERO).next.unwrap();
/// assert_eq!(&*second.workspace, "quiet");
/// ```
#[derive(Debug, Clone)]
pub struct FairQueue {
    /// Requests by key.
    waiting: SlotMap<QueueKey, QueuedRequest>,
    /// Queues by workspace.
    queues: BTreeMap<WorkspaceId, WorkspaceQueue>,
    /// Virtual time of fair queueing: service that the workspace served last had received before its request
    /// was charged.
    virtual_time: f64,
    /// Maximum number of queued requests.
    capacity: usize,
}

/// The result of taking a request for a free target.
#[derive(Debug, Clone, PartialEq)]
pub struct Popped {
    /// The request to run, if any.
    pub next: Option<(QueueKey, QueuedRequest)>,
    /// Requests that can no longer meet their deadlines; their callers receive `not-run`.
    pub expired: Vec<(QueueKey, QueuedRequest)>,
}

/// A request that was queued.
#[derive(Debug, Clone, PartialEq)]
pub struct Pushed {
    /// Key of the request.
    pub key: QueueKey,
    /// The request that was shed to make room; its caller receives `not-run`.
    pub shed: Option<(QueueKey, QueuedRequest)>,
}

impl FairQueue {
    /// Creates an empty queue for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            waiting: SlotMap::with_key(),
            queues: BTreeMap::new(),
            virtual_time: 0.0,
            capacity,
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Queues a request.
    ///
    /// # Errors
    /// Returns [`ShedReason`] if the deadline can't be met, or if the queue is full and holds no request that
    /// ranks after this one.
    pub fn push(&mut self, req: QueuedRequest, now: Monotonic) -> Result<Pushed, ShedReason> {
        if misses_deadline(&req, now) {
            return Err(ShedReason::Deadline);
        }
        let shed = match self.waiting.len() >= self.capacity {
            true => Some(self.shed_for(&req).ok_or(ShedReason::Overload)?),
            false => None,
        };
        let (workspace, priority, due) = (req.workspace.clone(), req.priority, req.due);
        let key = self.waiting.insert(req);
        let queue = self.queues.entry(workspace).or_default();
        if queue.order.is_empty() {
            // Idle time earns no credit: the workspace starts at the current virtual time, or later if it has
            // already received more service.
            queue.served = queue.served.max(self.virtual_time);
        }
        queue.order.insert((priority, due, key));
        Ok(Pushed { key, shed })
    }

    /// Takes the next request, and removes the requests before it that can no longer meet their deadlines.
    pub fn pop(&mut self, now: Monotonic) -> Popped {
        let mut expired = Vec::new();
        while let Some(key) = self.next_key() {
            let Some(req) = self.remove(key) else {
                break;
            };
            if misses_deadline(&req, now) {
                expired.push((key, req));
                continue;
            }
            self.charge(&req);
            return Popped {
                next: Some((key, req)),
                expired,
            };
        }
        Popped { next: None, expired }
    }

    /// Removes a request, for example after its caller disconnected.
    pub fn remove(&mut self, key: QueueKey) -> Option<QueuedRequest> {
        let req = self.waiting.remove(key)?;
        if let Some(queue) = self.queues.get_mut(&req.workspace) {
            queue.order.remove(&(req.priority, req.due, key));
        }
        Some(req)
    }

    /// Returns the first request of the workspace with the least service received.
    fn next_key(&self) -> Option<QueueKey> {
        let busy = self.queues.values().filter(|queue| !queue.order.is_empty());
        let queue = busy.min_by(|a, b| a.served.total_cmp(&b.served))?;
        queue.order.first().map(|(_, _, key)| *key)
    }

    fn charge(&mut self, req: &QueuedRequest) {
        if let Some(queue) = self.queues.get_mut(&req.workspace) {
            self.virtual_time = queue.served;
            queue.served += req.cost / req.weight.max(f64::MIN_POSITIVE);
        }
        // An empty queue is dropped once its workspace is not ahead of the current virtual time. If the
        // workspace returns, it starts at the virtual time of its return.
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.order.is_empty() || queue.served > virtual_time);
    }

    /// Removes a request of lower rank to make room for `req`, and returns it. The victim is the last request
    /// of the workspace whose last request has the lowest priority; among workspaces with the same lowest
    /// priority, of the one with the most queued requests. Returns `None` if the victim has a higher priority
    /// than `req`, or the same priority while its workspace would not have more queued requests than the
    /// workspace of `req`, with `req` included.
    fn shed_for(&mut self, req: &QueuedRequest) -> Option<(QueueKey, QueuedRequest)> {
        let rank = |queue: &WorkspaceQueue| {
            queue
                .order
                .last()
                .map(|(priority, _, _)| (*priority, queue.order.len()))
        };
        let own = self
            .queues
            .get(&req.workspace)
            .map_or(0, |queue| queue.order.len());
        let queues = self.queues.values().filter(|queue| !queue.order.is_empty());
        let last_ranked = queues.max_by_key(|queue| rank(queue))?;
        let (priority, len) = rank(last_ranked)?;
        if (priority, len) <= (req.priority, own + 1) {
            return None;
        }
        let key = last_ranked.order.last().map(|(_, _, key)| *key)?;
        self.remove(key).map(|req| (key, req))
    }
}

fn misses_deadline(req: &QueuedRequest, now: Monotonic) -> bool {
    now + req.expected > req.due
}
