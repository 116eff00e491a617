use std::collections::BTreeMap;

use errors::Outcome;
use serde::Deserialize;

/// A chart as it stands in its file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartSpec {
    /// Name of the chart.
    pub(crate) name: String,
    /// State of a new machine.
    pub(crate) initial: String,
    /// State in which the request may first have been sent.
    pub(crate) sent: Option<String>,
    /// States by name.
    pub(crate) states: BTreeMap<String, StateSpec>,
}

/// A state as it stands in its file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StateSpec {
    /// What a caller may be told.
    pub(crate) outcome: Outcome,
    /// Whether nothing follows.
    #[serde(default)]
    pub(crate) end: bool,
    /// Next state by event.
    #[serde(default)]
    pub(crate) on: BTreeMap<String, String>,
    /// Next state by event that proves that the target did not run the request.
    #[serde(default)]
    pub(crate) proved: BTreeMap<String, String>,
}

impl StateSpec {
    /// All transitions.
    pub(crate) fn transitions(&self) -> impl Iterator<Item = (&String, &String)> {
        self.on.iter().chain(&self.proved)
    }
}
