/// Errors of parsing and checking a chart, and of firing an event.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ChartError {
    /// The text is not a chart.
    #[error("the chart can not be read: {problem}")]
    Syntax {
        /// Message of the parser.
        problem: String,
    },
    /// The chart refers to a state that it does not define.
    #[error("there is no state {state}")]
    UnknownState {
        /// Its name.
        state: String,
    },
    /// The chart has no event with this name.
    #[error("there is no event {event}")]
    UnknownEvent {
        /// Its name.
        event: String,
    },
    /// A state is not reachable from the initial state.
    #[error("state {state} can not be reached")]
    Unreachable {
        /// Name of the state.
        state: String,
    },
    /// No path leads from a state to a final state.
    #[error("state {state} has no way to an end")]
    Endless {
        /// Name of the state.
        state: String,
    },
    /// A final state has a transition.
    #[error("state {state} is an end and has a transition")]
    EndWithTransition {
        /// Name of the state.
        state: String,
    },
    /// A state has the outcome `not-run` although the request may have been sent.
    #[error("state {state} says not-run after the request may have been sent")]
    FalseNotRun {
        /// Name of the state.
        state: String,
    },
    /// A transition proves `not-run` in a state in which an earlier attempt may have run.
    #[error("state {state} can not prove not-run for earlier tries")]
    UnsoundProof {
        /// Name of the state.
        state: String,
    },
    /// A state has two transitions for one event.
    #[error("state {state} has two transitions for {event}")]
    Ambiguous {
        /// Name of the state.
        state: String,
        /// Name of the event.
        event: String,
    },
    /// The state has no transition for the event.
    #[error("event {event} is not allowed in state {state}")]
    NotAllowed {
        /// Name of the state.
        state: String,
        /// Name of the event.
        event: String,
    },
}
