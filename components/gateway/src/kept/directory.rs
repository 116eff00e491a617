use std::collections::HashMap;
use std::time::Duration;

use utils::Monotonic;

/// Time after which every host has noticed that a store was away: its longest wait for changes, the time for an answer, and the
/// pause between questions.
const NOTICED_AFTER: Duration = Duration::from_secs(3);

/// Names a part under a salt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey {
    /// The salt.
    pub salt: Box<str>,
    /// The part.
    pub id: Box<str>,
}

/// A change that a store tells of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptEvent {
    /// The part.
    pub key: PartKey,
    /// Its tokens if the store holds it now; `None` if it was dropped.
    pub stored: Option<u32>,
}

/// What a store says has changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreChanges {
    /// Run of the store; another one has nothing of what this one held.
    pub epoch: u64,
    /// Where the next question goes on.
    pub next: u64,
    /// Whether changes before these are forgotten.
    pub has_gap: bool,
    /// The changes, oldest first.
    pub events: Vec<KeptEvent>,
    /// The servers' clock, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// All that a store holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreList {
    /// Run of the store.
    pub epoch: u64,
    /// Where the next question for changes goes on.
    pub next: u64,
    /// Whole parts with their tokens.
    pub parts: Vec<(PartKey, u32)>,
}

/// What is known of one store. Only parts that the store has reported whole, in the run that still answers, are listed: a part
/// that is being written must not be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreDirectory {
    /// Run of the store and when this host first heard of it, while it answers.
    run: Option<(u64, Monotonic)>,
    /// Where the next question goes on.
    next: u64,
    /// Whether the store has to be listed, as changes were missed.
    needs_list: bool,
    /// Whole parts with their tokens.
    parts: HashMap<PartKey, u32>,
    /// Sum of their tokens.
    tokens: u64,
}

impl StoreDirectory {
    /// Where the next question for changes goes on.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether changes were missed, so that the store has to be listed.
    pub fn needs_list(&self) -> bool {
        self.needs_list
    }

    /// Run of the store, while it answers.
    pub fn epoch(&self) -> Option<u64> {
        self.run.map(|(epoch, _)| epoch)
    }

    /// Whether parts may be saved: a host that has not noticed a restart yet could fetch what is just being written.
    pub fn takes_saves(&self, now: Monotonic) -> bool {
        self.run.is_some_and(|(_, since)| now >= since + NOTICED_AFTER)
    }

    /// Whether the store is known to hold a part whole.
    pub fn holds(&self, key: &PartKey) -> bool {
        self.parts.contains_key(key)
    }

    /// Parts that the store holds.
    pub fn parts(&self) -> impl Iterator<Item = &PartKey> {
        self.parts.keys()
    }

    /// Tokens that the store holds, as far as is known.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The store did not answer: it may have restarted since, so nothing that it held counts.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Takes changes.
    pub fn take_changes(&mut self, changes: StoreChanges, now: Monotonic) {
        if self.epoch() != Some(changes.epoch) {
            let is_first = self.run.is_none() && self.next == 0;
            self.forget();
            self.run = Some((changes.epoch, now));
            if !is_first {
                return;
            }
        }
        self.needs_list |= changes.has_gap;
        self.next = changes.next;
        for event in changes.events {
            match event.stored {
                Some(tokens) => self.add(event.key, tokens),
                None => self.remove(&event.key),
            }
        }
    }

    /// Takes a list.
    pub fn take_list(&mut self, list: StoreList, now: Monotonic) {
        if self.epoch() != Some(list.epoch) {
            self.run = Some((list.epoch, now));
        }
        self.next = list.next;
        self.needs_list = false;
        self.parts.clear();
        self.tokens = 0;
        for (key, tokens) in list.parts {
            self.add(key, tokens);
        }
    }

    /// Parts that this host has had dropped.
    pub fn note_dropped(&mut self, keys: &[PartKey]) {
        for key in keys {
            self.remove(key);
        }
    }

    fn add(&mut self, key: PartKey, tokens: u32) {
        self.remove(&key);
        self.parts.insert(key, tokens);
        self.tokens += u64::from(tokens);
    }

    fn remove(&mut self, key: &PartKey) {
        let tokens = self.parts.remove(key).unwrap_or(0);
        self.tokens -= u64::from(tokens);
    }
}
