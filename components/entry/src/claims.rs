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

/// Age after which a claim's holder has ended its call, whether it lives or not; allows for clocks that differ.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(120);

/// Entry hosts that the platform lists; those that leave finish what they have.
pub(crate) type LiveHosts = Arc<ArcSwap<HashSet<HostId>>>;

/// Who asks whether a claim's holder is alive.
struct Liveness {
    /// This run of this host.
    own: Holder,
    /// Hosts that are listed.
    listed: LiveHosts,
    /// Time.
    clock: Arc<dyn Clock>,
}

/// Builds the ledger. The writer runs on the control thread, whose executor is `ex`.
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
    /// Whether a claim's holder may still be at work. A wrong "no" is harmless: the target is asked.
    fn is_alive(&self, row: &ClaimRow) -> bool {
        if row.holder.host == self.own.host {
            return row.holder == self.own;
        }
        let since = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = since.saturating_sub(Duration::from_millis(row.claimed_at_ms));
        age < MAX_CLAIM_AGE && self.listed.load().contains(&row.holder.host)
    }
}
