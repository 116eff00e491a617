//! Rollout of declared weights to engines: lost, late and refused orders, and restarted engines.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use gateway::ports::{EngineReport, OrderAnswer};
use gateway::{
    DeclaredAge, OldWeightsPolicy, Rollout, RolloutAction, RolloutInput, Target, View, WeightsHistory,
    is_overdue, old_weights_policy,
};
use membership::LoadSlot;
use support::{ms, target};

fn view(targets: &[Target]) -> View {
    let mut view = View::default();
    let all = targets.iter().cloned().map(Arc::new).collect();
    view.targets.insert("s".into(), all);
    view.weights.insert(
        "m".into(),
        WeightsHistory::new(2, Some(DeclaredAge::new(ms(0), ms(0)))),
    );
    view
}

fn slot(instance: &str) -> LoadSlot {
    LoadSlot {
        target: format!("{instance}/1").into(),
        model: "m".into(),
        version: 2,
    }
}

fn report(version: u64, revision: u64, is_busy: bool) -> RolloutInput {
    RolloutInput::Reported(EngineReport {
        born_ms: 1,
        models: vec![("m".into(), version)],
        is_busy,
        revision,
        load: Default::default(),
    })
}

#[test]
fn a_third_of_the_engines_load_at_once() {
    let engines: Vec<_> = (0..6).map(|i| target(&format!("e{i}"), 1)).collect();
    let orders = Rollout::default().next(&view(&engines), &[], ms(0));
    assert_eq!(orders.len(), 2);
    assert!(
        orders
            .iter()
            .all(|order| matches!(order, RolloutAction::Start(_)))
    );
}

#[test]
fn an_order_is_sent_only_after_a_report_and_carries_its_revision() {
    let view = view(&[target("e", 1)]);
    let mut rollout = Rollout::default();
    let engine = target("e", 1);
    assert!(matches!(
        rollout.next(&view, &[slot("e")], ms(0))[..],
        [RolloutAction::Query(_)]
    ));
    rollout.handle(&engine, report(1, 7, false));
    let orders = rollout.next(&view, &[slot("e")], ms(100));
    assert!(matches!(orders[..], [RolloutAction::Load { revision: 7, .. }]));
}

#[test]
fn an_order_without_an_answer_is_not_repeated_before_its_effect_could_show() {
    let view = view(&[target("e", 1)]);
    let mut rollout = Rollout::default();
    let engine = target("e", 1);
    rollout.handle(&engine, report(1, 0, false));
    assert!(matches!(
        rollout.next(&view, &[slot("e")], ms(0))[..],
        [RolloutAction::Load { .. }]
    ));
    rollout.handle(&engine, RolloutInput::Ordered(None));
    rollout.handle(&engine, report(1, 0, false));
    let early = rollout.next(&view, &[slot("e")], ms(1_000));
    assert!(
        !early
            .iter()
            .any(|order| matches!(order, RolloutAction::Load { .. }))
    );
    rollout.handle(&engine, report(1, 0, false));
    assert!(matches!(
        rollout.next(&view, &[slot("e")], ms(2_000))[..],
        [RolloutAction::Load { .. }]
    ));
}

#[test]
fn a_busy_engine_gets_no_second_order() {
    let view = view(&[target("e", 1)]);
    let mut rollout = Rollout::default();
    rollout.handle(&target("e", 1), report(1, 1, true));
    let orders = rollout.next(&view, &[slot("e")], ms(5_000));
    assert!(
        !orders
            .iter()
            .any(|order| matches!(order, RolloutAction::Load { .. }))
    );
}

#[test]
fn an_engine_that_reports_the_weights_frees_its_slot_before_its_entry_shows_them() {
    let engines = [target("e", 1), target("f", 1)];
    let view = view(&engines);
    let mut rollout = Rollout::default();
    rollout.handle(&engines[0], report(2, 1, false));
    let orders = rollout.next(&view, &[slot("e")], ms(0));
    assert!(matches!(&orders[..], [RolloutAction::End(id)] if **id == *"e/1"));
    let orders = rollout.next(&view, &[], ms(100));
    assert!(matches!(&orders[..], [RolloutAction::Start(next)] if *next.target == *"f/1"));
}

