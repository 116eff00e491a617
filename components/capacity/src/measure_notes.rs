use std::collections::HashMap;

use notes::{Declared, Note, NoteFile, Workspace, apply};
use utils::{Digest, WorkspaceId};

use crate::size::{NOTES_PER_SECOND, Scale, WORKSPACES};
use crate::{Budget, Meter, Row, Sample};

/// Measures the memory of the declared state and the processor time of a release note.
pub(crate) fn measure(scale: Scale, meter: &Meter<'_>) -> Vec<Row> {
    let (mut memory, mut processor) = (Vec::new(), Vec::new());
    for workspaces in scale.workspaces() {
        let size = workspaces as f64;
        let (declared, bytes) = meter.allocated_by(|| build_declared(workspaces));
        let (keys, key_bytes) = meter.allocated_by(|| index_keys(&declared));
        memory.push(Sample {
            size,
            value: bytes + key_bytes,
        });
        let note = one_workspace_change(&declared);
        let seconds = meter.mean_seconds(scale.iterations(), || apply(&declared, &note).is_ok());
        let indexing = meter.mean_seconds(scale.iterations().min(20), || index_keys(&declared));
        processor.push(Sample {
            size,
            value: (seconds + indexing) * NOTES_PER_SECOND,
        });
        drop(keys);
    }
    vec![
        Row::new("note holder", "memory, bytes", "workspaces", WORKSPACES, memory)
            .with_budget(Budget::Memory)
            .with_mechanism("persistent maps, one version and its successor share entries"),
        Row::new(
            "note holder",
            "processor time for notes, cores",
            "workspaces",
            WORKSPACES,
            processor,
        )
        .with_budget(Budget::Core)
        .with_mechanism("a note touches only its entries; the key index is built anew"),
    ]
}

/// Builds a declared state with a number of workspaces, each with one key.
fn build_declared(workspaces: usize) -> Declared {
    let mut declared = Declared {
        version: 1,
        ..Declared::default()
    };
    for n in 0..workspaces {
        let key_digests = vec![utils::digest(&n.to_le_bytes())];
        let workspace = Workspace {
            key_digests,
            ..Workspace::default()
        };
        declared
            .workspaces
            .insert(format!("workspace-{n}").into(), workspace);
    }
    declared
}

/// Builds the index of workspaces by the digests of their keys.
fn index_keys(declared: &Declared) -> HashMap<Digest, WorkspaceId> {
    let pairs = declared.workspaces.iter();
    pairs
        .flat_map(|(id, w)| w.key_digests.iter().map(|d| (*d, id.clone())))
        .collect()
}

/// Returns a note that changes one workspace.
fn one_workspace_change(declared: &Declared) -> Note {
    let text = format!(
        "id: next\nbase: {}\nchange:\n  workspaces:\n    workspace-1:\n      priority: 3\n",
        declared.version
    );
    NoteFile::parse(&text, "next.yaml")
        .map(|file| file.note)
        .unwrap_or_default()
}
