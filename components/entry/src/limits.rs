use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use membership::WorkspaceTag;
use notes::Limits;
use policy::{DemandMeter, TokenBucket, rate_share};
use utils::{Monotonic, WorkspaceId};

/// Number of shards of the account table. Requests of different workspaces rarely contend for one lock.
const SHARD_COUNT: usize = 32;
/// Burst of a workspace, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;
/// Weight of earlier periods in the reported demand.
const DEMAND_HISTORY_WEIGHT: f64 = 0.5;
/// Minimum demand that is reported, in requests per second.
const MIN_DEMAND: f64 = 0.01;

/// Recent demand of a workspace at a host.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct DemandRates {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens per second.
    pub tokens: f64,
}

/// The limit that a request exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OverLimit {
    /// Rate of requests or prompt tokens, with the time until the next attempt can succeed.
    Rate(Duration),
    /// Number of open streams.
    OpenStreams,
}

/// Enforces this host's share of the limits of each workspace.
#[derive(Debug)]
pub(crate) struct Limiter {
    /// Accounts by workspace, in shards with a lock each.
    shards: Vec<Mutex<HashMap<WorkspaceId, Account>>>,
    /// Hashes a workspace to its shard.
    hasher: RandomState,
}

/// Counts one open stream of a workspace until it is dropped.
#[derive(Debug)]
pub(crate) struct AccountGuard {
    /// Limiter that holds the account.
    limiter: Arc<Limiter>,
    /// The workspace.
    workspace: WorkspaceId,
}

/// Usage and limits of one workspace at this host.
#[derive(Debug)]
struct Account {
    /// Tag of the workspace in heartbeats.
    tag: WorkspaceTag,
    /// Rate limit of requests.
    requests: TokenBucket,
    /// Rate limit of prompt tokens.
    tokens: TokenBucket,
    /// Demand for requests, admitted or not.
    requests_offered: DemandMeter,
    /// Demand for prompt tokens, admitted or not.
    tokens_offered: DemandMeter,
    /// Number of open streams.
    open: u32,
    /// Limits of the workspace over all hosts.
    limits: Limits,
    /// This host's share of the rate limits.
    share: DemandRates,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            hasher: RandomState::new(),
        }
    }
}

impl Limiter {
    /// Admits a request, or returns the limit that it exceeds.
    pub(crate) fn admit(
        self: &Arc<Self>,
        workspace: &WorkspaceId,
        limits: &Limits,
        prompt_tokens: u32,
        hosts: u32,
        now: Monotonic,
    ) -> Result<AccountGuard, OverLimit> {
        let mut accounts = self.shard_of(workspace);
        let account = accounts
            .entry(workspace.clone())
            .or_insert_with(|| Account::new(workspace, *limits, hosts, now));
        account.admit(limits, prompt_tokens, now)?;
        Ok(AccountGuard {
            limiter: self.clone(),
            workspace: workspace.clone(),
        })
    }

    /// Ends a reporting period: recomputes this host's shares from the reports of other hosts and returns the
    /// demand at this host. Removes accounts without demand and open streams.
    pub(crate) fn end_period(
        &self,
        reports: &[&HashMap<WorkspaceTag, DemandRates>],
        hosts: u32,
        now: Monotonic,
    ) -> Vec<(WorkspaceTag, DemandRates)> {
        let mut demand = Vec::new();
        for shard in &self.shards {
            let mut accounts = lock(shard);
            accounts.retain(|_, account| {
                let tag = account.tag;
                let reported = reports.iter().map(|of| of.get(&tag).copied().unwrap_or_default());
                let own = account.end_period(reported, hosts, now);
                if own.requests >= MIN_DEMAND {
                    demand.push((tag, own));
                }
                own.requests >= MIN_DEMAND || account.open > 0
            });
        }
        demand
    }

