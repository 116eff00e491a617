//! Baselines: the software versions at which streams without a record of their own began.

mod support;

use std::time::Duration;

use gateway::ports::{Record, Table};
use gateway::{Baseline, BaselineChange, CachedState, Position, RecordNeed, UpdateSource, View};
use support::{decode, in_era, ms, removed, row, snapshot};

/// Lifetime of a stream on the declared route, whose timeout is 20 s.
const LIFETIME_MS: u64 = 40_000;
/// Key of the baseline of the declared service.
const KEY: &str = "software/s";

/// A host and the store that it reads.
struct Host {
    state: CachedState,
    view: View,
    era: u64,
    version: u64,
}

impl Host {
    /// Creates a host that has read the declarations and an empty shared table in an era of the store.
    fn start(era: u64, targets: &[(&str, &str)], shared: &[(&str, &str)], now_ms: u64) -> Self {
        let mut host = Self {
            state: CachedState::new(decode(), Duration::from_secs(2)),
            view: View::default(),
            era,
            version: 100,
        };
        host.read_all(targets, shared, now_ms);
        host
    }

    /// Reads all tables.
    fn read_all(&mut self, targets: &[(&str, &str)], shared: &[(&str, &str)], now_ms: u64) {
        self.read(
            Table::Declared,
            vec![row("config", "declared 1 stream s 20", 1)],
            now_ms,
        );
        let targets = targets.iter();
        let targets =
            targets.map(|(name, software)| row(name, &format!("target s 1 software={software}"), 2));
        self.read(Table::Targets, targets.collect(), now_ms);
        let shared = shared.iter().map(|(key, value)| row(key, value, 3));
        self.read(Table::Shared, shared.collect(), now_ms);
    }

    fn read(&mut self, table: Table, records: Vec<Record>, now_ms: u64) {
        self.version += 1;
        let rows = in_era(self.era, snapshot(self.version, records));
        self.state.replace(table, rows, UpdateSource::Store, ms(now_ms));
        self.publish();
    }

    fn change(&mut self, table: Table, key: &str, value: Option<&str>, now_ms: u64) -> usize {
        self.version += 1;
        let record = match value {
            Some(value) => row(key, value, self.version),
            None => removed(key, self.version),
        };
        let rows = in_era(self.era, snapshot(self.version, [record]));
        let unusable = self.state.apply(table, rows, UpdateSource::Store, ms(now_ms));
        self.publish();
        unusable.len()
    }

    fn list(&mut self, name: &str, software: &str, now_ms: u64) {
        let value = format!("target s 1 software={software}");
        self.change(Table::Targets, name, Some(&value), now_ms);
    }

    fn remove(&mut self, name: &str, now_ms: u64) {
        self.change(Table::Targets, name, None, now_ms);
    }

    fn tick(&mut self, now_ms: u64) {
        self.state.tick(ms(now_ms));
        self.publish();
    }

    /// Takes over the view if it has changed, as the traffic thread does.
    fn publish(&mut self) {
        if let Some(view) = self.state.publish() {
            self.view = view;
        }
    }

    /// Returns the row that is due.
    fn due(&self, now_ms: u64) -> Option<(BaselineChange, Baseline)> {
        let mut due = self.state.due_baselines(ms(now_ms));
        assert!(due.len() <= 1, "{due:?}");
        due.pop().map(|write| (write.change, write.baseline))
    }

    /// Writes the row that is due and reads it back; returns why it was written.
    fn write(&mut self, now_ms: u64) -> Option<BaselineChange> {
        let (change, baseline) = self.due(now_ms)?;
        let text = serde_json::to_string(&baseline).unwrap();
        self.change(Table::Shared, KEY, Some(&text), now_ms);
        assert_eq!(self.due(now_ms), None, "the row is written once");
        Some(change)
    }

    fn baseline(&self) -> Option<&str> {
        self.view.unrecorded_origin("s").map(|version| &**version)
    }

    /// Reads the store after a restore from a copy.
    fn restore(&mut self, targets: &[(&str, &str)], shared: &[(&str, &str)], now_ms: u64) {
        self.era += 1;
        self.version = 10;
        self.read_all(targets, shared, now_ms);
    }
}

