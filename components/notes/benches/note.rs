//! CPU time that one note costs on a host, by number of workspaces.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use notes::{Declared, EnforcedNotesBuilder, Note, NoteState, Workspace, apply};
use utils::WorkspaceId;

/// Numbers of workspaces, from the present number to the largest planned one.
const SIZES: [usize; 3] = [100, 1_000, 17_000];

fn declared(workspaces: usize) -> Declared {
    let named = (0..workspaces).map(|i| -> (WorkspaceId, Workspace) {
        let workspace = Workspace {
            key_digests: vec![utils::digest(&i.to_le_bytes())],
            ..Workspace::default()
        };
        (format!("workspace-{i}").into(), workspace)
    });
    Declared {
        workspaces: named.collect(),
        ..Declared::default()
    }
}

/// Returns a note that changes one workspace in the middle of the map.
fn note(base: &Declared) -> Note {
    let mut wanted = base.clone();
    let name = format!("workspace-{}", base.workspaces.len() / 2);
    let changed = Workspace {
        priority: 1,
        ..Workspace::default()
    };
    wanted.workspaces.insert(name.into(), changed);
    Note::between("bench", base, &wanted)
}

fn apply_note(c: &mut Criterion) {
    let mut group = c.benchmark_group("apply one note");
    for size in SIZES {
        let base = declared(size);
        let note = note(&base);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| apply(black_box(&base), black_box(&note)));
        });
    }
    group.finish();
}

/// Builds the enforced notes after staging, then those after accepting a note.
fn build_views(c: &mut Criterion) {
    let mut group = c.benchmark_group("views of one note");
    for size in SIZES {
        let base = declared(size);
        let note = note(&base);
        let after = apply(&base, &note).unwrap_or_default();
        let mut builder = EnforcedNotesBuilder::default();
        let state = |head, staged| NoteState {
            head,
            staged,
            version: head,
        };
        builder.build(state(1, None), &base, None, Duration::ZERO);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                let mut builder = builder.clone();
                black_box(builder.build(state(1, Some(2)), &base, Some(&note), Duration::ZERO));
                black_box(builder.build(state(2, None), &after, None, Duration::ZERO))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, apply_note, build_views);
criterion_main!(benches);
