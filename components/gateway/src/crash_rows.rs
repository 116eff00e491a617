//! The rows of the shared table on crashes of targets.

use std::collections::{BTreeMap, HashMap, HashSet};

use error_stack::Report;
use utils::Monotonic;

use crate::Position;
use crate::crash_reports::{CrashRowValue, SoundRowValue};
use crate::ports::{Record, UnusableRecord};
use crate::quarantine::{CRASH_RETENTION, CRASHES_TO_QUARANTINE, Fingerprint, PART_RETENTION};
use crate::suspects::{
    CrashEvidence, CrashRecord, PartFingerprint, SoundRecord, SuspectParts, find_suspect_parts,
};

/// Prefix of crash keys. The key `crash/FINGERPRINT/HOST/INCARNATION/NUMBER` holds a row of a host on crashes that it
/// observed. Hosts of earlier versions write `crash/FINGERPRINT/HOST/COUNT`.
pub(crate) const CRASH_PREFIX: &str = "crash/";
/// Prefix of the keys under which hosts record that a suspected prompt part has succeeded.
pub(crate) const SOUND_PREFIX: &str = "sound/";

/// Whether a key of the shared table concerns crashes of targets.
pub(crate) fn is_on_crash(key: &str) -> bool {
    key.starts_with(CRASH_PREFIX) || key.starts_with(SOUND_PREFIX)
}

/// Returns the key of the row that states that a part has succeeded.
pub(crate) fn sound_key(part: &PartFingerprint) -> String {
    format!("{SOUND_PREFIX}{}", part.text())
}

/// A request that was in flight at a crash.
struct CrashedRequest {
    /// The request.
    fingerprint: Fingerprint,
    /// The host and its count of crashes with the request. A host that counts anew after a success repeats itself.
    observation: String,
    /// What is known of the request; `None` from a host of an older version.
    evidence: Option<CrashEvidence>,
}

impl CrashedRequest {
    /// Whether the crash is evidence for the quarantine of one of these parts.
    fn supports(&self, quarantined: &HashSet<PartFingerprint>) -> bool {
        let mut parts = self.evidence.iter().flat_map(|evidence| &evidence.parts);
        parts.any(|suspect| quarantined.contains(&suspect.part))
    }
}

/// A row on requests that were in flight at crashes.
struct CrashRow {
    /// The requests.
    requests: Vec<CrashedRequest>,
    /// Time at which this host received the row.
    received_at: Monotonic,
    /// Position of the row.
    position: Position,
}

/// A row on a prompt part that succeeded while it was suspected.
struct SoundRow {
    /// The row.
    record: SoundRecord,
    /// Time at which this host received the row.
    received_at: Monotonic,
}

/// Crashes of targets that any host has reported, and the requests and prompt parts that are quarantined for them.
#[derive(Default)]
pub(crate) struct CrashRows {
    /// Crashes by key.
    crashes: BTreeMap<String, CrashRow>,
    /// Parts that succeeded while they were suspected.
    sound_parts: BTreeMap<PartFingerprint, SoundRow>,
    /// Parts that are quarantined or suspected.
    suspects: SuspectParts,
    /// Whether rows have changed since `suspects` was computed.
    is_stale: bool,
}

impl CrashRows {
    /// Applies a row on a crash; `text` is its key without the prefix. A row whose value can't be parsed still
    /// counts for the whole request.
    pub(crate) fn apply_crash(
        &mut self,
        text: &str,
        record: &Record,
        now: Monotonic,
    ) -> Result<(), Report<UnusableRecord>> {
        let (first, observed_by) = text.split_once('/').unwrap_or((text, ""));
        let first = Fingerprint::parse(first).ok_or(UnusableRecord)?;
        self.is_stale = true;
        let Some(value) = &record.value else {
            self.crashes.remove(&record.key);
            return Ok(());
        };
        let parsed = (!value.is_empty()).then(|| serde_json::from_slice::<CrashRowValue>(value));
        let (requests, error) = match parsed.transpose() {
            Ok(parsed) => (requests(first, observed_by, parsed), None),
            Err(e) => (requests(first, observed_by, None), Some(e)),
        };
        let row = CrashRow {
            requests,
            received_at: now,
            position: record.position,
        };
        self.crashes.insert(record.key.clone(), row);
        error.map_or(Ok(()), |e| Err(Report::new(e).change_context(UnusableRecord)))
    }

