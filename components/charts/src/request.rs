use std::sync::Arc;

use error_stack::Report;

use crate::{Chart, ChartError, EventKey, Machine};

/// The state chart of a request, with the keys of its events.
///
/// ```
/// let chart = charts::RequestChart::load()?;
/// assert_eq!(chart.machine().state().outcome, errors::Outcome::NotRun);
/// # Ok::<(), error_stack::Report<charts::ChartError>>(())
/// ```
#[derive(Debug, Clone)]
pub struct RequestChart {
    /// The chart.
    chart: Arc<Chart>,
    /// The limits admit the request.
    pub admit: EventKey,
    /// The request is refused before anything was sent.
    pub refuse: EventKey,
    /// A target was chosen.
    pub place: EventKey,
    /// The ledger recorded a claim for the call.
    pub claim: EventKey,
    /// The first byte of the request is about to be sent.
    pub dispatch: EventKey,
    /// A recorded answer was found.
    pub replay: EventKey,
    /// A recorded failure was found.
    pub find_failed: EventKey,
    /// Another attempt is in progress, or its result is unknown.
    pub find_open: EventKey,
    /// The first event of the answer arrived.
    pub stream: EventKey,
    /// The complete answer arrived.
    pub answer: EventKey,
    /// The target ran the request and failed.
    pub fail: EventKey,
    /// The result of the request at the target is unknown.
    pub lose: EventKey,
    /// The request will be sent again.
    pub retry: EventKey,
    /// The target proved that it did not run the request, which can be placed again.
    pub prove_not_run: EventKey,
    /// The target proved that it did not run the request, and no other target is tried.
    pub refuse_by_target: EventKey,
    /// The answer was truncated.
    pub cut: EventKey,
}

impl RequestChart {
    /// Parses the chart that is compiled into the program.
    ///
    /// # Errors
    /// As for [`Chart::parse`].
    pub fn load() -> Result<Self, Report<ChartError>> {
        let chart = Arc::new(Chart::parse(include_str!("../charts/request.yaml"))?);
        Ok(Self {
            admit: chart.event("admit")?,
            refuse: chart.event("refuse")?,
            place: chart.event("place")?,
            claim: chart.event("claim")?,
            dispatch: chart.event("dispatch")?,
            replay: chart.event("replay")?,
            find_failed: chart.event("find_failed")?,
            find_open: chart.event("find_open")?,
            stream: chart.event("stream")?,
            answer: chart.event("answer")?,
            fail: chart.event("fail")?,
            lose: chart.event("lose")?,
            retry: chart.event("retry")?,
            prove_not_run: chart.event("prove_not_run")?,
            refuse_by_target: chart.event("refuse_by_target")?,
            cut: chart.event("cut")?,
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
