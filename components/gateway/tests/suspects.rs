//! Quarantine of prompt parts on which targets crash, from rows of several hosts.

mod support;

use std::time::Duration;

use gateway::ports::{Record, Table};
use gateway::{
    AnswerStage, CachedState, CrashEvidence, Fingerprint, PartFingerprint, PartSuccesses, SoundRowValue,
    SuspectPart, SuspectParts, UpdateSource,
};
use support::{decode, ms, removed, row, snapshot};

/// Time between crashes that have no common cause.
const APART: u64 = 2_000;

fn part(id: &str) -> PartFingerprint {
    PartFingerprint::of("m", id)
}

/// A part that the reporting host has not seen succeed.
fn new(id: &str) -> SuspectPart {
    SuspectPart {
        part: part(id),
        has_succeeded: false,
    }
}

/// A part that the reporting host has seen succeed.
fn known(id: &str) -> SuspectPart {
    SuspectPart {
        has_succeeded: true,
        ..new(id)
    }
}

/// The rows of the shared table, written by several hosts.
struct Rows {
    state: CachedState,
    version: u64,
    suspects: SuspectParts,
}

impl Rows {
    fn new() -> Self {
        Self {
            state: CachedState::new(decode(), Duration::from_secs(2)),
            version: 0,
            suspects: SuspectParts::default(),
        }
    }

    fn write(&mut self, key: &str, value: &str) -> usize {
        self.version += 1;
        self.apply(row(key, value, self.version))
    }

    fn apply(&mut self, record: Record) -> usize {
        let rows = snapshot(record.position.version(), [record]);
        self.state
            .apply(Table::Shared, rows, UpdateSource::Store, ms(0))
            .len()
    }

    /// Writes the row of a host on a request that was in flight when the target `run` crashed.
    fn crash(
        &mut self,
        host: &str,
        request: &str,
        run: &str,
        stage: AnswerStage,
        at: u64,
        parts: &[SuspectPart],
    ) {
        let evidence = CrashEvidence {
            run: run.into(),
            stage,
            at: Some(ms(at)),
            parts: parts.to_vec(),
        };
        let value = serde_json::to_string(&evidence).unwrap();
        assert_eq!(self.write(&crash_key(host, request), &value), 0);
    }

    /// Writes the row of a host that has seen a suspected part succeed.
    fn success(&mut self, id: &str) {
        self.write(&format!("sound/{}", part(id).text()), "");
    }

    /// Returns the suspects in the last published view.
    fn suspects(&mut self) -> SuspectParts {
        if let Some(view) = self.state.publish() {
            self.suspects = view.parts;
        }
        self.suspects.clone()
    }

    fn quarantined(&mut self) -> Vec<PartFingerprint> {
        self.suspects().quarantined.into_keys().collect()
    }
}

fn fingerprint(request: &str) -> Fingerprint {
    Fingerprint::of("/a/", "mill", request.as_bytes())
}

fn crash_key(host: &str, request: &str) -> String {
    format!("crash/{}/{host}/1", fingerprint(request).text())
}

// Guards against crashes without end by requests that share a part and nothing else.
#[test]
fn two_crashes_with_different_requests_quarantine_the_part_that_they_share() {
    let mut rows = Rows::new();
    let parts = [known("common"), new("bad"), new("one")];
    rows.crash("a", "r1", "t1", AnswerStage::Head, 0, &parts);
    let suspects = rows.suspects();
    assert!(suspects.quarantined.is_empty());
    assert!(suspects.suspected.contains(&part("bad")));
    let parts = [known("common"), new("bad"), new("two")];
    rows.crash("b", "r2", "t2", AnswerStage::Head, APART, &parts);
    let suspects = rows.suspects();
    let evidence = suspects.quarantined[&part("bad")];
    assert_eq!((evidence.crashes, evidence.requests), (2, 2));
    assert_eq!(suspects.quarantined.len(), 1);
    assert_eq!(suspects.suspected.len(), 1);
}

// Guards against refusals of sound requests whose parts occur beside the crashing one at every crash.
#[test]
fn a_popular_part_that_is_in_flight_at_every_crash_is_not_quarantined() {
    let mut rows = Rows::new();
    for n in 0..10 {
        let (run, at) = (format!("t{n}"), n * APART);
        let bad = [known("common"), new("bad")];
        rows.crash("a", &format!("bad-{n}"), &run, AnswerStage::Head, at, &bad);
        let sound = [known("common"), known("other")];
        rows.crash("b", &format!("head-{n}"), &run, AnswerStage::Head, at, &sound);
        rows.crash("b", &format!("queued-{n}"), &run, AnswerStage::NoHead, at, &sound);
        assert!(!rows.quarantined().contains(&part("common")));
    }
    assert_eq!(rows.quarantined(), [part("bad")]);
}

