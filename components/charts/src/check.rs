use std::collections::BTreeSet;

use error_stack::Report;
use errors::Outcome;

use crate::ChartError;
use crate::spec::{ChartSpec, StateSpec};

/// A set of names of states.
type Names<'a> = BTreeSet<&'a str>;

/// Checks a chart; returns the first error found.
pub(crate) fn check(spec: &ChartSpec) -> Result<(), Report<ChartError>> {
    check_names(spec)?;
    check_events(spec)?;
    check_reachable(spec)?;
    check_ends(spec)?;
    check_outcomes(spec)
}

fn check_names(spec: &ChartSpec) -> Result<(), Report<ChartError>> {
    let successors = spec
        .states
        .values()
        .flat_map(|s| s.transitions().map(|(_, to)| to));
    for name in successors.chain([&spec.initial]).chain(&spec.sent) {
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
    let reached = reach(spec, &spec.initial, all_successors);
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
        let reached = reach(spec, name, all_successors);
        if !reached.iter().any(|to| spec.states[*to].end) {
            return Err(Report::new(ChartError::Endless { state: state_name }));
        }
    }
    Ok(())
}

/// Checks that, once the request may have been sent, the outcome `not-run` is reached only through a
/// transition by which the target proves that it did not run the request, and only before a retry: a later
/// proof does not cover earlier attempts.
fn check_outcomes(spec: &ChartSpec) -> Result<(), Report<ChartError>> {
    let Some(sent) = &spec.sent else {
        return Ok(());
    };
    for name in reach(spec, sent, unproved_successors) {
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
        let returns = unproved_successors(state).any(|to| to == sent);
        if (proves && name != sent) || returns {
            return Err(Report::new(ChartError::UnsoundProof {
                state: name.to_owned(),
            }));
        }
    }
    Ok(())
}

fn all_successors(state: &StateSpec) -> Box<dyn Iterator<Item = &String> + '_> {
    Box::new(state.transitions().map(|(_, to)| to))
}

fn unproved_successors(state: &StateSpec) -> Box<dyn Iterator<Item = &String> + '_> {
    Box::new(state.on.values())
}

/// Returns the states that are reachable from `start` through `successors`, including `start`.
fn reach<'a>(
    spec: &'a ChartSpec,
    start: &'a str,
    successors: impl Fn(&'a StateSpec) -> Box<dyn Iterator<Item = &'a String> + 'a>,
) -> Names<'a> {
    let mut reached = Names::from([start]);
    let mut pending = vec![start];
    while let Some(name) = pending.pop() {
        for to in successors(&spec.states[name]) {
            if reached.insert(to) {
                pending.push(to);
            }
        }
    }
    reached
}
