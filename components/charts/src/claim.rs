use std::sync::Arc;

use error_stack::Report;

use crate::{Chart, ChartError, EventKey, Machine};

/// The chart of one try at a call that must not be repeated, with the keys of its events.
///
/// ```
/// let chart = charts::ClaimChart::load()?;
/// assert_eq!(chart.machine().state().outcome, errors::Outcome::NotRun);
/// # Ok::<(), error_stack::Report<charts::ChartError>>(())
/// ```
#[derive(Debug, Clone)]
pub struct ClaimChart {
    /// The chart.
    chart: Arc<Chart>,
    /// The claim is about to be inserted.
    pub insert: EventKey,
    /// The claim's insert took effect.
    pub insert_applied: EventKey,
    /// The answer of the insert is lost.
    pub answer_lost: EventKey,
    /// The row is this try's own claim.
    pub find_own: EventKey,
    /// There is no row for the key.
    pub absent: EventKey,
    /// The row holds a result.
    pub find_settled: EventKey,
    /// The row says that the result is not known.
    pub find_unknown: EventKey,
    /// A living host holds the claim.
    pub find_living: EventKey,
    /// A dead host holds the claim.
    pub find_dead: EventKey,
    /// The key was used with another body.
    pub find_other_body: EventKey,
    /// The row was given up before anything was sent.
    pub find_abandoned: EventKey,
    /// The table service is out of reach.
    pub store_failed: EventKey,
    /// The deadline of the claim has passed.
    pub lapse: EventKey,
    /// The caller is gone or no target can be used.
    pub give_up: EventKey,
    /// The first byte is about to be sent.
    pub dispatch: EventKey,
    /// The whole answer came.
    pub answer: EventKey,
    /// What the target did can not be found out.
    pub lose: EventKey,
    /// The target shows that it did not run the request, and no other is tried.
    pub refuse_by_target: EventKey,
    /// The target says that the call ran.
    pub find_ran: EventKey,
    /// Another try is under way, or its result is not known.
    pub find_open: EventKey,
    /// The request is turned away before anything was sent.
    pub refuse: EventKey,
}

impl ClaimChart {
    /// Reads the chart that is part of the program.
    ///
    /// # Errors
    /// As [`Chart::parse`].
    pub fn load() -> Result<Self, Report<ChartError>> {
        let chart = Arc::new(Chart::parse(include_str!("../charts/claim.yaml"))?);
        Ok(Self {
            insert: chart.event("insert")?,
            insert_applied: chart.event("insert_applied")?,
            answer_lost: chart.event("answer_lost")?,
            find_own: chart.event("find_own")?,
            absent: chart.event("absent")?,
            find_settled: chart.event("find_settled")?,
            find_unknown: chart.event("find_unknown")?,
            find_living: chart.event("find_living")?,
            find_dead: chart.event("find_dead")?,
            find_other_body: chart.event("find_other_body")?,
            find_abandoned: chart.event("find_abandoned")?,
            store_failed: chart.event("store_failed")?,
            lapse: chart.event("lapse")?,
            give_up: chart.event("give_up")?,
            dispatch: chart.event("dispatch")?,
            answer: chart.event("answer")?,
            lose: chart.event("lose")?,
            refuse_by_target: chart.event("refuse_by_target")?,
            find_ran: chart.event("find_ran")?,
            find_open: chart.event("find_open")?,
            refuse: chart.event("refuse")?,
            chart,
        })
    }

    /// The chart.
    pub fn chart(&self) -> &Chart {
        &self.chart
    }

    /// A machine in the initial state.
    pub fn machine(&self) -> Machine {
        Machine::new(Arc::clone(&self.chart))
    }
}
