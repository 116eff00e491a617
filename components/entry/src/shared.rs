use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use config::Settings;
use http_io::MemoryAccount;
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

/// State shared by all threads of a host. Relaying a token takes none of its locks.
pub(crate) struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Logger of the host.
    pub log: Logger,
    /// Metrics of the host.
    pub metrics: Metrics,
    /// View last published by the control thread.
    pub view: ViewCell,
    /// Holds the time until which the host may accept new requests, and the oldest change that a view must
    /// contain.
    pub gate: NoteGate,
    /// Targets and stores that hold each piece of KV cache, as last published by the control thread.
    pub cache: Arc<CacheCell>,
    /// Chooses the target of a prompt.
    pub placer: Arc<dyn Placer>,
    /// Signs and verifies resume tokens.
    pub token_signer: TokenSigner,
    /// Reports events to the control thread.
    pub observer: Observer,
    /// Records of the latest requests.
    pub outcomes: Outcomes,
    /// Claims calls that must run at most once.
    pub ledger: LedgerHandle,
    /// Requests that ran on a target when it crashed.
    pub suspects: Suspects,
    /// Enforces the limits of workspaces.
    pub limiter: Arc<Limiter>,
    /// The retry budget.
    pub retries: Retries,
    /// Entry hosts on the platform's list.
    pub live_hosts: LiveHosts,
    /// Memory held for callers and targets.
    pub memory: Arc<MemoryAccount>,
    /// Whether the host is draining.
    pub draining: AtomicBool,
    /// Number of open streams.
    pub open_streams: AtomicUsize,
}

/// Counts an open stream until it is dropped.
pub(crate) struct StreamGuard(Arc<Shared>);

impl Shared {
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether new requests may be accepted under a view. It is checked at admission and again before
    /// each dispatch.
    pub(crate) fn serving(&self, view: &View) -> Serving {
        self.gate.serving(&view.enforced.state(), self.clock.now())
    }

    /// Counts an open stream. Returns `None` if the host has reached its limit.
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
