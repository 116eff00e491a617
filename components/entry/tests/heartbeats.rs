//! Entry hosts that exchange heartbeats over real sockets.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Cluster, ClusterConfig, start_with_keys, wait_until};
use entry::Daemon;
use slog::{Drain, KV, Never, OwnedKVList, Record, Serializer};

/// Values of the log lines of a host, joined by spaces.
type Events = Arc<Mutex<Vec<String>>>;

/// Records the log lines of a host.
struct EventRecorder(Events);

/// Collects the values of a log line.
struct Values(Vec<String>);

impl Serializer for Values {
    fn emit_arguments(&mut self, _key: slog::Key, val: &std::fmt::Arguments<'_>) -> slog::Result {
        self.0.push(val.to_string());
        Ok(())
    }
}

impl Drain for EventRecorder {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        let mut values = Values(Vec::new());
        let _ = record.kv().serialize(record, &mut values);
        self.0.lock().unwrap().push(values.0.join(" "));
        Ok(())
    }
}

fn start(cluster: &Cluster, dir: &std::path::Path, i: usize) -> (Daemon, Events) {
    let events = Events::default();
    let log = slog::Logger::root(EventRecorder(events.clone()), slog::o!());
    (start_with_keys(cluster, dir, i, log), events)
}

fn has_event(events: &Events, name: &str, peer: &str) -> bool {
    let events = events.lock().unwrap();
    events
        .iter()
        .any(|line| line.contains(name) && line.contains(peer))
}

#[test]
fn a_killed_host_is_detected_and_can_rejoin() {
    let dir = tempfile::tempdir().unwrap();
    let names: Vec<_> = (0..4).map(|i| format!("entry-{i}").into()).collect();
    peers::write_keys(dir.path(), &names).unwrap();
    let cluster = Cluster::start(&ClusterConfig {
        hosts: 0,
        ..ClusterConfig::default()
    });
    let mut hosts: Vec<_> = (0..4).map(|i| start(&cluster, dir.path(), i)).collect();
    std::thread::sleep(Duration::from_secs(5));
    assert!(
        hosts
            .iter()
            .all(|(_, events)| !has_event(events, "peer_suspected", ""))
    );

    let (killed, _) = hosts.pop().unwrap();
    killed.abort().unwrap();
    wait_until("noticed", || {
        hosts
            .iter()
            .any(|(_, events)| has_event(events, "peer_dead", "entry-3"))
    });
    let (restarted, events) = start(&cluster, dir.path(), 3);
    std::thread::sleep(Duration::from_secs(3));
    assert!(!has_event(&events, "isolated", ""));
    restarted.drain().unwrap();
    for (host, _) in hosts {
        host.drain().unwrap();
    }
    cluster.stop();
}
