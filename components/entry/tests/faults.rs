//! Drafts under faults of engines, alone and in pairs: every answer is whole, or its problem is true.

mod common;

use common::{Caller, MILL_KEY, MODEL, World, WorldConfig, body};
use futures_lite::StreamExt;
use smol::block_on;
use standins::{Answer, EngineFaults, Odds};
use std::time::Duration;

/// Drafts sent under each pair of faults.
const DRAFTS: usize = 24;
/// Drafts open at once.
const AT_ONCE: usize = 8;
/// Tokens of each answer.
const TOKENS: u32 = 25;
/// Share of drafts that a fault hits.
const SHARE: f64 = 0.25;

/// A fault of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Late,
    Crossed,
    CutShort,
    WrongCount,
    Duplicate,
    Silent,
    Crash,
}

const ALL: [Fault; 7] = [
    Fault::Late,
    Fault::Crossed,
    Fault::CutShort,
    Fault::WrongCount,
    Fault::Duplicate,
    Fault::Silent,
    Fault::Crash,
];

impl Fault {
    fn set(self, faults: &mut EngineFaults) {
        let odds = Odds::share(SHARE);
        match self {
            Self::Late => (faults.late, faults.late_ms) = (odds, 300),
            Self::Crossed => faults.cross_answers = odds,
            Self::CutShort => faults.cut_short = odds,
            Self::WrongCount => faults.wrong_count = odds,
            Self::Duplicate => faults.duplicate_events = odds,
            Self::Silent | Self::Crash => {}
        }
    }

    /// Hits one engine in the middle of the run.
    async fn strike(self, world: &World) {
        smol::Timer::after(Duration::from_millis(30)).await;
        match self {
            Self::Silent => world.engines[0].silence(),
            Self::Crash => world.engines[1].crash(),
            _ => {}
        }
    }
}

/// What came of the drafts under a pair of faults.
#[derive(Debug, Default)]
struct Counts {
    whole: usize,
    cut: usize,
    refused: usize,
}

async fn one(world: &World, caller: &Caller, prompt: String) -> (usize, usize, usize) {
    let streamed = caller.stream(&body(&prompt, TOKENS), None).await;
    let right = Answer::new(MODEL, 1, &prompt);
    assert!(
        right.text(TOKENS).starts_with(&streamed.text),
        "wrong text for {prompt}"
    );
    if streamed.done {
        assert_eq!(streamed.text, right.text(TOKENS), "{prompt}");
        return (1, 0, 0);
    }
    let problem = streamed
        .problem
        .unwrap_or_else(|| panic!("{prompt} ended without a word"));
    let digest = utils::digest(prompt.as_bytes());
    let ran = world
        .engines
        .iter()
        .any(|e| e.state().record().drafts.iter().any(|d| d.prompt == digest));
    if problem.outcome == errors::Outcome::NotRun {
        assert!(!ran, "{prompt} ran, the caller was told not-run");
        return (0, 0, 1);
    }
    (0, 1, 0)
}

async fn all(world: &World, pair: (Fault, Fault)) -> Counts {
    let caller = world.caller(0, MILL_KEY);
    let mut counts = Counts::default();
    let mut drafts = futures_lite::stream::iter(0..DRAFTS);
    while let Some(first) = drafts.next().await {
        let mut batch = vec![first];
        while batch.len() < AT_ONCE
            && let Some(next) = drafts.next().await
        {
            batch.push(next);
        }
        let ex = smol::LocalExecutor::new();
        let caller = &caller;
        let tasks: Vec<_> = batch
            .iter()
            .map(|n| ex.spawn(one(world, caller, format!("{pair:?} draft {n}"))))
            .collect();
        ex.run(async {
            for task in tasks {
                let (whole, cut, refused) = task.await;
                counts.whole += whole;
                counts.cut += cut;
                counts.refused += refused;
            }
        })
        .await;
    }
    counts
}

#[test]
fn every_pair_of_engine_faults_leaves_whole_answers_or_true_problems() {
    let cfg = WorldConfig {
        hosts: 1,
        engines: 3,
        progress: Duration::from_millis(100),
        ..WorldConfig::default()
    };
    let mut total = Counts::default();
    for (i, first) in ALL.into_iter().enumerate() {
        for second in ALL.into_iter().skip(i) {
            let world = World::start(&cfg);
            let mut faults = EngineFaults::default();
            first.set(&mut faults);
            second.set(&mut faults);
            world
                .engines
                .iter()
                .for_each(|e| e.state().set_faults(faults.clone()));
            let strikes = async {
                first.strike(&world).await;
                second.strike(&world).await;
            };
            let (counts, ()) = block_on(futures_lite::future::zip(all(&world, (first, second)), strikes));
            println!("{first:?} with {second:?}: {counts:?}");
            total.whole += counts.whole;
            total.cut += counts.cut;
            total.refused += counts.refused;
            world.stop();
        }
    }
    println!("in all: {total:?}");
    assert_eq!(total.whole + total.cut + total.refused, DRAFTS * 28);
}
