use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use targets::PIECE_TOKENS;
use utils::{ModelId, ServiceId, WorkspaceId};

use crate::prompt::text;
use crate::{Arrival, PlannedCall, PlannedDraft, PlannedWork, Trace};

/// Tokens that each return of a prompt adds to it.
const TURN_TOKENS: u32 = 120;

/// The shape of a deployment's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct Preset {
    /// Name of the deployment.
    pub name: &'static str,
    /// Model that drafts.
    pub model: ModelId,
    /// Plain service that records.
    pub service: ServiceId,
    /// Paths of its calls.
    pub paths: &'static [&'static str],
    /// Workspaces; each has half the traffic of the one before until the third, then they share evenly.
    pub workspaces: u32,
    /// Long prompts of each workspace that return.
    pub roots: u32,
    /// Full pieces in such a prompt.
    pub root_pieces: Range<u32>,
    /// Tokens generated for a prompt.
    pub max_tokens: Range<u32>,
    /// Requests a second.
    pub requests_per_second: f64,
    /// Share of calls to the service among the requests.
    pub call_share: f64,
}

impl Preset {
    /// Permisos Verdes Unidos: long bylaw sets, grants and payments.
    pub fn permisos_verdes() -> Self {
        Self {
            name: "permisos-verdes",
            model: "permits".into(),
            service: "ledger".into(),
            paths: &["grants", "payments"],
            workspaces: 10,
            roots: 4,
            root_pieces: 4..12,
            max_tokens: 16..64,
            requests_per_second: 30.0,
            call_share: 0.25,
        }
    }

    /// Cadwaladr Hessian Sacks: contract histories, orders.
    pub fn cadwaladr() -> Self {
        Self {
            name: "cadwaladr",
            model: "quotes".into(),
            service: "order-desk".into(),
            paths: &["orders"],
            workspaces: 10,
            roots: 6,
            root_pieces: 2..8,
            max_tokens: 16..48,
            requests_per_second: 30.0,
            call_share: 0.15,
        }
    }

    /// Short prompts and answers, for measuring what the way costs.
    pub fn short() -> Self {
        Self {
            name: "short",
            model: "quotes".into(),
            service: "order-desk".into(),
            paths: &["orders"],
            workspaces: 1,
            roots: 1_024,
            root_pieces: 0..1,
            max_tokens: 8..9,
            requests_per_second: 500.0,
            call_share: 0.0,
        }
    }

    /// The preset with this name.
    ///
    /// ```
    /// assert_eq!(loadgen::Preset::by_name("cadwaladr").unwrap().service.as_ref(), "order-desk");
    /// ```
    pub fn by_name(name: &str) -> Option<Self> {
        let all = [Self::permisos_verdes(), Self::cadwaladr(), Self::short()];
        all.into_iter().find(|preset| preset.name == name)
    }

    /// A trace of so many requests.
    ///
    /// ```
    /// let preset = loadgen::Preset::permisos_verdes();
    /// assert_eq!(preset.trace(7, 100), preset.trace(7, 100));
    /// assert_ne!(preset.trace(7, 100), preset.trace(8, 100));
    /// ```
    pub fn trace(&self, seed: u64, requests: u64) -> Trace {
        let mut writer = Writer::new(self, seed);
        let arrivals = (0..requests).map(|number| writer.arrival(number)).collect();
        Trace { arrivals }
    }
}

/// Makes the arrivals of one trace.
struct Writer<'a> {
    /// The shape.
    preset: &'a Preset,
    /// Seed of the trace; also part of keys and prompts.
    seed: u64,
    /// Source of chance.
    rng: ChaCha8Rng,
    /// Time of the last arrival.
    now: Duration,
    /// Prompts by workspace and root; they grow with each return.
    prompts: HashMap<(u32, u32), Arc<str>>,
}

impl<'a> Writer<'a> {
    fn new(preset: &'a Preset, seed: u64) -> Self {
        Self {
            preset,
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            prompts: HashMap::new(),
        }
    }

    fn arrival(&mut self, number: u64) -> Arrival {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.now += Duration::from_secs_f64(-uniform.ln() / self.preset.requests_per_second);
        let workspace = self.pick_workspace();
        let work = if self.rng.random_bool(self.preset.call_share) {
            PlannedWork::Call(self.call(number))
        } else {
            PlannedWork::Draft(self.draft(workspace))
        };
        Arrival {
            number,
            at: self.now,
            workspace: workspace_name(workspace),
            work,
        }
    }

    /// The first two workspaces are large: together they have most of the traffic.
    fn pick_workspace(&mut self) -> u32 {
        match self.rng.random_range(0..10) {
            0..4 => 0,
            4..6 => 1.min(self.preset.workspaces - 1),
            _ => self.rng.random_range(0..self.preset.workspaces),
        }
    }

    fn draft(&mut self, workspace: u32) -> PlannedDraft {
        let first = self.rng.random_range(0..self.preset.roots);
        let second = self.rng.random_range(0..self.preset.roots);
        // The lower of two: some prompts return far more often than others.
        let root = first.min(second);
        let pieces = self.rng.random_range(self.preset.root_pieces.clone());
        let seed = self.seed ^ u64::from(workspace) << 40 ^ u64::from(root) << 20;
        let turn = text(self.rng.random(), TURN_TOKENS);
        let fresh = || Arc::from(text(seed, pieces * PIECE_TOKENS));
        let prompt = self.prompts.entry((workspace, root)).or_insert_with(fresh);
        *prompt = format!("{prompt}{turn}").into();
        PlannedDraft {
            model: self.preset.model.clone(),
            prompt: prompt.clone(),
            max_tokens: self.rng.random_range(self.preset.max_tokens.clone()),
        }
    }

    fn call(&mut self, number: u64) -> PlannedCall {
        let path = self.preset.paths[self.rng.random_range(0..self.preset.paths.len())];
        PlannedCall {
            service: self.preset.service.clone(),
            path: path.to_owned(),
            key: format!("{:x}-{number}", self.seed),
            body: format!(r#"{{"number":{number}}}"#),
            repeatable: false,
        }
    }
}

fn workspace_name(index: u32) -> WorkspaceId {
    format!("workspace-{index}").into()
}
