use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::{Digest, HostId, Incarnation, Monotonic, TargetId};

/// Crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Fingerprints that are remembered because a try ended well.
const PROVEN: usize = 100_000;

/// Names a request by workspace and body, whoever sends it and wherever.
pub type Fingerprint = Digest;

/// Fingerprint of a request under a key that all hosts share.
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

/// One crash of one target.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The target.
    pub target: TargetId,
    /// The run of the target's process that ended.
    pub incarnation: Incarnation,
}

/// One try of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TryId {
    /// Host that sends it.
    pub host: HostId,
    /// Number that the host gives to no other try.
    pub number: u64,
}

/// What is known about one fingerprint. Merging is commutative, associative and idempotent, so that copies from peers and
/// from the table service may come in any order and twice.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Suspicion {
    /// Crashes with the request aboard.
    pub crashes: BTreeSet<Crash>,
    /// Those that a later success has excused.
    pub excused: BTreeSet<Crash>,
    /// Tries that ran alone among suspects.
    pub trials: BTreeSet<TryId>,
    /// Those of them that have ended.
    pub ended: BTreeSet<TryId>,
}

impl Suspicion {
    /// Crashes that count.
    pub fn crash_count(&self) -> usize {
        self.crashes.difference(&self.excused).count()
    }

    /// Whether the request was aboard a target that crashed.
    pub fn is_suspect(&self) -> bool {
        self.crash_count() > 0
    }

    /// Whether the request may not run any more.
    pub fn is_quarantined(&self) -> bool {
        self.crash_count() >= CRASHES_TO_QUARANTINE
    }

    /// Adds what another host knows.
    pub fn merge(&mut self, other: &Self) {
        self.crashes.extend(other.crashes.iter().cloned());
        self.excused.extend(other.excused.iter().cloned());
        self.trials.extend(other.trials.iter().cloned());
        self.ended.extend(other.ended.iter().cloned());
    }

    /// The try that runs alone, as far as is known.
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
    /// It may run on a target that runs no other suspect; the listed targets run one. What [`Quarantine::suspicion`]
    /// says of it must be written to the table service first.
    RunAlone {
        /// Targets to leave out.
        excluded: Vec<TargetId>,
    },
    /// The same request runs elsewhere and has not ended yet.
    Wait,
    /// It crashed targets and may not run.
    Quarantined {
        /// The crashes.
        crashes: Vec<Crash>,
    },
}

/// How a try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TryOutcome {
    /// The target answered.
    Succeeded,
    /// The target crashed.
    Crashed(Crash),
    /// It was given up for another reason.
    Other,
}

/// A try that runs.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Running {
    /// The try.
    id: TryId,
    /// Target, once it is chosen.
    target: Option<TargetId>,
    /// When the permit was given.
    since: Monotonic,
}

/// The fingerprints that one host owns: it gives the permits for them, whichever host sends the request.
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
    /// Fingerprints that were aboard a target that crashed.
    suspicions: BTreeMap<Fingerprint, Suspicion>,
    /// The one try of each fingerprint that runs.
    running: BTreeMap<Fingerprint, Running>,
    /// Tries whose host is gone; their targets may still run them.
    orphans: Vec<(Fingerprint, Running)>,
    /// Fingerprints of which a try ended well; equal requests need not wait for each other.
    proven: BTreeSet<Fingerprint>,
    /// The same, oldest first.
    proven_order: VecDeque<Fingerprint>,
    /// Time after which a try that was not reported counts as ended with its host.
    longest_try: Duration,
}

impl Quarantine {
    /// An empty register. A try that is not reported within `longest_try` no longer keeps others waiting.
    pub fn new(longest_try: Duration) -> Self {
        Self {
            suspicions: BTreeMap::new(),
            running: BTreeMap::new(),
            orphans: Vec::new(),
            proven: BTreeSet::new(),
            proven_order: VecDeque::new(),
            longest_try,
        }
    }

