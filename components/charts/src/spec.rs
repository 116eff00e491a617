use std::collections::BTreeMap;

use errors::Outcome;
use serde::Deserialize;

/// A chart as written in its file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartSpec {
    /// Name of the chart.
    pub(crate) name: String,
    /// Initial state of a machine.
    pub(crate) initial: String,
    /// First state in which the request may have been sent.
    pub(crate) sent: Option<String>,
    /// States by name.
    pub(crate) states: BTreeMap<String, StateSpec>,
}

/// A state as written in its file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StateSpec {
    /// Outcome that is reported to the caller.
    pub(crate) outcome: Outcome,
    /// Whether the state is final.
    #[serde(default)]
    pub(crate) end: bool,
    /// Next state by event.
    #[serde(default)]
    pub(crate) on: BTreeMap<String, String>,
    /// Next state by event, for events by which the target proves that it did not run the request.
    #[serde(default)]
    pub(crate) proved: BTreeMap<String, String>,
}

impl StateSpec {
    /// Returns all transitions.
    pub(crate) fn transitions(&self) -> impl Iterator<Item = (&String, &String)> {
        self.on.iter().chain(&self.proved)
    }
}
