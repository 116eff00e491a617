use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use errors::events;
use metadata::HttpPlatform;
use notes::{Acceptance, Head, HostRow, NoteError, NoteStore, Operator, Proposal, RegionRoster, Terms};
use slog::{info, warn};
use utils::{HostId, Monotonic, RegionId, rendezvous_order};

use super::poll::jittered;
use crate::shared::Shared;

/// Key of the rendezvous order that selects the hosts that maintain the roster.
const RANK_KEY: &[u8] = b"roster";
/// Number of hosts that maintain the roster; the others cause no reads for it.
const MAINTAINERS: usize = 3;
/// Interval between checks of the roster.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a difference must last before the first-ranked host changes the roster. Each further rank waits
/// this much longer.
const CHANGE_DELAY: Duration = Duration::from_secs(2);
/// Maximum wait for enough acknowledgements in one check; the next check continues with the same change.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum number of roster members of a region at which a host needs an answer of a second member to serve
/// without the table service.
const MIN_MEMBERS_FOR_PAIR: usize = 3;

/// Keeps the roster equal to the running hosts, which lets them serve during an outage of the table service.
///
/// Without keys for heartbeats hosts receive nothing from each other, and the roster stays empty.
pub(crate) async fn maintain(shared: Arc<Shared>, platform: Arc<HttpPlatform>) {
    if shared.settings.peers == config::PeerSettings::default() {
        return std::future::pending().await;
    }
    let store = NoteStore::new(platform.clone(), platform);
    let operator = Operator {
        store,
        clock: shared.clock.clone(),
    };
    let mut maintainer = RosterMaintainer {
        shared,
        operator,
        differs_since: None,
    };
    loop {
        smol::Timer::after(jittered(CHECK_INTERVAL)).await;
        if let Err(e) = maintainer.check().await {
            maintainer.differs_since = None;
            if !matches!(e.current_context(), NoteError::NoHead | NoteError::Platform(_)) {
                warn!(maintainer.shared.log, "roster not changed"; events::ROSTER_UNCHANGED,
                    "reason" => %e.current_context());
            }
        }
    }
}

/// Changes the roster when hosts start and stop.
struct RosterMaintainer {
    /// State that all threads share.
    shared: Arc<Shared>,
    /// Stages changes and accepts them.
    operator: Operator,
    /// Time since which the roster has differed from the running hosts.
    differs_since: Option<Monotonic>,
}

impl RosterMaintainer {
    async fn check(&mut self) -> Result<(), Report<NoteError>> {
        let Some(rank) = self.rank() else {
            return Ok(());
        };
        let head = self.operator.store.head().await?;
        let terms = self.operator.store.terms(head.row.terms).await?;
        let desired = desired_rosters(&self.operator.store.hosts().await?, &|host| self.is_live(host));
        if desired == terms.regions {
            self.differs_since = None;
            return Ok(());
        }
        let now = self.shared.clock.now();
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_sub(since) < CHANGE_DELAY * (rank + 1) {
            return Ok(());
        }
        match &head.row.staged {
            None => {
                self.propose(
                    head,
                    Terms {
                        regions: desired,
                        ..terms
                    },
                )
                .await
            }
            Some(staged) if staged.note.is_none() => self.accept(head).await,
            // A release note that a person staged comes before a roster change. This task leaves it to the
            // person who staged it.
            Some(_) => Ok(()),
        }
    }

    async fn propose(&mut self, head: Head, terms: Terms) -> Result<(), Report<NoteError>> {
        let proposal = Proposal {
            note: None,
            terms: Some(terms),
        };
        let head = self.operator.store.stage(&head, &proposal).await?;
        self.accept(head).await
    }

    async fn accept(&mut self, head: Head) -> Result<(), Report<NoteError>> {
        let base = self.operator.store.declared(&head.row, None).await?;
        match self.operator.accept(head, &base, ACCEPT_TIMEOUT, |_| {}).await? {
            Acceptance::InForce(head) => {
                self.differs_since = None;
                info!(self.shared.log, "roster changed"; events::ROSTER_CHANGED, "change" => head.row.seq);
            }
            Acceptance::Waiting { status, .. } => {
                let missing = status.regions.values().flat_map(|region| &region.missing);
                let missing: Vec<_> = missing.map(|host| host.to_string()).collect();
                info!(self.shared.log, "roster waits for hosts"; events::ROSTER_WAITS,
                    "missing" => missing.join(" "));
            }
        }
        Ok(())
    }

    /// Returns this host's rank among the maintainers of the roster; `None` if it drains or has no rank.
    fn rank(&self) -> Option<u32> {
        if self.shared.is_draining() {
            return None;
        }
        let live = self.shared.live_hosts.load();
        let ranked = rendezvous_order(RANK_KEY, live.iter().map(|host| &**host));
        let own = &*self.shared.settings.host.id;
        let position = ranked.iter().take(MAINTAINERS).position(|host| *host == own)?;
        u32::try_from(position).ok()
    }

    fn is_live(&self, host: &HostId) -> bool {
        self.shared.live_hosts.load().contains(host)
    }
}

/// Returns the rosters of all regions, made of the registered runs of live hosts.
fn desired_rosters(rows: &[HostRow], is_live: &dyn Fn(&HostId) -> bool) -> BTreeMap<RegionId, RegionRoster> {
    let mut regions: BTreeMap<RegionId, RegionRoster> = BTreeMap::new();
    for row in rows.iter().filter(|row| !row.is_stopped && is_live(&row.host)) {
        let roster = regions.entry(row.region.clone()).or_default();
        roster.members.insert(row.host.clone(), row.incarnation);
    }
    for roster in regions.values_mut() {
        roster.serving = if roster.members.len() >= MIN_MEMBERS_FOR_PAIR {
            2
        } else {
            1
        };
    }
    regions
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(host: &str, region: &str, is_stopped: bool) -> HostRow {
        HostRow {
            host: host.into(),
            incarnation: 7,
            region: region.into(),
            address: ([127, 0, 0, 1], 0).into(),
            acknowledged: 0,
            is_stopped,
            are_earlier_ended: true,
        }
    }

    #[test]
    fn a_roster_holds_live_hosts_that_have_not_stopped() {
        let rows = [
            row("a-1", "a", false),
            row("a-2", "a", false),
            row("a-3", "a", false),
            row("a-4", "a", true),
            row("b-1", "b", false),
            row("b-2", "b", false),
        ];
        let regions = desired_rosters(&rows, &|host| &**host != "b-2");
        let names = |region: &str| {
            regions[region]
                .members
                .keys()
                .map(|h| h.to_string())
                .collect::<Vec<_>>()
        };
        assert_eq!(names("a"), ["a-1", "a-2", "a-3"]);
        assert_eq!(names("b"), ["b-1"]);
        assert_eq!((regions["a"].serving, regions["b"].serving), (2, 1));
    }
}
