/// Why a chart is refused, or an event in a state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ChartError {
    /// The text is not a chart.
    #[error("the chart can not be read: {problem}")]
    Syntax {
        /// What the parser found.
        problem: String,
    },
    /// A state is named that the chart does not have.
    #[error("there is no state {state}")]
    UnknownState {
        /// The name.
        state: String,
    },
    /// An event is named that the chart does not have.
    #[error("there is no event {event}")]
    UnknownEvent {
        /// The name.
        event: String,
    },
    /// No path leads from the initial state to a state.
    #[error("state {state} can not be reached")]
    Unreachable {
        /// The state.
        state: String,
    },
    /// No path leads from a state to an end.
    #[error("state {state} has no way to an end")]
    Endless {
        /// The state.
        state: String,
    },
    /// An end has a transition.
    #[error("state {state} is an end and has a transition")]
    EndWithTransition {
        /// The state.
        state: String,
    },
    /// A state says `not-run` although the request may have been sent.
    #[error("state {state} says not-run after the request may have been sent")]
    FalseNotRun {
        /// The state.
        state: String,
    },
    /// A proof that a target did not run the request leads out of a state where an earlier try may have run.
    #[error("state {state} can not prove not-run for earlier tries")]
    UnsoundProof {
        /// The state.
        state: String,
    },
    /// A state has one event twice.
    #[error("state {state} has two transitions for {event}")]
    Ambiguous {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// The state has no transition for the event.
    #[error("event {event} is not allowed in state {state}")]
    NotAllowed {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
}
