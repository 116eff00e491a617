//! The rule before `docs/design/load-balancing.md`: the lowest cost among a sample of the engines.

use gateway::{Candidate, Choice, Demand, ReportedLoad, TimeParts, Work};
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// Chooses the candidate with the lowest cost among the owners, the engines that surely cache the prompt, three near
/// ones and a far one; among all if there are few hosts.
pub(crate) fn choose(
    demand: &Demand,
    candidates: &[Candidate],
    hosts: usize,
    rng: &mut StdRng,
) -> Option<Choice> {
    let is_owner = |index: &usize| hosts < 16 || *index < 2 || candidates[*index].cache_hit_chance >= 0.88;
    let (mut sample, others): (Vec<_>, Vec<_>) = (0..candidates.len()).partition(is_owner);
    let is_near = |index: &usize| candidates[*index].distance < 2;
    let (near, far): (Vec<usize>, Vec<usize>) = others.into_iter().partition(is_near);
    sample.extend(near.sample(rng, 3));
    sample.extend(far.sample(rng, 1));
    let choices = |indexes: Vec<usize>, rng: &mut StdRng| {
        let shift: usize = rng.random_range(0..indexes.len());
        let choices: Vec<_> = indexes
            .iter()
            .enumerate()
            .map(|(i, index)| {
                let parts = time_parts(demand, &candidates[*index]);
                let expected_ms = demand.pace.expected_ms(&parts);
                let tie_break = 1e-4 * ((i + shift) % indexes.len()) as f64;
                let cost = cost(demand, &candidates[*index], expected_ms) + tie_break;
                Choice {
                    index: *index,
                    cost,
                    expected_ms,
                    parts,
                }
            })
            .collect();
        choices
    };
    let has_room = |choice: &Choice| has_room(demand, &candidates[choice.index]);
    let cheapest = |choices: Vec<Choice>| choices.into_iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
    let sampled = choices(sample, rng);
    let fitting = cheapest(sampled.into_iter().filter(has_room).collect());
    fitting.or_else(|| {
        let all = choices((0..candidates.len()).collect(), rng);
        if all.iter().any(has_room) {
            return cheapest(all.into_iter().filter(has_room).collect());
        }
        let is_waiting = candidates.iter().map(|c| c.waiting).sum::<f64>() >= 1.0;
        if is_waiting { None } else { cheapest(all) }
    })
}

fn has_room(demand: &Demand, c: &Candidate) -> bool {
    let (fill, waiting) = [(1.1, 8.0), (0.95, 2.0), (0.85, 0.7)][usize::from(demand.priority).min(2)];
    c.memory.0 + f64::from(demand.memory) <= c.memory.1 as f64 * fill && c.waiting <= waiting
}

pub(crate) fn time_parts(demand: &Demand, c: &Candidate) -> TimeParts {
    let slots = f64::from(c.slots.max(1));
    let to_prefill = f64::from(demand.prompt_tokens) - c.cache_hit_chance * f64::from(demand.shared_tokens);
    let overflow_ms = (c.requests + 1.0 - slots).max(0.0) * 45.0;
    TimeParts {
        fixed_ms: [0.2, 3.0, 17.0][c.distance] + 45.0 + c.requests * 2.0 + overflow_ms,
        prefill_ms: (c.prefill_backlog as f64 + to_prefill) / 80.0,
        queue_ms: c.queued * 50.0,
    }
}

pub(crate) fn cost(demand: &Demand, c: &Candidate, expected_ms: f64) -> f64 {
    let share = expected_ms / (demand.latency_target.as_secs_f64() * 1e3);
    let risk = ((share - 0.4) / 0.6).clamp(0.0, 1.0);
    let recompute = (1.0 - c.cache_hit_chance) * f64::from(demand.shared_tokens) / 1e3 * 0.25;
    0.8 * risk + 0.3 * share + recompute + [0.0, 0.02, 0.08][c.distance]
}

/// The load estimate before the change. Own requests of the present are taken out of old reports, a reported queue
/// decays to none, and the load of other hosts to the own one.
#[derive(Debug, Clone, Default)]
pub(crate) struct OldLoad {
    pub own: f64,
    own_memory: f64,
    pub prefill: u64,
    unanswered: Vec<u64>,
    others: f64,
    waiting: f64,
    queued: (f64, u64),
    memory: (f64, u64),
    reported_at: u64,
}

impl OldLoad {
    pub(crate) fn start(&mut self, work: Work, now: u64) {
        self.own += 1.0;
        self.unanswered.push(now);
        self.own_memory += work.memory as f64;
        self.prefill += work.prefill_tokens;
    }

    pub(crate) fn first_byte(&mut self, tokens: u64, sent_at: u64) {
        self.prefill -= tokens;
        self.unanswered.retain(|at| *at != sent_at);
    }

    pub(crate) fn end(&mut self, work: Work) {
        self.own -= 1.0;
        self.own_memory -= work.memory as f64;
    }

    pub(crate) fn answer(&mut self, running: u32, waiting: u32, now: u64) {
        self.others = (f64::from(running + waiting) - self.own).max(0.0);
        self.waiting = f64::from(waiting);
        self.reported_at = now;
    }

    pub(crate) fn report(&mut self, load: ReportedLoad, at: u64) {
        self.memory = ((load.memory as f64 - self.own_memory).max(0.0), at);
        let queued = f64::from(load.waiting + load.prefilling) - self.unanswered.len() as f64;
        self.queued = (queued.max(0.0), at);
        if at > self.reported_at {
            self.answer(load.running, load.waiting, at);
        }
    }

    /// Returns the requests, the waiting and queued ones, and the memory. A request of another host is assumed to hold
    /// `each` tokens.
    pub(crate) fn at(&self, expected: f64, each: f64, now: u64) -> (f64, f64, f64, f64) {
        let weight = |at: u64| 0.5f64.powf(now.saturating_sub(at) as f64 / 1e3);
        let fresh = weight(self.reported_at);
        let others = self.others * fresh + expected * (1.0 - fresh);
        let overdue = self.unanswered.iter().filter(|at| now > **at + 250).count();
        let waiting = (self.waiting * fresh).max(overdue as f64);
        let queued = (self.queued.0 * weight(self.queued.1)).max(waiting - self.unanswered.len() as f64);
        let fresh = weight(self.memory.1);
        let memory = self.memory.0 * fresh + others * each * (1.0 - fresh);
        (self.own + others, waiting, queued, self.own_memory + memory)
    }
}
