use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::Monotonic;

use super::plan::FETCH_TIMEOUT;

/// Age up to which a store's state is used. Covers the store's longest wait, the pauses between requests to
/// it and to the host that forwards its changes, and a lost packet.
pub(crate) const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(3_500);
/// Time after a store's restart in which a fetch based on its earlier content may still be running.
pub(crate) const SAVE_DELAY_AFTER_RESTART: Duration = Duration::from_millis(500)
    .saturating_add(MAX_CONFIRMED_AGE)
    .saturating_add(FETCH_TIMEOUT);
/// Changes kept for other hosts; a host that is further behind receives the whole content.
const MAX_LOG_EVENTS: usize = 8_192;

/// Identifies a prompt part under a salt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PartKey {
    /// Salt of the cache that the part belongs to.
    pub salt: Box<str>,
    /// Id of the part.
    pub id: Box<str>,
}

/// A change of a store's content.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeptEvent {
    /// The part.
    pub key: PartKey,
    /// Tokens of the part if the store now holds it; `None` if it was dropped.
    pub stored: Option<u32>,
}

/// A store's answer to a request for changes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreChanges {
    /// Run of the store; a new run holds nothing of the previous one.
    pub epoch: u64,
    /// Number of the change that the next request starts from.
    pub next: u64,
    /// Whether the store has discarded changes before these.
    pub has_gap: bool,
    /// The changes, oldest first.
    pub events: Vec<KeptEvent>,
    /// The servers' clock, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// The whole content of a store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreList {
    /// Run of the store.
    pub epoch: u64,
    /// Number of the change that the next request for changes starts from.
    pub next: u64,
    /// Whole parts with their tokens.
    pub parts: Vec<(PartKey, u32)>,
}

/// State of a store that a host following it sends to a host that does not.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Run of the store; `None` while it does not answer.
    pub epoch: Option<u64>,
    /// Time since the store was asked for this state.
    pub age: Duration,
    /// Whether `events` give the whole content of the store, not only changes.
    pub is_all: bool,
    /// Parts that were stored and dropped, oldest first.
    pub events: Vec<KeptEvent>,
}

/// This host's cached state of one store. It lists only parts that the store has reported as whole in its
/// current run, because a part that is still being written must not be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreDirectory {
    /// Run of the store and the time at which this host first received it; `None` while the store does not
    /// answer.
    run: Option<(u64, Monotonic)>,
    /// Number of the change that the next request starts from.
    next: u64,
    /// Whether changes were missed, which requires a list of the store's content.
    needs_list: bool,
    /// Whole parts with their tokens.
    parts: HashMap<PartKey, u32>,
    /// Sum of the tokens of all parts.
    tokens: u64,
    /// Time of the last request to the store that this state includes.
    confirmed_at: Monotonic,
    /// Latest changes, oldest first.
    log: VecDeque<KeptEvent>,
    /// Number of the first change in `log`.
    log_start: u64,
}

impl StoreDirectory {
    /// Returns the number of the change that the next request to the store starts from.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether changes were missed, which requires a list of the store's content.
    pub fn needs_list(&self) -> bool {
        self.needs_list
    }

    /// Returns the run of the store; `None` while it does not answer.
    pub fn epoch(&self) -> Option<u64> {
        self.run.map(|(epoch, _)| epoch)
    }

    /// Returns the time at which this host first received the store's run.
    pub fn run_since(&self) -> Option<Monotonic> {
        self.run.map(|(_, since)| since)
    }

    /// Whether parts may be saved to the store. Saves wait after a restart: a host that has not noticed it
    /// yet could fetch a part that is still being written.
    pub fn accepts_saves(&self, now: Monotonic) -> bool {
        let is_settled = self
            .run_since()
            .is_some_and(|since| now >= since + SAVE_DELAY_AFTER_RESTART);
        is_settled && self.is_fresh(now)
    }

    /// Whether a recent state of the store lists the part as whole.
    pub fn holds(&self, key: &PartKey, now: Monotonic) -> bool {
        self.is_fresh(now) && self.parts.contains_key(key)
    }

    fn is_fresh(&self, now: Monotonic) -> bool {
        now < self.confirmed_at + MAX_CONFIRMED_AGE
    }

    /// Returns the parts in the last state of the store.
    pub fn parts(&self) -> impl Iterator<Item = &PartKey> {
        self.parts.keys()
    }

    /// Returns the tokens in the last state of the store.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Clears the directory of a store that did not answer. The store may have restarted and lost its
    /// content.
    pub fn clear(&mut self) {
        *self = Self {
            // Above every number sent so far, which makes every host request the whole content.
            log_start: self.log_end() + 1,
            ..Self::default()
        };
    }

    /// Applies the changes that the store was asked for at `asked_at`.
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

    /// Replaces the content by a list that the store was asked for at `asked_at`.
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

    /// Removes parts that the store has dropped at this host's request.
    pub fn record_dropped(&mut self, keys: &[PartKey]) {
        for key in keys {
            self.apply_event(KeptEvent {
                key: key.clone(),
                stored: None,
            });
        }
    }

    /// Returns the changes from `number` on, or the whole content if they are no longer in the log or
    /// `number` is `None`; and the number that the next call starts from.
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

    /// Applies an update that another host was asked for at `asked_at`.
    pub fn apply_update(&mut self, update: StoreUpdate, asked_at: Monotonic, now: Monotonic) {
        let Some(epoch) = update.epoch else {
            return self.clear();
        };
        let run = self.run.filter(|(current, _)| *current == epoch);
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
