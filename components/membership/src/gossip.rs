use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// A bounded queue of updates, each of which is sent a fixed number of times. New updates enter at the front;
/// an update that was sent moves to the back.
#[derive(Debug, Clone)]
pub(crate) struct Gossip<K, V> {
    /// Queued updates by subject.
    items: HashMap<K, Item<V>>,
    /// Keys in the order in which their updates are sent next.
    queue: VecDeque<K>,
    /// Maximum number of queued updates.
    capacity: usize,
}

#[derive(Debug, Clone)]
struct Item<V> {
    /// The update.
    value: V,
    /// Remaining transmissions.
    remaining: u32,
}

impl<K: Copy + Eq + Hash, V: Clone> Gossip<K, V> {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            items: HashMap::new(),
            queue: VecDeque::new(),
            capacity,
        }
    }

    /// Queues an update for `transmissions` transmissions. Replaces a queued update with the same key; drops
    /// the last update of the queue when the capacity is exceeded.
    pub(crate) fn push(&mut self, key: K, value: V, transmissions: u32) {
        let item = Item {
            value,
            remaining: transmissions,
        };
        if self.items.insert(key, item).is_some() {
            return;
        }
        self.queue.push_front(key);
        if self.queue.len() > self.capacity
            && let Some(last) = self.queue.pop_back()
        {
            self.items.remove(&last);
        }
    }

    /// Returns the next updates to send, at most `max`.
    pub(crate) fn take(&mut self, max: usize) -> Vec<V> {
        let count = max.min(self.queue.len());
        (0..count).filter_map(|_| self.take_one()).collect()
    }

    fn take_one(&mut self) -> Option<V> {
        let key = self.queue.pop_front()?;
        let item = self.items.get_mut(&key)?;
        let value = item.value.clone();
        item.remaining = item.remaining.saturating_sub(1);
        if item.remaining == 0 {
            self.items.remove(&key);
        } else {
            self.queue.push_back(key);
        }
        Some(value)
    }
}

/// Returns how many times each of `hosts` hosts sends an update; grows with the logarithm of the number of
/// hosts.
pub(crate) fn transmissions(hosts: usize) -> u32 {
    3 * (usize::BITS - hosts.leading_zeros())
}
