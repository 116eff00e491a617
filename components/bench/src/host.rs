use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use directory::{Directory, Reread};
use policy::{
    Candidate, CandidateKey, LinkMeter, LinkView, PlacementView, StoreKey, StoreView, TargetState,
    VolumeBudget,
};
use targets::{CacheEvents, CacheSnapshot, Catalogue, PieceId};
use utils::ModelId;

use crate::options::{
    HOSTS, LINK_BUDGET_BURST, LINK_BUDGET_RATE, LINK_RATE, PIECE_BYTES, PREFILL_TOKENS_PER_SECOND,
};
use crate::world::World;

/// An event at a host, which its peers receive with the next heartbeat.
#[derive(Debug, Clone)]
pub(crate) enum Observation {
    /// A draft was sent.
    Sent(SentDraft),
    /// A transfer has started on a path.
    TransferStarted { path: usize, bytes: u64 },
    /// A transfer has ended on a path.
    TransferEnded { path: usize, bytes: u64, is_whole: bool },
}

/// A draft that was sent to a target.
#[derive(Debug, Clone)]
pub(crate) struct SentDraft {
    /// Index of the target.
    pub(crate) target: usize,
    /// Prompt tokens that the target is expected to process.
    pub(crate) prefill_tokens: u64,
    /// Expected time at which the draft enters the target's queue, in seconds.
    pub(crate) queued_at: f64,
    /// Full pieces of the prompt.
    pub(crate) pieces: Arc<Vec<PieceId>>,
}

/// An entry host with its own lagging view.
pub(crate) struct Host {
    /// Index of the region.
    pub(crate) region: usize,
    /// Directory of cached and stored pieces.
    pub(crate) directory: Directory,
    /// Placement view.
    pub(crate) view: PlacementView,
    /// Key of each target in the view, by index of the target.
    pub(crate) keys: Vec<CandidateKey>,
    /// Key of each store in the view, by region.
    pub(crate) stores: Vec<StoreKey>,
    /// Meters of the paths: reads from each store, then the paid link by source region.
    meters: Vec<LinkMeter>,
    /// This host's shares of the paid link's budget, by source region.
    pub(crate) budgets: Vec<VolumeBudget>,
    /// Drafts that the last load reports do not include.
    sent: Vec<SentDraft>,
    /// Time at which the last load reports were measured, in seconds.
    reported_at: f64,
}

/// Returns the address of the engine or store with an index.
pub(crate) fn address(number: usize) -> SocketAddr {
    ([127, 0, 0, 1], number as u16 + 1).into()
}

/// Returns the model that all engines serve.
pub(crate) fn model() -> ModelId {
    "model".into()
}

impl Host {
    pub(crate) fn new(number: usize, world: &World) -> Self {
        let mut view = PlacementView {
            piece_bytes: PIECE_BYTES,
            ..PlacementView::default()
        };
        let engines = world.engines.iter().enumerate();
        let keys = engines.map(|(n, engine)| {
            view.targets
                .insert(candidate(n, engine.region, engine.domain, world))
        });
        let keys = keys.collect();
        let stores = (0..2).map(|region| {
            view.stores.insert(StoreView {
                id: format!("store-{region}").into(),
                address: address(region),
                region: world.regions[region].clone(),
                is_usable: true,
                bytes_per_second: world.sizes.store_rate[region],
                backlog_bytes: 0,
            })
        });
        let stores = stores.collect();
        view.links = (0..2)
            .map(|from| LinkView {
                from: world.regions[from].clone(),
                to: world.regions[1 - from].clone(),
                is_usable: true,
                bytes_per_second: LINK_RATE,
                backlog_bytes: 0,
                budget_bytes: 0,
            })
            .collect();
        view.build_index(Duration::ZERO);
        let rates = [
            world.sizes.store_rate[0],
            world.sizes.store_rate[1],
            LINK_RATE,
            LINK_RATE,
        ];
        // Hosts of the smaller region start reads from the store of the larger one, and any host may send
        // prompt text over the link. All hosts therefore share the budget of each direction.
        let budget = VolumeBudget::new(LINK_BUDGET_RATE, LINK_BUDGET_BURST, HOSTS, Duration::ZERO);
        Self {
            region: usize::from(number >= 6),
            directory: Directory::default(),
            view,
            keys,
            stores,
            meters: rates.map(LinkMeter::new).to_vec(),
            budgets: vec![budget.clone(), budget],
            sent: Vec::new(),
            reported_at: 0.0,
        }
    }

