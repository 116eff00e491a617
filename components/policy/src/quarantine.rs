use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::{Digest, HostId, Incarnation, Monotonic, TargetId};

/// Number of crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Maximum number of fingerprints that are remembered as known good.
const MAX_KNOWN_GOOD: usize = 100_000;

/// Identifies a request by workspace and body, independent of caller and host.
pub type Fingerprint = Digest;

/// Computes the fingerprint of a request under a key that all hosts share.
///
/// ```
/// let key = utils::digest(b"key");
/// let one = policy::fingerprint(&key, "mill", b"quote 20 bales");
/// assert_eq!(one, policy::fingerprint(&key, "mill", b"quote 20 bales"));
/// assert_ne!(one, policy::fingerprint(&key, "yard", b"quote 20 bales"));
/// ```
pub fn fingerprint(key: &Digest, workspace: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_keyed(key.as_bytes());
    hasher.update(&(workspace.len() as u64).to_le_bytes());
    hasher.update(workspace.as_bytes());
    hasher.update(body);
    Digest::from(*hasher.finalize().as_bytes())
}

/// One crash of a target's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The target.
    pub target: TargetId,
    /// Incarnation of the target's process that crashed.
    pub incarnation: Incarnation,
}

/// Identifies one try of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TryId {
    /// Host that sends the try.
    pub host: HostId,
    /// Number of the try, unique at its host.
    pub number: u64,
}

/// Crash history of one fingerprint. Merging is commutative, associative and idempotent, as peers and the
/// table service deliver copies in any order and more than once.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Suspicion {
    /// Crashes of targets while they ran the request.
    pub crashes: BTreeSet<Crash>,
    /// Crashes that no longer count, because a later try succeeded.
    pub excused: BTreeSet<Crash>,
    /// Tries that ran on a target without other suspects.
    pub trials: BTreeSet<TryId>,
    /// Entries of `trials` that have ended.
    pub ended: BTreeSet<TryId>,
}

impl Suspicion {
    /// Returns the number of crashes that are not excused.
    pub fn crash_count(&self) -> usize {
        self.crashes.difference(&self.excused).count()
    }

    /// Whether the request ran on a target that crashed, and that crash counts.
    pub fn is_suspect(&self) -> bool {
        self.crash_count() > 0
    }

    /// Whether the request is no longer permitted to run.
    pub fn is_quarantined(&self) -> bool {
        self.crash_count() >= CRASHES_TO_QUARANTINE
    }

    /// Merges the history from another host.
    pub fn merge(&mut self, other: &Self) {
        self.crashes.extend(other.crashes.iter().cloned());
        self.excused.extend(other.excused.iter().cloned());
        self.trials.extend(other.trials.iter().cloned());
        self.ended.extend(other.ended.iter().cloned());
    }

    /// Returns the trial that is still running, if one is known.
    pub fn open_trial(&self) -> Option<&TryId> {
        self.trials.difference(&self.ended).next()
    }

    fn excuse(&mut self) {
        self.excused = self.crashes.clone();
    }
}

/// Whether a try may run now.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Permit {
    /// It may run on any target.
    Run,
    /// It may run on a target that runs no other suspect; the listed targets run one. The caller must write
    /// the value of [`Quarantine::suspicion`] to the table service first.
    RunAlone {
        /// Targets to exclude.
        excluded: Vec<TargetId>,
    },
    /// An equal request is running and has not ended.
    Wait,
    /// The request crashed several targets and is rejected.
    Quarantined {
        /// The crashes that count.
        crashes: Vec<Crash>,
    },
}

/// How a try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TryOutcome {
    /// The target responded.
    Succeeded,
    /// The target crashed.
    Crashed(Crash),
    /// The try ended for another reason.
    Other,
}

/// A running try.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Running {
    /// Identifier of the try.
    id: TryId,
    /// Target, once chosen.
    target: Option<TargetId>,
    /// When the try was permitted or recorded.
    started_at: Monotonic,
}

