//! The control thread: owns the control state and publishes views of it for the traffic threads.

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
use ::peers::{InboundMessage, Transport};
use kept::KeptCache;
use peers::PeerControl;
use state::ControlState;

pub(crate) use peers::open as open_peers;

/// Maximum time to wait at shutdown until the remaining settlements are written; longer than the table
/// service may take.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Capacity of the queue of inputs to the control loop.
const QUEUE_LENGTH: usize = 1_024;
/// Publishing views may use at most 1 / `PUBLISH_SHARE_INVERSE` of a core.
const PUBLISH_SHARE_INVERSE: u32 = 250;
/// Minimum time from a change until it is published.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time from a change until it is published.
const MAX_PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Inputs that the control thread receives from the other threads.
pub(crate) struct Sources {
    /// Observations of the traffic threads.
    pub observations: async_channel::Receiver<Observation>,
    /// Outcomes of requests.
    pub records: Records,
    /// Writes claims and settlements to the table service.
    pub writer: LedgerWriter,
    /// Commands for the rows of suspects: requests that ran on targets that crashed.
    pub table_commands: async_channel::Receiver<TableCommand>,
    /// Connections to other entry hosts and the messages received over them; `None` without keys.
    pub peers: Option<(Transport, async_channel::Receiver<InboundMessage>)>,
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

/// Waits until every settlement is written, at most [`SETTLEMENT_TIMEOUT`].
async fn flush_settlements(shared: &Shared, writer: smol::Task<()>) {
    shared.ledger.close();
    let timeout = async {
        smol::Timer::after(SETTLEMENT_TIMEOUT).await;
        let backlog = shared.ledger.stats().backlog.load(Ordering::Relaxed);
        warn!(shared.log, "settlements not written before shutdown"; events::SETTLEMENTS_LEFT,
            "count" => backlog);
    };
    writer.or(timeout).await;
}

/// Stores the outcomes that traffic threads report.
async fn store_records(shared: Arc<Shared>, records: Records) {
    while let Ok((id, record)) = records.recv().await {
        shared.outcomes.store(id, record);
    }
}

/// An event that the control loop handles.
enum LoopEvent {
    /// An input from a poller.
    Input(state::Input),
    /// An observation from a traffic thread.
    Observation(Observation),
    /// Changes are due to be published.
    Publish,
    /// A channel is closed.
    Closed,
}

/// Applies inputs as they arrive, and publishes changes after an interval that grows with the cost of a view.
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

/// Returns the interval at which publishing uses its share of a core, within the bounds.
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
