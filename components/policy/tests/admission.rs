//! Guards the latency of other workspaces while one workspace sends ten times its share. Runs in virtual
//! time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use policy::{FairQueue, QueuedRequest, ShedReason, TokenBucket};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use utils::Monotonic;

const WORKSPACES: usize = 10;
/// Number of drafts that the model's targets run concurrently.
const SLOTS: usize = 20;
/// Prompt tokens that a slot processes per second.
const SPEED: f64 = 5_000.0;
/// Longest prompt, in tokens.
const MAX_PROMPT: f64 = 8_000.0;
/// Share of the targets' capacity that all workspaces use together at their usual demand.
const USUAL_LOAD: f64 = 0.8;
/// Share of the targets' capacity to which each workspace is limited.
const LIMIT: f64 = 0.1;
/// Deadline of the first token, from the arrival of the request.
const DEADLINE: Duration = Duration::from_secs(10);
/// Limit for the relative change of the other workspaces' p95.
const MAX_CHANGE: f64 = 0.1;

/// Returns the 95th percentile of the time to first token of all workspaces but the first, in seconds, and
/// the share of their requests that was refused. The first workspace sends `factor` times its share; each
/// workspace is limited to the share `limit` of the targets' capacity.
fn other_workspaces(seed: u64, factor: f64, limit: f64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let capacity = SLOTS as f64 * SPEED;
    let mean_cost = (500.0 + MAX_PROMPT) / 2.0;
    let rate = capacity * USUAL_LOAD / WORKSPACES as f64 / mean_cost;
    let limit = capacity * limit;
    let mut buckets: Vec<_> = (0..WORKSPACES)
        .map(|_| TokenBucket::new(limit, 4.0 * limit, Monotonic::ZERO))
        .collect();
    let mut next: Vec<f64> = (0..WORKSPACES)
        .map(|i| interarrival(&mut rng, rate, i, factor))
        .collect();
    let mut queue = FairQueue::new(2_000);
    let mut free_at: BinaryHeap<Reverse<Monotonic>> = (0..SLOTS).map(|_| Reverse(Monotonic::ZERO)).collect();
    let mut since = Monotonic::ZERO;
    let (mut times, mut offered, mut refused) = (Vec::new(), 0, 0);
    while times.len() < 20_000 {
        let i = (0..WORKSPACES)
            .min_by(|a, b| next[*a].total_cmp(&next[*b]))
            .unwrap_or_default();
        let now = Duration::from_secs_f64(next[i]);
        serve(&mut queue, &mut free_at, since, now, &mut times);
        since = now;
        next[i] += interarrival(&mut rng, rate, i, factor);
        let req = request(&mut rng, i, now);
        offered += usize::from(i > 0);
        let is_admitted = buckets[i].take(req.cost, now).is_ok() && queue.push(req, now).is_ok();
        refused += usize::from(i > 0 && !is_admitted);
    }
    times.sort_by(f64::total_cmp);
    (times[times.len() * 95 / 100], refused as f64 / offered as f64)
}

fn interarrival(rng: &mut ChaCha8Rng, rate: f64, workspace: usize, factor: f64) -> f64 {
    let rate = if workspace == 0 { rate * factor } else { rate };
    -(1.0 - rng.random::<f64>()).ln() / rate
}

fn request(rng: &mut ChaCha8Rng, workspace: usize, now: Monotonic) -> QueuedRequest {
    let cost = rng.random_range(500.0..MAX_PROMPT);
    QueuedRequest {
        workspace: workspace.to_string().into(),
        weight: 1.0,
        priority: 0,
        cost,
        due: now + DEADLINE,
        expected: Duration::from_secs_f64(cost / SPEED),
    }
}

/// Lets slots that become free before `now` take requests; all queued requests arrived by `since`.
fn serve(
    queue: &mut FairQueue,
    free_at: &mut BinaryHeap<Reverse<Monotonic>>,
    since: Monotonic,
    now: Monotonic,
    times: &mut Vec<f64>,
) {
    while let Some(Reverse(free)) = free_at.peek().copied() {
        let start = free.max(since);
        if start > now {
            return;
        }
        let Some((_, req)) = queue.pop(start).next else {
            return;
        };
        let end = start + req.expected;
        free_at.pop();
        free_at.push(Reverse(end));
        if &*req.workspace != "0" {
            let arrived = req.due - DEADLINE;
            times.push(end.saturating_sub(arrived).as_secs_f64());
        }
    }
}

#[test]
fn a_busy_workspace_does_not_slow_the_others() {
    for seed in 0..5 {
        let (usual, usual_refused) = other_workspaces(seed, 1.0, LIMIT);
        let (busy, busy_refused) = other_workspaces(seed, 10.0, LIMIT);
        let change = busy / usual - 1.0;
        println!(
            "seed {seed}: p95 {usual:.3} s, with a busy workspace {busy:.3} s; refused {usual_refused:.4}, {busy_refused:.4}"
        );
        assert!(change <= MAX_CHANGE, "seed {seed}: {usual} s, {busy} s");
    }
}

#[test]
fn without_a_limit_fair_queueing_still_serves_the_others_in_time() {
    for seed in 0..5 {
        let (usual, _) = other_workspaces(seed, 1.0, f64::INFINITY);
        let (busy, refused) = other_workspaces(seed, 10.0, f64::INFINITY);
        println!("seed {seed}: p95 {usual:.3} s, with a busy workspace {busy:.3} s; refused {refused:.4}");
        assert!(refused < 0.01, "seed {seed}: {refused}");
    }
}

fn waiting(workspace: &str, priority: u8) -> QueuedRequest {
    QueuedRequest {
        workspace: workspace.into(),
        weight: 1.0,
        priority,
        cost: 1_000.0,
        due: Duration::from_secs(10),
        expected: Duration::from_secs(1),
    }
}

#[test]
fn a_request_that_misses_its_deadline_is_refused_early() {
    let mut queue = FairQueue::new(10);
    let late = Duration::from_millis(9_001);
    assert_eq!(queue.push(waiting("mill", 0), late), Err(ShedReason::Deadline));
    queue.push(waiting("mill", 0), Duration::ZERO).expect("room");
    let popped = queue.pop(late);
    assert_eq!((popped.next, popped.expired.len()), (None, 1));
}

#[test]
fn a_full_queue_sheds_the_lowest_priority_first() {
    let mut queue = FairQueue::new(3);
    for priority in [5, 3, 9] {
        queue
            .push(waiting("mill", priority), Duration::ZERO)
            .expect("room");
    }
    assert_eq!(
        queue.push(waiting("mill", 9), Duration::ZERO),
        Err(ShedReason::Overload)
    );
    let pushed = queue.push(waiting("yard", 4), Duration::ZERO).expect("shed");
    assert_eq!(pushed.shed.map(|(_, req)| req.priority), Some(9));
    assert_eq!(queue.len(), 3);
}
