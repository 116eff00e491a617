use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use config::Settings;
use ledger::LedgerHandle;
use policy::Placer;
use slog::Logger;
use utils::{Clock, Incarnation};

use crate::cache::CacheCell;
use crate::claims::LiveHosts;
use crate::gate::NoteGate;
use crate::limits::Limiter;
use crate::metrics::Metrics;
use crate::observe::Observer;
use crate::outcomes::Outcomes;
use crate::quarantine::Suspects;
use crate::resume::TokenSigner;
use crate::retries::Retries;
use crate::view::{Serving, View, ViewCell};

/// What all threads of a host share. Nothing here is locked on the way of a token.
pub(crate) struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Run of this process.
    pub incarnation: Incarnation,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// The published view.
    pub view: ViewCell,
    /// Until when the host may take new work, and under which notes.
    pub gate: NoteGate,
    /// Where pieces of prompts are kept.
    pub cache: Arc<CacheCell>,
    /// Decides where prompts run.
    pub placer: Arc<dyn Placer>,
    /// Makes and checks resume tokens.
    pub token_signer: TokenSigner,
    /// Tells the control thread what happened.
    pub observer: Observer,
    /// The latest requests.
    pub outcomes: Outcomes,
    /// Claims calls that must not be repeated.
    pub ledger: LedgerHandle,
    /// Requests that were aboard crashes.
    pub suspects: Suspects,
    /// Holds workspaces to their limits.
    pub limiter: Arc<Limiter>,
    /// The retry budget.
    pub retries: Retries,
    /// Entry hosts that the platform lists.
    pub live_hosts: LiveHosts,
    /// Whether the host is on its way out.
    pub draining: AtomicBool,
    /// Streams that are open.
    pub open_streams: AtomicUsize,
}

/// Counts an open stream until it is dropped.
pub(crate) struct StreamGuard(Arc<Shared>);

impl Shared {
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether new work may be taken under a view. Asked at admission and again before each dispatch.
    pub(crate) fn serving(&self, view: &View) -> Serving {
        self.gate.serving(&view.enforced.state(), self.clock.now())
    }

    /// Counts a stream; `None` if the host has too many.
    pub(crate) fn open_stream(self: &Arc<Self>) -> Option<StreamGuard> {
        let before = self.open_streams.fetch_add(1, Ordering::AcqRel);
        let guard = StreamGuard(self.clone());
        (before < self.settings.limits.open_streams).then_some(guard)
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.open_streams.fetch_sub(1, Ordering::AcqRel);
    }
}
