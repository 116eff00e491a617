use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use async_channel::Sender;
use utils::Monotonic;

use super::{OriginKey, OriginPart, StreamOrigin};
use crate::Position;
use crate::jitter::jittered;

/// Most records that one call writes or removes.
const MAX_RECORDS_PER_CALL: usize = 100;
/// Most records that are kept, and most removals that wait.
const MAX_RECORDS: usize = 20_000;
/// Most records up to which origins are held that need none.
const MAX_HELD: usize = MAX_RECORDS / 2;
/// Most origins that wait to be copied to another host, and most that one call copies.
const MAX_COPIES: usize = 1_000;
/// Longest names of a service and a version together, in bytes, so that all records of a call fit into it.
const MAX_NAME_BYTES: usize = 1_000;
/// First backoff after a failed write.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after failed writes.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Time for which removals are collected, so that few calls remove them part by part.
const REMOVAL_DELAY: Duration = Duration::from_secs(60);
/// Mean pause after a failed removal.
const REMOVAL_RETRY_DELAY: Duration = Duration::from_secs(10);

/// How far a record has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordState {
    /// Not needed in the store, unless it is restored.
    Held,
    /// Waiting for a call.
    Queued,
    /// Being written by a call.
    InFlight,
    /// Acknowledged by the store in this era.
    Written(u64),
}

/// A record of this host.
#[derive(Debug)]
struct OriginRecord {
    origin: StreamOrigin,
    state: RecordState,
    /// Whether a call has written it or may have.
    may_be_stored: bool,
    /// Whether the store has acknowledged it, in any era.
    was_written: bool,
    /// Requests that wait until it is written.
    waiting: Vec<Sender<()>>,
}

impl OriginRecord {
    fn set_written(&mut self, era: u64) {
        self.state = RecordState::Written(era);
        self.was_written = true;
        for waiting in self.waiting.drain(..) {
            // Fails if the request no longer waits.
            let _ = waiting.try_send(());
        }
    }
}

/// Records of one part that wait for a call.
#[derive(Debug, Default)]
struct PartQueue {
    /// Keys, in the order in which they are written.
    keys: VecDeque<OriginKey>,
    /// Whether a call writes to the part. Records that come meanwhile go together with the next one.
    is_writing: bool,
    /// Time before which no call is made after a failed one.
    retry_at: Monotonic,
    /// Backoff after the last failed call; zero if the last one succeeded.
    backoff: Duration,
}

/// Records of one part, to write with one call.
#[derive(Debug)]
pub struct OriginWrite {
    part: OriginPart,
    /// The records.
    pub origins: Vec<StreamOrigin>,
}

/// The records of stream origins that this host has made: which are to be written, and which to be removed. A state
/// machine without I/O.
///
/// ```
/// use std::time::Duration;
/// use gateway::{OriginKey, OriginRecords, Position, StreamOrigin};
///
/// let now = Duration::ZERO;
/// let mut records = OriginRecords::default();
/// let key = OriginKey::of("mill", "r1");
/// let origin = StreamOrigin { key, service: "chat".into(), software: "2".into() };
/// let (tx, rx) = async_channel::bounded(1);
/// assert!(records.add(origin.clone(), tx, now));
/// assert_eq!(records.get(&key), Some(&origin));
/// let write = records.take_write(now).unwrap();
/// assert_eq!(write.origins, [origin]);
/// records.finish_write(write, Some(Position::new(1, 7)), now);
/// assert_eq!(rx.try_recv(), Ok(()));
/// ```
#[derive(Debug, Default)]
pub struct OriginRecords {
    /// Records by key.
    records: HashMap<OriginKey, OriginRecord>,
    /// Times at which records were added, oldest first.
    added: VecDeque<(Monotonic, OriginKey)>,
    /// Records that wait to be written, by part.
    parts: [PartQueue; 16],
    /// Part that is written next if it has records.
    next_part: OriginPart,
    /// Records that are to be removed, with the times from which they are, oldest first.
    removals: VecDeque<(Monotonic, OriginKey)>,
    /// Time before which no removal is made after a failed one.
    removal_retry_at: Monotonic,
    /// Origins of this host's streams that no other host has a copy of, oldest first.
    uncopied: VecDeque<OriginKey>,
    /// Newest known era of the store.
    era: u64,
}

