//! The charts that are compiled into the program, and charts with one error each.

use charts::{Chart, ChartError, ClaimChart, RequestChart};
use errors::Outcome;

fn parse_error(text: &str) -> ChartError {
    match Chart::parse(text) {
        Ok(chart) => panic!("chart {} has no error", chart.name()),
        Err(report) => report.current_context().clone(),
    }
}

fn name(state: &str) -> String {
    state.to_owned()
}

#[test]
fn request_moves_from_received_to_answered() {
    let chart = RequestChart::load().expect("chart");
    let mut machine = chart.machine();
    let mut path = vec![(machine.state().name.clone(), machine.state().outcome)];
    let events = [
        chart.admit,
        chart.place,
        chart.claim,
        chart.dispatch,
        chart.stream,
        chart.answer,
    ];
    for event in events {
        let state = machine.fire(event).expect("allowed");
        path.push((state.name.clone(), state.outcome));
    }
    let names: Vec<_> = path.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(
        names,
        [
            "received",
            "admitted",
            "placed",
            "claimed",
            "dispatched",
            "streaming",
            "answered"
        ]
    );
    assert!(path[..4].iter().all(|(_, outcome)| *outcome == Outcome::NotRun));
    assert_eq!(path[4].1, Outcome::MayHaveRun);
    assert!(machine.state().is_end);
}

#[test]
fn retried_request_can_not_end_as_not_run() {
    let chart = RequestChart::load().expect("chart");
    let mut machine = chart.machine();
    for event in [
        chart.admit,
        chart.place,
        chart.dispatch,
        chart.retry,
        chart.dispatch,
    ] {
        machine.fire(event).expect("allowed");
    }
    assert!(machine.fire(chart.refuse_by_target).is_err());
    assert!(machine.fire(chart.refuse).is_err());
    assert_eq!(
        machine.fire(chart.lose).expect("allowed").outcome,
        Outcome::MayHaveRun
    );
}

#[test]
fn claim_is_held_before_the_request_is_sent() {
    let chart = ClaimChart::load().expect("chart");
    let mut machine = chart.machine();
    assert!(machine.fire(chart.dispatch).is_err());
    for event in [chart.insert, chart.answer_lost, chart.find_own] {
        assert_eq!(machine.fire(event).expect("allowed").outcome, Outcome::NotRun);
    }
    assert_eq!(
        machine.fire(chart.dispatch).expect("allowed").outcome,
        Outcome::MayHaveRun
    );
}

#[test]
fn unknown_state_is_an_error() {
    let text = "{name: a, initial: x, states: {x: {outcome: not-run, on: {go: y}}}}";
    assert_eq!(parse_error(text), ChartError::UnknownState { state: name("y") });
}

#[test]
fn unreachable_state_is_an_error() {
    let text =
        "{name: a, initial: x, states: {x: {outcome: not-run, end: true}, y: {outcome: ran, end: true}}}";
    assert_eq!(parse_error(text), ChartError::Unreachable { state: name("y") });
}

#[test]
fn state_without_a_path_to_a_final_state_is_an_error() {
    let text = "{name: a, initial: x, states: {x: {outcome: not-run, on: {go: x}}}}";
    assert_eq!(parse_error(text), ChartError::Endless { state: name("x") });
}

#[test]
fn unproved_not_run_is_an_error_and_a_proved_one_is_not() {
    let chart = |kind: &str| {
        format!(
            "{{name: a, initial: x, sent: s, states: {{x: {{outcome: not-run, on: {{send: s}}}},
            s: {{outcome: may-have-run, {kind}: {{go: e}}}}, e: {{outcome: not-run, end: true}}}}}}"
        )
    };
    assert_eq!(
        parse_error(&chart("on")),
        ChartError::FalseNotRun { state: name("e") }
    );
    assert!(Chart::parse(&chart("proved")).is_ok());
}

#[test]
fn proof_after_an_earlier_attempt_is_an_error() {
    let text = "{name: a, initial: x, sent: s, states: {x: {outcome: not-run, on: {send: s}},
        s: {outcome: may-have-run, on: {retry: t}}, t: {outcome: may-have-run, proved: {go: e}},
        e: {outcome: not-run, end: true}}}";
    assert_eq!(parse_error(text), ChartError::UnsoundProof { state: name("t") });
}
