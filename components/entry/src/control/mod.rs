//! The control thread: owns the control state and publishes views.

mod demand;
mod kept;
mod notes;
mod peers;
mod poll;
mod roster;
mod state;
mod suspects;
mod watch;

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use errors::events;
use futures_lite::FutureExt;
use http_io::{Client, ClientConfig, Executor, Shutdown};
use ledger::LedgerWriter;
use metadata::HttpPlatform;
use slog::warn;

use crate::observe::Observation;
use crate::operators;
use crate::outcomes::Records;
use crate::quarantine::TableCommand;
use crate::shared::Shared;
use ::peers::{Arrived, Transport};
use kept::KeptCache;
use peers::PeerControl;
use state::ControlState;

pub(crate) use peers::open as open_peers;

/// Longest wait for the last settlements.
const SETTLE_WAIT: Duration = Duration::from_secs(10);
/// Inputs that wait for the control loop.
const QUEUE_LENGTH: usize = 1_024;
/// Publishing may take one part in this many of a core.
const PUBLISH_SHARE_INVERSE: u32 = 250;
/// Shortest time from a change to the view that shows it.
const SHORTEST_PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time from a change to the view that shows it.
const LONGEST_PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// What the control thread takes from the others.
pub(crate) struct Sources {
    /// What traffic threads saw.
    pub observations: async_channel::Receiver<Observation>,
    /// What became of requests.
    pub records: Records,
    /// Writes claims and settlements.
    pub writer: LedgerWriter,
    /// Rows of requests that were aboard crashes.
    pub news: async_channel::Receiver<TableCommand>,
    /// Connections to other entry hosts and what arrives over them; `None` without keys.
    pub peers: Option<(Transport, async_channel::Receiver<Arrived>)>,
}

/// Runs the control thread until `stop` resolves.
pub(crate) fn run(
    shared: Arc<Shared>,
    operators: TcpListener,
    sources: Sources,
    stop: Shutdown,
    ex: Executor,
) {
    smol::block_on(ex.run(control(shared, operators, sources, stop, ex.clone())));
}

async fn control(
    shared: Arc<Shared>,
    operators: TcpListener,
    sources: Sources,
    stop: Shutdown,
    ex: Executor,
) {
    let writer = ex.spawn(sources.writer.run());
    let cfg = ClientConfig {
        response_timeout: shared.settings.platform.timeout(),
        ..ClientConfig::default()
    };
    let client = Client::new(ex.clone(), cfg);
    let platform = Arc::new(HttpPlatform::new(
        client.clone(),
        shared.settings.platform.address,
    ));
    let (tx, inputs) = async_channel::bounded(QUEUE_LENGTH);
    let (told, heard) = async_channel::bounded(QUEUE_LENGTH);
    let front = ex.spawn(operators::serve(
        shared.clone(),
        operators,
        ex.clone(),
        stop.clone(),
    ));
    let (transport, arrivals) = sources.peers.unzip();
    let (kept, exports) = KeptCache::new();
    let mut pollers = vec![
        ex.spawn(peers::tick(tx.clone())),
        ex.spawn(store_records(shared.clone(), sources.records)),
        ex.spawn(poll::poll_list(shared.clone(), platform.clone(), tx.clone())),
        ex.spawn(suspects::write(shared.clone(), platform.clone(), sources.news)),
        ex.spawn(suspects::scan(shared.clone(), platform.clone())),
        ex.spawn(roster::keep(shared.clone(), platform.clone())),
        ex.spawn(notes::follow(shared.clone(), platform.clone(), tx.clone(), heard)),
        ex.spawn(poll::poll_loads(
            shared.clone(),
            client.clone(),
            ex.clone(),
            tx.clone(),
        )),
        ex.spawn(watch::watch_caches(
            shared.clone(),
            client.clone(),
            ex.clone(),
            tx.clone(),
        )),
        ex.spawn(watch::export(shared.clone(), client, exports, tx.clone())),
    ];
    pollers.extend(arrivals.map(|arrivals| ex.spawn(peers::receive(arrivals, tx))));
    let members = PeerControl::new(shared.clone(), transport.clone(), told);
    let state = ControlState::new(shared.clone(), members, kept);
    let work = run_loop(state, inputs, sources.observations);
    let stopped = async {
        let _ = stop.recv().await;
    };
    work.or(stopped).await;
    for poller in pollers {
        poller.cancel().await;
    }
    if let Some(transport) = transport {
        transport.shutdown().await;
    }
    notes::say_stopped(&shared, platform).await;
    front.await;
    hand_in_settlements(&shared, writer).await;
}

/// Waits until every settlement is written, or longer than the table service may take.
async fn hand_in_settlements(shared: &Shared, writer: smol::Task<()>) {
    shared.ledger.close();
    let late = async {
        smol::Timer::after(SETTLE_WAIT).await;
        let backlog = shared.ledger.stats().backlog.load(Ordering::Relaxed);
        warn!(shared.log, "settlements are left"; events::SETTLEMENTS_LEFT, "count" => backlog);
    };
    writer.or(late).await;
}

/// Stores what became of requests as the traffic threads report it.
async fn store_records(shared: Arc<Shared>, records: Records) {
    while let Ok((id, remembered)) = records.recv().await {
        shared.outcomes.store(id, remembered);
    }
}

/// What the control loop takes next.
enum Work {
    /// News from a poller.
    Input(state::Input),
    /// News from a traffic thread.
    Observation(Observation),
    /// It is time to publish what changed.
    Publish,
    /// Nothing can come any more.
    End,
}

/// Applies news as it comes; publishes what changed after an interval that grows with the cost of a view.
async fn run_loop(
    mut state: ControlState,
    inputs: async_channel::Receiver<state::Input>,
    observations: async_channel::Receiver<Observation>,
) {
    let mut publish_at: Option<Instant> = None;
    let mut interval = SHORTEST_PUBLISH_INTERVAL;
    loop {
        let input = async { inputs.recv().await.map_or(Work::End, Work::Input) };
        let seen = async { observations.recv().await.map_or(Work::End, Work::Observation) };
        let due = async {
            match publish_at {
                Some(at) => smol::Timer::at(at).await,
                None => std::future::pending().await,
            };
            Work::Publish
        };
        match due.or(input).or(seen).await {
            Work::Input(state::Input::Notes { obeyed, done }) => {
                state.take_notes(obeyed);
                state.publish();
                state.tell_notes();
                let _ = done.send(()).await;
                continue;
            }
            Work::Input(input) => state.apply(input),
            Work::Observation(observation) => state.observe(&observation),
            Work::Publish => {
                let began = Instant::now();
                state.publish();
                interval = publish_interval(began.elapsed());
                publish_at = None;
                continue;
            }
            Work::End => return,
        }
        publish_at.get_or_insert_with(|| Instant::now() + interval);
    }
}

/// The interval at which publishing takes its share of a core, within bounds.
fn publish_interval(cost: Duration) -> Duration {
    (cost * PUBLISH_SHARE_INVERSE).clamp(SHORTEST_PUBLISH_INTERVAL, LONGEST_PUBLISH_INTERVAL)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn publishing_keeps_to_its_share_of_a_core() {
        assert_eq!(
            publish_interval(Duration::from_micros(3)),
            SHORTEST_PUBLISH_INTERVAL
        );
        assert_eq!(
            publish_interval(Duration::from_millis(1)),
            Duration::from_millis(250)
        );
        assert_eq!(publish_interval(Duration::from_secs(1)), LONGEST_PUBLISH_INTERVAL);
    }
}
