//! Checks that the list of targets is that of the store, made by the control thread for requests that wait for them.

use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;

/// Longest time that a request waits for a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests for checks of the list, and those that wait for them.
pub(crate) struct ListChecks {
    /// Where each request waits for its result.
    waiting: (Sender<Sender<bool>>, Receiver<Sender<bool>>),
}

impl ListChecks {
    pub(crate) fn new() -> Self {
        Self {
            waiting: async_channel::unbounded(),
        }
    }

    /// Returns whether the list has been brought to the state that the store had when this was called, or later.
    pub(crate) async fn is_confirmed(&self) -> bool {
        let (tx, rx) = async_channel::bounded(1);
        if self.waiting.0.try_send(tx).is_err() {
            return false;
        }
        let confirmed = async { rx.recv().await.unwrap_or(false) };
        let late = async {
            smol::Timer::after(CHECK_TIMEOUT).await;
            false
        };
        confirmed.or(late).await
    }

    /// Waits for requests for a check; returns all that have come, which one check serves.
    pub(crate) async fn next(&self) -> Option<ListCheck> {
        let mut waiting = vec![self.waiting.1.recv().await.ok()?];
        while let Ok(more) = self.waiting.1.try_recv() {
            waiting.push(more);
        }
        waiting.retain(|tx| !tx.is_closed());
        Some(ListCheck { waiting })
    }
}

/// A check that is due.
pub(crate) struct ListCheck {
    waiting: Vec<Sender<bool>>,
}

impl ListCheck {
    /// Whether no request waits for it any more.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Tells the requests whether the list is confirmed.
    pub(crate) fn answer(self, is_confirmed: bool) {
        for tx in self.waiting {
            // Fails if the request no longer waits.
            let _ = tx.try_send(is_confirmed);
        }
    }
}
