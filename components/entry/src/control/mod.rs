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
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Inputs that wait for the control loop.
const QUEUE_LENGTH: usize = 1_024;
/// Publishing may take one part in this many of a core.
const PUBLISH_SHARE_INVERSE: u32 = 250;
/// Shortest time from a change to the view that shows it.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time from a change to the view that shows it.
const MAX_PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// What the control thread takes from the others.
pub(crate) struct Sources {
    /// What traffic threads saw.
    pub observations: async_channel::Receiver<Observation>,
    /// What became of requests.
    pub records: Records,
    /// Writes claims and settlements.
    pub writer: LedgerWriter,
    /// Rows of requests that were aboard crashes.
    pub table_commands: async_channel::Receiver<TableCommand>,
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
    let (peer_states_tx, peer_states) = async_channel::bounded(QUEUE_LENGTH);
    let operator_server = ex.spawn(operators::serve(
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
        ex.spawn(suspects::write(
            shared.clone(),
            platform.clone(),
            sources.table_commands,
        )),
        ex.spawn(suspects::scan(shared.clone(), platform.clone())),
        ex.spawn(roster::maintain(shared.clone(), platform.clone())),
        ex.spawn(notes::follow(
            shared.clone(),
            platform.clone(),
            tx.clone(),
            peer_states,
        )),
        ex.spawn(poll::poll_loads(
            shared.clone(),
            client.clone(),
            ex.clone(),
            tx.clone(),
        )),
        ex.spawn(watch::poll_caches(
            shared.clone(),
            client.clone(),
            ex.clone(),
            tx.clone(),
        )),
        ex.spawn(watch::export(shared.clone(), client, exports, tx.clone())),
    ];
    pollers.extend(arrivals.map(|arrivals| ex.spawn(peers::receive(arrivals, tx))));
    let peer_control = PeerControl::new(shared.clone(), transport.clone(), peer_states_tx);
    let state = ControlState::new(shared.clone(), peer_control, kept);
    let control_loop = run_loop(state, inputs, sources.observations);
    let stopped = async {
        let _ = stop.recv().await;
    };
    control_loop.or(stopped).await;
    for poller in pollers {
        poller.cancel().await;
    }
    if let Some(transport) = transport {
        transport.shutdown().await;
    }
    notes::record_stopped(&shared, platform).await;
    operator_server.await;
    flush_settlements(&shared, writer).await;
}

/// Waits until every settlement is written, or longer than the table service may take.
async fn flush_settlements(shared: &Shared, writer: smol::Task<()>) {
    shared.ledger.close();
    let timeout = async {
        smol::Timer::after(SETTLEMENT_TIMEOUT).await;
        let backlog = shared.ledger.stats().backlog.load(Ordering::Relaxed);
        warn!(shared.log, "settlements are left"; events::SETTLEMENTS_LEFT, "count" => backlog);
    };
    writer.or(timeout).await;
}

/// Stores what became of requests as the traffic threads report it.
async fn store_records(shared: Arc<Shared>, records: Records) {
    while let Ok((id, record)) = records.recv().await {
        shared.outcomes.store(id, record);
    }
}

/// What the control loop takes next.
enum LoopEvent {
    /// TableCommand from a poller.
    Input(state::Input),
    /// TableCommand from a traffic thread.
    Observation(Observation),
    /// It is time to publish what changed.
    Publish,
    /// Nothing can come any more.
    Closed,
}

/// Applies news as it comes; publishes what changed after an interval that grows with the cost of a view.
async fn run_loop(
    mut state: ControlState,
    inputs: async_channel::Receiver<state::Input>,
    observations: async_channel::Receiver<Observation>,
) {
    let mut publish_at: Option<Instant> = None;
    let mut interval = MIN_PUBLISH_INTERVAL;
    loop {
        let input = async { inputs.recv().await.map_or(LoopEvent::Closed, LoopEvent::Input) };
        let observation = async {
            observations
                .recv()
                .await
                .map_or(LoopEvent::Closed, LoopEvent::Observation)
        };
        let publish_due = async {
            match publish_at {
                Some(at) => smol::Timer::at(at).await,
                None => std::future::pending().await,
            };
            LoopEvent::Publish
        };
        match publish_due.or(input).or(observation).await {
            LoopEvent::Input(state::Input::Notes { enforced, done }) => {
                state.apply_notes(enforced);
                state.publish();
                state.send_note_state();
                let _ = done.send(()).await;
                continue;
            }
            LoopEvent::Input(input) => state.apply(input),
            LoopEvent::Observation(observation) => state.observe(&observation),
            LoopEvent::Publish => {
                let began = Instant::now();
                state.publish();
                interval = publish_interval(began.elapsed());
                publish_at = None;
                continue;
            }
            LoopEvent::Closed => return,
        }
        publish_at.get_or_insert_with(|| Instant::now() + interval);
    }
}

/// The interval at which publishing takes its share of a core, within bounds.
fn publish_interval(cost: Duration) -> Duration {
    (cost * PUBLISH_SHARE_INVERSE).clamp(MIN_PUBLISH_INTERVAL, MAX_PUBLISH_INTERVAL)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_publish_interval_limits_the_share_of_a_core() {
        assert_eq!(publish_interval(Duration::from_micros(3)), MIN_PUBLISH_INTERVAL);
        assert_eq!(
            publish_interval(Duration::from_millis(1)),
            Duration::from_millis(250)
        );
        assert_eq!(publish_interval(Duration::from_secs(1)), MAX_PUBLISH_INTERVAL);
    }
}
