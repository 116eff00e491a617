use std::collections::HashMap;

use standins::{ImportRun, PieceUse};
use targets::PieceId;
use utils::{TargetId, WorkspaceId};

use crate::{Promise, Report, RunRecord, Violation};

/// Checks that every cache piece in use is intact and was computed by the same workspace and weight version.
pub(crate) fn check(record: &RunRecord, report: &mut Report) {
    let owners = owners(record);
    for (target, engine) in &record.engines {
        for import in &engine.imports {
            report.record(Promise::IntactCache, check_import(target, import));
        }
        for used in &engine.uses {
            report.record(Promise::IntactCache, check_intact(target, used));
            report.record(
                Promise::WorkspaceIsolation,
                check_workspace(target, used, &owners),
            );
            report.record(Promise::WeightVersions, check_version(target, used));
        }
    }
}

/// Returns the workspace that computed each piece, or the first that used it if that is unknown.
fn owners(record: &RunRecord) -> HashMap<PieceId, WorkspaceId> {
    let mut owners = HashMap::new();
    for used in record.engines.values().flat_map(|engine| &engine.uses) {
        let owner = used.from_workspace.as_ref().unwrap_or(&used.workspace);
        owners.entry(used.piece).or_insert_with(|| owner.clone());
    }
    owners
}

fn check_import(target: &TargetId, import: &ImportRun) -> Result<(), Violation> {
    if !import.accepted || import.intact {
        return Ok(());
    }
    Err(Violation::DamagedImport {
        target: target.clone(),
        piece: import.piece,
    })
}

fn check_intact(target: &TargetId, used: &PieceUse) -> Result<(), Violation> {
    if used.intact {
        return Ok(());
    }
    Err(Violation::DamagedPiece {
        target: target.clone(),
        request: used.request_id,
        piece: used.piece,
    })
}

fn check_workspace(
    target: &TargetId,
    used: &PieceUse,
    owners: &HashMap<PieceId, WorkspaceId>,
) -> Result<(), Violation> {
    let owner = used.from_workspace.as_ref().or_else(|| owners.get(&used.piece));
    match owner {
        Some(owner) if *owner != used.workspace => Err(Violation::ForeignPiece {
            target: target.clone(),
            piece: used.piece,
            owner: owner.clone(),
            user: used.workspace.clone(),
        }),
        _ => Ok(()),
    }
}

fn check_version(target: &TargetId, used: &PieceUse) -> Result<(), Violation> {
    if used.weight_version == used.from_version {
        return Ok(());
    }
    Err(Violation::MixedVersions {
        target: target.clone(),
        used_by: used.weight_version,
        computed_by: used.from_version,
    })
}