    /// Asks whether a host may run a request. The first of equal requests runs; the others wait until it has ended.
    pub fn permit(&mut self, request: Fingerprint, id: &TryId, now: Monotonic) -> Permit {
        let suspicion = self.suspicions.get(&request);
        if let Some(found) = suspicion.filter(|s| s.is_quarantined()) {
            let crashes = found.crashes.difference(&found.excused).cloned().collect();
            return Permit::Quarantined { crashes };
        }
        let is_suspect = suspicion.is_some_and(Suspicion::is_suspect);
        if !is_suspect && self.proven.contains(&request) {
            return Permit::Run;
        }
        let running = self.running.get(&request);
        if running.is_some_and(|r| now.saturating_sub(r.since) < self.longest_try) {
            return Permit::Wait;
        }
        let run = Running {
            id: id.clone(),
            target: None,
            since: now,
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

    /// Notes the target that a permitted try goes to.
    pub fn set_target(&mut self, request: Fingerprint, target: &TargetId) {
        if let Some(running) = self.running.get_mut(&request) {
            running.target = Some(target.clone());
        }
    }

    /// Notes a try that another host's register has permitted, as its backup: only a crash of the target matters here.
    pub fn mirror(&mut self, request: Fingerprint, id: &TryId, target: &TargetId, now: Monotonic) {
        let run = Running {
            id: id.clone(),
            target: Some(target.clone()),
            since: now,
        };
        self.orphans.push((request, run));
    }

    /// Takes over, as the new owner of what `owns` names, the tries that a backup has mirrored for the old one.
    pub fn adopt(&mut self, backup: &Self, owns: impl Fn(&Fingerprint) -> bool) {
        for (request, run) in backup.orphans.iter().filter(|(request, _)| owns(request)) {
            if self.running.contains_key(request) {
                self.orphans.push((*request, run.clone()));
            } else {
                self.running.insert(*request, run.clone());
            }
        }
    }

    /// Notes how a try ended. Returns what peers and the table service must know before the request runs again.
    pub fn record_end(&mut self, request: Fingerprint, id: &TryId, end: &TryOutcome) -> Option<Suspicion> {
        if self.running.get(&request).is_some_and(|r| r.id == *id) {
            self.running.remove(&request);
        }
        self.orphans
            .retain(|(other, run)| *other != request || run.id != *id);
        if *end == TryOutcome::Succeeded {
            self.remember(request);
        }
        if let TryOutcome::Crashed(crash) = end {
            self.suspect(request, crash);
        }
        let suspicion = self.suspicions.get_mut(&request)?;
        if suspicion.trials.contains(id) {
            suspicion.ended.insert(id.clone());
        }
        if *end == TryOutcome::Succeeded {
            suspicion.excuse();
        }
        Some(suspicion.clone())
    }

    /// Notes that a target crashed: whatever runs on it is suspect, also if the host that sent it is gone. Returns what
    /// peers and the table service must know.
    pub fn record_crash(&mut self, crash: &Crash) -> Vec<(Fingerprint, Suspicion)> {
        let running = self
            .running
            .iter()
            .chain(self.orphans.iter().map(|(request, run)| (request, run)));
        let aboard = running.filter(|(_, run)| run.target.as_ref() == Some(&crash.target));
        let aboard: BTreeSet<Fingerprint> = aboard.map(|(request, _)| *request).collect();
        self.orphans
            .retain(|(_, run)| run.target.as_ref() != Some(&crash.target));
        let news = aboard
            .into_iter()
            .map(|request| (request, self.suspect(request, crash)));
        news.collect()
    }

    /// Notes that a host is gone. Its tries no longer keep equal ones waiting, unless they are suspects.
    pub fn lose_host(&mut self, host: &HostId, now: Monotonic) {
        let longest_try = self.longest_try;
        self.orphans
            .retain(|(_, run)| now.saturating_sub(run.since) < longest_try);
        let suspicions = &self.suspicions;
        let is_suspect = |request: &Fingerprint| suspicions.get(request).is_some_and(Suspicion::is_suspect);
        let lost = self
            .running
            .extract_if(.., |request, run| run.id.host == *host && !is_suspect(request));
        self.orphans.extend(lost);
    }

    fn suspect(&mut self, request: Fingerprint, crash: &Crash) -> Suspicion {
        self.proven.remove(&request);
        let suspicion = self.suspicions.entry(request).or_default();
        suspicion.crashes.insert(crash.clone());
        suspicion.clone()
    }

    /// Takes what a peer or the table service knows about a fingerprint. A trial that runs keeps equal ones waiting.
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
                since: now,
            };
            self.running.entry(request).or_insert(run);
        }
    }

    /// Drops what is known about a fingerprint, since its row in the table is gone. Its trials keep nobody waiting.
    pub fn forget(&mut self, request: &Fingerprint) {
        let Some(suspicion) = self.suspicions.remove(request) else {
            return;
        };
        let running = self.running.get(request);
        if running.is_some_and(|run| suspicion.trials.contains(&run.id)) {
            self.running.remove(request);
        }
    }

    /// The target that runs a request that is not suspect; equal requests may share it instead of waiting, since its
    /// crash is one crash, however many of them are aboard.
    pub fn shared_target(&self, request: &Fingerprint) -> Option<&TargetId> {
        if self.suspicion(request).is_some_and(Suspicion::is_suspect) {
            return None;
        }
        self.running.get(request)?.target.as_ref()
    }

    /// Everything that is known about fingerprints that count crashes.
    pub fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &Suspicion)> {
        self.suspicions.iter().filter(|(_, s)| s.is_suspect())
    }

    /// What is known about a fingerprint.
    pub fn suspicion(&self, request: &Fingerprint) -> Option<&Suspicion> {
        self.suspicions.get(request)
    }

    /// Fingerprints that may not run.
    pub fn quarantined(&self) -> impl Iterator<Item = &Fingerprint> {
        let bad = self.suspicions.iter().filter(|(_, s)| s.is_quarantined());
        bad.map(|(request, _)| request)
    }

    fn remember(&mut self, request: Fingerprint) {
        if self.proven.insert(request) {
            self.proven_order.push_back(request);
        }
        while self.proven_order.len() > PROVEN {
            let oldest = self.proven_order.pop_front();
            oldest.map(|request| self.proven.remove(&request));
        }
    }

    /// Targets that run a suspect of this register, for the peers: their suspects leave these targets out too.
    pub fn targets_of_suspects(&self, except: Fingerprint) -> Vec<TargetId> {
        let suspects = self.running.iter().filter(|(request, _)| {
            let suspicion = self.suspicions.get(request);
            **request != except && suspicion.is_some_and(Suspicion::is_suspect)
        });
        suspects.filter_map(|(_, run)| run.target.clone()).collect()
    }
}