#[test]
fn a_load_of_a_removed_engine_frees_its_slot() {
    let view = view(&[target("f", 2)]);
    let orders = Rollout::default().next(&view, &[slot("e")], ms(0));
    assert!(matches!(&orders[..], [RolloutAction::End(id)] if **id == *"e/1"));
}

/// Orders were carried out late, so no engine has newer weights although the deadline has passed.
#[test]
fn weights_replaced_at_an_unknown_time_are_not_used() {
    let history = WeightsHistory::new(2, None);
    let policy = old_weights_policy(&history, 1, ms(10_000), ms(60_000));
    assert_eq!(policy, OldWeightsPolicy::Forbidden);
}

#[test]
fn the_deadline_of_a_version_runs_from_its_own_declaration() {
    let mut history = WeightsHistory::new(1, None);
    history.add(2, Some(DeclaredAge::new(ms(0), ms(2_000))));
    history.add(3, Some(DeclaredAge::new(ms(0), ms(5_000))));
    history.add(2, Some(DeclaredAge::new(ms(0), ms(6_000))));
    let deadline = ms(10_000);
    let at = |version, now| old_weights_policy(&history, version, deadline, ms(now));
    assert_eq!(at(1, 9_000), OldWeightsPolicy::Forbidden);
    assert_eq!(at(2, 9_000), OldWeightsPolicy::Avoided);
    assert_eq!(at(3, 60_000), OldWeightsPolicy::Allowed);
}

#[test]
fn weights_that_no_host_orders_become_overdue() {
    let outdated = view(&[target("e", 1), target("f", 2)]);
    assert!(!is_overdue(&outdated, ms(3_999)));
    assert!(is_overdue(&outdated, ms(4_000)));
    assert!(!is_overdue(&view(&[target("f", 2)]), ms(60_000)));
}

#[test]
fn engines_with_the_oldest_weights_are_not_starved_by_a_newer_declaration() {
    // The deadline of the version that they lack is the earliest.
    let engines = [target("a", 2), target("b", 2), target("y", 1), target("z", 1)];
    let mut view = view(&engines);
    let age = DeclaredAge::new(ms(0), ms(5_000));
    view.weights.get_mut("m").unwrap().add(3, Some(age));
    let started: Vec<_> = Rollout::default()
        .next(&view, &[], ms(5_000))
        .into_iter()
        .filter_map(|action| match action {
            RolloutAction::Start(slot) => Some(slot.target),
            _ => None,
        })
        .collect();
    assert_eq!(started, ["y/1".into()]);
}

#[test]
fn the_engine_with_the_earliest_deadline_is_loaded_first_whatever_its_model() {
    // Versions of different models can't be compared.
    let mut late = target("late", 1);
    late.models = vec![("n".into(), 7)];
    let mut view = view(&[target("early", 1), late]);
    view.weights.insert(
        "n".into(),
        WeightsHistory::new(8, Some(DeclaredAge::new(ms(5_000), ms(0)))),
    );
    let actions = Rollout::default().next(&view, &[], ms(1_000));
    let RolloutAction::Start(slot) = &actions[0] else {
        panic!("{actions:?}");
    };
    assert_eq!((slot.target.clone(), actions.len()), ("late/1".into(), 1));
}

#[test]
fn orders_without_an_answer_do_not_keep_other_engines_from_loading() {
    // An order may be carried out many seconds later; until then its engine serves as before.
    let engines: Vec<_> = (0..6).map(|i| target(&format!("e{i}"), 1)).collect();
    let view = view(&engines);
    let mut rollout = Rollout::default();
    let reserved = [slot("e0"), slot("e1")];
    for engine in &engines[..2] {
        rollout.handle(engine, report(1, 0, false));
    }
    let ordered = rollout.next(&view, &reserved, ms(0));
    assert!(
        ordered
            .iter()
            .all(|action| matches!(action, RolloutAction::Load { .. }))
    );
    for engine in &engines[..2] {
        rollout.handle(engine, RolloutInput::Ordered(None));
        rollout.handle(engine, report(1, 0, false));
    }
    let started = |actions: Vec<RolloutAction>| {
        let starts = actions
            .into_iter()
            .filter(|action| matches!(action, RolloutAction::Start(_)));
        starts.count()
    };
    assert_eq!(started(rollout.next(&view, &reserved, ms(400))), 2);
    // An engine that loads keeps its place.
    rollout.handle(&engines[0], report(1, 1, true));
    assert_eq!(started(rollout.next(&view, &reserved, ms(800))), 1);
}

