//! Drafts under engine faults, alone and in pairs: each answer is whole or ends with a correct problem.

mod common;

use common::{Caller, Cluster, ClusterConfig, MILL_KEY, MODEL, body};
use futures_lite::StreamExt;
use smol::block_on;
use standins::{Answer, EngineFaults, Odds};
use std::time::Duration;

/// Number of drafts under each pair of faults.
const DRAFTS: usize = 24;
/// Number of drafts in flight at once.
const MAX_CONCURRENT: usize = 8;
/// Number of tokens of each answer.
const TOKENS: u32 = 25;
/// Share of the drafts that a fault affects.
const FAULT_SHARE: f64 = 0.25;

/// An engine fault.
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

const ALL_FAULTS: [Fault; 7] = [
    Fault::Late,
    Fault::Crossed,
    Fault::CutShort,
    Fault::WrongCount,
    Fault::Duplicate,
    Fault::Silent,
    Fault::Crash,
];

impl Fault {
    /// Configures the fault, if it is one that affects a share of the drafts.
    fn set(self, faults: &mut EngineFaults) {
        let odds = Odds::share(FAULT_SHARE);
        match self {
            Self::Late => (faults.late, faults.late_ms) = (odds, 300),
            Self::Crossed => faults.cross_answers = odds,
            Self::CutShort => faults.cut_short = odds,
            Self::WrongCount => faults.wrong_count = odds,
            Self::Duplicate => faults.duplicate_events = odds,
            Self::Silent | Self::Crash => {}
        }
    }

    /// Injects the fault into an engine during the run, if it is one that affects a whole engine.
    async fn inject(self, cluster: &Cluster) {
        smol::Timer::after(Duration::from_millis(30)).await;
        match self {
            Self::Silent => cluster.engines[0].silence(),
            Self::Crash => cluster.engines[1].crash(),
            _ => {}
        }
    }
}

/// Number of drafts by result.
#[derive(Debug, Default)]
struct Counts {
    whole: usize,
    cut: usize,
    refused: usize,
}

async fn check_draft(cluster: &Cluster, caller: &Caller, prompt: String) -> (usize, usize, usize) {
    let streamed = caller.stream(&body(&prompt, TOKENS), None).await;
    let expected = Answer::new(MODEL, 1, &prompt);
    assert!(
        expected.text(TOKENS).starts_with(&streamed.text),
        "wrong text for {prompt}"
    );
    if streamed.done {
        assert_eq!(streamed.text, expected.text(TOKENS), "{prompt}");
        return (1, 0, 0);
    }
    let problem = streamed
        .problem
        .unwrap_or_else(|| panic!("{prompt} ended without a problem"));
    let digest = utils::digest(prompt.as_bytes());
    let ran = cluster
        .engines
        .iter()
        .any(|e| e.state().record().drafts.iter().any(|d| d.prompt == digest));
    if problem.outcome == errors::Outcome::NotRun {
        assert!(!ran, "{prompt} ran, the caller received not-run");
        return (0, 0, 1);
    }
    (0, 1, 0)
}

async fn check_drafts(cluster: &Cluster, pair: (Fault, Fault)) -> Counts {
    let caller = cluster.caller(0, MILL_KEY);
    let mut counts = Counts::default();
    let mut drafts = futures_lite::stream::iter(0..DRAFTS);
    while let Some(first) = drafts.next().await {
        let mut batch = vec![first];
        while batch.len() < MAX_CONCURRENT
            && let Some(next) = drafts.next().await
        {
            batch.push(next);
        }
        let ex = smol::LocalExecutor::new();
        let caller = &caller;
        let tasks: Vec<_> = batch
            .iter()
            .map(|n| ex.spawn(check_draft(cluster, caller, format!("{pair:?} draft {n}"))))
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
fn every_pair_of_engine_faults_gives_whole_answers_or_correct_problems() {
    let cfg = ClusterConfig {
        hosts: 1,
        engines: 3,
        progress: Duration::from_millis(100),
        ..ClusterConfig::default()
    };
    let mut total = Counts::default();
    for (i, first) in ALL_FAULTS.into_iter().enumerate() {
        for second in ALL_FAULTS.into_iter().skip(i) {
            let cluster = Cluster::start(&cfg);
            let mut faults = EngineFaults::default();
            first.set(&mut faults);
            second.set(&mut faults);
            cluster
                .engines
                .iter()
                .for_each(|e| e.state().set_faults(faults.clone()));
            let injection = async {
                first.inject(&cluster).await;
                second.inject(&cluster).await;
            };
            let (counts, ()) = block_on(futures_lite::future::zip(
                check_drafts(&cluster, (first, second)),
                injection,
            ));
            println!("{first:?} with {second:?}: {counts:?}");
            total.whole += counts.whole;
            total.cut += counts.cut;
            total.refused += counts.refused;
            cluster.stop();
        }
    }
    println!("in all: {total:?}");
    assert_eq!(total.whole + total.cut + total.refused, DRAFTS * 28);
}
