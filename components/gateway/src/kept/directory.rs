use std::collections::HashMap;

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
    /// Run of the store, while it answers.
    epoch: Option<u64>,
    /// Where the next question goes on.
    next: u64,
    /// Whether the store has to be listed, as changes were missed.
    needs_list: bool,
    /// Whole parts with their tokens.
    parts: HashMap<PartKey, u32>,
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
        self.epoch
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
        self.parts.values().map(|tokens| u64::from(*tokens)).sum()
    }

    /// The store did not answer: it may have restarted since, so nothing that it held counts.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Takes changes.
    pub fn take_changes(&mut self, changes: StoreChanges) {
        if self.epoch != Some(changes.epoch) {
            let is_first = self.epoch.is_none() && self.next == 0;
            self.forget();
            self.epoch = Some(changes.epoch);
            if !is_first {
                return;
            }
        }
        self.needs_list |= changes.has_gap;
        self.next = changes.next;
        for event in changes.events {
            match event.stored {
                Some(tokens) => self.parts.insert(event.key, tokens),
                None => self.parts.remove(&event.key),
            };
        }
    }

    /// Takes a list.
    pub fn take_list(&mut self, list: StoreList) {
        self.epoch = Some(list.epoch);
        self.next = list.next;
        self.needs_list = false;
        self.parts = list.parts.into_iter().collect();
    }

    /// Parts that this host has had dropped.
    pub fn note_dropped(&mut self, keys: &[PartKey]) {
        for key in keys {
            self.parts.remove(key);
        }
    }
}