fn text(software: &str, term: u64, era: u64) -> String {
    let software = software.into();
    serde_json::to_string(&Baseline { software, term, era }).unwrap()
}

// Guards against a service whose streams need records for ever because it has no baseline.
#[test]
fn the_first_baseline_is_the_version_with_most_targets() {
    let mut host = Host::start(0, &[("a", "2"), ("b", "1"), ("c", "1"), ("d", "3")], &[], 0);
    assert_eq!(host.view.record_need("s", "1"), RecordNeed::Wanted);
    assert_eq!(host.write(0), Some(BaselineChange::Created));
    let need = |software| host.view.record_need("s", software);
    assert_eq!(
        [need("1"), need("2"), need("3")],
        [RecordNeed::None, RecordNeed::Required, RecordNeed::Required]
    );
    assert_eq!(host.view.record_need("other", "1"), RecordNeed::Wanted);
    assert_eq!(host.view.stream_lifetime("s"), ms(LIFETIME_MS));
}

// Guards against streams of the old version that are taken for the new one's because the baseline changed too early.
#[test]
fn the_baseline_changes_only_after_another_version_was_alone_for_a_lifetime() {
    let mut host = Host::start(0, &[("a", "1")], &[], 0);
    host.write(0);
    assert!(host.view.has_only_baseline("s", ms(LIFETIME_MS)));
    host.list("b", "2", 50_000);
    assert!(!host.view.has_only_baseline("s", ms(100_000)));
    assert_eq!(host.due(100_000), None);
    host.change(
        Table::Targets,
        "a",
        Some("target s 1 software=1 leaving"),
        100_000,
    );
    assert_eq!(host.view.record_need("s", "2"), RecordNeed::Wanted);
    // A time without targets, a third version and a renewal.
    host.list("b", "2", 110_000);
    host.list("c", "3", 120_000);
    assert_eq!(host.due(100_000 + LIFETIME_MS), None);
    host.remove("c", 150_000);
    host.remove("b", 160_000);
    assert_eq!(host.due(150_000 + LIFETIME_MS), None);
    host.list("d", "2", 170_000);
    assert_eq!(host.due(150_000 + LIFETIME_MS - 1), None);
    assert_eq!(host.write(150_000 + LIFETIME_MS), Some(BaselineChange::Changed));
    assert_eq!(host.baseline(), Some("2"));
    assert!(host.view.has_only_baseline("s", ms(150_000 + LIFETIME_MS)));
}

// Guards against a stream of the returned version that another host takes for the one it had just made the baseline.
#[test]
fn a_version_that_returns_after_the_other_was_nearly_a_lifetime_alone_needs_records_for_a_while() {
    let mut host = Host::start(0, &[("a", "1")], &[], 0);
    host.write(0);
    host.list("b", "2", 1_000);
    host.remove("a", 2_000);
    host.list("c", "1", 2_000 + LIFETIME_MS - 20_000);
    assert_eq!(
        host.view.record_need("s", "1"),
        RecordNeed::None,
        "an early rollback"
    );
    host.remove("c", 30_000);
    let returned_at = 30_000 + LIFETIME_MS - 1_000;
    host.list("c", "1", returned_at);
    assert_eq!(host.view.record_need("s", "1"), RecordNeed::Wanted);
    host.tick(returned_at + 9_000);
    assert_eq!(host.baseline(), None);
    host.tick(returned_at + 10_000);
    assert_eq!(host.view.record_need("s", "1"), RecordNeed::None);
    assert_eq!(host.view.record_need("s", "2"), RecordNeed::Required);
}

// Guards against a shorter timeout that makes the streams that began before it look ended.
#[test]
fn a_shorter_lifetime_applies_when_the_streams_before_it_have_ended() {
    let mut host = Host::start(0, &[("a", "1")], &[], 0);
    host.write(0);
    host.change(Table::Declared, "config", Some("declared 2 stream s 1"), 10_000);
    host.tick(10_000 + LIFETIME_MS - 1);
    assert_eq!(host.view.stream_lifetime("s"), ms(LIFETIME_MS));
    host.list("b", "1", 10_000 + LIFETIME_MS);
    assert_eq!(host.view.stream_lifetime("s"), Duration::from_secs(30));
    // The route is removed.
    host.change(Table::Declared, "config", Some("declared 3"), 100_000);
    assert_eq!(host.view.record_need("s", "1"), RecordNeed::None);
    host.change(Table::Declared, "config", Some("declared 4"), 130_000);
    assert!(host.view.software.is_empty());
}

