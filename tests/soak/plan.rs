use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{EngineMode, Link};

/// Share of a run, from its start, in which there is only planned work.
const PLANNED_SHARE: f64 = 0.35;
/// Interval between the starts of two disruptions, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 60..500;
/// Duration of a disruption, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 150..1_800;
/// Interval between the starts of two steps of [`load_steps`], in milliseconds.
const LOAD_INTERVAL_MS: std::ops::Range<u64> = 500..2_000;
/// Separates the random numbers of [`load_steps`] from those of the other steps.
const LOAD_STEPS_STREAM: u64 = 1 << 63;
/// Duration of a pause of a process, in milliseconds. Long pauses exceed its leases, which other hosts then
/// take over.
const PROCESS_PAUSE_MS: std::ops::Range<u64> = 150..4_000;

/// Number of hosts, engines and callers of a run, and its duration.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub hosts: usize,
    pub engines: usize,
    pub callers: usize,
    pub duration: Duration,
}

/// Planned work or a fault that is injected in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Disruption {
    /// Sends SIGTERM to a host and starts a new process after its exit.
    Term(usize),
    /// Sends SIGHUP to a host.
    Hup(usize),
    /// Writes a new declaration of routes, workspaces and services.
    Declare,
    /// Declares a new weight version.
    DeclareWeights,
    /// Sends SIGKILL to a host and starts a new process.
    Kill(usize),
    /// Sends SIGSTOP to a host, and SIGCONT at the end of the duration.
    Pause(usize),
    /// Declares new weights and pauses a host, as [`Disruption::Pause`] does, while engines load them.
    PauseDuringLoad(usize),
    /// Sets the state of a host's link to the store.
    StoreLink(usize, Link),
    /// The store rejects every call.
    StoreRejects,
    /// The store discards its history of changes.
    StoreCompacts,
    /// Sets the state of the link to an engine.
    EngineLink(usize, Link),
    /// Sets how an engine treats requests.
    EngineMode(usize, EngineMode),
    /// An engine restarts under the same name.
    EngineRestarts(usize),
    /// Another engine replaces an engine at the same address.
    EngineReplaced(usize),
    /// An engine's entry is missing from the store for the duration.
    EntryLapses(usize),
    /// Callers hold connections to a host whose request bodies stop short of their end.
    StalledBodies(usize),
    /// The operator evacuates the failure domain of the engines.
    Evacuate,
    /// An engine's entry says that it is cold.
    EngineCold(usize),
}

impl Disruption {
    /// Whether it is planned work, during which no answer may be lost.
    pub(crate) fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Term(_) | Self::Hup(_) | Self::Declare | Self::DeclareWeights | Self::Evacuate
        )
    }
}

/// A disruption in the plan of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Step {
    /// Start, as time since the start of the run.
    pub at: Duration,
    /// Time until the disruption is reverted.
    pub duration: Duration,
    pub disruption: Disruption,
}

/// Returns the disruptions of a seed, ordered by start. They overlap; the first part of the run has only
/// planned work.
pub(crate) fn plan(seed: u64, size: Size) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_millis(400);
    let mut steps = Vec::new();
    while at < size.duration {
        let is_planned = at < size.duration.mul_f64(PLANNED_SHARE);
        let disruption = choose_disruption(&mut rng, size, is_planned);
        let duration = match disruption {
            Disruption::Pause(_) | Disruption::PauseDuringLoad(_) => PROCESS_PAUSE_MS,
            _ => DURATION_MS,
        };
        steps.push(Step {
            at,
            duration: Duration::from_millis(rng.random_range(duration)),
            disruption,
        });
        at += Duration::from_millis(rng.random_range(INTERVAL_MS));
    }
    steps.extend(load_steps(seed, size));
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns the steps that limit where requests may run, or hold resources of a host. A generator of their own keeps the
/// other steps of a seed as they were.
fn load_steps(seed: u64, size: Size) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LOAD_STEPS_STREAM);
    let mut at = Duration::from_millis(rng.random_range(LOAD_INTERVAL_MS));
    let mut steps = Vec::new();
    while at < size.duration {
        let disruption = match rng.random_range(0..3) {
            0 => Disruption::StalledBodies(rng.random_range(0..size.hosts)),
            1 => Disruption::Evacuate,
            _ => Disruption::EngineCold(rng.random_range(0..size.engines)),
        };
        steps.push(Step {
            at,
            duration: Duration::from_millis(rng.random_range(DURATION_MS)),
            disruption,
        });
        at += Duration::from_millis(rng.random_range(LOAD_INTERVAL_MS));
    }
    steps
}

fn choose_disruption(rng: &mut impl Rng, size: Size, is_planned: bool) -> Disruption {
    let host = rng.random_range(0..size.hosts);
    let engine = rng.random_range(0..size.engines);
    let slow = Link::Slow(Duration::from_millis(rng.random_range(20..400)));
    let link = [slow, Link::Stalled, Link::OneWay, Link::Down][rng.random_range(0..4)];
    let modes = [
        EngineMode::Failing,
        EngineMode::Truncating,
        EngineMode::Unsolicited,
        EngineMode::Closing,
        EngineMode::Rejecting,
    ];
    let kinds = if is_planned { 5 } else { 16 };
    match rng.random_range(0..kinds) {
        0 | 1 => Disruption::Term(host),
        2 => Disruption::Hup(host),
        3 => Disruption::Declare,
        4 => Disruption::DeclareWeights,
        5 => Disruption::Kill(host),
        6 => Disruption::Pause(host),
        7 | 8 => Disruption::StoreLink(host, link),
        9 => Disruption::StoreRejects,
        10 => Disruption::StoreCompacts,
        11 => Disruption::EngineLink(engine, link),
        12 => Disruption::EngineMode(engine, modes[rng.random_range(0..modes.len())]),
        13 if rng.random() => Disruption::EngineRestarts(engine),
        13 => Disruption::EngineReplaced(engine),
        14 => Disruption::PauseDuringLoad(host),
        _ => Disruption::EntryLapses(engine),
    }
}
