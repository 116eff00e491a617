//! Prints the memory per piece and the duration of lookups: `cargo run --release -p directory --example
//! measure`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use directory::{Chain, Directory, PIECE_BYTES, PieceScope, WorkspaceKey};
use policy::{CacheIndex, CandidateKey};
use slotmap::SlotMap;
use targets::{CacheSnapshot, PieceId};

/// Number of pieces in a chain.
const CHAIN: usize = 16;

/// Number of chains in the directory.
const CHAINS: usize = 40_000;

/// Number of targets; each chain is on one or two of them.
const TARGETS: usize = 20;

fn main() {
    let chains: Vec<Vec<PieceId>> = (0..CHAINS).map(chain).collect();
    let mut keys = SlotMap::<CandidateKey, ()>::with_key();
    let mut directory = Directory::default();
    for target in 0..TARGETS {
        let held = chains
            .iter()
            .enumerate()
            .filter(|(n, _)| n % TARGETS == target || n % 7 == target);
        let snapshot = CacheSnapshot {
            incarnation: 1,
            next: 0,
            pieces: held.flat_map(|(_, c)| c.iter().copied()).collect(),
        };
        directory.apply_snapshot(keys.insert(()), &snapshot);
    }
    let footprint = directory.footprint();
    let each = footprint.bytes as f64 / footprint.pieces as f64;
    println!("pieces {}, bytes a piece {each:.1}", footprint.pieces);
    time_lookups(&directory, &chains);
    time_naming();
}

/// Returns a chain of distinct names that share their leading bytes, as those of [`Chain`] do. The prompt's
/// text is irrelevant here.
fn chain(number: usize) -> Vec<PieceId> {
    let root = utils::digest(&number.to_le_bytes());
    let name = |index: usize| {
        let mut bytes = *utils::digest(format!("{number}/{index}").as_bytes()).as_bytes();
        bytes[..2].copy_from_slice(&root.as_bytes()[..2]);
        PieceId::from(bytes)
    };
    (0..CHAIN).map(name).collect()
}

fn time_lookups(directory: &Directory, chains: &[Vec<PieceId>]) {
    let view = directory.view();
    for (name, count) in [("64 prompts", 64), ("625 prompts", 625), ("all prompts", CHAINS)] {
        let rounds = 400_000;
        let mut total = Duration::ZERO;
        for round in 0..rounds {
            let chain = chains[round * 7_919 % count].clone();
            let start = Instant::now();
            black_box(view.copies(black_box(&chain)));
            total += start.elapsed();
        }
        let nanos = total.as_nanos() as f64 / rounds as f64;
        println!("lookup of {CHAIN} pieces, {name}: {nanos:.0} ns");
    }
}

fn time_naming() {
    let key = WorkspaceKey::new(&utils::digest(b"secret"), "agents");
    let scope = PieceScope {
        model: "quotes",
        adapter: None,
        weight_version: 1,
    };
    let text = "s".repeat(CHAIN * PIECE_BYTES);
    let rounds = 1_000;
    let start = Instant::now();
    for _ in 0..rounds {
        black_box(Chain::new(&key, scope, &text));
    }
    let micros = start.elapsed().as_micros() as f64 / f64::from(rounds);
    println!("names of {CHAIN} pieces: {micros:.1} us");
}