// Guards against a baseline that goes back with the store, and against trust in a row after a restore.
#[test]
fn a_restored_row_does_not_lower_the_baseline_which_is_unknown_until_it_is_confirmed() {
    let (old, new) = (text("1", 1, 0), text("2", 2, 0));
    let targets = [("a", "1"), ("b", "2")];
    let mut host = Host::start(0, &targets, &[(KEY, &new)], 0);
    assert_eq!(host.baseline(), Some("2"));
    host.restore(&targets, &[(KEY, &old)], 50_000);
    assert_eq!(host.baseline(), None);
    assert_eq!(host.view.record_need("s", "2"), RecordNeed::Wanted);
    assert!(!host.view.has_only_baseline("s", ms(500_000)));
    assert_eq!(host.due(50_000 + LIFETIME_MS - 1), None);
    let confirmed = Baseline {
        software: "2".into(),
        term: 3,
        era: 1,
    };
    assert_eq!(
        host.due(50_000 + LIFETIME_MS),
        Some((BaselineChange::Confirmed, confirmed))
    );
    host.write(50_000 + LIFETIME_MS);
    assert_eq!(host.baseline(), Some("2"));
    // A second restore, from a copy without the row.
    host.restore(&targets, &[], 100_000);
    assert_eq!(host.write(100_000 + LIFETIME_MS), Some(BaselineChange::Confirmed));
    assert_eq!(host.baseline(), Some("2"));
}

// Guards against streams without a record that are taken for the baseline's although the host that recorded them is gone and
// the restored store has lost the records.
#[test]
fn a_missing_record_means_nothing_after_a_restore_while_streams_of_another_version_may_live() {
    let shared = [(KEY, text("1", 1, 0))];
    let shared = [(KEY, &*shared[0].1)];
    // Another version is listed, was listed shortly before, or may have been before the host started.
    let mut beside = Host::start(0, &[("a", "1"), ("b", "2")], &shared, 0);
    beside.restore(&[("a", "1"), ("b", "2")], &shared, 50_000);
    let mut before = Host::start(0, &[("a", "1"), ("b", "2")], &shared, 0);
    before.remove("b", 40_000);
    before.restore(&[("a", "1")], &shared, 50_000);
    let mut young = Host::start(0, &[("a", "1")], &shared, 40_000);
    young.restore(&[("a", "1")], &shared, 50_000);
    for host in [&mut beside, &mut before, &mut young] {
        assert_eq!(host.due(50_000 + LIFETIME_MS - 1), None);
        assert_eq!(host.baseline(), None);
        assert_eq!(host.write(50_000 + LIFETIME_MS), Some(BaselineChange::Confirmed));
    }
}

// Guards against streams of a service with one version that are refused for their lifetime after each restore.
#[test]
fn a_host_that_followed_one_version_alone_confirms_the_baseline_soon_after_a_restore() {
    let shared = [(KEY, text("1", 1, 0))];
    let shared = [(KEY, &*shared[0].1)];
    let mut long = Host::start(0, &[("a", "1")], &shared, 0);
    long.restore(&[("a", "1")], &shared, 50_000);
    assert_eq!(long.due(51_999), None);
    assert_eq!(long.write(52_000), Some(BaselineChange::Confirmed));
    // No stream began before the first baseline.
    let mut first = Host::start(0, &[("a", "1")], &[], 49_000);
    assert_eq!(first.write(49_000), Some(BaselineChange::Created));
    first.restore(&[("a", "1")], &shared, 50_000);
    assert_eq!(first.write(52_000), Some(BaselineChange::Confirmed));
}

// Guards against a host that was cut off from the store and overrides with a higher term what others wrote after a restore.
#[test]
fn a_row_of_a_later_era_counts_more_than_a_higher_term() {
    let targets = [("a", "1"), ("b", "2")];
    let mut host = Host::start(0, &targets, &[(KEY, &text("2", 7, 0))], 0);
    host.restore(&targets, &[(KEY, &text("1", 4, 1))], 90_000);
    assert_eq!(host.baseline(), Some("1"));
    assert_eq!(host.due(500_000), None);
}

