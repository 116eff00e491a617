use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use utils::TargetId;

use super::{AnswerStage, CrashEvidence, PartFingerprint};
use crate::Position;
use crate::quarantine::Fingerprint;

/// Points of a crash at which the target had begun to answer.
const HEAD_POINTS: u32 = 2;
/// Points of a crash at which the request may have waited in the target's queue.
const NO_HEAD_POINTS: u32 = 1;
/// Points at which a part is published as suspected.
const POINTS_TO_SUSPECT: u32 = 2;
/// Points at which a part is quarantined that no host has seen succeed.
const POINTS_TO_QUARANTINE: u32 = 4;
/// Points at which a part is quarantined that has succeeded before. Popular parts are in flight at most
/// crashes.
const POINTS_TO_QUARANTINE_KNOWN: u32 = 8;
/// Most other parts that, if they can have caused the crashes together, leave a quarantine in doubt.
const MAX_OTHER_CAUSES: usize = 2;
/// Time within which the crashes of several targets count as one, since they may have a common cause such as a
/// failed rack.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(500);

/// A row of the shared table on a request that was in flight at a crash.
#[derive(Debug, Clone, Copy)]
pub struct CrashRecord<'a> {
    /// Position of the row.
    pub position: Position,
    /// The request.
    pub fingerprint: Fingerprint,
    /// What the reporting host knows.
    pub evidence: &'a CrashEvidence,
}

/// A row of the shared table on a part that has succeeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoundRecord {
    /// Position of the row.
    pub position: Position,
    /// Time of the row on the store's clock; `None` if its host did not know it or has an earlier version.
    pub at: Option<Duration>,
}

impl SoundRecord {
    /// Whether a crash is no evidence against the part: its row is older, or it was written late and the crash itself is
    /// older.
    fn refutes(&self, crash: &CrashRecord) -> bool {
        let times = self.at.zip(crash.evidence.at);
        crash.position <= self.position || times.is_some_and(|(sound, crash)| crash <= sound)
    }
}

impl CrashRecord<'_> {
    fn points(&self) -> u32 {
        match self.evidence.stage {
            AnswerStage::Events => 0,
            AnswerStage::NoHead => NO_HEAD_POINTS,
            AnswerStage::Head => HEAD_POINTS,
        }
    }

    fn has_common_cause(&self, other: &Self) -> bool {
        let times = self.evidence.at.zip(other.evidence.at);
        times.is_some_and(|(one, two)| one.abs_diff(two) < COMMON_CAUSE_WINDOW)
    }
}

/// The evidence for the quarantine of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartEvidence {
    /// Crashes that the part explains.
    pub crashes: usize,
    /// Different requests with the part that were in flight at these crashes.
    pub requests: usize,
}

/// Prompt parts that may crash targets.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SuspectParts {
    /// Parts that must not run any more.
    pub quarantined: HashMap<PartFingerprint, PartEvidence>,
    /// Sets of parts that must not run together any more. One of each set crashes targets, and it is not known which.
    pub combinations: HashMap<PartSet, PartEvidence>,
    /// Parts of [`SuspectParts::quarantined`] in doubt, with the other parts that can have caused the crashes.
    pub uncertain: HashMap<PartFingerprint, PartSet>,
    /// Parts with some evidence, including those in quarantine.
    pub suspected: HashSet<PartFingerprint>,
}

impl SuspectParts {
    /// Whether a prompt with these parts must not run.
    pub fn is_quarantined(&self, parts: &[PartFingerprint]) -> bool {
        let holds_all = |set: &PartSet| set.iter().all(|part| parts.contains(part));
        parts.iter().any(|part| self.quarantined.contains_key(part))
            || self.combinations.keys().any(holds_all)
    }

    /// Returns the part that a request with these parts could clear: the only reason for its refusal is a quarantine in
    /// doubt, and it holds none of the parts that can have caused the crashes instead.
    pub fn trial_part(&self, parts: &[PartFingerprint]) -> Option<PartFingerprint> {
        let mut quarantined = parts.iter().filter(|part| self.quarantined.contains_key(part));
        let (part, None) = (quarantined.next()?, quarantined.next()) else {
            return None;
        };
        let others = self.uncertain.get(part)?;
        let holds_other = parts
            .iter()
            .any(|other| others.contains(other) || self.is_in_combination(other));
        (!holds_other).then_some(*part)
    }

