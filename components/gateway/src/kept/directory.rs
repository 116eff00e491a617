use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::Monotonic;

use super::plan::FETCH_TIMEOUT;

/// Age up to which what a store has said is relied upon. Covers the store's longest wait, the pauses between questions to it and
/// to the host that passes its changes on, and a lost packet.
pub(crate) const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(3_500);
/// Time after which no fetch is under way any more that relies on what a store held before it was away.
pub(crate) const SAVE_DELAY_AFTER_RESTART: Duration = Duration::from_millis(500)
    .saturating_add(MAX_CONFIRMED_AGE)
    .saturating_add(FETCH_TIMEOUT);
/// Changes that are remembered to be passed on; a host that is further behind gets all.
const MAX_LOG_EVENTS: usize = 8_192;

/// Names a part under a salt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PartKey {
    /// The salt.
    pub salt: Box<str>,
    /// The part.
    pub id: Box<str>,
}

/// A change that a store tells of.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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

/// What a host that follows a store passes on to one that does not.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Run of the store; `None` while it does not answer.
    pub epoch: Option<u64>,
    /// Time since the store was asked for what is told here.
    pub age: Duration,
    /// Whether `events` are all that the store holds, and not what has changed.
    pub is_all: bool,
    /// Parts that came and went, oldest first.
    pub events: Vec<KeptEvent>,
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
    /// When the store was last asked for what is known.
    confirmed_at: Monotonic,
    /// Changes that are remembered, oldest first, and the number of the first.
    log: VecDeque<KeptEvent>,
    /// Number of the first remembered change.
    log_start: u64,
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

    /// When this host first heard of the store's run.
    pub fn run_since(&self) -> Option<Monotonic> {
        self.run.map(|(_, since)| since)
    }

    /// Whether parts may be saved: a host that has not noticed a restart yet could fetch what is just being written.
    pub fn accepts_saves(&self, now: Monotonic) -> bool {
        let is_settled = self
            .run_since()
            .is_some_and(|since| now >= since + SAVE_DELAY_AFTER_RESTART);
        is_settled && self.is_fresh(now)
    }

    /// Whether the store is known to hold a part whole.
    pub fn holds(&self, key: &PartKey, now: Monotonic) -> bool {
        self.is_fresh(now) && self.parts.contains_key(key)
    }

    fn is_fresh(&self, now: Monotonic) -> bool {
        now < self.confirmed_at + MAX_CONFIRMED_AGE
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
    pub fn clear(&mut self) {
        *self = Self {
            // Beyond all numbers that were told, so that every host asks for all.
            log_start: self.log_end() + 1,
            ..Self::default()
        };
    }

    /// Takes changes that the store was asked for at a moment.
    pub fn apply_changes(&mut self, changes: StoreChanges, asked_at: Monotonic, now: Monotonic) {
        self.confirmed_at = asked_at;
        if self.epoch() != Some(changes.epoch) {
            let is_first = self.run.is_none() && self.next == 0;
            self.clear();
            self.confirmed_at = asked_at;
            self.run = Some((changes.epoch, now));
            if !is_first {
                return;
            }
        }
        self.needs_list |= changes.has_gap;
        self.next = changes.next;
        for event in changes.events {
            self.apply_event(event);
        }
    }

    /// Takes a list that the store was asked for at a moment.
    pub fn apply_list(&mut self, list: StoreList, asked_at: Monotonic, now: Monotonic) {
        let run = self.run.filter(|(epoch, _)| *epoch == list.epoch);
        self.clear();
        self.run = run.or(Some((list.epoch, now)));
        self.confirmed_at = asked_at;
        self.next = list.next;
        for (key, tokens) in list.parts {
            self.add(key, tokens);
        }
    }

    /// Parts that this host has had dropped.
    pub fn record_dropped(&mut self, keys: &[PartKey]) {
        for key in keys {
            self.apply_event(KeptEvent {
                key: key.clone(),
                stored: None,
            });
        }
    }

    /// What a host lacks that was told all changes before a number, or nothing yet; and the number to ask from next.
    pub fn update_since(&self, number: Option<u64>, now: Monotonic) -> (StoreUpdate, u64) {
        let skipped = number.and_then(|number| number.checked_sub(self.log_start));
        let events = match skipped {
            Some(skipped) => self.log.iter().skip(skipped as usize).cloned().collect(),
            None => self.snapshot(),
        };
        let update = StoreUpdate {
            epoch: self.epoch(),
            age: now.saturating_sub(self.confirmed_at),
            is_all: skipped.is_none(),
            events,
        };
        (update, self.log_end())
    }

    /// Takes what another host passed on, which was asked at a moment.
    pub fn apply_update(&mut self, update: StoreUpdate, asked_at: Monotonic, now: Monotonic) {
        let Some(epoch) = update.epoch else {
            return self.clear();
        };
        let run = self.run.filter(|(known, _)| *known == epoch);
        if update.is_all {
            self.clear();
        }
        self.run = run.or(Some((epoch, now)));
        self.confirmed_at = asked_at.saturating_sub(update.age);
        for event in update.events {
            self.apply_event(event);
        }
    }

    fn snapshot(&self) -> Vec<KeptEvent> {
        let event = |(key, tokens): (&PartKey, &u32)| KeptEvent {
            key: key.clone(),
            stored: Some(*tokens),
        };
        self.parts.iter().map(event).collect()
    }

    fn log_end(&self) -> u64 {
        self.log_start + self.log.len() as u64
    }

    fn apply_event(&mut self, event: KeptEvent) {
        match event.stored {
            Some(tokens) => self.add(event.key.clone(), tokens),
            None => self.remove(&event.key),
        }
        self.log.push_back(event);
        if self.log.len() > MAX_LOG_EVENTS {
            self.log.pop_front();
            self.log_start += 1;
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
