//! Hosts that share a retry budget while many of them end and start again, in virtual time.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use gateway::{RetryBudget, SlotHosts};
use support::ms;
use utils::HostId;

const HOSTS: usize = 82;
/// Requests per second of the service, over all hosts.
const RATE: u64 = 400;
const RATIO: f64 = 0.2;
const SLACK: f64 = 204.0;
const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 10;
const END_MS: u64 = 60_000;
/// Time from which every attempt fails, so that each host spends all it can.
const FAILING_FROM_MS: u64 = 20_000;
/// Time that a host takes to start again, and then to read the list of hosts.
const RESTART_MS: u64 = 500;
const LIST_DELAY_MS: u64 = 2_000;

/// One host: its budget and its list of hosts.
struct Host {
    budget: RetryBudget,
    list: SlotHosts,
    listed: usize,
    started_at: u64,
}

impl Host {
    fn start(number: usize, now: u64) -> Self {
        let window = Duration::from_millis(WINDOW_MS);
        Self {
            budget: RetryBudget::new(RATIO, SLACK, window),
            list: SlotHosts::new(name(number)),
            listed: 0,
            started_at: now,
        }
    }

    /// Updates the list of hosts, which a host reads a while after its start.
    fn read_list(&mut self, listed: usize, now: u64) {
        if now < self.started_at + LIST_DELAY_MS {
            return;
        }
        if self.listed != listed {
            let names: Vec<_> = (0..listed).map(name).collect();
            self.list.update(names.iter(), ms(now));
            self.listed = listed;
        }
        self.list.expire(ms(now));
        self.list.confirm(ms(now));
    }

    fn try_take(&mut self, now: u64) -> bool {
        let share = self.list.slack_share(Duration::from_millis(WINDOW_MS), ms(now));
        self.budget.try_take(share, ms(now))
    }
}

fn name(number: usize) -> HostId {
    format!("host-{number:02}").into()
}

/// What happens to a share of the hosts.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// The hosts are killed together at these times.
    Kill(&'static [u64]),
    /// The hosts end in turn from this time on, one each 200 ms, and leave the list.
    Roll(u64),
    /// The store lists only one host from this time on, as it was restored from an older copy.
    Unlisted(u64),
}

/// Requests and retries of each step.
type Arrivals = Vec<(u32, u32)>;

/// Plays the trouble with a share of the hosts.
fn play(trouble: Trouble, affected: usize) -> Arrivals {
    let mut hosts: Vec<Host> = (0..HOSTS).map(|number| Host::start(number, 0)).collect();
    let mut down: VecDeque<(u64, usize)> = VecDeque::new();
    let mut arrivals = Vec::new();
    let (mut due, mut next_caller) = (0, 0);
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        match trouble {
            Trouble::Kill(times) if times.contains(&now) => {
                down.extend((0..affected).map(|host| (now + RESTART_MS, host)));
            }
            Trouble::Roll(from) if now >= from && (now - from).is_multiple_of(200) => {
                let host = ((now - from) / 200) as usize;
                if host < affected {
                    down.push_back((now + RESTART_MS, host));
                }
            }
            _ => {}
        }
        while down.front().is_some_and(|(until, _)| *until <= now) {
            let (_, host) = down.pop_front().unwrap();
            hosts[host] = Host::start(host, now);
        }
        let is_down = |host: usize| down.iter().any(|(_, other)| *other == host);
        let listed = match trouble {
            Trouble::Unlisted(from) if now >= from => 1,
            Trouble::Roll(_) => HOSTS - down.len(),
            _ => HOSTS,
        };
        let (mut requests, mut retries) = (0, 0);
        due += RATE * STEP_MS;
        while due >= 1_000 {
            due -= 1_000;
            next_caller = (next_caller + 7) % HOSTS;
            let host = (0..HOSTS)
                .map(|i| (next_caller + i) % HOSTS)
                .find(|host| !is_down(*host));
            let Some(host) = host.map(|host| &mut hosts[host]) else {
                continue;
            };
            host.read_list(listed, now);
            host.budget.record_request(ms(now));
            requests += 1;
            let is_failing = now >= FAILING_FROM_MS;
            retries += u32::from(is_failing && host.try_take(now));
            // A second retry of the same request.
            retries += u32::from(is_failing && host.try_take(now));
        }
        arrivals.push((requests, retries));
    }
    arrivals
}

/// Returns the largest excess of the retries of any window over what the deployment allows.
fn largest_excess(arrivals: &Arrivals) -> f64 {
    let window = (WINDOW_MS / STEP_MS) as usize;
    let sum = |range: std::ops::Range<usize>, of: fn(&(u32, u32)) -> u32| -> f64 {
        arrivals[range].iter().map(|step| f64::from(of(step))).sum()
    };
    let starts = (window..arrivals.len() - window).step_by(20);
    let excess = starts.map(|start| {
        let retries = sum(start..start + window, |(_, retries)| *retries);
        let requests = [start, start - window / 2, start - window]
            .map(|start| sum(start..start + window, |(requests, _)| *requests));
        retries - RATIO * requests.into_iter().fold(0.0, f64::max) - SLACK
    });
    excess.fold(f64::MIN, f64::max)
}

fn assert_within_budget(trouble: Trouble, affected: usize) {
    let arrivals = play(trouble, affected);
    let retries: u32 = arrivals.iter().map(|(_, retries)| retries).sum();
    let excess = largest_excess(&arrivals);
    println!("{trouble:?} of {affected}: {retries} retries, {excess:.0} beyond the budget at most");
    assert!(
        excess <= 0.0,
        "{trouble:?} of {affected} hosts: {excess:.0} retries beyond the budget"
    );
}

// Guards against a host that takes the whole slack of all hosts before it has read which hosts there are.
#[test]
fn hosts_that_start_together_stay_within_the_retry_budget() {
    for affected in [5, HOSTS / 2, HOSTS * 3 / 5, HOSTS * 4 / 5, HOSTS] {
        assert_within_budget(Trouble::Kill(&[20_500]), affected);
        assert_within_budget(Trouble::Kill(&[24_000]), affected);
        assert_within_budget(Trouble::Kill(&[24_000, 28_000, 32_000]), affected);
    }
}

// Guards against shares of hosts that end, which the others spend a second time.
#[test]
fn hosts_that_leave_the_list_do_not_free_what_they_have_spent() {
    assert_within_budget(Trouble::Roll(24_000), HOSTS);
    assert_within_budget(Trouble::Unlisted(24_000), 0);
}
