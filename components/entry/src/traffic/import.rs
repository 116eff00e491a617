use std::time::Duration;

use errors::events;
use futures_lite::FutureExt;
use policy::{Chosen, Fetch};
use slog::warn;
use targets::{Engine, HttpEngine, TransferRequest};
use utils::WeightVersion;

use super::Context;
use crate::observe::Observation;

/// Time added to the scaled expected time of a transfer before it is abandoned.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Factor on the expected time of a transfer before it is abandoned.
const TIMEOUT_FACTOR: f64 = 3.0;

/// Makes the chosen engine import the pieces of its placement from stores. The engine recomputes pieces that
/// can not be imported.
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

/// Imports the pieces in order. Returns `false` after the first failure.
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

/// Reports the start of a transfer to the control thread, and on drop its end. A transfer that is dropped
/// early counts as incomplete.
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