// Guards against the quarantine of a popular part when a failure domain goes down.
#[test]
fn targets_that_crash_at_once_quarantine_nothing() {
    let mut rows = Rows::new();
    for n in 0..60_u64 {
        let (request, run) = (format!("r{n}"), format!("t{}", n % 6));
        let stage = match n % 10 {
            0 => AnswerStage::Head,
            _ => AnswerStage::NoHead,
        };
        let parts = [new("popular"), known("common"), new(&request)];
        rows.crash("a", &request, &run, stage, n * 5, &parts);
    }
    assert!(rows.quarantined().is_empty());
}

// Guards against a quarantine by a single request that was sent to several targets.
#[test]
fn crashes_with_one_request_quarantine_none_of_its_parts() {
    let mut rows = Rows::new();
    for (host, run, at) in [("a", "t1", 0), ("b", "t2", APART), ("c", "t3", 2 * APART)] {
        rows.crash(host, "r1", run, AnswerStage::Head, at, &[new("x"), new("y")]);
    }
    assert!(rows.quarantined().is_empty());
}

// Guards against a quarantine by requests that one crash has cut together.
#[test]
fn one_crash_with_many_requests_quarantines_nothing() {
    let mut rows = Rows::new();
    for n in 0..8 {
        rows.crash(
            "a",
            &format!("r{n}"),
            "t1",
            AnswerStage::Head,
            n * APART,
            &[new("x")],
        );
    }
    assert!(rows.quarantined().is_empty());
}

// Guards against blind spots: requests with whole events give no evidence, queued ones give little.
#[test]
fn evidence_grows_with_the_progress_of_the_answer() {
    for (stage, crashes) in [(AnswerStage::Head, 2), (AnswerStage::NoHead, 4)] {
        let mut rows = Rows::new();
        for n in 0..crashes {
            assert!(rows.quarantined().is_empty());
            rows.crash(
                "a",
                &format!("r{n}"),
                &format!("t{n}"),
                stage,
                n * APART,
                &[new("x")],
            );
        }
        assert_eq!(rows.quarantined(), [part("x")]);
    }
    let mut rows = Rows::new();
    for n in 0..20 {
        let (request, run) = (format!("r{n}"), format!("t{n}"));
        rows.crash("a", &request, &run, AnswerStage::Events, n * APART, &[new("x")]);
    }
    assert!(rows.quarantined().is_empty());
}

// Guards against a part that has worked for long and then crashes targets, and against hasty quarantines of
// known parts.
#[test]
fn a_part_that_has_succeeded_needs_four_crashes() {
    let mut rows = Rows::new();
    for n in 0..4 {
        assert!(rows.quarantined().is_empty());
        rows.crash(
            "a",
            &format!("r{n}"),
            &format!("t{n}"),
            AnswerStage::Head,
            n * APART,
            &[known("x")],
        );
    }
    assert_eq!(rows.quarantined(), [part("x")]);
}

// Guards against a choice between parts with equal evidence, which refuses the sound one for good.
#[test]
fn parts_with_equal_evidence_are_stopped_only_together() {
    for [sound, bad] in [["p", "q"], ["q", "p"]] {
        let mut rows = Rows::new();
        for n in 0..2 {
            let parts = [new(sound), new(bad), known("popular")];
            rows.crash(
                "a",
                &format!("r{n}"),
                &format!("t{n}"),
                AnswerStage::Head,
                n * APART,
                &parts,
            );
        }
        let stops = |suspects: &SuspectParts, ids: &[&str]| {
            let parts: Vec<_> = ids.iter().map(|id| part(id)).collect();
            suspects.is_quarantined(&parts)
        };
        let suspects = rows.suspects();
        assert!(stops(&suspects, &[sound, bad]));
        assert!(stops(&suspects, &["popular", sound, "other", bad]));
        assert!(!stops(&suspects, &[sound, "popular"]));
        assert!(!stops(&suspects, &[bad, "popular"]));
        rows.success(sound);
        assert_eq!(rows.quarantined(), [part(bad)]);
        assert!(!stops(&rows.suspects(), &[sound, "popular"]));
    }
}