impl OriginRecords {
    /// Adds a record; `waiting` gets a message once it is written and is dropped if it never will be. Returns whether
    /// the record was taken. A different record of the same stream is not: the write of the first one may be performed
    /// late and would replace it.
    pub fn add(&mut self, origin: StreamOrigin, waiting: Sender<()>, now: Monotonic) -> bool {
        if let Some(record) = self.records.get_mut(&origin.key) {
            let is_same = record.origin == origin;
            if is_same {
                record.waiting.push(waiting);
                match record.state {
                    RecordState::Written(era) => record.set_written(era),
                    RecordState::Held => self.enqueue(origin.key),
                    RecordState::Queued | RecordState::InFlight => {}
                }
            }
            return is_same;
        }
        let key = origin.key;
        let is_taken = self.insert(origin, vec![waiting], MAX_RECORDS, now);
        if is_taken {
            self.enqueue(key);
            self.queue_copy(key);
        }
        is_taken
    }

    /// Holds the origin of a stream that began at this host and needs no record now. Once the store has been restored, it is
    /// written like a record.
    pub fn hold(&mut self, origin: StreamOrigin, now: Monotonic) {
        let key = origin.key;
        if self.hold_copy(origin, now) {
            self.queue_copy(key);
        }
    }

    /// Holds the origin of a stream that began at another host, which may be gone when the store is restored; returns
    /// whether it is new.
    pub fn hold_copy(&mut self, origin: StreamOrigin, now: Monotonic) -> bool {
        !self.records.contains_key(&origin.key) && self.insert(origin, Vec::new(), MAX_HELD, now)
    }

    /// Returns whether origins wait to be copied to another host.
    pub fn has_uncopied(&self) -> bool {
        !self.uncopied.is_empty()
    }

    /// Takes the origins that no other host has a copy of.
    pub fn take_uncopied(&mut self) -> Vec<StreamOrigin> {
        let keys = std::mem::take(&mut self.uncopied);
        let records = keys.iter().filter_map(|key| self.records.get(key));
        records.map(|record| record.origin.clone()).collect()
    }

    /// Returns origins whose copy has failed; they are copied again.
    pub fn put_back_uncopied(&mut self, origins: &[StreamOrigin]) {
        for origin in origins {
            self.queue_copy(origin.key);
        }
    }

    fn queue_copy(&mut self, key: OriginKey) {
        self.uncopied.push_back(key);
        if self.uncopied.len() > MAX_COPIES {
            self.uncopied.pop_front();
        }
    }

    /// Adds a record that is held; returns whether it was taken.
    fn insert(
        &mut self,
        origin: StreamOrigin,
        waiting: Vec<Sender<()>>,
        max_records: usize,
        now: Monotonic,
    ) -> bool {
        let is_long = origin.service.len() + origin.software.len() > MAX_NAME_BYTES;
        if is_long || self.records.len() >= max_records {
            return false;
        }
        let key = origin.key;
        let record = OriginRecord {
            origin,
            state: RecordState::Held,
            may_be_stored: false,
            was_written: false,
            waiting,
        };
        self.records.insert(key, record);
        self.added.push_back((now, key));
        true
    }