/// Grants permits for the fingerprints that one host owns, whichever host sends the request.
///
/// ```
/// use policy::{Crash, Permit, Quarantine, TryOutcome, TryId};
/// use std::time::Duration;
///
/// let mut quarantine = Quarantine::new(Duration::from_secs(60));
/// let bad = utils::digest(b"crashes its target");
/// for incarnation in 0..2 {
///     let id = TryId { host: "entry-1".into(), number: incarnation };
///     let permit = quarantine.permit(bad, &id, Duration::ZERO);
///     assert!(matches!(permit, Permit::Run | Permit::RunAlone { .. }));
///     let crash = Crash { target: "engine-1".into(), incarnation };
///     quarantine.record_end(bad, &id, &TryOutcome::Crashed(crash));
/// }
/// let id = TryId { host: "entry-2".into(), number: 0 };
/// let permit = quarantine.permit(bad, &id, Duration::ZERO);
/// assert!(matches!(permit, Permit::Quarantined { .. }));
/// ```
#[derive(Debug, Clone)]
pub struct Quarantine {
    /// Crash histories of fingerprints.
    suspicions: BTreeMap<Fingerprint, Suspicion>,
    /// The running try of each fingerprint, at most one.
    running: BTreeMap<Fingerprint, Running>,
    /// Tries that block no equal requests and matter only if their target crashes: those of removed hosts,
    /// which may still run, and those mirrored from another owner.
    orphans: Vec<(Fingerprint, Running)>,
    /// Fingerprints with a successful try; equal requests run without waiting for each other.
    known_good: BTreeSet<Fingerprint>,
    /// The fingerprints of `known_good`, oldest first.
    known_good_order: VecDeque<Fingerprint>,
    /// Time after which a try without a reported outcome no longer blocks equal requests.
    longest_try: Duration,
}

impl Quarantine {
    /// Creates an empty register. A try without a reported outcome stops blocking equal requests after
    /// `longest_try`.
    pub fn new(longest_try: Duration) -> Self {
        Self {
            suspicions: BTreeMap::new(),
            running: BTreeMap::new(),
            orphans: Vec::new(),
            known_good: BTreeSet::new(),
            known_good_order: VecDeque::new(),
            longest_try,
        }
    }

    /// Decides whether a host may run a request. Of equal requests the first runs; the others wait until it
    /// has ended.
    pub fn permit(&mut self, request: Fingerprint, id: &TryId, now: Monotonic) -> Permit {
        let suspicion = self.suspicions.get(&request);
        if let Some(found) = suspicion.filter(|s| s.is_quarantined()) {
            let crashes = found.crashes.difference(&found.excused).cloned().collect();
            return Permit::Quarantined { crashes };
        }
        let is_suspect = suspicion.is_some_and(Suspicion::is_suspect);
        if !is_suspect && self.known_good.contains(&request) {
            return Permit::Run;
        }
        let running = self.running.get(&request);
        if running.is_some_and(|r| now.saturating_sub(r.started_at) < self.longest_try) {
            return Permit::Wait;
        }
        let run = Running {
            id: id.clone(),
            target: None,
            started_at: now,
        };
        self.running.insert(request, run);
        if !is_suspect {
            return Permit::Run;
        }
        self.suspicions
            .entry(request)
            .or_default()
            .trials
            .insert(id.clone());
        Permit::RunAlone {
            excluded: self.targets_of_suspects(request),
        }
    }

    /// Records the target of a permitted try.
    pub fn set_target(&mut self, request: Fingerprint, target: &TargetId) {
        if let Some(running) = self.running.get_mut(&request) {
            running.target = Some(target.clone());
        }
    }

    /// Records, as the backup owner, a try that another host's register has permitted. It matters only if its
    /// target crashes.
    pub fn mirror(&mut self, request: Fingerprint, id: &TryId, target: &TargetId, now: Monotonic) {
        let run = Running {
            id: id.clone(),
            target: Some(target.clone()),
            started_at: now,
        };
        self.orphans.push((request, run));
    }

    /// Takes over the tries that a backup has mirrored, for the fingerprints that `owns` selects, as their
    /// new owner.
    pub fn adopt(&mut self, backup: &Self, owns: impl Fn(&Fingerprint) -> bool) {
        for (request, run) in backup.orphans.iter().filter(|(request, _)| owns(request)) {
            if self.running.contains_key(request) {
                self.orphans.push((*request, run.clone()));
            } else {
                self.running.insert(*request, run.clone());
            }
        }
    }

    /// Records how a try ended. Returns the changed history, which must reach the peers and the table service
    /// before the request runs again.
    pub fn record_end(
        &mut self,
        request: Fingerprint,
        id: &TryId,
        outcome: &TryOutcome,
    ) -> Option<Suspicion> {
        if self.running.get(&request).is_some_and(|r| r.id == *id) {
            self.running.remove(&request);
        }
        self.orphans
            .retain(|(other, run)| *other != request || run.id != *id);
        if *outcome == TryOutcome::Succeeded {
            self.mark_known_good(request);
        }
        if let TryOutcome::Crashed(crash) = outcome {
            self.add_crash(request, crash);
        }
        let suspicion = self.suspicions.get_mut(&request)?;
        if suspicion.trials.contains(id) {
            suspicion.ended.insert(id.clone());
        }
        if *outcome == TryOutcome::Succeeded {
            suspicion.excuse();
        }
        Some(suspicion.clone())
    }