/// Longest time from an order to its effect.
const ORDER_LATENCY_MS: u64 = 3_000;

fn started(actions: &[RolloutAction]) -> Vec<&str> {
    let slots = actions.iter().filter_map(|action| match action {
        RolloutAction::Start(slot) => Some(&*slot.target),
        _ => None,
    });
    slots.collect()
}

// Guards against new weights that no engine gets because one that the lease holder does not reach holds the load slot.
#[test]
fn an_engine_that_never_answers_does_not_keep_the_others_from_loading() {
    let engines: Vec<_> = (0..3).map(|i| target(&format!("e{i}"), 1)).collect();
    let view = view(&engines);
    let mut rollout = Rollout::new(ms(ORDER_LATENCY_MS));
    let reserved = [slot("e0")];
    assert!(started(&rollout.next(&view, &reserved, ms(0))).is_empty());
    rollout.handle(&engines[0], RolloutInput::NoReport);
    assert!(started(&rollout.next(&view, &reserved, ms(1_499))).is_empty());
    assert_eq!(started(&rollout.next(&view, &reserved, ms(1_500))), ["e1/1"]);
    let is_given_up = |actions: &[RolloutAction]| {
        actions
            .iter()
            .any(|action| matches!(action, RolloutAction::GiveUp(run) if **run == *"e0/1"))
    };
    assert!(!is_given_up(&rollout.next(&view, &reserved, ms(2_999))));
    assert!(is_given_up(&rollout.next(&view, &reserved, ms(3_000))));
    // It waits behind the others, and is tried again once it is the only one left.
    assert_eq!(started(&rollout.next(&view, &[], ms(3_100))), ["e1/1"]);
    let left = [target("e0", 1), target("e1", 2), target("e2", 2)];
    let left = self::view(&left);
    assert!(started(&rollout.next(&left, &[], ms(4_999))).is_empty());
    assert_eq!(started(&rollout.next(&left, &[], ms(5_000))), ["e0/1"]);
}

// Guards against two holders that order one engine within the time in which an order without an answer may have its effect.
#[test]
fn a_load_slot_is_not_given_up_while_an_order_may_have_an_effect() {
    let engine = target("e", 1);
    let view = view(std::slice::from_ref(&engine));
    let mut rollout = Rollout::new(ms(ORDER_LATENCY_MS));
    let reserved = [slot("e")];
    rollout.next(&view, &reserved, ms(0));
    rollout.handle(&engine, report(1, 0, false));
    let ordered = rollout.next(&view, &reserved, ms(1_000));
    assert!(matches!(ordered[..], [RolloutAction::Load { .. }]));
    rollout.handle(&engine, RolloutInput::Ordered(None));
    for now in (1_100..1_000 + 100 + ORDER_LATENCY_MS).step_by(100) {
        let actions = rollout.next(&view, &reserved, ms(now));
        assert!(
            !actions.iter().any(|a| matches!(a, RolloutAction::GiveUp(_))),
            "{now}"
        );
    }
    let actions = rollout.next(&view, &reserved, ms(1_100 + ORDER_LATENCY_MS));
    assert!(matches!(actions[..], [RolloutAction::GiveUp(_)]));
    // A host that takes the lease again starts from nothing: another holder may have given orders meanwhile.
    rollout.restart();
    let actions = rollout.next(&view, &reserved, ms(1_200 + ORDER_LATENCY_MS));
    assert!(matches!(actions[..], [RolloutAction::Query(_)]));
}

/// Returns an engine with weights of the models `m` and `n`.
fn two_model_engine(instance: &str, m: u64, n: u64) -> Target {
    let mut engine = target(instance, m);
    engine.models.push(("n".into(), n));
    engine
}

/// Returns a view of engines with two models, of which `n` was named a second after `m`.
fn two_model_view(engines: &[Target]) -> View {
    let mut view = view(engines);
    view.weights.insert(
        "n".into(),
        WeightsHistory::new(2, Some(DeclaredAge::new(ms(0), ms(1_000)))),
    );
    view
}

