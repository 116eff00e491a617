use std::collections::BTreeSet;

use error_stack::Report;
use errors::Outcome;

use crate::ChartError;
use crate::spec::{ChartSpec, StateSpec};

/// Names of states.
type Names<'a> = BTreeSet<&'a str>;

/// Finds the first fault of a chart.
pub(crate) fn check(spec: &ChartSpec) -> Result<(), Report<ChartError>> {
    check_names(spec)?;
    check_events(spec)?;
    check_reachable(spec)?;
    check_ends(spec)?;
    check_outcomes(spec)
}

fn check_names(spec: &ChartSpec) -> Result<(), Report<ChartError>> {
    let targets = spec
        .states
        .values()
        .flat_map(|s| s.transitions().map(|(_, to)| to));
    for name in targets.chain([&spec.initial]).chain(&spec.sent) {
        if !spec.states.contains_key(name) {
            return Err(Report::new(ChartError::UnknownState { state: name.clone() }));
        }
    }
    Ok(())
}

fn check_events(spec: &ChartSpec) -> Result<(), Report<ChartError>> {
    for (name, state) in &spec.states {
        if let Some(event) = state.on.keys().find(|event| state.proved.contains_key(*event)) {
            return Err(Report::new(ChartError::Ambiguous {
                state: name.clone(),
                event: event.clone(),
            }));
        }
    }
    Ok(())
}

fn check_reachable(spec: &ChartSpec) -> Result<(), Report<ChartError>> {
    let reached = reach(spec, &spec.initial, all_targets);
    match spec.states.keys().find(|name| !reached.contains(name.as_str())) {
        Some(name) => Err(Report::new(ChartError::Unreachable { state: name.clone() })),
        None => Ok(()),
    }
}

fn check_ends(spec: &ChartSpec) -> Result<(), Report<ChartError>> {
    for (name, state) in &spec.states {
        let state_name = name.clone();
        if state.end && state.transitions().next().is_some() {
            return Err(Report::new(ChartError::EndWithTransition { state: state_name }));
        }
        let reached = reach(spec, name, all_targets);
        if !reached.iter().any(|to| spec.states[*to].end) {
            return Err(Report::new(ChartError::Endless { state: state_name }));
        }
    }
    Ok(())
}

/// After the request may have been sent, only the target's proof leads back to `not-run`, and only for the first try.
fn check_outcomes(spec: &ChartSpec) -> Result<(), Report<ChartError>> {
    let Some(sent) = &spec.sent else {
        return Ok(());
    };
    for name in reach(spec, sent, unproved_targets) {
        let state = &spec.states[name];
        if state.outcome == Outcome::NotRun {
            return Err(Report::new(ChartError::FalseNotRun {
                state: name.to_owned(),
            }));
        }
        let proves = state
            .proved
            .values()
            .any(|to| spec.states[to].outcome == Outcome::NotRun);
        let returns = unproved_targets(state).any(|to| to == sent);
        if (proves && name != sent) || returns {
            return Err(Report::new(ChartError::UnsoundProof {
                state: name.to_owned(),
            }));
        }
    }
    Ok(())
}

fn all_targets(state: &StateSpec) -> Box<dyn Iterator<Item = &String> + '_> {
    Box::new(state.transitions().map(|(_, to)| to))
}

fn unproved_targets(state: &StateSpec) -> Box<dyn Iterator<Item = &String> + '_> {
    Box::new(state.on.values())
}

/// States on paths from `start`, itself included.
fn reach<'a>(
    spec: &'a ChartSpec,
    start: &'a str,
    targets: impl Fn(&'a StateSpec) -> Box<dyn Iterator<Item = &'a String> + 'a>,
) -> Names<'a> {
    let mut reached = Names::from([start]);
    let mut open = vec![start];
    while let Some(name) = open.pop() {
        for to in targets(&spec.states[name]) {
            if reached.insert(to) {
                open.push(to);
            }
        }
    }
    reached
}
