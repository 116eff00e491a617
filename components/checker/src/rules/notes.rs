use std::collections::BTreeMap;

use standins::DraftRun;
use utils::{HostId, NoteVersion, TargetId};

use crate::{CallerRequest, Exchange, Grace, NoteAccepted, Promise, Report, RunRecord, Violation};

/// Checks that accepted notes are in force everywhere in time and that no host goes back.
pub(crate) fn check(record: &RunRecord, grace: Grace, report: &mut Report) {
    let grace = grace.note.as_micros() as u64;
    for req in &record.requests {
        for exchange in &req.exchanges {
            report.note(Promise::NotesInForce, in_force(record, req, exchange, grace));
        }
    }
    for (host, mut seen) in by_host(record) {
        seen.sort_unstable_by_key(|exchange| exchange.sent_at);
        check_order(&host, &seen, report);
    }
    for (target, engine) in &record.engines {
        for run in engine
            .drafts
            .iter()
            .filter(|run| run.attempt == 1 && run.offset == 0)
        {
            let found = version_in_force(record, target, run, grace);
            report.note(Promise::WeightVersions, found);
        }
    }
}

/// The last note that was accepted so long before `at`.
fn note_before(record: &RunRecord, at: u64, grace: u64) -> Option<&NoteAccepted> {
    record.notes.iter().rev().find(|note| note.at + grace <= at)
}

fn in_force(
    record: &RunRecord,
    req: &CallerRequest,
    exchange: &Exchange,
    grace: u64,
) -> Result<(), Violation> {
    // A host that says not-run for want of a note serves nothing; it states version 0.
    let stated = exchange.note.filter(|version| *version > 0);
    let (Some(stated), Some(note)) = (stated, note_before(record, exchange.sent_at, grace)) else {
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

fn by_host(record: &RunRecord) -> BTreeMap<HostId, Vec<&Exchange>> {
    let mut hosts: BTreeMap<HostId, Vec<&Exchange>> = BTreeMap::new();
    for exchange in record.requests.iter().flat_map(|req| &req.exchanges) {
        if exchange.note.is_some() && exchange.head_at.is_some() {
            hosts.entry(exchange.host.clone()).or_default().push(exchange);
        }
    }
    hosts
}

/// An exchange that began after another one's answer must not state an older note.
fn check_order(host: &HostId, seen: &[&Exchange], report: &mut Report) {
    let mut heads: Vec<(u64, NoteVersion)> = seen
        .iter()
        .filter_map(|exchange| Some((exchange.head_at?, exchange.note?)))
        .collect();
    heads.sort_unstable();
    let mut newest: NoteVersion = 0;
    let mut heads = heads.into_iter().peekable();
    for exchange in seen {
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
        report.note(Promise::NotesInForce, found);
    }
}

/// A new draft runs on the version of a note that was in force when it came, or accepted since.
fn version_in_force(
    record: &RunRecord,
    target: &TargetId,
    run: &DraftRun,
    grace: u64,
) -> Result<(), Violation> {
    let Some(oldest) = note_before(record, run.at_micros, grace) else {
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
