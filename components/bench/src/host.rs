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

use crate::options::{HOSTS, LINK_BUDGET_BURST, LINK_BUDGET_RATE, LINK_RATE, PIECE_BYTES, SPEED};
use crate::world::World;

/// What a host tells its peers with the next heartbeat.
#[derive(Debug, Clone)]
pub(crate) enum Observation {
    /// A draft was sent.
    Sent(Sent),
    /// A transfer was started on a path.
    Started { path: usize, bytes: u64 },
    /// A transfer has ended on a path.
    Ended { path: usize, bytes: u64, is_whole: bool },
}

/// A draft that was sent to a target.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) target: usize,
    /// Tokens that it is expected to process.
    pub(crate) tokens: u64,
    /// When it is expected in the target's queue.
    pub(crate) queued_at: f64,
    pub(crate) pieces: Arc<Vec<PieceId>>,
}

/// An entry host with its own, lagging view.
pub(crate) struct Host {
    pub(crate) region: usize,
    pub(crate) directory: Directory,
    pub(crate) view: PlacementView,
    pub(crate) keys: Vec<CandidateKey>,
    pub(crate) stores: Vec<StoreKey>,
    /// The ways from each store, then the paid link by the region that bytes leave.
    meters: Vec<LinkMeter>,
    /// Shares of the paid link, by the region that bytes leave.
    pub(crate) budgets: Vec<VolumeBudget>,
    sent: Vec<Sent>,
    /// When the last load reports were taken.
    reported_at: f64,
}

/// Address of the engine or store with a number.
pub(crate) fn address(number: usize) -> SocketAddr {
    ([127, 0, 0, 1], number as u16 + 1).into()
}

/// The model that all engines serve.
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
        // Bytes leave the larger region for the smaller one by orders of the smaller one's three hosts, and of all
        // hosts for the text of prompts; the budget is shared by all.
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

    /// Brings the view up to date with what the host knows by itself.
    pub(crate) fn refresh(&mut self, now: f64) {
        let time = Duration::from_secs_f64(now);
        for (n, key) in self.keys.iter().enumerate() {
            let sent = self.sent.iter().filter(|s| s.target == n).map(|s| s.tokens).sum();
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

    /// Takes load reports that were measured at `at`.
    pub(crate) fn report(&mut self, queued: &[Option<u64>], at: f64, now: f64) {
        self.reported_at = at;
        self.sent.retain(|s| s.queued_at > at && now - s.queued_at < 5.0);
        for (n, tokens) in queued.iter().enumerate() {
            let candidate = &mut self.view.targets[self.keys[n]];
            candidate.state = match tokens {
                Some(_) => TargetState::Live,
                None => TargetState::Suspect,
            };
            candidate.queued_prompt_tokens = tokens.unwrap_or(0);
            candidate.reported_at = Duration::from_secs_f64(at);
        }
    }

    /// Stops sending to a target until it reports again.
    pub(crate) fn suspect(&mut self, target: usize) {
        self.view.targets[self.keys[target]].state = TargetState::Suspect;
    }

    pub(crate) fn observe(&mut self, observation: &Observation, now: f64) {
        let time = Duration::from_secs_f64(now);
        match observation {
            Observation::Sent(sent) => {
                self.directory.add_expected(self.keys[sent.target], &sent.pieces);
                if sent.queued_at > self.reported_at {
                    self.sent.push(sent.clone());
                }
            }
            Observation::Started { path, bytes } => self.meters[*path].started(*bytes, time),
            Observation::Ended {
                path,
                bytes,
                is_whole: true,
            } => self.meters[*path].finished(*bytes, time),
            Observation::Ended { path, bytes, .. } => self.meters[*path].failed(*bytes, time),
        }
    }

    pub(crate) fn events(&mut self, target: usize, batch: &CacheEvents) -> Reread {
        self.directory.apply_events(self.keys[target], batch)
    }

    pub(crate) fn snapshot(&mut self, target: usize, snapshot: &CacheSnapshot) {
        self.directory.apply_snapshot(self.keys[target], snapshot);
    }

    pub(crate) fn catalogue(&mut self, store: usize, from: u64, catalogue: &Catalogue) -> Reread {
        self.directory
            .apply_catalogue(self.stores[store], from, catalogue)
    }

    /// Takes the version that all engines serve from now on.
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
        prefill_tokens_per_second: SPEED,
        reported_at: Duration::ZERO,
        sent_since_tokens: 0,
        open: 0,
    }
}
