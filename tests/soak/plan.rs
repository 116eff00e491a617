use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{EngineMode, Link};

/// Part of a run in which there is only planned work.
const PLANNED_PART: f64 = 0.35;
/// Pause between troubles, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 60..500;
/// Length of a trouble, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 150..1_800;
/// Length of a pause of a process, in milliseconds: long enough for others to take over what it held.
const PAUSE_LENGTH_MS: std::ops::Range<u64> = 150..4_000;

/// Size and length of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub hosts: usize,
    pub engines: usize,
    pub callers: usize,
    pub length: Duration,
}

/// Something that happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// SIGTERM, and a new process once it has ended.
    Term(usize),
    /// SIGHUP.
    Hup(usize),
    /// Another declaration.
    Declare,
    /// New weights.
    NameWeights,
    /// SIGKILL, and a new process.
    Kill(usize),
    /// SIGSTOP, and SIGCONT.
    Pause(usize),
    /// As [`Trouble::Pause`], with new weights named right before.
    PauseInLoad(usize),
    /// A host's line to the store.
    StoreLine(usize, Link),
    /// The store turns all away.
    StoreRefuses,
    /// The store forgets its history.
    StoreForgets,
    /// The line to an engine.
    EngineLine(usize, Link),
    /// What an engine does to requests.
    EngineMood(usize, EngineMode),
    /// An engine restarts under its name.
    EngineRestarts(usize),
    /// An engine is replaced by another one at its address.
    EngineReplaced(usize),
    /// An engine's entry is missing for a while.
    EntryLapses(usize),
}

impl Trouble {
    /// Whether it is planned work, beside which no request may be lost.
    pub(crate) fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Term(_) | Self::Hup(_) | Self::Declare | Self::NameWeights
        )
    }
}

/// A trouble, when it begins and how long it lasts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Step {
    pub at: Duration,
    pub length: Duration,
    pub trouble: Trouble,
}

/// The troubles of a seed, by time. They overlap; first there is only planned work.
pub(crate) fn plan(seed: u64, size: Size) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_millis(400);
    let mut steps = Vec::new();
    while at < size.length {
        let is_planned = at < size.length.mul_f64(PLANNED_PART);
        let trouble = draw(&mut rng, size, is_planned);
        let length = match trouble {
            Trouble::Pause(_) | Trouble::PauseInLoad(_) => PAUSE_LENGTH_MS,
            _ => LENGTH_MS,
        };
        steps.push(Step {
            at,
            length: Duration::from_millis(rng.random_range(length)),
            trouble,
        });
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
    }
    steps
}

fn draw(rng: &mut impl Rng, size: Size, is_planned: bool) -> Trouble {
    let host = rng.random_range(0..size.hosts);
    let engine = rng.random_range(0..size.engines);
    let slow = Link::Slow(Duration::from_millis(rng.random_range(20..400)));
    let line = [slow, Link::Stalled, Link::OneWay, Link::Down][rng.random_range(0..4)];
    let moods = [
        EngineMode::Failing,
        EngineMode::Truncating,
        EngineMode::Unsolicited,
        EngineMode::Closing,
        EngineMode::Rejecting,
    ];
    let kinds = if is_planned { 5 } else { 16 };
    match rng.random_range(0..kinds) {
        0 | 1 => Trouble::Term(host),
        2 => Trouble::Hup(host),
        3 => Trouble::Declare,
        4 => Trouble::NameWeights,
        5 => Trouble::Kill(host),
        6 => Trouble::Pause(host),
        7 | 8 => Trouble::StoreLine(host, line),
        9 => Trouble::StoreRefuses,
        10 => Trouble::StoreForgets,
        11 => Trouble::EngineLine(engine, line),
        12 => Trouble::EngineMood(engine, moods[rng.random_range(0..moods.len())]),
        13 if rng.random() => Trouble::EngineRestarts(engine),
        13 => Trouble::EngineReplaced(engine),
        14 => Trouble::PauseInLoad(host),
        _ => Trouble::EntryLapses(engine),
    }
}
