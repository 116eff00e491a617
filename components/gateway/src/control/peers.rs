use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::events;
use futures_lite::FutureExt;
use http_io::{
    Body, Client, ClientConfig, Handler, HandlerFuture, Server, ServerConfig, Shutdown, empty_body,
    full_body, read_limited,
};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rand::seq::IndexedRandom;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::{Control, kept_news, loads};
use crate::Told;
use crate::jitter::jittered;
use crate::ports::Table;

/// Path on which hosts tell each other what changed.
const CHANGES_PATH: &str = "/changes";
/// Pause between questions while the store does not answer.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest message, in bytes.
const MAX_MESSAGE: usize = 16 << 20;
/// Tables that hosts pass on.
const PASSED_ON: [Table; 3] = [Table::Declared, Table::Targets, Table::Shared];

/// What a host knows already.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
struct Question {
    /// Versions of the tables.
    known: Vec<(Table, u64)>,
}

/// What another host knows beyond that.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
struct Answer {
    /// What each table has that the other host lacks; tables of which this host can't speak are left out.
    changes: Vec<(Table, Told)>,
}

/// Answers other hosts until `stop` resolves.
pub(crate) async fn serve(control: Arc<Control>, stop: Shutdown) {
    let addr = control.traffic.settings.peers;
    let server = match Server::bind(addr, ServerConfig::default()) {
        Ok(server) => server,
        Err(e) => {
            warn!(control.traffic.log, "no listener for other hosts"; events::CONNECTION_FAILED, "error" => %e);
            let _ = stop.recv().await;
            return;
        }
    };
    let ex = control.ex.clone();
    let handler: Handler = Arc::new(move |req| {
        let control = control.clone();
        let answer: HandlerFuture = Box::pin(async move { tell(&control, req).await });
        answer
    });
    server.run(ex, handler, stop).await;
}

async fn tell(control: &Control, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let body = read_limited(req.into_body(), MAX_MESSAGE).await;
    let answer = body.ok().and_then(|bytes| match path.as_str() {
        CHANGES_PATH => pack(&tell_changes(control, &postcard::from_bytes(&bytes).ok()?)),
        kept_news::PATH => pack(&kept_news::tell(control, &postcard::from_bytes(&bytes).ok()?)),
        loads::PATH => pack(&loads::tell(control, &postcard::from_bytes(&bytes).ok()?)),
        _ => None,
    });
    let Some(answer) = answer else {
        let mut res = Response::new(empty_body());
        *res.status_mut() = StatusCode::BAD_REQUEST;
        return res;
    };
    Response::new(full_body(answer))
}

fn pack(message: &impl Serialize) -> Option<Vec<u8>> {
    postcard::to_allocvec(message).ok()
}

fn tell_changes(control: &Control, question: &Question) -> Answer {
    let beliefs = control.beliefs();
    let known = |table: Table| {
        let found = question.known.iter().find(|(t, _)| *t == table);
        found.map_or(0, |(_, version)| *version)
    };
    let changes = PASSED_ON
        .into_iter()
        .filter_map(|table| Some((table, beliefs.newer_than(table, known(table))?)));
    Answer {
        changes: changes.collect(),
    }
}

/// Asks other hosts for changes while the store does not answer.
pub(crate) async fn ask_for_changes(control: Arc<Control>) {
    let cfg = ClientConfig {
        response_timeout: ANSWER_TIMEOUT,
        idle_per_address: 1,
        ..ClientConfig::default()
    };
    let client = Client::new(control.ex.clone(), cfg);
    loop {
        smol::Timer::after(jittered(ASK_INTERVAL, 0.2)).await;
        let is_ignorant = !control.traffic.view.load().is_able();
        if !control.beliefs().is_store_down() && !is_ignorant {
            continue;
        }
        let Some(peer) = choose_peer(&control) else {
            continue;
        };
        let known = |table: Table| (table, control.beliefs().known(table).unwrap_or(0));
        let question = Question {
            known: PASSED_ON.map(known).into(),
        };
        if let Some(answer) = ask(&client, peer, CHANGES_PATH, &question).await {
            learn(&control, peer, answer);
        }
    }
}

/// Any host that is known from the store, else one of the seeds.
fn choose_peer(control: &Control) -> Option<SocketAddr> {
    let settings = &control.traffic.settings;
    let view = control.traffic.view.load();
    let listed = view.hosts.values().map(|host| host.peers);
    let mut peers: Vec<_> = listed.chain(settings.seeds.iter().copied()).collect();
    peers.retain(|peer| *peer != settings.peers);
    peers.choose(&mut rand::rng()).copied()
}

/// Sends a host a question; `None` if no answer comes in time, or none that can be read.
pub(super) async fn ask<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    peer: SocketAddr,
    path: &str,
    question: &Q,
) -> Option<A> {
    let req = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", peer.to_string())
        .body(full_body(pack(question)?))
        .ok()?;
    let answer = async {
        let res = client.send(peer, req).await.ok()?;
        let bytes = read_limited(res.into_body(), MAX_MESSAGE).await.ok()?;
        postcard::from_bytes(&bytes).ok()
    };
    let late = async {
        smol::Timer::after(ANSWER_TIMEOUT).await;
        None
    };
    answer.or(late).await
}

fn learn(control: &Control, peer: SocketAddr, answer: Answer) {
    let now = control.traffic.now();
    let rows: usize = answer.changes.iter().map(|(_, told)| told.rows()).sum();
    if rows > 0 {
        info!(control.traffic.log, "another host told"; events::PEER_READ, "peer" => %peer, "rows" => rows);
    }
    for (table, told) in answer.changes {
        control.update(|beliefs| beliefs.hear(table, told, now));
    }
}
