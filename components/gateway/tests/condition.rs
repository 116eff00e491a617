//! The speed of targets and the late gaps of their streams in a placement.

use std::time::Duration;

use gateway::{
    Candidate, Decision, Demand, FleetEffects, LinkUse, LoadEstimate, Pace, ReportedLoad, ServerSpeed,
    ServiceTimes, StreamTimes, TargetCondition, TargetSpeed, Work, average_others, decide,
};

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn engine() -> Candidate {
    Candidate {
        distance: 0,
        requests: 8.0,
        waiting: 0.0,
        queued: 0.0,
        memory: (60_000.0, 150_000),
        slots: 32,
        prefill_backlog: 0,
        cache_hit_chance: 0.0,
        latency_ms: 100.0,
        failures: 0.0,
        has_old_weights: false,
        is_connected: true,
        condition: TargetCondition::default(),
    }
}

fn chosen(gap_target: Option<Duration>, candidates: &[Candidate]) -> usize {
    let demand = Demand {
        prompt_tokens: 2_000,
        shared_tokens: 0,
        memory: 2_000,
        priority: 0,
        latency_target: Duration::from_millis(400),
        time_left: secs(3),
        pace: Pace::default(),
        gap_target,
        fleet: FleetEffects::default(),
    };
    match decide(&demand, candidates, 0.0) {
        Decision::Send(choice) => choice.index,
        other => panic!("{other:?}"),
    }
}

#[test]
fn slow_and_nearly_full_engines_and_those_with_late_gaps_are_avoided() {
    let slow = TargetCondition {
        time_factor: 2.5,
        late_gaps: 0.0,
    };
    let with_gaps = TargetCondition {
        time_factor: 1.0,
        late_gaps: 0.5,
    };
    let engine_in = |condition| Candidate {
        condition,
        ..engine()
    };
    let full = Candidate {
        memory: (145_000.0, 150_000),
        ..engine()
    };
    assert_eq!(chosen(None, &[engine_in(slow), engine()]), 1);
    assert_eq!(chosen(None, &[full, engine()]), 1);
    assert_eq!(chosen(Some(secs(1)), &[engine_in(with_gaps), engine()]), 1);
    // Without a target for gaps there is nothing to miss.
    assert_eq!(chosen(None, &[engine_in(with_gaps), engine()]), 0);
}

/// A stalled answer or a wrong figure must not exclude a target.
#[test]
fn the_learned_speed_is_bounded_and_forgotten() {
    let mut speed = TargetSpeed::default();
    for second in 0..100 {
        speed.observe_events(50.0, secs(second));
    }
    speed.record_stated(
        ServerSpeed {
            time_percent: 100_000,
        },
        secs(100),
    );
    assert!(speed.time_factor(secs(100)) <= 3.1);
    assert!(speed.time_factor(secs(300)) < 1.01);
}

#[test]
fn the_stated_speed_is_preferred_while_it_is_new() {
    let mut speed = TargetSpeed::default();
    speed.record_stated(ServerSpeed { time_percent: 250 }, secs(1));
    assert!(speed.time_factor(secs(1)) > 2.4);
    assert!(speed.time_factor(secs(3)) < 1.05);
}

#[test]
fn a_slow_target_is_told_from_its_streams() {
    let (mut times, mut speed) = (ServiceTimes::default(), TargetSpeed::default());
    let stream = |ms| StreamTimes {
        events: 100,
        rest: Duration::from_millis(ms),
        longest_gap: Duration::from_millis(20),
    };
    for second in 0..60 {
        times.observe_stream(&stream(500));
        if let Some(ratio) = times.observe_stream(&stream(650)) {
            speed.observe_events(ratio, secs(second));
        }
    }
    assert!(speed.time_factor(secs(60)) > 1.08);
    let few_events = StreamTimes {
        events: 2,
        ..stream(500)
    };
    assert_eq!(times.observe_stream(&few_events), None);
}

/// Reports arrive late: own sends after a report must not be taken out of it, and those before it not counted twice.
#[test]
fn own_requests_are_taken_out_of_a_report_as_of_its_time() {
    let at = Duration::from_millis;
    let mut load = LoadEstimate::default();
    load.record_start(Work::default(), at(500));
    load.record_start(Work::default(), at(900));
    load.record_end(Work::default(), at(500), at(950));
    let report = ReportedLoad {
        running: 5,
        ..ReportedLoad::default()
    };
    load.record_report(report, at(800));
    // Four requests of others, and the own one of 900 ms.
    assert!((load.requests(4.0, at(1_000)) - 5.0).abs() < 0.01);
    // An older report that another host forwards later changes nothing.
    let older = ReportedLoad {
        running: 30,
        ..report
    };
    load.record_report(older, at(700));
    assert!((load.requests(4.0, at(1_000)) - 5.0).abs() < 0.01);
}

#[test]
fn a_queue_decays_to_the_average_of_the_other_targets() {
    let at = Duration::from_millis;
    let report = |queued| {
        let mut load = LoadEstimate::default();
        let report = ReportedLoad {
            running: 5,
            prefilling: queued,
            ..ReportedLoad::default()
        };
        load.record_report(report, at(1_000));
        load
    };
    let loads = [report(0), report(4)];
    let average = average_others(&loads, 2, 82, at(1_000)).queued;
    assert!((average - 2.0).abs() < 0.01);
    // The idle engine has received requests of other hosts since its report.
    let estimate = loads[0].queued(average, at(1_800));
    assert!(estimate > 1.4, "{estimate}");
    // Without reports for a long time the own load of this host is assumed.
    assert_eq!(average_others(&loads, 2, 82, at(9_000)).queued, 0.0);
}

/// A delay that nothing measures any more, as all requests stay in their region, must not keep them there for good.
#[test]
fn requests_return_to_other_regions_after_a_delay_of_the_link() {
    let mut link = LinkUse::default();
    for _ in 0..50 {
        link.record_lateness(true, 400.0, secs(10));
        link.record_lateness(false, 5.0, secs(10));
    }
    assert!(link.cost(80_000.0, 82, secs(10)) > 1.0);
    assert_eq!(link.cost(80_000.0, 82, secs(70)), 0.0);
}