// Guards against sound prompts that hold two of three parts with equal evidence and are refused.
#[test]
fn a_chain_of_parts_with_equal_evidence_is_stopped_only_whole() {
    let chain = ["first", "second", "third"];
    for bad in chain {
        let mut rows = Rows::new();
        for n in 0..3 {
            let parts = chain.map(new);
            rows.crash(
                "a",
                &format!("r{n}"),
                &format!("t{n}"),
                AnswerStage::Head,
                n * APART,
                &parts,
            );
        }
        let sound: Vec<_> = chain.into_iter().filter(|id| *id != bad).collect();
        let parts: Vec<_> = sound.iter().map(|id| part(id)).collect();
        assert!(!rows.suspects().is_quarantined(&parts), "{bad}");
        assert!(rows.suspects().is_quarantined(&chain.map(part)), "{bad}");
        sound.iter().for_each(|id| rows.success(id));
        assert_eq!(rows.quarantined(), [part(bad)]);
    }
}

// Guards against a sound part that is refused for good because two parts beside it crash targets.
#[test]
fn a_part_beside_two_that_crash_targets_is_tried_again() {
    let mut rows = Rows::new();
    for (n, bad) in (0..).zip(["bad-0", "bad-1", "bad-0"]) {
        let parts = [new("sound"), new(bad)];
        let (request, run) = (format!("r{n}"), format!("t{n}"));
        rows.crash("a", &request, &run, AnswerStage::Head, n * APART, &parts);
    }
    let suspects = rows.suspects();
    let trial_part = |other: &str| suspects.trial_part(&[part("sound"), part(other)]);
    assert!(suspects.is_quarantined(&[part("sound"), part("other")]));
    assert_eq!(trial_part("other"), Some(part("sound")));
    assert_eq!([trial_part("bad-0"), trial_part("bad-1")], [None, None]);
    assert_eq!(suspects.trial_part(&[part("other")]), None);
    rows.success("sound");
    assert_eq!(rows.quarantined(), [part("bad-0")]);
}

// Guards against trials without end of a part that crashes targets.
#[test]
fn a_part_that_alone_explains_a_crash_is_not_tried() {
    let mut rows = Rows::new();
    let crash = |rows: &mut Rows, n: u64, other: SuspectPart| {
        let (request, run) = (format!("r{n}"), format!("t{n}"));
        rows.crash(
            "a",
            &request,
            &run,
            AnswerStage::Head,
            n * APART,
            &[new("bad"), other],
        );
    };
    let prompt = [part("bad"), part("next")];
    crash(&mut rows, 0, new("one"));
    crash(&mut rows, 1, new("two"));
    assert_eq!(rows.suspects().trial_part(&prompt), Some(part("bad")));
    crash(&mut rows, 2, known("next"));
    assert!(rows.suspects().is_quarantined(&prompt));
    assert_eq!(rows.suspects().trial_part(&prompt), None);
}

// Guards against trials without end of a part whose other parts are new each time.
#[test]
fn a_part_beside_new_parts_is_not_tried_after_three_crashes() {
    let mut rows = Rows::new();
    for n in 0..3 {
        let (request, run, other) = (format!("r{n}"), format!("t{n}"), format!("new-{n}"));
        let parts = [new(&other), new("bad")];
        rows.crash("a", &request, &run, AnswerStage::Head, n * APART, &parts);
    }
    assert_eq!(rows.quarantined(), [part("bad")]);
    assert_eq!(rows.suspects().trial_part(&[part("bad"), part("next")]), None);
}

// Guards against a sound part that is refused because a sound request with it was in flight at the same crash.
#[test]
fn a_sound_request_at_the_same_crash_does_not_stop_its_part() {
    let mut rows = Rows::new();
    for n in 0..2 {
        let (run, at) = (format!("t{n}"), n * APART);
        let bad = [new("sound"), new("bad")];
        rows.crash("a", &format!("bad-{n}"), &run, AnswerStage::Head, at, &bad);
        let beside = [new("sound"), known("session")];
        rows.crash("b", &format!("beside-{n}"), &run, AnswerStage::Head, at, &beside);
    }
    let suspects = rows.suspects();
    assert!(!suspects.is_quarantined(&[part("sound"), part("session")]));
    assert!(suspects.is_quarantined(&[part("sound"), part("bad")]));
}

// Guards against a part that goes on crashing targets because it was in equal evidence with another one before.
#[test]
fn later_crashes_tell_parts_with_equal_evidence_apart() {
    let [sound, bad] = ["p", "q"];
    let mut rows = Rows::new();
    for n in 0..2 {
        let parts = [new(sound), new(bad)];
        rows.crash(
            "a",
            &format!("r{n}"),
            &format!("t{n}"),
            AnswerStage::Head,
            n * APART,
            &parts,
        );
    }
    assert_eq!(rows.quarantined(), [], "equal evidence");
    for n in 2..4 {
        rows.crash(
            "b",
            &format!("r{n}"),
            &format!("t{n}"),
            AnswerStage::Head,
            n * APART,
            &[new(bad)],
        );
    }
    assert_eq!(rows.quarantined(), [part(bad)]);
}