// Guards against targets that an outage has removed from the list and that do not count as listed.
#[test]
fn a_version_whose_targets_are_unconfirmed_is_listed() {
    let mut host = Host::start(0, &[("a", "1"), ("b", "2")], &[(KEY, &text("1", 1, 0))], 0);
    host.state.store_failed();
    host.state.store_answered(ms(10_000));
    host.remove("a", 10_000);
    assert_eq!(host.view.record_need("s", "2"), RecordNeed::Required);
    host.tick(12_000);
    assert_eq!(host.view.record_need("s", "2"), RecordNeed::Wanted);
    assert_eq!(host.due(12_000 + LIFETIME_MS - 1), None);
    assert_eq!(host.write(12_000 + LIFETIME_MS), Some(BaselineChange::Changed));
}

// Guards against a host that trusts what a restore has left of a baseline that it never knew.
#[test]
fn a_host_that_starts_after_a_restore_waits_until_no_earlier_stream_lives() {
    for shared in [&[(KEY, text("1", 1, 0))][..], &[]] {
        let shared: Vec<_> = shared.iter().map(|(key, text)| (*key, text.as_str())).collect();
        let mut host = Host::start(1, &[("a", "1"), ("b", "2")], &shared, 1_000);
        assert_eq!(host.due(1_000 + LIFETIME_MS - 1), None);
        assert_eq!(host.baseline(), None);
        let written = host.write(1_000 + LIFETIME_MS);
        let expected = match shared.is_empty() {
            true => BaselineChange::Created,
            false => BaselineChange::Confirmed,
        };
        assert_eq!((written, host.baseline().is_some()), (Some(expected), true));
    }
}

// Guards against a platform that counts its eras from 1, on which all streams of a new service would be recorded for the
// lifetime of a stream.
#[test]
fn a_service_with_one_version_gets_its_first_baseline_at_once_in_any_era() {
    let mut host = Host::start(1, &[("a", "1"), ("b", "1")], &[], 1_000);
    assert_eq!(host.write(1_000), Some(BaselineChange::Created));
    assert_eq!(host.view.record_need("s", "1"), RecordNeed::None);
}

// Guards against a row that is written before the tables of the new era have been read.
#[test]
fn nothing_is_written_from_tables_of_an_earlier_era() {
    let mut host = Host::start(0, &[("a", "1")], &[(KEY, &text("1", 1, 0))], 0);
    host.era = 1;
    host.read(
        Table::Declared,
        vec![row("config", "declared 1 stream s 20", 1)],
        1_000,
    );
    assert_eq!(host.baseline(), None);
    assert_eq!(host.due(500_000), None);
    assert_eq!(
        host.state.position_of(Table::Shared, KEY),
        Some(Position::new(0, 3))
    );
}

// Guards against a baseline that another writer's row ends, lowers or makes unchangeable.
#[test]
fn an_odd_row_changes_nothing_and_is_replaced() {
    let odd = [
        text("9", u64::MAX, 0),
        text("9", 5, 1),
        "{}".to_owned(),
        "{\"software\":7,\"term\":9,\"era\":0}".to_owned(),
        "[".repeat(100_000),
        String::new(),
    ];
    for odd in odd {
        let mut host = Host::start(0, &[("a", "1")], &[], 0);
        assert_eq!(host.change(Table::Shared, KEY, Some(&odd), 0), 1, "{odd:.40}");
        assert_eq!(host.write(0), Some(BaselineChange::Created));
        assert_eq!(host.change(Table::Shared, KEY, Some(&odd), 1_000), 1);
        assert_eq!(host.baseline(), Some("1"));
        assert_eq!(host.write(3_000), Some(BaselineChange::Confirmed));
    }
    let mut host = Host::start(0, &[("a", "1")], &[(KEY, &text("1", 4, 0))], 0);
    host.change(Table::Shared, KEY, Some(&text("2", 3, 0)), 1_000);
    assert_eq!(host.baseline(), Some("1"), "a lower term");
    host.change(Table::Shared, KEY, None, 2_000);
    assert_eq!(host.baseline(), Some("1"), "a removed row");
    assert_eq!(host.write(4_000), Some(BaselineChange::Confirmed));
}