fn two_model_report(m: u64, n: u64, revision: u64) -> RolloutInput {
    RolloutInput::Reported(EngineReport {
        born_ms: 1,
        models: vec![("m".into(), m), ("n".into(), n)],
        is_busy: false,
        revision,
        load: Default::default(),
    })
}

/// Plays a rollout at engines that carry out each order within a step, and whose entries never show it. Returns the loads
/// in order, and the most engines that loaded one model at a time.
fn play(engines: &[Target], steps: u64) -> (Vec<(String, String)>, usize) {
    let view = two_model_view(engines);
    let mut rollout = Rollout::default();
    let (mut loads, mut orders, mut most) = (Vec::<LoadSlot>::new(), Vec::new(), 0);
    let mut versions: BTreeMap<String, [u64; 2]> = engines
        .iter()
        .map(|engine| (engine.run.to_string(), [1, 1]))
        .collect();
    for step in 0..steps {
        let mut next = loads.clone();
        for action in rollout.next(&view, &loads, ms(1_000 + 400 * step)) {
            match action {
                RolloutAction::Start(slot) => next.push(slot),
                RolloutAction::End(run) | RolloutAction::GiveUp(run) => {
                    next.retain(|slot| slot.target != run)
                }
                RolloutAction::Query(engine) => {
                    let [m, n] = versions[&*engine.run];
                    rollout.handle(&engine, two_model_report(m, n, m + n - 2));
                }
                RolloutAction::Load {
                    target,
                    weights,
                    revision,
                } => {
                    let loaded = versions.get_mut(&*target.run).unwrap();
                    assert_eq!(revision, loaded.iter().sum::<u64>() - 2);
                    loaded[usize::from(&*weights.model == "n")] = weights.version;
                    orders.push((target.instance.clone(), weights.model.to_string()));
                    rollout.handle(&target, RolloutInput::Ordered(Some(OrderAnswer::Accepted)));
                }
            }
        }
        let slots = |model: &str| next.iter().filter(|slot| &*slot.model == model).count();
        most = most.max(slots("m")).max(slots("n"));
        loads = next;
    }
    assert!(loads.is_empty(), "{loads:?}");
    (orders, most)
}

// Guards against new weights of a model that no engine gets because the same engines have just loaded those of another one.
#[test]
fn an_engine_loads_the_new_weights_of_each_of_its_models() {
    for count in [1, 3, 6] {
        let engines: Vec<_> = (0..count)
            .map(|i| two_model_engine(&format!("e{i}"), 1, 1))
            .collect();
        let (mut orders, most) = play(&engines, 60);
        assert_eq!(most, (count / 3).max(1), "{count}");
        orders.sort();
        let expected: Vec<_> = (0..count)
            .flat_map(|i| ["m", "n"].map(|model| (format!("e{i}"), model.to_owned())))
            .collect();
        assert_eq!(orders, expected);
    }
}

// Guards against new weights that a model's engines get one after the other because another model's are loaded elsewhere.
#[test]
fn loads_of_two_models_do_not_wait_for_each_other_at_engines_that_have_both() {
    let engines: Vec<_> = (0..3).map(|i| two_model_engine(&format!("e{i}"), 1, 1)).collect();
    let actions = Rollout::default().next(&two_model_view(&engines), &[], ms(2_000));
    let slots: Vec<_> = actions
        .iter()
        .map(|action| match action {
            RolloutAction::Start(slot) => (&*slot.target, &*slot.model),
            _ => panic!("{action:?}"),
        })
        .collect();
    assert_eq!(slots, [("e0/1", "m"), ("e1/1", "n")]);
}

// Guards against a new lease holder that takes an engine for loaded because the slot of its predecessor is for another model.
#[test]
fn a_new_holder_ends_the_slot_of_a_model_that_is_loaded_and_loads_the_other() {
    let engines = [two_model_engine("e", 2, 1)];
    let view = two_model_view(&engines);
    let mut rollout = Rollout::default();
    let actions = rollout.next(&view, &[slot("e")], ms(2_000));
    assert!(matches!(&actions[..], [RolloutAction::End(run)] if **run == *"e/1"));
    let actions = rollout.next(&view, &[], ms(2_100));
    assert!(matches!(&actions[..], [RolloutAction::Start(slot)] if *slot.model == *"n"));
}
