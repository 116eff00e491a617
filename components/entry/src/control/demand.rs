use std::collections::HashMap;
use std::time::Duration;

use membership::{Demand, TargetSummary, WorkspaceTag};
use utils::{HostId, Monotonic};

use crate::limits::DemandRates;
use crate::shared::Shared;

/// Interval at which this host's share of the limits is updated.
const UPDATE_PERIOD: Duration = Duration::from_secs(1);
/// Age at which a report of another host is discarded.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Scale of request rates before they are encoded as levels, which keeps rates below one a second distinct.
const UNITS_PER_REQUEST: f64 = 16.0;

/// Demand of workspaces at the other hosts, as received in heartbeats.
#[derive(Debug, Default)]
pub(crate) struct DemandExchange {
    /// Latest report of each other host, with the time of receipt.
    reports: HashMap<HostId, (Monotonic, HashMap<WorkspaceTag, DemandRates>)>,
    /// End of the current update period.
    period_end: Monotonic,
}

impl DemandExchange {
    /// Records a report of another host. A report contains only workspaces with demand.
    pub(crate) fn record_report(&mut self, from: HostId, demand: &[Demand], now: Monotonic) {
        let rates = demand.iter().map(|d| (d.workspace, decode(d)));
        self.reports.insert(from, (now, rates.collect()));
    }

    /// Updates this host's share of the limits and returns its own report, if the update period has passed.
    pub(crate) fn end_period(&mut self, shared: &Shared, now: Monotonic) -> Option<Vec<Demand>> {
        if now < self.period_end {
            return None;
        }
        self.period_end = now + UPDATE_PERIOD;
        self.reports
            .retain(|_, (at, _)| now.saturating_sub(*at) < MAX_REPORT_AGE);
        let reports: Vec<_> = self.reports.values().map(|(_, rates)| rates).collect();
        let hosts = shared.view.load().entry_hosts;
        let own = shared.limiter.end_period(&reports, hosts, now);
        Some(
            own.iter()
                .map(|(workspace, rates)| encode(*workspace, rates))
                .collect(),
        )
    }
}

fn encode(workspace: WorkspaceTag, rates: &DemandRates) -> Demand {
    Demand {
        workspace,
        requests: TargetSummary::level((rates.requests * UNITS_PER_REQUEST).round() as u64),
        tokens: TargetSummary::level(rates.tokens.round() as u64),
    }
}

fn decode(demand: &Demand) -> DemandRates {
    DemandRates {
        requests: TargetSummary::amount(demand.requests) as f64 / UNITS_PER_REQUEST,
        tokens: TargetSummary::amount(demand.tokens) as f64,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rates_survive_encoding_within_13_percent() {
        for requests in [0.25, 1.0, 7.0, 400.0] {
            let rates = DemandRates {
                requests,
                tokens: requests * 900.0,
            };
            let decoded = decode(&encode(WorkspaceTag::of("mill"), &rates));
            assert!(
                (decoded.requests / rates.requests - 1.0).abs() <= 0.13,
                "{decoded:?}"
            );
            assert!((decoded.tokens / rates.tokens - 1.0).abs() <= 0.13, "{decoded:?}");
        }
    }
}
