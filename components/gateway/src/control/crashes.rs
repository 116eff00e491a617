use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use errors::events;
use futures_lite::FutureExt;
use slog::{info, warn};
use utils::Monotonic;

use super::Control;
use super::register::{WRITE_RETRY_DELAY, shared_write};
use crate::crash_reports::{CHECK_INTERVAL, CrashReports, CrashRowValue, FurtherCrash, SoundRowValue};
use crate::crash_rows::sound_key;
use crate::jitter::jittered;
use crate::ports::{RecordWrite, RecordWritten, Table};
use crate::probe::{Probe, probe};
use crate::quarantine::Crash;
use crate::suspects::{CrashEvidence, PartFingerprint, SuspectPart};

/// Time in which the requests of one crashed target are collected.
const CRASH_COLLECT_TIME: Duration = Duration::from_millis(10);
/// Attempts to write a row on crashes to the shared table before its requests wait for another one.
const CRASH_WRITE_ATTEMPTS: usize = 5;
/// Interval between removals of expired crashes.
const CRASH_CLEANUP_INTERVAL: Duration = Duration::from_secs(15);
/// Mean delay before a success of a suspected part is recorded; another host may do so meanwhile.
const SOUND_PART_DELAY: Duration = Duration::from_millis(150);

/// Writes crashes of targets with the requests that were in flight to the shared table, from which all hosts
/// read them.
pub(crate) async fn report_crashes(control: Arc<Control>, crashed: async_channel::Receiver<Crash>) {
    let mut reports = CrashReports::default();
    loop {
        let received = async { crashed.recv().await.map(Some) };
        let first = match reports.is_empty() {
            true => received.await,
            false => received.or(next_check()).await,
        };
        let Ok(first) = first else { return };
        if let Some(first) = first {
            smol::Timer::after(CRASH_COLLECT_TIME).await;
            let mut crashes = vec![first];
            while let Ok(crash) = crashed.try_recv() {
                crashes.push(crash);
            }
            add_reports(&control, &mut reports, crashes).await;
        }
        let hosts = control.traffic.view.load().host_count();
        let row = reports.take_row(hosts, control.traffic.now());
        write_crashes(&control, &mut reports, row).await;
    }
}

/// Waits until waiting crashes are checked again.
async fn next_check() -> Result<Option<Crash>, async_channel::RecvError> {
    smol::Timer::after(CHECK_INTERVAL).await;
    Ok(None)
}

/// Adds crashes to those to report. The first broken connection is not reported as a crash if the target still accepts
/// connections, and none is then evidence against a part.
async fn add_reports(control: &Control, reports: &mut CrashReports, crashes: Vec<Crash>) {
    let addresses: HashSet<_> = crashes.iter().map(|crash| crash.address).collect();
    let mut accepting = HashSet::new();
    for address in addresses {
        if probe(address).await == Probe::Accepts {
            accepting.insert(address);
        }
    }
    for mut crash in crashes {
        if accepting.contains(&crash.address) {
            crash.parts.clear();
            if crash.count == 1 {
                continue;
            }
        }
        if let Some(dropped) = reports.add(crash) {
            log_not_shared(control, &dropped);
        }
    }
}

/// Writes one row for requests that were in flight at crashes. They wait for another row if it can't be written.
async fn write_crashes(control: &Control, reports: &mut CrashReports, mut crashes: Vec<Crash>) {
    for crash in &mut crashes {
        // A crash that waited to be reported is no evidence against parts that have succeeded meanwhile.
        let routing = control.traffic.routing();
        let has_succeeded =
            |suspect: &SuspectPart| routing.part_successes.contains_since(&suspect.part, crash.at);
        crash.parts.retain(|suspect| !has_succeeded(suspect));
    }
    let Some(first) = crashes.first() else { return };
    let host = &control.traffic.settings.name;
    let key = reports.next_key(&first.fingerprint, host, control.incarnation);
    let value = row_value(control, &crashes).and_then(|value| serde_json::to_vec(&value).ok());
    for _ in 0..CRASH_WRITE_ATTEMPTS {
        let write = shared_write(key.clone(), Some(value.clone().unwrap_or_default()));
        if control.store.write(write).await.is_ok() {
            crashes
                .iter()
                .for_each(|crash| log_reported(control, crash, &key));
            return;
        }
        smol::Timer::after(WRITE_RETRY_DELAY).await;
    }
    let dropped = reports.put_back(crashes, control.traffic.now());
    dropped.iter().for_each(|crash| log_not_shared(control, crash));
}

