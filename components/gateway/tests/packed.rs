//! Rows that hosts send to each other, against earlier values that both hold.

mod support;

use std::time::Duration;

use gateway::ports::Table;
use gateway::{
    Base, CachedState, CompressedValue, MAX_VALUE_BYTES, PackedValue, Position, UnpackError, UpdateSource,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use support::{at, decode, row, snapshot};

const ROUTES: usize = 4_200;
const SEEDS: u64 = 60;
const EDITS: usize = 12;

fn word(rng: &mut StdRng, length: usize) -> String {
    let letters = (0..length).map(|_| char::from(rng.random_range(b'a'..=b'z')));
    letters.collect()
}

fn route(rng: &mut StdRng) -> Value {
    json!({"name": word(rng, 12), "host": format!("{}.example", word(rng, 8)), "prefix": format!("/{}/", word(rng, 10)),
        "route_kind": "safe", "timeout_ms": rng.random_range(1_000..30_000), "priority": rng.random_range(0..5),
        "service": format!("service-{}", rng.random_range(0..60)), "max_attempts": 2, "anonymous": false,
        "latency_target_ms": rng.random_range(100..3_000), "allowed_regions": ["region-1", "region-2"]})
}

fn configuration(version: u64, routes: &[Value]) -> Vec<u8> {
    serde_json::to_vec(&json!({"version": version, "routes": routes})).unwrap()
}

fn base(version: u64, value: Vec<u8>) -> Base {
    Base {
        position: at(version),
        value: value.into(),
    }
}

/// Returns the length of a value in a message to a host that has the base.
fn message_len(value: &[u8], base: &Base) -> usize {
    let packed = PackedValue::pack(value, Some(base));
    let message = postcard::to_allocvec(&packed).unwrap();
    assert_eq!(packed.unpack(Some(base)).unwrap(), value);
    message.len()
}

// Guards against a change of a large configuration that costs each link the whole configuration.
#[test]
fn a_change_costs_what_has_changed() {
    let rng = &mut StdRng::seed_from_u64(1);
    let mut routes: Vec<_> = (0..ROUTES).map(|_| route(rng)).collect();
    let before = base(1, configuration(1, &routes));
    assert!(before.value.len() > 1_000_000);
    routes[ROUTES / 2] = route(rng);
    let changed = configuration(2, &routes);
    assert!(message_len(&changed, &before) < 2_048);

    let changed = base(2, changed);
    routes.extend((0..ROUTES / 3).map(|_| route(rng)));
    let grown = configuration(3, &routes);
    let added = grown.len() - changed.value.len();
    assert!(message_len(&grown, &changed) < added / 6);
}

/// Inserts, removes, repeats or overwrites a part of a value.
fn edit(rng: &mut StdRng, value: &mut Vec<u8>) {
    let from = rng.random_range(0..=value.len());
    let to = rng.random_range(from..=value.len().min(from + 3_000));
    match rng.random_range(0..4) {
        0 => drop(value.drain(from..to)),
        1 => drop(value.splice(from..from, word(rng, to - from).into_bytes())),
        2 => value.extend_from_within(from..to),
        _ => value[from..to].fill(rng.random()),
    }
}

// Guards against a host that applies another configuration than the one that was sent, and against a message that ends it.
#[test]
fn a_value_is_unpacked_as_it_was_or_not_at_all() {
    for seed in 0..SEEDS {
        let rng = &mut StdRng::seed_from_u64(seed);
        let length = rng.random_range(0..40_000);
        let before = base(1, word(rng, length).into_bytes());
        let mut value = before.value.to_vec();
        (0..rng.random_range(0..EDITS)).for_each(|_| edit(rng, &mut value));
        for known in [None, Some(&before)] {
            let packed = PackedValue::pack(&value, known);
            assert_eq!(packed.clone().unpack(known).unwrap(), value, "seed {seed}");
            let mut message = postcard::to_allocvec(&packed).unwrap();
            for _ in 0..EDITS {
                match rng.random_range(0..3) {
                    0 => message.truncate(rng.random_range(0..=message.len())),
                    1 => message
                        .iter_mut()
                        .take(24)
                        .for_each(|byte| *byte ^= rng.random::<u8>() & 3),
                    _ => edit(rng, &mut message),
                }
                let Ok(PackedValue::Compressed(read)) = postcard::from_bytes(&message) else {
                    continue;
                };
                let is_same_digest = read.digest == digest(&packed);
                if let Ok(unpacked) = PackedValue::Compressed(read).unpack(known) {
                    assert!(unpacked == value || !is_same_digest, "seed {seed}");
                }
            }
        }
    }
}

fn digest(packed: &PackedValue) -> [u8; 16] {
    match packed {
        PackedValue::Compressed(packed) => packed.digest,
        PackedValue::Plain(_) => [0; 16],
    }
}

// Guards against memory for a stated length that no value has, and against a base of another era or with other content.
#[test]
fn a_wrong_base_or_length_is_refused() {
    let before = base(1, b"0123456789abcdef".repeat(2_000));
    let value = [&before.value[..], b"end"].concat();
    let PackedValue::Compressed(packed) = PackedValue::pack(&value, Some(&before)) else {
        panic!("the value was not compressed");
    };
    let unpack = |packed: CompressedValue, base: Option<&Base>| {
        let unpacked = PackedValue::Compressed(packed).unpack(base);
        *unpacked.unwrap_err().current_context()
    };
    let other_era = Base {
        position: Position::new(1, 1),
        ..before.clone()
    };
    for other in [None, Some(&other_era)] {
        assert_eq!(unpack(packed.clone(), other), UnpackError::UnknownBase);
    }
    let other_content = base(1, before.value.to_ascii_uppercase());
    assert_eq!(
        unpack(packed.clone(), Some(&other_content)),
        UnpackError::WrongDigest
    );
    let with_length = |length: usize| CompressedValue {
        length: u32::try_from(length).unwrap(),
        ..packed.clone()
    };
    for length in [MAX_VALUE_BYTES + 1, u32::MAX as usize] {
        assert_eq!(unpack(with_length(length), Some(&before)), UnpackError::TooLong);
    }
    for length in [0, value.len() - 1, value.len() + 1] {
        assert_eq!(unpack(with_length(length), Some(&before)), UnpackError::Malformed);
    }
    let mut cut = packed.clone();
    cut.frame.pop();
    assert_eq!(unpack(cut, Some(&before)), UnpackError::Malformed);
}

// Guards against earlier values that grow without a bound, or stand under the position of another write.
#[test]
fn a_host_keeps_the_latest_values_of_large_rows() {
    let mut state = CachedState::new(decode(), Duration::ZERO);
    let large =
        |version: u64, length: usize| row("c", &format!("declared {version}{}", " ".repeat(length)), version);
    let change = |state: &mut CachedState, version, length| {
        let rows = snapshot(version, [large(version, length)]);
        state.apply(Table::Declared, rows, UpdateSource::Store, Duration::ZERO);
    };
    let positions = |state: &CachedState| -> Vec<Position> {
        let positions = state.base_positions(Table::Declared);
        positions.map(|(_, position)| position).collect()
    };
    let rows = snapshot(1, [large(1, 20_000), row("small", "declared 0", 1)]);
    state.replace(Table::Declared, rows, UpdateSource::Store, Duration::ZERO);
    (2..20).for_each(|version| change(&mut state, version, 20_000));
    assert_eq!(positions(&state), (11..20).rev().map(at).collect::<Vec<_>>());
    for version in 11..20 {
        let held = state.base(Table::Declared, "c", at(version)).unwrap();
        assert_eq!(Some(held.value.to_vec()), large(version, 20_000).value);
    }
    assert_eq!(state.base(Table::Declared, "c", at(10)), None);
    assert_eq!(state.base(Table::Declared, "c", Position::new(1, 15)), None);
    (20..30).for_each(|version| change(&mut state, version, 1_500_000));
    assert_eq!(positions(&state), [29, 28, 27].map(at));
}
