use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;
use slotmap::{SlotMap, new_key_type};
use utils::{Monotonic, WorkspaceId};

new_key_type! {
    /// Key of a request in a [`FairQueue`].
    pub struct WaitKey;
}

/// A request that waits for a target of its model.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Share of the workspace relative to the others; above 0.
    pub weight: f64,
    /// Lower is served first under load.
    pub priority: u8,
    /// Prompt tokens.
    pub cost: f64,
    /// When the first token is due.
    pub due: Monotonic,
    /// Shortest time from a free target to the first token.
    pub expected: Duration,
}

/// Why a request does not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Shed {
    /// No target can meet its deadline.
    Deadline,
    /// The queue is full of requests that go before it.
    Overload,
}

/// Requests of one workspace.
#[derive(Debug, Clone, Default)]
struct Lane {
    /// Requests by priority and deadline.
    order: BTreeSet<(u8, Monotonic, WaitKey)>,
    /// Service received, in tokens by weight.
    served: f64,
}

/// Requests that wait for targets of one model. Workspaces are served in proportion to their weights; a workspace's own
/// requests go by priority and deadline. A full queue sheds the request of the lowest priority whose workspace waits most.
///
/// ```
/// use std::time::Duration;
/// use policy::{FairQueue, Waiting};
///
/// let mut queue = FairQueue::new(100);
/// let waiting = |workspace: &str| Waiting {
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
    waiting: SlotMap<WaitKey, Waiting>,
    /// Requests by workspace.
    lanes: BTreeMap<WorkspaceId, Lane>,
    /// Service of the workspace that was served last.
    served: f64,
    /// Most requests.
    capacity: usize,
}

/// What a free target finds.
#[derive(Debug, Clone, PartialEq)]
pub struct Popped {
    /// The request to run.
    pub next: Option<(WaitKey, Waiting)>,
    /// Requests that can no longer meet their deadlines; their callers are told `not-run`.
    pub late: Vec<(WaitKey, Waiting)>,
}

/// A request that waits now.
#[derive(Debug, Clone, PartialEq)]
pub struct Pushed {
    /// Its key.
    pub key: WaitKey,
    /// The request that had to go for it; its caller is told `not-run`.
    pub shed: Option<(WaitKey, Waiting)>,
}

impl FairQueue {
    /// An empty queue for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            waiting: SlotMap::with_key(),
            lanes: BTreeMap::new(),
            served: 0.0,
            capacity,
        }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request.
    ///
    /// # Errors
    /// [`Shed`] if its deadline can't be met, or the queue is full and no request must go before it.
    pub fn push(&mut self, req: Waiting, now: Monotonic) -> Result<Pushed, Shed> {
        if is_late(&req, now) {
            return Err(Shed::Deadline);
        }
        let shed = match self.waiting.len() >= self.capacity {
            true => Some(self.shed_for(&req).ok_or(Shed::Overload)?),
            false => None,
        };
        let (workspace, priority, due) = (req.workspace.clone(), req.priority, req.due);
        let key = self.waiting.insert(req);
        let lane = self.lanes.entry(workspace).or_default();
        if lane.order.is_empty() {
            // Idle time earns no service.
            lane.served = lane.served.max(self.served);
        }
        lane.order.insert((priority, due, key));
        Ok(Pushed { key, shed })
    }

    /// Takes the next request, and those that are too late.
    pub fn pop(&mut self, now: Monotonic) -> Popped {
        let mut late = Vec::new();
        while let Some(key) = self.first() {
            let Some(req) = self.remove(key) else {
                break;
            };
            if is_late(&req, now) {
                late.push((key, req));
                continue;
            }
            self.charge(&req);
            return Popped {
                next: Some((key, req)),
                late,
            };
        }
        Popped { next: None, late }
    }

    /// Removes a request whose caller is gone.
    pub fn remove(&mut self, key: WaitKey) -> Option<Waiting> {
        let req = self.waiting.remove(key)?;
        if let Some(lane) = self.lanes.get_mut(&req.workspace) {
            lane.order.remove(&(req.priority, req.due, key));
        }
        Some(req)
    }

    /// First request of the workspace that was served least.
    fn first(&self) -> Option<WaitKey> {
        let busy = self.lanes.values().filter(|lane| !lane.order.is_empty());
        let lane = busy.min_by(|a, b| a.served.total_cmp(&b.served))?;
        lane.order.first().map(|(_, _, key)| *key)
    }

    fn charge(&mut self, req: &Waiting) {
        if let Some(lane) = self.lanes.get_mut(&req.workspace) {
            self.served = lane.served;
            lane.served += req.cost / req.weight.max(f64::MIN_POSITIVE);
        }
        // A lane without requests holds nothing but service that is already behind the others.
        let served = self.served;
        self.lanes
            .retain(|_, lane| !lane.order.is_empty() || lane.served > served);
    }

    /// Makes room by taking out a request that goes after `req`: of lower priority, or of the longest lane.
    fn shed_for(&mut self, req: &Waiting) -> Option<(WaitKey, Waiting)> {
        let longest = |lane: &Lane| {
            lane.order
                .last()
                .map(|(priority, _, _)| (*priority, lane.order.len()))
        };
        let own = self.lanes.get(&req.workspace).map_or(0, |lane| lane.order.len());
        let lanes = self.lanes.values().filter(|lane| !lane.order.is_empty());
        let worst = lanes.max_by_key(|lane| longest(lane))?;
        let (priority, len) = longest(worst)?;
        if (priority, len) <= (req.priority, own + 1) {
            return None;
        }
        let key = worst.order.last().map(|(_, _, key)| *key)?;
        self.remove(key).map(|req| (key, req))
    }
}

fn is_late(req: &Waiting, now: Monotonic) -> bool {
    now + req.expected > req.due
}
