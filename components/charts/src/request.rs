use std::sync::Arc;

use error_stack::Report;

use crate::{Chart, ChartError, EventKey, Machine};

/// The chart of a request's life, with the keys of its events.
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
    /// The limits let the request in.
    pub admit: EventKey,
    /// The request is turned away before anything was sent.
    pub refuse: EventKey,
    /// A target was chosen.
    pub place: EventKey,
    /// The ledger holds a claim for the call.
    pub claim: EventKey,
    /// The first byte is about to be sent.
    pub dispatch: EventKey,
    /// A recorded answer was found.
    pub replay: EventKey,
    /// A recorded failure was found.
    pub find_failed: EventKey,
    /// Another try is under way, or its result is not known.
    pub find_open: EventKey,
    /// The first event of the answer came.
    pub stream: EventKey,
    /// The whole answer came.
    pub answer: EventKey,
    /// The target ran the request and failed.
    pub fail: EventKey,
    /// What the target did can not be found out.
    pub lose: EventKey,
    /// The request will be sent again.
    pub retry: EventKey,
    /// The target shows that it did not run the request; it may be placed again.
    pub prove_not_run: EventKey,
    /// The target shows that it did not run the request, and no other is tried.
    pub refuse_by_target: EventKey,
    /// The answer ended early.
    pub cut: EventKey,
}

impl RequestChart {
    /// Reads the chart that is part of the program.
    ///
    /// # Errors
    /// As [`Chart::parse`].
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

    /// A machine in the initial state.
    pub fn machine(&self) -> Machine {
        Machine::new(Arc::clone(&self.chart))
    }
}