    /// Records a crash of a target. All requests that run on it become suspects, also if their host was
    /// removed. Returns the changed histories for the peers and the table service.
    pub fn record_crash(&mut self, crash: &Crash) -> Vec<(Fingerprint, Suspicion)> {
        let running = self
            .running
            .iter()
            .chain(self.orphans.iter().map(|(request, run)| (request, run)));
        let affected = running.filter(|(_, run)| run.target.as_ref() == Some(&crash.target));
        let affected: BTreeSet<Fingerprint> = affected.map(|(request, _)| *request).collect();
        self.orphans
            .retain(|(_, run)| run.target.as_ref() != Some(&crash.target));
        let changed = affected
            .into_iter()
            .map(|request| (request, self.add_crash(request, crash)));
        changed.collect()
    }

    /// Records that a host was removed. Its tries no longer block equal requests, except those of suspects.
    pub fn remove_host(&mut self, host: &HostId, now: Monotonic) {
        let longest_try = self.longest_try;
        self.orphans
            .retain(|(_, run)| now.saturating_sub(run.started_at) < longest_try);
        let suspicions = &self.suspicions;
        let is_suspect = |request: &Fingerprint| suspicions.get(request).is_some_and(Suspicion::is_suspect);
        let orphaned = self
            .running
            .extract_if(.., |request, run| run.id.host == *host && !is_suspect(request));
        self.orphans.extend(orphaned);
    }

    fn add_crash(&mut self, request: Fingerprint, crash: &Crash) -> Suspicion {
        self.known_good.remove(&request);
        let suspicion = self.suspicions.entry(request).or_default();
        suspicion.crashes.insert(crash.clone());
        suspicion.clone()
    }

    /// Merges the history of a fingerprint from a peer or the table service. A trial that is still running
    /// blocks equal requests.
    pub fn merge(&mut self, request: Fingerprint, other: &Suspicion, now: Monotonic) {
        let suspicion = self.suspicions.entry(request).or_default();
        suspicion.merge(other);
        let running = self.running.get(&request);
        if running.is_some_and(|run| suspicion.ended.contains(&run.id)) {
            self.running.remove(&request);
        }
        if let Some(trial) = suspicion.open_trial() {
            let run = Running {
                id: trial.clone(),
                target: None,
                started_at: now,
            };
            self.running.entry(request).or_insert(run);
        }
    }

    /// Drops the history of a fingerprint whose row in the table service was deleted. Its trials no longer
    /// block equal requests.
    pub fn forget(&mut self, request: &Fingerprint) {
        let Some(suspicion) = self.suspicions.remove(request) else {
            return;
        };
        let running = self.running.get(request);
        if running.is_some_and(|run| suspicion.trials.contains(&run.id)) {
            self.running.remove(request);
        }
    }

    /// Returns the target that runs a request, unless the request is suspect. Equal requests may share the
    /// target instead of waiting: its crash counts once, however many of them run on it.
    pub fn shared_target(&self, request: &Fingerprint) -> Option<&TargetId> {
        if self.suspicion(request).is_some_and(Suspicion::is_suspect) {
            return None;
        }
        self.running.get(request)?.target.as_ref()
    }

    /// Iterates over the fingerprints with crashes that count.
    pub fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &Suspicion)> {
        self.suspicions.iter().filter(|(_, s)| s.is_suspect())
    }

    /// Returns the crash history of a fingerprint.
    pub fn suspicion(&self, request: &Fingerprint) -> Option<&Suspicion> {
        self.suspicions.get(request)
    }

    /// Iterates over the fingerprints that are quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = &Fingerprint> {
        let quarantined = self.suspicions.iter().filter(|(_, s)| s.is_quarantined());
        quarantined.map(|(request, _)| request)
    }

    fn mark_known_good(&mut self, request: Fingerprint) {
        if self.known_good.insert(request) {
            self.known_good_order.push_back(request);
        }
        while self.known_good_order.len() > MAX_KNOWN_GOOD {
            let oldest = self.known_good_order.pop_front();
            oldest.map(|request| self.known_good.remove(&request));
        }
    }

    /// Returns the targets that run a suspect of this register, except for the given fingerprint. Peers
    /// exclude these targets for their own suspects.
    pub fn targets_of_suspects(&self, except: Fingerprint) -> Vec<TargetId> {
        let suspects = self.running.iter().filter(|(request, _)| {
            let suspicion = self.suspicions.get(request);
            **request != except && suspicion.is_some_and(Suspicion::is_suspect)
        });
        suspects.filter_map(|(_, run)| run.target.clone()).collect()
    }
}