// Guards against a quarantine that outlasts the proof that the part is sound.
#[test]
fn a_success_frees_a_part_until_new_crashes() {
    let mut rows = Rows::new();
    let crash = |rows: &mut Rows, n: u64| {
        rows.crash(
            "a",
            &format!("r{n}"),
            &format!("t{n}"),
            AnswerStage::Head,
            n * APART,
            &[new("x")],
        );
    };
    (0..2).for_each(|n| crash(&mut rows, n));
    assert_eq!(rows.quarantined(), [part("x")]);
    rows.success("x");
    assert_eq!(rows.suspects(), SuspectParts::default());
    (2..5).for_each(|n| crash(&mut rows, n));
    assert!(rows.quarantined().is_empty(), "the part has succeeded before");
    crash(&mut rows, 5);
    assert_eq!(rows.quarantined(), [part("x")]);
}

// Guards against the quarantine of a sound part by crashes that were reported only after its success.
#[test]
fn a_success_refutes_earlier_crashes_that_are_reported_later() {
    let mut rows = Rows::new();
    let crash = |rows: &mut Rows, n: u64, parts: &[SuspectPart]| {
        let (request, run) = (format!("r{n}"), format!("t{n}"));
        rows.crash("a", &request, &run, AnswerStage::Head, n * APART, parts);
    };
    crash(&mut rows, 0, &[new("x")]);
    let at = Some(ms(2 * APART));
    let value = serde_json::to_string(&SoundRowValue { at }).unwrap();
    rows.write(&format!("sound/{}", part("x").text()), &value);
    for n in 1..3 {
        crash(&mut rows, n, &[new("x"), new("y")]);
    }
    assert_eq!(rows.quarantined(), [part("y")]);
    (3..7).for_each(|n| crash(&mut rows, n, &[new("x")]));
    assert_eq!(rows.quarantined().len(), 2, "crashes after the success count");
}

// Guards against hosts of the last version, whose rows have no value, and against rows that can't be parsed.
#[test]
fn rows_without_evidence_count_for_whole_requests() {
    for (value, unusable) in [("", 0), ("{\"from\": \"later\"}", 1)] {
        let mut rows = Rows::new();
        for host in ["a", "b"] {
            assert_eq!(rows.write(&crash_key(host, "r1"), value), unusable);
        }
        let view = rows.state.publish().unwrap();
        assert!(view.quarantined.contains(&fingerprint("r1")), "{value}");
        assert_eq!(view.parts, SuspectParts::default());
    }
}

// Guards against a part that crashes targets again every two minutes, and against rows that are never removed.
#[test]
fn crashes_that_support_a_quarantine_are_kept_longer() {
    let mut rows = Rows::new();
    for n in 0..2 {
        rows.crash(
            "a",
            &format!("r{n}"),
            &format!("t{n}"),
            AnswerStage::Head,
            n * APART,
            &[new("x")],
        );
    }
    rows.crash("a", "r9", "t9", AnswerStage::Head, 9 * APART, &[new("y")]);
    rows.success("z");
    assert_eq!(rows.quarantined(), [part("x")]);
    assert_eq!(
        rows.state.expired_crashes(Duration::from_secs(120)),
        [crash_key("a", "r9")]
    );
    assert!(
        rows.state
            .expired_sound_parts(Duration::from_secs(599))
            .is_empty()
    );
    assert_eq!(rows.state.expired_crashes(Duration::from_secs(600)).len(), 3);
    let expired = rows.state.expired_sound_parts(Duration::from_secs(600));
    assert_eq!(expired, [format!("sound/{}", part("z").text())]);
    rows.apply(removed(&crash_key("a", "r0"), 100));
    assert!(rows.quarantined().is_empty());
}

// Guards against memory that grows with every part a host has ever seen.
#[test]
fn remembered_successes_are_bounded_and_the_oldest_are_forgotten() {
    let mut successes = PartSuccesses::default();
    for n in 0..20_000 {
        successes.record(&[part("popular"), part(&format!("p{n}"))], ms(n));
    }
    assert!(successes.contains_since(&part("popular"), ms(19_999)));
    assert!(successes.contains(&part("p19999")));
    assert!(!successes.contains(&part("p0")));
}
