use std::net::SocketAddr;
use std::sync::Arc;

use errors::events;
use futures_lite::FutureExt;
use http_io::{AnswerProgress, Client, ClientConfig, full_body};
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::warn;

use super::Control;
use super::peers::{ANSWER_TIMEOUT, MAX_MESSAGE_BYTES, pack};
use crate::traffic::Traffic;

/// Client of other hosts, with one idle connection to each.
#[derive(Clone)]
pub(super) struct HostClient {
    client: Client,
    /// Where calls are logged and counted.
    traffic: Arc<Traffic>,
}

/// Answer of a host that may not know a query.
pub(super) enum Answered<A> {
    /// The answer to the query.
    Message(A),
    /// The host has a version that does not know the query.
    UnknownQuery,
}

impl HostClient {
    pub(super) fn new(control: &Control) -> Self {
        let cfg = ClientConfig {
            response_timeout: ANSWER_TIMEOUT,
            idle_per_address: 1,
            ..ClientConfig::default()
        };
        Self {
            client: Client::with_memory(control.ex.clone(), cfg, control.memory.clone()),
            traffic: control.traffic.clone(),
        }
    }

    /// Sends a query to a host. Returns `None` if no readable answer begins in time, or if it stalls.
    pub(super) async fn query<A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        query: &impl Serialize,
    ) -> Option<A> {
        match self.ask(peer, path, query).await? {
            Answered::Message(message) => Some(message),
            Answered::UnknownQuery => None,
        }
    }

    /// Sends a query as [`HostClient::query`] does, to a host that may not know it.
    pub(super) async fn ask<A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        query: &impl Serialize,
    ) -> Option<Answered<A>> {
        let req = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", peer.to_string())
            .body(full_body(pack(query)?))
            .ok()?;
        let head = async { self.client.send(peer, req).await.ok() };
        let late = async {
            smol::Timer::after(ANSWER_TIMEOUT).await;
            None
        };
        let res = head.or(late).await?;
        if res.status() == StatusCode::BAD_REQUEST {
            return Some(Answered::UnknownQuery);
        }
        let progress = AnswerProgress::default();
        let body = async {
            res.into_body()
                .read_whole(MAX_MESSAGE_BYTES, &progress)
                .await
                .ok()
        };
        let stalled = async {
            progress.stalled().await;
            self.log_abandoned(peer, path, &progress);
            None
        };
        let (bytes, _charge) = body.or(stalled).await?.join().ok()?;
        postcard::from_bytes(&bytes).ok().map(Answered::Message)
    }

    /// Logs an answer that is given up although a part of it has arrived.
    fn log_abandoned(&self, peer: SocketAddr, path: &str, progress: &AnswerProgress) {
        let Some(bytes) = progress.received() else { return };
        self.traffic.telemetry.abandoned("host", bytes);
        warn!(self.traffic.log, "answer of a host given up"; events::ANSWER_ABANDONED, "source" => "host",
            "peer" => %peer, "path" => path, "bytes" => bytes);
    }
}
