//! Relays: a few hosts of each region that follow the platform's store for the others. On a large deployment a
//! change of the declarations, read by every host at once, would fill the link between the regions.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use utils::{HostId, Monotonic};

use super::Control;
use super::host_client::HostClient;
use super::peers;
use crate::View;
use crate::jitter::jittered;
use crate::ports::Table;

/// Interval between queries to a relay. Well below the time within which a declaration must be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Pause after a query without a usable answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Queries the relays of this host's region, unless the region is small or the host is a relay itself.
pub(crate) async fn follow_relays(control: Arc<Control>) {
    let client = HostClient::new(&control);
    loop {
        let is_updated = poll_relay(&control, &client).await;
        let pause = match is_updated {
            Some(false) => RETRY_PAUSE,
            Some(true) | None => POLL_INTERVAL,
        };
        smol::Timer::after(jittered(pause, 0.2)).await;
    }
}

/// Returns for how much longer this host does not follow a table of the store itself; zero if it must.
pub(super) fn relayed_for(control: &Control, table: Table) -> Duration {
    let now = control.traffic.now();
    let recent_for = recent_for(control, now);
    match table {
        Table::Declared => recent_for.max(receiving_for(control, now)),
        _ => recent_for,
    }
}

/// Whether the state that relays have shown is recent enough for a host that does not follow the store itself.
pub(super) fn is_relayed(control: &Control) -> bool {
    !recent_for(control, control.traffic.now()).is_zero()
}

fn recent_for(control: &Control, now: Monotonic) -> Duration {
    let pace = control.pace(Table::Declared);
    let confirmed_at = control.relayed_confirmed_at();
    confirmed_at.map_or(Duration::ZERO, |at| pace.relayed_for(at, now))
}

/// Returns for how much longer this host waits for a relay that is receiving a large change. A read of its own would take
/// from the link that the relay needs.
fn receiving_for(control: &Control, now: Monotonic) -> Duration {
    let pace = control.pace(Table::Declared);
    let until = control.relay_receiving_at().zip(control.relayed_confirmed_at());
    let until = until.map(|(asked_at, confirmed_at)| pace.receiving_until(asked_at, confirmed_at));
    until.map_or(Duration::ZERO, |until| until.saturating_sub(now))
}

/// Whether this host follows the store for others.
pub(super) fn is_relay(control: &Control) -> bool {
    let view = control.traffic.view.load();
    relays(control, &view).contains(&control.traffic.settings.name)
}

/// Queries a random relay. Returns `None` if the host has no relay, and whether the answer was usable.
async fn poll_relay(control: &Control, client: &HostClient) -> Option<bool> {
    let view = control.traffic.view.load_full();
    let relays = relays(control, &view);
    let is_follower = view.can_serve() && !relays.contains(&control.traffic.settings.name);
    let name = relays.choose(&mut rand::rng()).filter(|_| is_follower)?;
    let peer = view.hosts.get(name)?.peers;
    let sent_at = control.traffic.now();
    let Some(answer) = peers::query_changes(control, client, peer).await else {
        return Some(false);
    };
    if answer.is_receiving {
        control.record_relay_receiving(sent_at);
    }
    let max_age = control.pace(Table::Declared).max_relay_age();
    let recent_age = answer.changes.changes.store_age.filter(|age| *age <= max_age);
    // What has arrived need not be sent again, whatever its age.
    peers::apply_answer(control, peer, answer.changes, sent_at);
    if let Some(age) = recent_age {
        control.record_relayed(sent_at.saturating_sub(age), sent_at);
    }
    Some(recent_age.is_some() || answer.is_receiving)
}

fn relays(control: &Control, view: &View) -> Vec<HostId> {
    let settings = &control.traffic.settings;
    view.relays(&settings.regions, &settings.region)
}
