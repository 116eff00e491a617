use std::sync::Arc;

use error_stack::Report;

use crate::{Chart, ChartError, EventKey, State, StateKey};

/// One object's place in a chart.
///
/// ```
/// let chart = charts::RequestChart::load()?;
/// let mut machine = chart.machine();
/// assert_eq!(machine.fire(chart.admit)?.name, "admitted");
/// assert!(machine.fire(chart.answer).is_err());
/// assert_eq!(machine.state().name, "admitted");
/// # Ok::<(), error_stack::Report<charts::ChartError>>(())
/// ```
#[derive(Debug, Clone)]
pub struct Machine {
    /// The chart.
    chart: Arc<Chart>,
    /// The current state.
    state: StateKey,
}

impl Machine {
    /// A machine in the chart's initial state.
    pub fn new(chart: Arc<Chart>) -> Self {
        let state = chart.initial();
        Self { chart, state }
    }

    /// The current state.
    pub fn state(&self) -> &State {
        self.chart.state(self.state)
    }

    /// Key of the current state.
    pub fn key(&self) -> StateKey {
        self.state
    }

    /// Goes to the next state; allocates only on an error.
    ///
    /// # Errors
    /// [`ChartError::NotAllowed`]; the state stays as it is.
    pub fn fire(&mut self, event: EventKey) -> Result<&State, Report<ChartError>> {
        match self.chart.next(self.state, event) {
            Some(next) => {
                self.state = next;
                Ok(self.chart.state(next))
            }
            None => Err(self.refuse(event)),
        }
    }

    fn refuse(&self, event: EventKey) -> Report<ChartError> {
        Report::new(ChartError::NotAllowed {
            state: self.state().name.clone(),
            event: self.chart.event_name(event).to_owned(),
        })
    }
}