    fn is_in_combination(&self, part: &PartFingerprint) -> bool {
        self.combinations.keys().any(|set| set.contains(part))
    }

    /// Returns the evidence for each quarantine by the text of its parts, which are joined by `+`.
    pub(crate) fn quarantines(&self) -> BTreeMap<String, PartEvidence> {
        let alone = self
            .quarantined
            .iter()
            .map(|(part, evidence)| (part.text(), *evidence));
        let together = self.combinations.iter().map(|(set, evidence)| {
            let texts: Vec<String> = set.iter().map(PartFingerprint::text).collect();
            (texts.join("+"), *evidence)
        });
        alone.chain(together).collect()
    }

    /// Returns the parts that are in quarantine, alone or together with others.
    pub(crate) fn quarantined_parts(&self) -> HashSet<PartFingerprint> {
        let together = self.combinations.keys().flatten();
        self.quarantined.keys().chain(together).copied().collect()
    }
}

/// Parts of one prompt.
pub type PartSet = BTreeSet<PartFingerprint>;

/// Records that count against each part.
type RecordsByPart<'a> = BTreeMap<PartFingerprint, Vec<CrashRecord<'a>>>;

/// Finds the parts that crash targets. `sound` holds what states that a part has succeeded; older records and records of
/// older crashes don't count for it.
///
/// The part with the most evidence is taken to have caused all crashes at which it was in flight. Their records
/// are removed before the next part is looked for, so that a part does not become a suspect only because it
/// occurs beside the one that crashes targets.
///
/// If another part of the same prompts can have caused all these crashes as well, only the prompts that hold the whole
/// set of suspects of such a crash are stopped. A sound prompt with one of the parts runs and so clears it. If two
/// other parts together can have, the quarantine is in doubt.
pub fn find_suspect_parts<'a>(
    records: impl IntoIterator<Item = CrashRecord<'a>>,
    sound: &HashMap<PartFingerprint, SoundRecord>,
) -> SuspectParts {
    let mut by_part = records_by_part(records, sound);
    let mut suspects = SuspectParts::default();
    while let Some(part) = strongest(&by_part, sound) {
        let explained: HashSet<TargetId> = by_part[&part].iter().map(|r| r.evidence.run.clone()).collect();
        let requests: HashSet<Fingerprint> = by_part[&part].iter().map(|r| r.fingerprint).collect();
        let evidence = PartEvidence {
            crashes: explained.len(),
            requests: requests.len(),
        };
        let others = match has_succeeded(&part, &by_part[&part], sound) {
            true => None,
            false => other_causes(part, &by_part),
        };
        match others {
            Some(others) if others.least == 1 => {
                for set in suspect_sets(part, &by_part) {
                    suspects.suspected.extend(&set);
                    suspects.combinations.insert(set, evidence);
                }
            }
            others => {
                suspects.quarantined.insert(part, evidence);
                suspects.suspected.insert(part);
                suspects
                    .uncertain
                    .extend(others.map(|others| (part, others.parts)));
            }
        }
        for records in by_part.values_mut() {
            records.retain(|record| !explained.contains(&record.evidence.run));
        }
    }
    let suspected = by_part
        .iter()
        .filter(|(_, records)| count_points(records) >= POINTS_TO_SUSPECT);
    suspects.suspected.extend(suspected.map(|(part, _)| *part));
    suspects
}

/// Sorts the records by part, those with the most points first.
fn records_by_part<'a>(
    records: impl IntoIterator<Item = CrashRecord<'a>>,
    sound: &HashMap<PartFingerprint, SoundRecord>,
) -> RecordsByPart<'a> {
    let mut by_part = RecordsByPart::new();
    for record in records.into_iter().filter(|record| record.points() > 0) {
        for suspect in &record.evidence.parts {
            if sound
                .get(&suspect.part)
                .is_none_or(|sound| !sound.refutes(&record))
            {
                by_part.entry(suspect.part).or_default().push(record);
            }
        }
    }
    for records in by_part.values_mut() {
        records.sort_by_key(|record| (Reverse(record.points()), record.position));
    }
    by_part
}

