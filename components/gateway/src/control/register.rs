use std::sync::Arc;
use std::time::Duration;

use errors::events;
use futures_lite::FutureExt;
use rand::seq::IndexedRandom;
use slog::info;

use super::Control;
use crate::cached_state::HOST_PREFIX;
use crate::jitter::jittered;
use crate::ports::{Expected, RecordWrite, Table};
use crate::probe::{Probe, probe};
use crate::view::HostEntry;

/// Interval between checks that the host is still registered.
const REGISTER_INTERVAL: Duration = Duration::from_secs(4);
/// Mean interval between checks of a random other host.
const PEER_CHECK_INTERVAL: Duration = Duration::from_secs(15);
/// Delay before a host that did not accept a connection is checked again.
const RECHECK_DELAY: Duration = Duration::from_secs(4);
/// Delay before a failed write is retried.
pub(super) const WRITE_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Longest time that a leaving host spends on the removal of its entry.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Keeps the host registered; other hosts query it and share limits with it.
pub(crate) async fn register(control: Arc<Control>) {
    let settings = &control.traffic.settings;
    let entry = HostEntry {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peers: settings.peers,
        link: settings.link,
    };
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    loop {
        let is_listed = control.traffic.view.load().hosts.get(&entry.name) == Some(&entry);
        if !is_listed {
            let write = host_entry_write(&control, Some(value.clone()));
            let is_written = control.store.write(write).await.is_ok();
            smol::Timer::after(if is_written {
                REGISTER_INTERVAL
            } else {
                WRITE_RETRY_DELAY
            })
            .await;
            continue;
        }
        smol::Timer::after(REGISTER_INTERVAL).await;
    }
}

/// Removes the entries of hosts that have failed. Each host checks a random other host per interval, so each
/// host is checked about once per interval, independent of their number. A host that was only partitioned
/// registers again.
pub(crate) async fn remove_unreachable_hosts(control: Arc<Control>) {
    loop {
        smol::Timer::after(jittered(PEER_CHECK_INTERVAL, 0.3)).await;
        let view = control.traffic.view.load_full();
        let own = &control.traffic.settings.name;
        let others: Vec<_> = view.hosts.values().filter(|host| host.name != *own).collect();
        let Some(host) = others.choose(&mut rand::rng()) else {
            continue;
        };
        let key = format!("{HOST_PREFIX}{}", host.name);
        let position = control.cached_state().position_of(Table::Shared, &key);
        if probe(host.peers).await == Probe::Accepts {
            continue;
        }
        smol::Timer::after(RECHECK_DELAY).await;
        if probe(host.peers).await == Probe::Accepts {
            continue;
        }
        let remove = RecordWrite {
            expect: position.into(),
            ..shared_write(key, None)
        };
        // Refused if the host has registered again in the meantime. If the store is down, another host tries
        // later.
        let is_removed = control.store.write(remove).await.is_ok();
        info!(control.traffic.log, "host does not accept connections"; events::HOST_UNREACHABLE,
            "silent" => &*host.name, "asked_to_remove" => is_removed);
    }
}

/// Removes the host's entry; has no effect while the store is down.
pub(crate) async fn deregister(control: &Control) {
    let remove = async {
        // A failure is ignored: a stale entry only reduces the other hosts' shares of global limits.
        let _ = control.store.write(host_entry_write(control, None)).await;
    };
    let late = async {
        smol::Timer::after(DEREGISTER_TIMEOUT).await;
    };
    remove.or(late).await;
}

fn host_entry_write(control: &Control, value: Option<Vec<u8>>) -> RecordWrite {
    shared_write(format!("{HOST_PREFIX}{}", control.traffic.settings.name), value)
}

/// Creates an unconditional write to the shared table.
pub(super) fn shared_write(key: String, value: Option<Vec<u8>>) -> RecordWrite {
    RecordWrite {
        table: Table::Shared,
        key,
        expect: Expected::Any,
        value,
        identity: None,
    }
}
