use std::fmt;

/// Counters of a simulation run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    pub(crate) calls: usize,
    pub(crate) never_ran: usize,
    pub(crate) ran_once: usize,
    pub(crate) ran_twice: usize,
    /// Callers that received the answer.
    pub(crate) answered: usize,
    /// Callers whose last reply is `may-have-run`.
    pub(crate) unknown: usize,
    /// Callers whose last reply is `not-run`.
    pub(crate) refused: usize,
    /// Callers without any reply.
    pub(crate) unanswered: usize,
    /// Replies that contradict what the targets ran.
    pub(crate) false_replies: usize,
    /// Replies that state `not-run` for an attempt while an earlier attempt at the same call ran.
    pub(crate) earlier_ran: usize,
    /// Replies checked.
    pub(crate) replies: usize,
    pub(crate) transactions: usize,
    pub(crate) rows: usize,
    /// Times from a request to its refusal because of the table service, in milliseconds.
    pub(crate) refusals: Vec<u64>,
}

impl Counts {
    pub(crate) fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.never_ran += other.never_ran;
        self.ran_once += other.ran_once;
        self.ran_twice += other.ran_twice;
        self.answered += other.answered;
        self.unknown += other.unknown;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        self.false_replies += other.false_replies;
        self.earlier_ran += other.earlier_ran;
        self.replies += other.replies;
        self.transactions += other.transactions;
        self.rows += other.rows;
        self.refusals.extend(&other.refusals);
    }

    /// Returns a quantile of the times to refusals, in milliseconds.
    pub(crate) fn refusal_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.refusals.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * quantile) as usize;
        sorted
            .get(index.min(sorted.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let per_call = |n: usize| n as f64 / self.calls.max(1) as f64;
        write!(
            f,
            "{} calls ran 0/1/2 times: {}/{}/{}; last reply ran {}, may-have-run {}, not-run {}, none {}; \
             {} of {} replies false, {} state not-run for a later attempt; \
             {:.2} transactions and {:.2} rows a call",
            self.calls,
            self.never_ran,
            self.ran_once,
            self.ran_twice,
            self.answered,
            self.unknown,
            self.refused,
            self.unanswered,
            self.false_replies,
            self.replies,
            self.earlier_ran,
            per_call(self.transactions),
            per_call(self.rows),
        )
    }
}
