use std::sync::Arc;

use error_stack::Report;

use crate::{Chart, ChartError, EventKey, State, StateKey};

/// A state machine that follows a chart.
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
    /// Returns the current state.
    state: StateKey,
}

impl Machine {
    /// Creates a machine in the chart's initial state.
    pub fn new(chart: Arc<Chart>) -> Self {
        let state = chart.initial();
        Self { chart, state }
    }

    /// Returns the current state.
    pub fn state(&self) -> &State {
        self.chart.state(self.state)
    }

    /// Returns the key of the current state.
    pub fn key(&self) -> StateKey {
        self.state
    }

    /// Moves to the next state for an event and returns it. Allocates only on an error.
    ///
    /// # Errors
    /// [`ChartError::NotAllowed`] if the current state has no transition for the event; the state does not
    /// change.
    pub fn fire(&mut self, event: EventKey) -> Result<&State, Report<ChartError>> {
        match self.chart.next(self.state, event) {
            Some(next) => {
                self.state = next;
                Ok(self.chart.state(next))
            }
            None => Err(self.not_allowed(event)),
        }
    }

    fn not_allowed(&self, event: EventKey) -> Report<ChartError> {
        Report::new(ChartError::NotAllowed {
            state: self.state().name.clone(),
            event: self.chart.event_name(event).to_owned(),
        })
    }
}