fn row_value(control: &Control, crashes: &[Crash]) -> Option<CrashRowValue> {
    let evidence = |crash: &Crash| CrashEvidence {
        run: crash.run.clone(),
        stage: crash.stage,
        at: control.cached_state().store_time(crash.at),
        parts: crash.parts.clone(),
    };
    let (first, others) = crashes.split_first()?;
    let others = others.iter().map(|crash| FurtherCrash {
        request: crash.fingerprint,
        count: crash.count,
        evidence: evidence(crash),
    });
    Some(CrashRowValue {
        first: evidence(first),
        count: Some(first.count),
        others: others.collect(),
    })
}

fn log_reported(control: &Control, crash: &Crash, key: &str) {
    info!(control.traffic.log, "crash reported"; events::CRASH_REPORTED, "target" => &*crash.run,
        "request" => crash.fingerprint.text(), "stage" => crash.stage.as_str(), "parts" => crash.parts.len(),
        "key" => key);
}

fn log_not_shared(control: &Control, crash: &Crash) {
    warn!(control.traffic.log, "crash not reported to other hosts"; events::CRASH_NOT_SHARED,
        "request" => crash.fingerprint.text());
}

/// Records in the shared table that suspected parts have succeeded, so that no host counts earlier crashes
/// against them.
pub(crate) async fn record_sound_parts(
    control: Arc<Control>,
    succeeded: async_channel::Receiver<PartFingerprint>,
) {
    while let Ok(first) = succeeded.recv().await {
        smol::Timer::after(jittered(SOUND_PART_DELAY, 1.0)).await;
        let mut parts = HashSet::from([first]);
        while let Ok(part) = succeeded.try_recv() {
            parts.insert(part);
        }
        for part in parts {
            record_sound_part(&control, &part).await;
        }
    }
}

async fn record_sound_part(control: &Control, part: &PartFingerprint) {
    let is_suspected = control.traffic.view.load().parts.suspected.contains(part);
    if !is_suspected {
        return;
    }
    let key = sound_key(part);
    let position = control.cached_state().position_of(Table::Shared, &key);
    let value = SoundRowValue {
        at: control.cached_state().store_time(control.traffic.now()),
    };
    let value = serde_json::to_vec(&value).unwrap_or_default();
    let write = RecordWrite {
        // Refused if another host has recorded the success.
        expect: position.into(),
        ..shared_write(key, Some(value))
    };
    match control.store.write(write).await {
        Ok(RecordWritten::Applied(_)) => {
            info!(control.traffic.log, "suspected part has succeeded"; events::PART_SUCCEEDED,
                "part" => part.text());
        }
        Ok(RecordWritten::Refused) => {}
        // The next success with the part is recorded in its place.
        Err(e) => warn!(control.traffic.log, "success of a suspected part not recorded";
            events::PART_SUCCEEDED, "part" => part.text(), "error" => format!("{e:?}")),
    }
}

/// Removes expired rows on crashes and on parts that succeeded from the shared table. Each row is removed by
/// the host that rendezvous hashing of its key assigns.
pub(crate) async fn remove_expired_crashes(control: Arc<Control>) {
    loop {
        smol::Timer::after(CRASH_CLEANUP_INTERVAL).await;
        let view = control.traffic.view.load_full();
        let own = &*control.traffic.settings.name;
        for key in expired_rows(&control, control.traffic.now()) {
            let is_owner = view.owns(key.as_bytes(), own, 1);
            if is_owner && control.store.write(shared_write(key, None)).await.is_err() {
                break;
            }
        }
    }
}

fn expired_rows(control: &Control, now: Monotonic) -> Vec<String> {
    let state = control.cached_state();
    let mut keys = state.expired_crashes(now);
    keys.extend(state.expired_sound_parts(now));
    keys
}
