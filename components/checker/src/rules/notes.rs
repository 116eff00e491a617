use std::collections::BTreeMap;

use standins::DraftRun;
use utils::{HostId, NoteVersion, TargetId};

use crate::{CallerRequest, Exchange, Grace, NoteAccepted, Promise, Report, RunRecord, Violation};

/// Checks that accepted notes are in force at every host within the grace period and that no host reverts to
/// an older note.
pub(crate) fn check(record: &RunRecord, grace: Grace, report: &mut Report) {
    let grace = grace.note.as_micros() as u64;
    for req in &record.requests {
        for exchange in &req.exchanges {
            report.record(Promise::NotesInForce, check_note(record, req, exchange, grace));
        }
    }
    for (host, mut exchanges) in exchanges_by_host(record) {
        exchanges.sort_unstable_by_key(|exchange| exchange.sent_at);
        check_order(&host, &exchanges, report);
    }
    for (target, engine) in &record.engines {
        for run in engine
            .drafts
            .iter()
            .filter(|run| run.attempt == 1 && run.offset == 0)
        {
            let found = check_version(record, target, run, grace);
            report.record(Promise::WeightVersions, found);
        }
    }
}

/// Returns the last note that was accepted at least `grace` microseconds before `at`.
fn note_in_force_at(record: &RunRecord, at: u64, grace: u64) -> Option<&NoteAccepted> {
    record.notes.iter().rev().find(|note| note.at + grace <= at)
}

fn check_note(
    record: &RunRecord,
    req: &CallerRequest,
    exchange: &Exchange,
    grace: u64,
) -> Result<(), Violation> {
    // A host without a note refuses requests with the outcome not-run and states version 0.
    let stated = exchange.note.filter(|version| *version > 0);
    let (Some(stated), Some(note)) = (stated, note_in_force_at(record, exchange.sent_at, grace)) else {
        return Ok(());
    };
    if stated >= note.version {
        return Ok(());
    }
    Err(Violation::StaleNote {
        host: exchange.host.clone(),
        number: req.number,
        stated,
        accepted: note.version,
    })
}

fn exchanges_by_host(record: &RunRecord) -> BTreeMap<HostId, Vec<&Exchange>> {
    let mut hosts: BTreeMap<HostId, Vec<&Exchange>> = BTreeMap::new();
    for exchange in record.requests.iter().flat_map(|req| &req.exchanges) {
        if exchange.note.is_some() && exchange.head_at.is_some() {
            hosts.entry(exchange.host.clone()).or_default().push(exchange);
        }
    }
    hosts
}

/// Checks that an exchange that began after the answer of another exchange does not state an older note.
fn check_order(host: &HostId, exchanges: &[&Exchange], report: &mut Report) {
    let mut heads: Vec<(u64, NoteVersion)> = exchanges
        .iter()
        .filter_map(|exchange| Some((exchange.head_at?, exchange.note?)))
        .collect();
    heads.sort_unstable();
    let mut newest: NoteVersion = 0;
    let mut heads = heads.into_iter().peekable();
    for exchange in exchanges {
        while let Some((_, version)) = heads.next_if(|(at, _)| *at < exchange.sent_at) {
            newest = newest.max(version);
        }
        let stated = exchange.note.unwrap_or_default();
        let found = if stated >= newest {
            Ok(())
        } else {
            Err(Violation::RevertedNote {
                host: host.clone(),
                before: newest,
                after: stated,
            })
        };
        report.record(Promise::NotesInForce, found);
    }
}

/// Checks that a new draft runs on the weight version of a note that was in force when the draft started, or
/// of a newer one.
fn check_version(record: &RunRecord, target: &TargetId, run: &DraftRun, grace: u64) -> Result<(), Violation> {
    let Some(oldest) = note_in_force_at(record, run.at_micros, grace) else {
        return Ok(());
    };
    let mut allowed = record
        .notes
        .iter()
        .filter(|note| note.version >= oldest.version)
        .filter_map(|note| note.weight_versions.get(&run.model));
    if allowed.any(|version| *version == run.weight_version) {
        return Ok(());
    }
    Err(Violation::VersionNotInForce {
        target: target.clone(),
        request: run.request_id,
        version: run.weight_version,
    })
}
