use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use arc_swap::ArcSwap;
use config::Settings;
use error_stack::{Report, ResultExt};
use http_io::{Client, ClientConfig, Executor};
use ledger::{ClaimRow, Holder, LedgerHandle, LedgerSettings, LedgerWriter, Protocol};
use metadata::HttpPlatform;
use slog::Logger;
use utils::{Clock, HostId, Incarnation};

use crate::EntryError;

/// Age from which a claim counts as abandoned, even if its holder is alive. It exceeds the longest call by a
/// margin for clock skew between hosts.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(120);

/// Entry hosts on the platform's list. It includes hosts that are draining.
pub(crate) type LiveHosts = Arc<ArcSwap<HashSet<HostId>>>;

/// Decides whether the holder of a claim may still be alive.
struct Liveness {
    /// This host with its incarnation.
    own: Holder,
    /// Entry hosts on the platform's list.
    listed: LiveHosts,
    /// Source of time.
    clock: Arc<dyn Clock>,
}

/// Builds the ledger. The writer runs on the control thread with its executor `ex`.
pub(crate) fn build(
    settings: &Settings,
    incarnation: Incarnation,
    clock: &Arc<dyn Clock>,
    live_hosts: LiveHosts,
    ex: &Executor,
    log: Logger,
) -> Result<(LedgerWriter, LedgerHandle), Report<EntryError>> {
    let cfg = ClientConfig {
        response_timeout: settings.platform.timeout(),
        ..ClientConfig::default()
    };
    let table = HttpPlatform::new(Client::new(ex.clone(), cfg), settings.platform.address);
    let own = Holder {
        host: settings.host.id.clone(),
        incarnation,
    };
    let liveness = Liveness {
        own: own.clone(),
        listed: live_hosts,
        clock: clock.clone(),
    };
    Ok(LedgerWriter::new(
        Arc::new(table),
        clock.clone(),
        LedgerSettings::default(),
        Protocol::load().change_context(EntryError::Ledger)?,
        own,
        move |row: &ClaimRow| liveness.is_alive(row),
        log,
    ))
}

impl Liveness {
    /// Whether the holder of a claim may still be running its call. A wrong `false` is harmless, because the
    /// target is then asked for the outcome.
    fn is_alive(&self, row: &ClaimRow) -> bool {
        if row.holder.host == self.own.host {
            return row.holder == self.own;
        }
        let since = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = since.saturating_sub(Duration::from_millis(row.claimed_at_ms));
        age < MAX_CLAIM_AGE && self.listed.load().contains(&row.holder.host)
    }
}