    /// Updates the view with the drafts sent since the last report and with the state of links and budgets.
    pub(crate) fn refresh(&mut self, now: f64) {
        let time = Duration::from_secs_f64(now);
        for (n, key) in self.keys.iter().enumerate() {
            let sent = self
                .sent
                .iter()
                .filter(|s| s.target == n)
                .map(|s| s.prefill_tokens)
                .sum();
            self.view.targets[*key].sent_since_tokens = sent;
        }
        for meter in &mut self.meters {
            meter.check(time);
        }
        for (path, key) in self.stores.iter().enumerate() {
            let store = &mut self.view.stores[*key];
            store.is_usable = self.meters[path].is_usable(time);
            store.bytes_per_second = self.meters[path].rate();
            store.backlog_bytes = self.meters[path].backlog_bytes();
        }
        for (from, link) in self.view.links.iter_mut().enumerate() {
            let meter = &self.meters[2 + from];
            link.is_usable = meter.is_usable(time);
            link.bytes_per_second = meter.rate();
            link.backlog_bytes = meter.backlog_bytes();
            link.budget_bytes = self.budgets[from].left(time);
        }
    }

    /// Applies load reports that were measured at `measured_at`. A target without a report becomes suspect.
    pub(crate) fn apply_loads(&mut self, queued: &[Option<u64>], measured_at: f64, now: f64) {
        self.reported_at = measured_at;
        self.sent
            .retain(|s| s.queued_at > measured_at && now - s.queued_at < 5.0);
        for (n, tokens) in queued.iter().enumerate() {
            let candidate = &mut self.view.targets[self.keys[n]];
            candidate.state = match tokens {
                Some(_) => TargetState::Live,
                None => TargetState::Suspect,
            };
            candidate.queued_prompt_tokens = tokens.unwrap_or(0);
            candidate.reported_at = Duration::from_secs_f64(measured_at);
        }
    }

    /// Marks a target as suspect until its next report; suspect targets receive no requests.
    pub(crate) fn mark_suspect(&mut self, target: usize) {
        self.view.targets[self.keys[target]].state = TargetState::Suspect;
    }

    /// Applies an observation of this host or of a peer.
    pub(crate) fn apply_observation(&mut self, observation: &Observation, now: f64) {
        let time = Duration::from_secs_f64(now);
        match observation {
            Observation::Sent(sent) => {
                self.directory.add_expected(self.keys[sent.target], &sent.pieces);
                if sent.queued_at > self.reported_at {
                    self.sent.push(sent.clone());
                }
            }
            Observation::TransferStarted { path, bytes } => self.meters[*path].started(*bytes, time),
            Observation::TransferEnded {
                path,
                bytes,
                is_whole: true,
            } => self.meters[*path].finished(*bytes, time),
            Observation::TransferEnded { path, bytes, .. } => self.meters[*path].failed(*bytes, time),
        }
    }

    /// Applies a batch of cache events. Returns whether the host must read a snapshot.
    pub(crate) fn apply_events(&mut self, target: usize, batch: &CacheEvents) -> Reread {
        self.directory.apply_events(self.keys[target], batch)
    }

    pub(crate) fn apply_snapshot(&mut self, target: usize, snapshot: &CacheSnapshot) {
        self.directory.apply_snapshot(self.keys[target], snapshot);
    }

    /// Applies changes of a store. Returns whether the host must read the whole content.
    pub(crate) fn apply_catalogue(&mut self, store: usize, from: u64, catalogue: &Catalogue) -> Reread {
        self.directory
            .apply_catalogue(self.stores[store], from, catalogue)
    }

    /// Sets the weight version that all engines serve from now on.
    pub(crate) fn set_version(&mut self, version: u32) {
        for candidate in self.view.targets.values_mut() {
            candidate.versions = vec![(model(), version)];
        }
        self.view.build_index(Duration::ZERO);
    }
}

fn candidate(number: usize, region: usize, domain: usize, world: &World) -> Candidate {
    Candidate {
        id: format!("engine-{number}").into(),
        address: address(number),
        region: world.regions[region].clone(),
        failure_domain: format!("domain-{domain}").into(),
        state: TargetState::Live,
        versions: vec![(model(), world.version)],
        queued_prompt_tokens: 0,
        running: 0,
        slots: 64,
        prefill_tokens_per_second: PREFILL_TOKENS_PER_SECOND,
        reported_at: Duration::ZERO,
        sent_since_tokens: 0,
        open: 0,
    }
}
