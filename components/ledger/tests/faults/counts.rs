use std::fmt;

/// What was counted.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts {
    pub(crate) calls: usize,
    pub(crate) never_ran: usize,
    pub(crate) ran_once: usize,
    pub(crate) ran_twice: usize,
    /// Callers that got the answer.
    pub(crate) answered: usize,
    /// Callers that were told `may-have-run` at last.
    pub(crate) unknown: usize,
    /// Callers that were told `not-run` at last.
    pub(crate) refused: usize,
    /// Callers that got no reply at all.
    pub(crate) open: usize,
    /// Replies that do not fit what the targets did.
    pub(crate) lies: usize,
    /// Replies that say `not-run` of a try, truly, while an earlier try of the same call ran.
    pub(crate) earlier_ran: usize,
    /// Replies that were checked.
    pub(crate) replies: usize,
    pub(crate) transactions: usize,
    pub(crate) rows: usize,
    /// Times to refusals because of the table service, in milliseconds.
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
        self.open += other.open;
        self.lies += other.lies;
        self.earlier_ran += other.earlier_ran;
        self.replies += other.replies;
        self.transactions += other.transactions;
        self.rows += other.rows;
        self.refusals.extend(&other.refusals);
    }

    /// A quantile of the times to refusals.
    pub(crate) fn refusal_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.refusals.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * quantile) as usize;
        sorted
            .get(at.min(sorted.len().saturating_sub(1)))
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
             {} lies in {} replies, {} say not-run of a later try; {:.2} transactions and {:.2} rows a call",
            self.calls,
            self.never_ran,
            self.ran_once,
            self.ran_twice,
            self.answered,
            self.unknown,
            self.refused,
            self.open,
            self.lies,
            self.replies,
            self.earlier_ran,
            per_call(self.transactions),
            per_call(self.rows),
        )
    }
}
