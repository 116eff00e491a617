use std::time::Duration;

use errors::events;
use futures_lite::FutureExt;
use policy::{Chosen, Fetch};
use slog::warn;
use targets::{Engine, HttpEngine, TransferRequest};
use utils::WeightVersion;

use super::Context;
use crate::observe::Observation;

/// Time beyond what was expected until a transfer is given up.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Multiple of the expected time until a transfer is given up.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Makes the chosen engine read the pieces of a placement from stores. Whatever fails is computed again by the engine.
pub(crate) async fn import(cx: &Context, chosen: &Chosen, version: WeightVersion, time_left: Duration) {
    if chosen.fetches.is_empty() {
        return;
    }
    let expected =
        Duration::try_from_secs_f64(chosen.cost.fetch_seconds * TIMEOUT_FACTOR).unwrap_or(time_left);
    let limit = (expected + TIMEOUT_MARGIN).min(time_left / 2);
    let timeout = async {
        smol::Timer::after(limit).await;
        false
    };
    if !import_all(cx, chosen, version).or(timeout).await {
        warn!(cx.shared.log, "pieces not imported"; events::IMPORT_FAILED,
            "target" => &*chosen.target, "pieces" => chosen.fetches.len());
    }
}

/// Reads the pieces one after the other; false if one could not be read.
async fn import_all(cx: &Context, chosen: &Chosen, version: WeightVersion) -> bool {
    let engine = HttpEngine::new(cx.engines.clone(), chosen.address);
    for fetch in &chosen.fetches {
        let mut transfer = Transfer::start(cx, fetch);
        let req = TransferRequest {
            piece: fetch.piece,
            weight_version: version,
            store: fetch.store,
        };
        transfer.is_complete = engine.import(req).await.is_ok();
        if !transfer.is_complete {
            return false;
        }
    }
    true
}

/// Counts a transfer from before it starts until it ends or is given up.
struct Transfer<'a> {
    cx: &'a Context,
    fetch: &'a Fetch,
    is_complete: bool,
}

impl<'a> Transfer<'a> {
    fn start(cx: &'a Context, fetch: &'a Fetch) -> Self {
        cx.shared
            .observer
            .send(Observation::FetchStarted { store: fetch.store });
        Self {
            cx,
            fetch,
            is_complete: false,
        }
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.cx.shared.observer.send(Observation::FetchEnded {
            store: self.fetch.store,
            is_complete: self.is_complete,
        });
    }
}