    fn shard_of(&self, workspace: &WorkspaceId) -> MutexGuard<'_, HashMap<WorkspaceId, Account>> {
        let index = self.hasher.hash_one(workspace) as usize % SHARD_COUNT;
        lock(&self.shards[index])
    }
}

impl Account {
    /// Creates an account with an equal share for each host, as no demand has been reported yet.
    fn new(workspace: &str, limits: Limits, hosts: u32, now: Monotonic) -> Self {
        let fraction = 1.0 / f64::from(hosts.max(1));
        let share = DemandRates {
            requests: limits.requests_per_second * fraction,
            tokens: limits.prompt_tokens_per_second * fraction,
        };
        Self {
            tag: WorkspaceTag::of(workspace),
            requests: TokenBucket::new(share.requests, burst(share.requests), now),
            tokens: TokenBucket::new(share.tokens, burst(share.tokens), now),
            requests_offered: DemandMeter::new(now),
            tokens_offered: DemandMeter::new(now),
            open: 0,
            limits,
            share,
        }
    }

    fn admit(&mut self, limits: &Limits, prompt_tokens: u32, now: Monotonic) -> Result<(), OverLimit> {
        self.apply_limits(limits, now);
        self.requests_offered.offer(1.0);
        self.tokens_offered.offer(f64::from(prompt_tokens));
        if self.open >= self.open_limit() {
            return Err(OverLimit::OpenStreams);
        }
        self.tokens.take(0.0, now).map_err(OverLimit::Rate)?;
        self.requests.take(1.0, now).map_err(OverLimit::Rate)?;
        let taken = self.tokens.take(f64::from(prompt_tokens), now);
        taken.map_err(OverLimit::Rate)?;
        self.open += 1;
        Ok(())
    }

    /// Applies limits that a release note changed. This host keeps its fraction of them.
    fn apply_limits(&mut self, limits: &Limits, now: Monotonic) {
        if self.limits == *limits {
            return;
        }
        let requests = self.share.requests / self.limits.requests_per_second.max(f64::MIN_POSITIVE);
        let tokens = self.share.tokens / self.limits.prompt_tokens_per_second.max(f64::MIN_POSITIVE);
        self.limits = *limits;
        self.set_share(
            DemandRates {
                requests: requests.min(1.0) * limits.requests_per_second,
                tokens: tokens.min(1.0) * limits.prompt_tokens_per_second,
            },
            now,
        );
    }

    fn end_period(
        &mut self,
        reported: impl Iterator<Item = DemandRates> + Clone,
        hosts: u32,
        now: Monotonic,
    ) -> DemandRates {
        let own = DemandRates {
            requests: self.requests_offered.report(DEMAND_HISTORY_WEIGHT, now),
            tokens: self.tokens_offered.report(DEMAND_HISTORY_WEIGHT, now),
        };
        // Without a report the equal share of a new account stays.
        let report_count = reported.clone().count();
        if report_count > 0 || hosts <= 1 {
            let others = f64::from(hosts.saturating_sub(1)) / report_count.max(1) as f64;
            let sum = |of: fn(&DemandRates) -> f64| others * reported.clone().map(|r| of(&r)).sum::<f64>();
            let share = DemandRates {
                requests: share_of_limit(self.limits.requests_per_second, own.requests, sum(|r| r.requests)),
                tokens: share_of_limit(
                    self.limits.prompt_tokens_per_second,
                    own.tokens,
                    sum(|r| r.tokens),
                ),
            };
            self.set_share(share, now);
        }
        own
    }

    fn set_share(&mut self, share: DemandRates, now: Monotonic) {
        self.requests.set(share.requests, burst(share.requests), now);
        self.tokens.set(share.tokens, burst(share.tokens), now);
        self.share = share;
    }

    /// Returns the maximum number of open streams at this host, at least 1.
    fn open_limit(&self) -> u32 {
        let fraction = self.share.requests / self.limits.requests_per_second.max(f64::MIN_POSITIVE);
        let limit = fraction.min(1.0) * f64::from(self.limits.open_streams);
        (limit.ceil() as u32).max(1).min(self.limits.open_streams)
    }
}