/// Returns the part with the most evidence among those that have enough for a quarantine. Parts that have
/// never succeeded come first.
fn strongest(
    by_part: &RecordsByPart,
    sound: &HashMap<PartFingerprint, SoundRecord>,
) -> Option<PartFingerprint> {
    let weighed = by_part.iter().filter_map(|(part, records)| {
        let has_succeeded = has_succeeded(part, records, sound);
        let enough = match has_succeeded {
            true => POINTS_TO_QUARANTINE_KNOWN,
            false => POINTS_TO_QUARANTINE,
        };
        let points = count_points(records);
        (points >= enough).then_some((!has_succeeded, points, Reverse(*part)))
    });
    weighed.max().map(|(_, _, Reverse(part))| part)
}

/// Parts that can have caused crashes in place of another one.
struct OtherCauses {
    /// Least number of them that occur in all the crashes together.
    least: usize,
    /// All of them.
    parts: PartSet,
}

/// Returns the parts that can have caused all crashes at which a part was in flight; `None` if it takes too many. A
/// crash can have been caused by another part if one of the requests in flight held both.
fn other_causes(part: PartFingerprint, by_part: &RecordsByPart) -> Option<OtherCauses> {
    let mut others: BTreeMap<&TargetId, PartSet> = BTreeMap::new();
    for record in &by_part[&part] {
        let set = suspect_set(record, by_part);
        let of_crash = others.entry(&record.evidence.run).or_default();
        of_crash.extend(set.into_iter().filter(|other| *other != part));
    }
    let crashes: Vec<&PartSet> = others.values().collect();
    let least = (1..=MAX_OTHER_CAUSES).find(|count| can_explain(&crashes, *count))?;
    let parts = others.into_values().flatten().collect();
    Some(OtherCauses { least, parts })
}

/// Whether at most `count` parts occur in all crashes together.
fn can_explain(crashes: &[&PartSet], count: usize) -> bool {
    let Some((first, _)) = crashes.split_first() else {
        return true;
    };
    count > 0
        && first.iter().any(|cause| {
            let rest = crashes.iter().filter(|crash| !crash.contains(cause));
            can_explain(&rest.copied().collect::<Vec<_>>(), count - 1)
        })
}

/// Returns the sets of suspects of the requests with a part, without those that hold no other one.
fn suspect_sets(part: PartFingerprint, by_part: &RecordsByPart) -> HashSet<PartSet> {
    let records = by_part[&part].iter();
    let sets = records.map(|record| suspect_set(record, by_part));
    sets.filter(|set| set.len() > 1).collect()
}

/// Returns the parts of a request that no request has succeeded with.
fn suspect_set(record: &CrashRecord, by_part: &RecordsByPart) -> PartSet {
    let never_succeeded = record
        .evidence
        .parts
        .iter()
        .filter(|suspect| !suspect.has_succeeded);
    let counts = |part: &PartFingerprint| {
        let records = by_part.get(part);
        records.is_some_and(|records| {
            records
                .iter()
                .any(|known| std::ptr::eq(known.evidence, record.evidence))
        })
    };
    never_succeeded
        .map(|suspect| suspect.part)
        .filter(counts)
        .collect()
}

/// Whether some host has seen a request with the part succeed.
fn has_succeeded(
    part: &PartFingerprint,
    records: &[CrashRecord],
    sound: &HashMap<PartFingerprint, SoundRecord>,
) -> bool {
    let mut suspects = records.iter().flat_map(|record| &record.evidence.parts);
    sound.contains_key(part) || suspects.any(|suspect| suspect.part == *part && suspect.has_succeeded)
}

/// Adds up the points of records, strongest first. Each crash counts once, and so do each request and all
/// crashes that may have a common cause.
fn count_points(records: &[CrashRecord]) -> u32 {
    let mut counted: Vec<&CrashRecord> = Vec::new();
    for record in records {
        let is_repeated = |known: &&CrashRecord| {
            known.evidence.run == record.evidence.run
                || known.fingerprint == record.fingerprint
                || known.has_common_cause(record)
        };
        if !counted.iter().any(is_repeated) {
            counted.push(record);
        }
    }
    counted.iter().map(|record| record.points()).sum()
}
