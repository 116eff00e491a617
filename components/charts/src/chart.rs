use std::collections::BTreeSet;

use error_stack::Report;
use errors::Outcome;

use crate::ChartError;
use crate::check::check;
use crate::spec::ChartSpec;

/// Index of a state in its chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StateKey(u16);

/// Index of an event in its chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EventKey(u16);

/// A state of a chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    /// Name in the chart's file.
    pub name: String,
    /// Outcome that is reported to the caller in this state.
    pub outcome: Outcome,
    /// Whether the state is final.
    pub is_end: bool,
    /// Next state, indexed by event; `None` if the event is not allowed.
    next: Vec<Option<StateKey>>,
}

/// A checked state chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chart {
    /// Name in the chart's file.
    name: String,
    /// Initial state of a machine.
    initial: StateKey,
    /// States in the order of their names.
    states: Vec<State>,
    /// Names of the events, sorted.
    events: Vec<String>,
}

impl Chart {
    /// Parses and checks a chart.
    ///
    /// ```
    /// let text = "
    /// name: door
    /// initial: open
    /// states:
    ///   open: {outcome: not-run, on: {shut: closed}}
    ///   closed: {outcome: ran, end: true}
    /// ";
    /// let chart = charts::Chart::parse(text)?;
    /// assert_eq!(chart.name(), "door");
    /// # Ok::<(), error_stack::Report<charts::ChartError>>(())
    /// ```
    ///
    /// # Errors
    /// [`ChartError`] if the text is not a chart or the chart fails a check, for example has an unknown or
    /// unreachable state, a state without a path to a final state, or a state with outcome `not-run` after
    /// the request may have been sent.
    pub fn parse(text: &str) -> Result<Self, Report<ChartError>> {
        let spec: ChartSpec = serde_saphyr::from_str(text).map_err(|e| {
            let problem = e.to_string();
            ChartError::Syntax { problem }
        })?;
        check(&spec)?;
        Self::build(&spec)
    }

    fn build(spec: &ChartSpec) -> Result<Self, Report<ChartError>> {
        let names: Vec<&String> = spec.states.keys().collect();
        let events: BTreeSet<&String> = spec
            .states
            .values()
            .flat_map(|s| s.transitions().map(|(event, _)| event))
            .collect();
        let events: Vec<String> = events.into_iter().cloned().collect();
        let state_key = |name: &String| {
            let found = names.binary_search(&name).map(|i| StateKey(i as u16));
            found.map_err(|_| Report::new(ChartError::UnknownState { state: name.clone() }))
        };
        let mut states = Vec::with_capacity(names.len());
        for (name, state) in &spec.states {
            let mut next = vec![None; events.len()];
            for (event, to) in state.transitions() {
                if let Ok(i) = events.binary_search(event) {
                    next[i] = Some(state_key(to)?);
                }
            }
            states.push(State {
                name: name.clone(),
                outcome: state.outcome,
                is_end: state.end,
                next,
            });
        }
        Ok(Self {
            name: spec.name.clone(),
            initial: state_key(&spec.initial)?,
            states,
            events,
        })
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Initial state of a machine.
    pub fn initial(&self) -> StateKey {
        self.initial
    }

    /// Returns the key of the event with this name.
    ///
    /// # Errors
    /// [`ChartError::UnknownEvent`] if the chart has no such event.
    pub fn event(&self, name: &str) -> Result<EventKey, Report<ChartError>> {
        match self.events.binary_search_by(|e| e.as_str().cmp(name)) {
            Ok(i) => Ok(EventKey(i as u16)),
            Err(_) => Err(Report::new(ChartError::UnknownEvent {
                event: name.to_owned(),
            })),
        }
    }

    /// Returns the state with this key.
    ///
    /// # Panics
    /// If the key belongs to a chart with more states.
    pub fn state(&self, key: StateKey) -> &State {
        &self.states[usize::from(key.0)]
    }

    /// Returns the state after an event, or `None` if the event is not allowed in this state.
    pub fn next(&self, from: StateKey, event: EventKey) -> Option<StateKey> {
        self.state(from).next.get(usize::from(event.0)).copied().flatten()
    }

    /// Returns the name of an event.
    pub(crate) fn event_name(&self, key: EventKey) -> &str {
        self.events.get(usize::from(key.0)).map_or("", String::as_str)
    }
}