    /// Has a record written that is held.
    fn enqueue(&mut self, key: OriginKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = RecordState::Queued;
            self.queue(key.part()).keys.push_back(key);
        }
    }

    /// Returns the origin of a stream that began at this host, whether its record is written or not.
    pub fn get(&self, key: &OriginKey) -> Option<&StreamOrigin> {
        self.records.get(key).map(|record| &record.origin)
    }

    /// Returns whether there is no record that has not expired.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the time at which the next call is due; `None` while no record waits for one.
    pub fn next_write_at(&self) -> Option<Monotonic> {
        let waiting = self.parts.iter().filter(|part| part.is_due(Monotonic::MAX));
        waiting.map(|part| part.retry_at).min()
    }

    /// Returns whether records wait whose last write failed.
    pub fn is_failing(&self) -> bool {
        self.parts.iter().any(PartQueue::is_failing)
    }

    /// Takes the records of a part that are due. [`Self::finish_write`] must follow.
    pub fn take_write(&mut self, now: Monotonic) -> Option<OriginWrite> {
        for _ in OriginPart::all() {
            let part = self.next_part;
            self.next_part = part.next();
            let origins = self.take_due(part, now);
            if !origins.is_empty() {
                self.queue(part).is_writing = true;
                return Some(OriginWrite { part, origins });
            }
        }
        None
    }

    fn take_due(&mut self, part: OriginPart, now: Monotonic) -> Vec<StreamOrigin> {
        let mut origins = Vec::new();
        while self.queue(part).is_due(now) && origins.len() < MAX_RECORDS_PER_CALL {
            let key = self.queue(part).keys.pop_front();
            // The record may have expired.
            let record = key.and_then(|key| self.records.get_mut(&key));
            if let Some(record) = record.filter(|record| record.state == RecordState::Queued) {
                record.state = RecordState::InFlight;
                record.may_be_stored = true;
                origins.push(record.origin.clone());
            }
        }
        origins
    }

    /// Records the result of a write: where it was applied, or `None` if it failed. Its records are written again then,
    /// after a backoff.
    pub fn finish_write(&mut self, write: OriginWrite, written: Option<Position>, now: Monotonic) {
        let era = written.map(Position::era);
        if let Some(era) = era {
            self.record_era(era);
        }
        let queue = self.queue(write.part);
        queue.is_writing = false;
        queue.backoff = match era {
            Some(_) => Duration::ZERO,
            None => (queue.backoff * 2).clamp(FIRST_BACKOFF, MAX_BACKOFF),
        };
        queue.retry_at = now + jittered(queue.backoff, 0.5);
        // In reverse, so that the oldest record is at the front again.
        for origin in write.origins.iter().rev() {
            let Some(record) = self.records.get_mut(&origin.key) else {
                continue;
            };
            // A store that was restored meanwhile has lost the record.
            if let Some(era) = era.filter(|era| *era == self.era) {
                record.set_written(era);
            } else {
                record.state = RecordState::Queued;
                self.parts[write.part.index()].keys.push_front(origin.key);
            }
        }
    }

    /// Records an era of the store. If it is newer, all records are written again, as the restored store may have lost
    /// them, and so are origins that are held: for a while a missing record proves nothing. Returns whether it is.
    pub fn record_era(&mut self, era: u64) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        for (_, key) in &self.added {
            let record = self.records.get_mut(key);
            let is_idle = |record: &&mut OriginRecord| {
                matches!(record.state, RecordState::Held | RecordState::Written(_))
            };
            if let Some(record) = record.filter(is_idle) {
                record.state = RecordState::Queued;
                self.parts[key.part().index()].keys.push_back(*key);
            }
        }
        true
    }

    /// Returns whether the store has, in this era, all records that it acknowledged in earlier ones.
    pub fn has_written_again(&self, era: u64) -> bool {
        let is_lost = |record: &OriginRecord| record.was_written && record.state != RecordState::Written(era);
        self.era == era && !self.records.values().any(is_lost)
    }

    /// Forgets records past their lifetime, which are then to be removed.
    pub fn expire(&mut self, lifetime: Duration, now: Monotonic) {
        while let Some((added_at, key)) = self.added.front().copied() {
            let is_in_flight = |record: &&OriginRecord| record.state == RecordState::InFlight;
            if now < added_at.saturating_add(lifetime)
                || self.records.get(&key).filter(is_in_flight).is_some()
            {
                return;
            }
            self.added.pop_front();
            let record = self.records.remove(&key);
            let is_stored = record.is_some_and(|record| record.may_be_stored);
            // The owner of the duty removes what finds no place here.
            if is_stored && self.removals.len() < MAX_RECORDS {
                self.removals.push_back((now, key));
            }
        }
    }

    /// Takes the keys of records of one part to remove with one call, if there are enough or they have waited. A store need
    /// not allow transactions over several parts.
    pub fn take_removals(&mut self, now: Monotonic) -> Vec<OriginKey> {
        let first = self.removals.front();
        let has_waited = first.is_some_and(|(since, _)| now >= *since + REMOVAL_DELAY);
        let is_due = has_waited || self.removals.len() >= MAX_RECORDS_PER_CALL;
        if !is_due || now < self.removal_retry_at {
            return Vec::new();
        }
        let Some(part) = self.removals.front().map(|(_, key)| key.part()) else {
            return Vec::new();
        };
        let mut keys = Vec::new();
        self.removals.retain(|(_, key)| {
            let is_taken = key.part() == part && keys.len() < MAX_RECORDS_PER_CALL;
            if is_taken {
                keys.push(*key);
            }
            !is_taken
        });
        keys
    }

    /// Returns keys whose removal has failed; they are removed later.
    pub fn put_back_removals(&mut self, keys: &[OriginKey], now: Monotonic) {
        self.removal_retry_at = now + jittered(REMOVAL_RETRY_DELAY, 0.5);
        for key in keys {
            self.removals.push_front((Monotonic::ZERO, *key));
        }
    }

    fn queue(&mut self, part: OriginPart) -> &mut PartQueue {
        &mut self.parts[part.index()]
    }
}

impl PartQueue {
    /// Whether the last call failed and is repeated.
    fn is_failing(&self) -> bool {
        !self.backoff.is_zero() && (self.is_writing || !self.keys.is_empty())
    }

    /// Whether a call may write records of the part.
    fn is_due(&self, now: Monotonic) -> bool {
        !self.is_writing && !self.keys.is_empty() && now >= self.retry_at
    }
}
