use std::sync::Arc;

use error_stack::Report;

use crate::{Chart, ChartError, EventKey, Machine};

/// The state chart of one attempt at an at-most-once call, with the keys of its events.
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
    /// The insert of the claim is about to be sent.
    pub insert: EventKey,
    /// The insert of the claim took effect.
    pub insert_applied: EventKey,
    /// The answer to the insert was lost.
    pub answer_lost: EventKey,
    /// The row holds the claim of this attempt.
    pub find_own: EventKey,
    /// No row exists for the key.
    pub absent: EventKey,
    /// The row holds a result.
    pub find_settled: EventKey,
    /// The row records that the result is unknown.
    pub find_unknown: EventKey,
    /// The claim belongs to a live host.
    pub find_living: EventKey,
    /// The claim belongs to a dead host.
    pub find_dead: EventKey,
    /// The key was used with a different body.
    pub find_other_body: EventKey,
    /// The claim in the row was abandoned before anything was sent.
    pub find_abandoned: EventKey,
    /// The table service is unavailable.
    pub store_failed: EventKey,
    /// The deadline of the claim has passed.
    pub lapse: EventKey,
    /// The caller disconnected, or no target is available.
    pub give_up: EventKey,
    /// The first byte of the request is about to be sent.
    pub dispatch: EventKey,
    /// The complete answer arrived.
    pub answer: EventKey,
    /// The result of the request at the target is unknown.
    pub lose: EventKey,
    /// The target proved that it did not run the request, and no other target is tried.
    pub refuse_by_target: EventKey,
    /// The target reports that the call ran.
    pub find_ran: EventKey,
    /// Another attempt is in progress, or its result is unknown.
    pub find_open: EventKey,
    /// The request is refused before anything was sent.
    pub refuse: EventKey,
}

impl ClaimChart {
    /// Parses the chart that is compiled into the program.
    ///
    /// # Errors
    /// As for [`Chart::parse`].
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

    /// Creates a machine in the initial state.
    pub fn machine(&self) -> Machine {
        Machine::new(Arc::clone(&self.chart))
    }
}
