use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;

use super::Control;
use crate::beliefs::{HOST_PREFIX, QUARANTINE_PREFIX};
use crate::ports::{RecordWrite, Table};
use crate::quarantine::Fingerprint;
use crate::view::HostEntry;

/// Pause before a failed write is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Longest time that a leaving host spends on its entry.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);
/// Tries to tell the others of a request that crashes targets.
const CRASH_TRIES: usize = 5;

/// Registers the host, so that others can ask it and share limits with it.
pub(crate) async fn register(control: Arc<Control>) {
    let settings = &control.traffic.settings;
    let entry = HostEntry {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peers: settings.peers,
    };
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    loop {
        let write = put(&control, Some(value.clone()));
        if control.store.write(write).await.is_ok() {
            return;
        }
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

/// Removes the host's entry; without effect while the store is away.
pub(crate) async fn deregister(control: &Control) {
    let remove = async {
        // A leaving host has nobody to tell; its entry only makes the others' shares smaller.
        let _ = control.store.write(put(control, None)).await;
    };
    let late = async {
        smol::Timer::after(DEREGISTER_TIMEOUT).await;
    };
    remove.or(late).await;
}

fn put(control: &Control, value: Option<Vec<u8>>) -> RecordWrite {
    RecordWrite {
        table: Table::Shared,
        key: format!("{HOST_PREFIX}{}", control.traffic.settings.name),
        expect: None,
        value,
    }
}

/// Tells all hosts of requests that crash targets.
pub(crate) async fn report_crashes(control: Arc<Control>, crashed: async_channel::Receiver<Fingerprint>) {
    while let Ok(fingerprint) = crashed.recv().await {
        for _ in 0..CRASH_TRIES {
            let write = RecordWrite {
                table: Table::Shared,
                key: format!("{QUARANTINE_PREFIX}{}", fingerprint.text()),
                expect: None,
                value: Some(Vec::new()),
            };
            if control.store.write(write).await.is_ok() {
                break;
            }
            smol::Timer::after(RETRY_PAUSE).await;
        }
    }
}
