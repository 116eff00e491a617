use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// News that waits to be sent a few times, newest first, bounded in number.
#[derive(Debug, Clone)]
pub(crate) struct Gossip<K, V> {
    /// News by what it is about.
    items: HashMap<K, Item<V>>,
    /// Keys in the order of sending.
    order: VecDeque<K>,
    /// Most items.
    capacity: usize,
}

#[derive(Debug, Clone)]
struct Item<V> {
    /// The news.
    value: V,
    /// How often it is still sent.
    left: u32,
}

impl<K: Copy + Eq + Hash, V: Clone> Gossip<K, V> {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            items: HashMap::new(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// Adds news, in place of older news about the same key.
    pub(crate) fn push(&mut self, key: K, value: V, copies: u32) {
        let item = Item { value, left: copies };
        if self.items.insert(key, item).is_some() {
            return;
        }
        self.order.push_front(key);
        if self.order.len() > self.capacity
            && let Some(last) = self.order.pop_back()
        {
            self.items.remove(&last);
        }
    }

    /// The next news to send, at most `most`.
    pub(crate) fn take(&mut self, most: usize) -> Vec<V> {
        let count = most.min(self.order.len());
        (0..count).filter_map(|_| self.take_one()).collect()
    }

    fn take_one(&mut self) -> Option<V> {
        let key = self.order.pop_front()?;
        let item = self.items.get_mut(&key)?;
        let value = item.value.clone();
        item.left = item.left.saturating_sub(1);
        if item.left == 0 {
            self.items.remove(&key);
        } else {
            self.order.push_back(key);
        }
        Some(value)
    }
}

/// How often each host passes on a piece of news among `hosts` hosts.
pub(crate) fn copies(hosts: usize) -> u32 {
    3 * (usize::BITS - hosts.leading_zeros())
}
