use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::events;
use http_io::{
    Body, Handler, HandlerFuture, HeldBody, HttpError, MemoryHolder, Server, Shutdown, empty_body,
    read_request,
};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use rand::seq::IndexedRandom;
use serde::Serialize;
use slog::{info, warn};
use utils::Monotonic;

use super::changes::{ChangesAnswer, ChangesQuery, PackedAnswer, PackedQuery};
use super::host_client::{Answered, HostClient};
use super::{Control, changes, kept_updates, loads, origin_copies, relays};
use crate::jitter::jittered;
use crate::ports::Table;

/// Path on which hosts exchange changes of the replicated tables. Its number is that of the message format.
const CHANGES_PATH: &str = "/changes/4";
/// Path of the format without packed values, for hosts of the version before.
const CHANGES_3_PATH: &str = "/changes/3";
/// Interval between queries while the store does not answer.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time until an answer begins.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// `Retry-After` of a message for which the host has no memory, in seconds.
const NO_MEMORY_RETRY_AFTER: &str = "0.5";
/// Longest message, and most bytes of the values in one, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Answers queries from other hosts until `stop` resolves.
pub(crate) async fn serve(control: Arc<Control>, stop: Shutdown) {
    let addr = control.traffic.settings.peers;
    let server = match Server::bind(addr, control.traffic.resources.for_peers()) {
        Ok(server) => server,
        Err(e) => {
            warn!(control.traffic.log, "can not listen for other hosts"; events::CONNECTION_FAILED,
                "error" => %e);
            let _ = stop.recv().await;
            return;
        }
    };
    let ex = control.ex.clone();
    let handler: Handler = Arc::new(move |req| {
        let control = control.clone();
        let answer: HandlerFuture = Box::pin(async move { answer(&control, req).await });
        answer
    });
    server.run(ex, handler, stop).await;
}

async fn answer(control: &Control, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let holder = MemoryHolder::of(&req);
    let body = match read_request(req.into_body(), MAX_MESSAGE_BYTES, &holder).await {
        Ok(body) => body.join(),
        Err(e) => Err(e),
    };
    if body
        .as_ref()
        .is_err_and(|e| *e.current_context() == HttpError::NoMemory)
    {
        return no_memory();
    }
    let answer = body.ok().and_then(|(bytes, _charge)| match path.as_str() {
        CHANGES_PATH => pack(&changes::answer_packed(
            control,
            &postcard::from_bytes(&bytes).ok()?,
        )),
        CHANGES_3_PATH => pack(&changes::answer(control, &postcard::from_bytes(&bytes).ok()?)),
        kept_updates::PATH => pack(&kept_updates::answer(
            control,
            &postcard::from_bytes(&bytes).ok()?,
        )),
        origin_copies::PATH => pack(&origin_copies::answer(
            control,
            postcard::from_bytes(&bytes).ok()?,
        )),
        loads::PATH => pack(&loads::answer(control, &postcard::from_bytes(&bytes).ok()?)),
        _ => None,
    });
    let Some(answer) = answer else {
        let mut res = Response::new(empty_body());
        *res.status_mut() = StatusCode::BAD_REQUEST;
        return res;
    };
    let held = HeldBody::from_bytes(answer, &holder);
    held.map_or_else(|_| no_memory(), |held| Response::new(held.into_body()))
}

/// Returns the refusal of a message for which the host has no memory.
fn no_memory() -> Response<Body> {
    let mut res = Response::new(empty_body());
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    res.headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static(NO_MEMORY_RETRY_AFTER));
    res
}

pub(super) fn pack(message: &impl Serialize) -> Option<Vec<u8>> {
    postcard::to_allocvec(message).ok()
}

/// Queries other hosts for changes while the store does not answer, or until this host can serve requests.
pub(crate) async fn poll_peers(control: Arc<Control>) {
    let client = HostClient::new(&control);
    loop {
        smol::Timer::after(jittered(POLL_INTERVAL, 0.2)).await;
        let lacks_state = !control.traffic.view.load().can_serve();
        let needs_peer = control.cached_state().is_store_down() && !relays::is_relayed(&control);
        if !needs_peer && !lacks_state {
            continue;
        }
        let Some(peer) = choose_peer(&control) else {
            continue;
        };
        let sent_at = control.traffic.now();
        if let Some(answer) = query_changes(&control, &client, peer).await {
            apply_answer(&control, peer, answer.changes, sent_at);
            control.record_peer_answer(sent_at);
        }
    }
}

/// What another host has answered.
pub(super) struct QueriedChanges {
    /// The changes.
    pub changes: ChangesAnswer,
    /// Whether it is receiving a large change of the declarations from the store.
    pub is_receiving: bool,
}

/// Asks another host for the changes after this host's positions.
pub(super) async fn query_changes(
    control: &Control,
    client: &HostClient,
    peer: SocketAddr,
) -> Option<QueriedChanges> {
    let query = PackedQuery::new(control);
    if let Answered::Message(answer) = client.ask::<PackedAnswer>(peer, CHANGES_PATH, &query).await? {
        let is_receiving = answer.is_receiving;
        let changes = changes::unpack(control, peer, answer)?;
        return Some(QueriedChanges {
            changes,
            is_receiving,
        });
    }
    // The whole rows are many times as long, so a call that failed is not sent again like this.
    let query = ChangesQuery::new(control);
    let changes = client.query(peer, CHANGES_3_PATH, &query).await?;
    Some(QueriedChanges {
        changes,
        is_receiving: false,
    })
}

/// Chooses a random peer among the registered hosts and the seeds.
fn choose_peer(control: &Control) -> Option<SocketAddr> {
    let settings = &control.traffic.settings;
    let view = control.traffic.view.load();
    let listed = view.hosts.values().map(|host| host.peers);
    let mut peers: Vec<_> = listed.chain(settings.seeds.iter().copied()).collect();
    peers.retain(|peer| *peer != settings.peers);
    peers.choose(&mut rand::rng()).copied()
}

/// Applies the answer to a query that was sent at `sent_at`.
pub(super) fn apply_answer(control: &Control, peer: SocketAddr, answer: ChangesAnswer, sent_at: Monotonic) {
    let now = control.traffic.now();
    let ChangesAnswer {
        changes: answer,
        shared_age,
    } = answer;
    let rows: usize = answer.updates.iter().map(|(_, update)| update.row_count()).sum();
    let whole = answer.updates.iter().filter(|(_, update)| update.is_whole());
    let whole: Vec<Table> = whole.map(|(table, _)| *table).collect();
    if rows > 0 {
        info!(control.traffic.log, "received changes from another host"; events::PEER_READ,
            "peer" => %peer, "rows" => rows, "whole" => format!("{whole:?}"));
    }
    if let Some(store_time) = answer.store_time {
        control.cached_state().record_store_time(store_time, now);
    }
    for (table, update) in answer.updates {
        control.update(|state| state.apply_update(table, update, now));
        if let (Table::Declared, Some(age)) = (table, answer.store_age) {
            control
                .traffic
                .confirmed
                .record(table, sent_at.saturating_sub(age));
        }
    }
    if let Some(age) = shared_age {
        control.traffic.confirm_slot_hosts(sent_at.saturating_sub(age));
    }
}