impl Drop for AccountGuard {
    fn drop(&mut self) {
        if let Some(account) = self.limiter.shard_of(&self.workspace).get_mut(&self.workspace) {
            account.open = account.open.saturating_sub(1);
        }
    }
}

/// Returns this host's share of a limit, from its own demand and the total demand at all other hosts.
/// Callers extrapolate that total from the hosts that reported, so the cost does not grow with the number of
/// hosts.
fn share_of_limit(limit: f64, own: f64, others: f64) -> f64 {
    if others > 0.0 {
        rate_share(limit, own, [own, others])
    } else {
        limit
    }
}

/// Returns the capacity of a token bucket with this rate. It is at least 1, which lets one request pass.
fn burst(rate: f64) -> f64 {
    (rate * BURST_SECONDS).max(1.0)
}

fn lock(shard: &Mutex<HashMap<WorkspaceId, Account>>) -> MutexGuard<'_, HashMap<WorkspaceId, Account>> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: Limits = Limits {
        requests_per_second: 90.0,
        prompt_tokens_per_second: 1e9,
        open_streams: 1_000_000,
    };

    /// Returns the number of requests that the hosts admit in the last 10 of 20 seconds. `offered` holds the
    /// requests per second at each host.
    fn admitted(offered: &[u32], with_reports: bool) -> usize {
        let workspace: WorkspaceId = "mill".into();
        let limiters: Vec<_> = offered.iter().map(|_| Arc::new(Limiter::default())).collect();
        let hosts = offered.len() as u32;
        let mut reports: Vec<HashMap<WorkspaceTag, DemandRates>> = vec![HashMap::new(); offered.len()];
        let mut count = 0;
        for second in 0..20_u64 {
            for (limiter, rate) in limiters.iter().zip(offered) {
                for n in 0..*rate {
                    let now = Duration::from_secs(second) + Duration::from_secs(1) * n / *rate;
                    let taken = limiter.admit(&workspace, &LIMITS, 1, hosts, now).is_ok();
                    count += usize::from(taken && second >= 10);
                }
            }
            for (i, limiter) in limiters.iter().enumerate() {
                let others = reports
                    .iter()
                    .enumerate()
                    .filter(|(j, _)| with_reports && *j != i);
                let others: Vec<_> = others.map(|(_, report)| report).collect();
                let own = limiter.end_period(&others, hosts, Duration::from_secs(second + 1));
                reports[i] = own.into_iter().collect();
            }
        }
        count
    }

    #[test]
    fn a_limit_holds_over_nine_hosts_however_the_load_is_spread() {
        for offered in [
            [20; 9],
            [180, 0, 0, 0, 0, 0, 0, 0, 0],
            [100, 50, 20, 10, 5, 5, 5, 5, 5],
        ] {
            let count = admitted(&offered, true) as f64;
            assert!((count / 900.0 - 1.0).abs() <= 0.1, "{offered:?}: {count} of 900");
        }
    }

    #[test]
    fn without_reports_no_more_than_the_limit_is_admitted() {
        assert!(admitted(&[180, 0, 0, 0, 0, 0, 0, 0, 0], false) <= 110);
        assert!(admitted(&[20; 9], false) <= 990);
    }

    #[test]
    fn a_closed_stream_frees_its_slot() {
        let limiter = Arc::new(Limiter::default());
        let limits = Limits {
            open_streams: 1,
            ..LIMITS
        };
        let workspace: WorkspaceId = "mill".into();
        let admit = || limiter.admit(&workspace, &limits, 1, 1, Duration::from_secs(1));
        let first = admit().unwrap();
        assert_eq!(admit().unwrap_err(), OverLimit::OpenStreams);
        drop(first);
        assert!(admit().is_ok());
    }
}