    /// Applies a row on a part that has succeeded; `text` is its key without the prefix.
    pub(crate) fn apply_sound_part(
        &mut self,
        text: &str,
        record: &Record,
        now: Monotonic,
    ) -> Result<(), Report<UnusableRecord>> {
        let part = PartFingerprint::parse(text).ok_or(UnusableRecord)?;
        self.is_stale = true;
        if let Some(value) = &record.value {
            let value = serde_json::from_slice::<SoundRowValue>(value).ok();
            let row = SoundRow {
                record: SoundRecord {
                    position: record.position,
                    at: value.and_then(|value| value.at),
                },
                received_at: now,
            };
            self.sound_parts.insert(part, row);
        } else {
            self.sound_parts.remove(&part);
        }
        Ok(())
    }

    /// Returns the keys of crashes past their retention time, which is longer for those that support the
    /// quarantine of a part.
    pub(crate) fn expired(&self, now: Monotonic) -> Vec<String> {
        let quarantined = self.suspects.quarantined_parts();
        let retention = |row: &CrashRow| match row.requests.iter().any(|r| r.supports(&quarantined)) {
            true => PART_RETENTION,
            false => CRASH_RETENTION,
        };
        let crashes = self.crashes.iter();
        let expired = crashes.filter(|(_, row)| now >= row.received_at + retention(row));
        expired.map(|(key, _)| key.clone()).collect()
    }

    /// Forgets requests past their retention time whose row stays because of another request in it; returns whether there
    /// were any.
    pub(crate) fn forget_bystanders(&mut self, now: Monotonic) -> bool {
        let mut is_changed = false;
        let quarantined = self.suspects.quarantined_parts();
        for row in self.crashes.values_mut() {
            if now < row.received_at + CRASH_RETENTION {
                continue;
            }
            let supports = |request: &CrashedRequest| request.supports(&quarantined);
            let count = row.requests.len();
            if row.requests.iter().any(supports) {
                row.requests.retain(supports);
            }
            is_changed |= row.requests.len() < count;
        }
        self.is_stale |= is_changed;
        is_changed
    }

    /// Returns the keys of rows on parts that have succeeded, past their retention time. They are kept as long
    /// as any crash that they refute.
    pub(crate) fn expired_sound_parts(&self, now: Monotonic) -> Vec<String> {
        let expired = self
            .sound_parts
            .iter()
            .filter(|(_, row)| now >= row.received_at + PART_RETENTION);
        expired.map(|(part, _)| sound_key(part)).collect()
    }

    /// Returns the requests that were running in enough crashes, counted over all hosts. Of crashes with the same count at
    /// the same host one counts, since the request succeeded in between.
    pub(crate) fn quarantined(&self) -> HashSet<Fingerprint> {
        let mut observations: HashMap<Fingerprint, HashSet<&str>> = HashMap::new();
        for request in self.crashes.values().flat_map(|row| &row.requests) {
            let of_request = observations.entry(request.fingerprint).or_default();
            of_request.insert(&request.observation);
        }
        observations.retain(|_, of_request| of_request.len() >= CRASHES_TO_QUARANTINE as usize);
        observations.into_keys().collect()
    }

    /// Returns the quarantined and the suspected parts.
    pub(crate) fn suspect_parts(&mut self) -> SuspectParts {
        if std::mem::take(&mut self.is_stale) {
            self.suspects = self.find_suspect_parts();
        }
        self.suspects.clone()
    }

    fn find_suspect_parts(&self) -> SuspectParts {
        let requests = self
            .crashes
            .values()
            .flat_map(|row| row.requests.iter().map(|request| (row.position, request)));
        let records = requests.filter_map(|(position, request)| {
            Some(CrashRecord {
                position,
                fingerprint: request.fingerprint,
                evidence: request.evidence.as_ref()?,
            })
        });
        let sound = self.sound_parts.iter().map(|(part, row)| (*part, row.record));
        find_suspect_parts(records, &sound.collect())
    }
}

/// Returns the requests of a row. Its key names the first, and then the host; in rows of earlier versions its count
/// follows, which makes that the observation.
fn requests(first: Fingerprint, observed_by: &str, value: Option<CrashRowValue>) -> Vec<CrashedRequest> {
    let host = observed_by.split('/').next().unwrap_or_default();
    let observation = |count: u32| format!("{host}/{count}");
    let count = value.as_ref().and_then(|value| value.count);
    let (evidence, others) = value.map_or((None, Vec::new()), |value| (Some(value.first), value.others));
    let first = CrashedRequest {
        fingerprint: first,
        observation: count.map_or_else(|| observed_by.to_owned(), observation),
        evidence,
    };
    let others = others.into_iter().map(|other| CrashedRequest {
        fingerprint: other.request,
        observation: observation(other.count),
        evidence: Some(other.evidence),
    });
    [first].into_iter().chain(others).collect()
}
