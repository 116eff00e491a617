use directory::Directory;
use policy::{CacheIndex, CandidateKey};
use slotmap::SlotMap;
use targets::{CacheSnapshot, PieceId};

use crate::size::{HOSTS, PIECES_PER_PROMPT, PROMPTS, SHARD_COPIES, Scale};
use crate::{Budget, Meter, Row, Sample};

/// Pieces in a chain, that is, in the prompt of a lookup.
const CHAIN_PIECES: usize = 16;
/// Leading bytes of an identifier that all pieces of a prompt share.
const SHARED_PREFIX_BYTES: usize = 2;
/// Targets that hold each piece.
const HOLDERS: usize = 2;
/// Targets over which the chains are distributed.
const TARGETS: usize = 20;

/// Measures the memory of a directory shard and the time of a lookup.
pub(crate) fn measure(scale: Scale, meter: &Meter<'_>) -> Vec<Row> {
    let mut memory = Vec::new();
    let mut lookups = Vec::new();
    for pieces in scale.pieces() {
        let (directory, bytes) = meter.allocated_by(|| build(pieces));
        memory.push(Sample {
            size: pieces as f64,
            value: bytes,
        });
        let view = directory.view();
        let mut round = 0;
        let seconds = meter.mean_seconds(scale.iterations() * 100, || {
            round += 1;
            view.copies(&chain(round * 7_919 % (pieces / CHAIN_PIECES)))
        });
        let id_seconds = meter.mean_seconds(scale.iterations() * 100, || chain(round));
        lookups.push(Sample {
            size: pieces as f64,
            value: (seconds - id_seconds).max(1e-9),
        });
    }
    let pieces_per_host = PROMPTS * PIECES_PER_PROMPT * SHARD_COPIES / HOSTS;
    vec![
        Row::new(
            "directory shard",
            "memory, bytes",
            "pieces",
            pieces_per_host,
            memory,
        )
        .with_budget(Budget::Memory)
        .with_mechanism("rendezvous shards of prompt roots, two hosts each"),
        Row::new(
            "directory shard",
            "lookup of 16 pieces, s",
            "pieces",
            pieces_per_host,
            lookups,
        )
        .with_mechanism("sorted segments, one search for a chain"),
    ]
}

/// Builds a directory in which each piece is held by [`HOLDERS`] targets.
fn build(pieces: usize) -> Directory {
    let mut keys = SlotMap::<CandidateKey, ()>::with_key();
    let mut directory = Directory::default();
    for target in 0..TARGETS {
        let held =
            (0..pieces / CHAIN_PIECES).filter(|n| (n % TARGETS + TARGETS - target) % TARGETS < HOLDERS);
        let pieces = held.flat_map(chain).collect();
        let snapshot = CacheSnapshot {
            incarnation: 1,
            next: 0,
            pieces,
        };
        directory.apply_snapshot(keys.insert(()), &snapshot);
    }
    directory
}

/// Returns distinct identifiers with a common prefix, like those of the pieces of one prompt.
fn chain(number: usize) -> Vec<PieceId> {
    let root = utils::digest(&number.to_le_bytes());
    let piece_id = |index: u8| {
        let mut seed = *root.as_bytes();
        seed[31] = index;
        let mut bytes = *utils::digest(&seed).as_bytes();
        bytes[..SHARED_PREFIX_BYTES].copy_from_slice(&root.as_bytes()[..SHARED_PREFIX_BYTES]);
        PieceId::from(bytes)
    };
    (0..CHAIN_PIECES as u8).map(piece_id).collect()
}
