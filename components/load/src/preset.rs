use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use targets::PIECE_TOKENS;
use utils::{ModelId, ServiceId, WorkspaceId};

use crate::prompt::generate_text;
use crate::{Arrival, PlannedCall, PlannedDraft, PlannedWork, Trace};

/// Tokens that a prompt grows by each time it is sent.
const TURN_TOKENS: u32 = 120;

/// Parameters of the traffic of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Preset {
    /// Name of the preset.
    pub name: &'static str,
    /// Model of the drafts.
    pub model: ModelId,
    /// Plain service of the calls.
    pub service: ServiceId,
    /// Paths of the calls, below the name of the service.
    pub paths: &'static [&'static str],
    /// Number of workspaces. 40 % of the requests go to the first and 20 % to the second; the rest is spread
    /// evenly over all workspaces.
    pub workspaces: u32,
    /// Number of long prompts of each workspace. Each is sent again and again and grows by a turn each time.
    pub base_prompts: u32,
    /// Range of the length of a long prompt before its first turn, in pieces.
    pub base_prompt_pieces: Range<u32>,
    /// Range of the number of tokens to generate for a prompt.
    pub max_tokens: Range<u32>,
    /// Mean rate of requests, per second.
    pub requests_per_second: f64,
    /// Share of the requests that are calls to the service, 0 to 1.
    pub call_share: f64,
}

impl Preset {
    /// Returns the traffic of Permisos Verdes Unidos: prompts of long bylaw sets, grant and payment calls.
    pub fn permisos_verdes() -> Self {
        Self {
            name: "permisos-verdes",
            model: "permits".into(),
            service: "ledger".into(),
            paths: &["grants", "payments"],
            workspaces: 10,
            base_prompts: 4,
            base_prompt_pieces: 4..12,
            max_tokens: 16..64,
            requests_per_second: 30.0,
            call_share: 0.25,
        }
    }

    /// Returns the traffic of Cadwaladr Hessian Sacks: prompts of contract histories, calls for orders.
    pub fn cadwaladr() -> Self {
        Self {
            name: "cadwaladr",
            model: "quotes".into(),
            service: "order-desk".into(),
            paths: &["orders"],
            workspaces: 10,
            base_prompts: 6,
            base_prompt_pieces: 2..8,
            max_tokens: 16..48,
            requests_per_second: 30.0,
            call_share: 0.15,
        }
    }

    /// Returns short prompts and answers, for measuring the overhead of an entry host.
    pub fn short() -> Self {
        Self {
            name: "short",
            model: "quotes".into(),
            service: "order-desk".into(),
            paths: &["orders"],
            workspaces: 1,
            base_prompts: 1_024,
            base_prompt_pieces: 0..1,
            max_tokens: 8..9,
            requests_per_second: 500.0,
            call_share: 0.0,
        }
    }

    /// Returns the preset with the given name.
    ///
    /// ```
    /// assert_eq!(loadgen::Preset::by_name("cadwaladr").unwrap().service.as_ref(), "order-desk");
    /// ```
    pub fn by_name(name: &str) -> Option<Self> {
        let presets = [Self::permisos_verdes(), Self::cadwaladr(), Self::short()];
        presets.into_iter().find(|preset| preset.name == name)
    }

    /// Generates a trace of `requests` requests; the same seed gives the same trace.
    ///
    /// ```
    /// let preset = loadgen::Preset::permisos_verdes();
    /// assert_eq!(preset.trace(7, 100), preset.trace(7, 100));
    /// assert_ne!(preset.trace(7, 100), preset.trace(8, 100));
    /// ```
    pub fn trace(&self, seed: u64, requests: u64) -> Trace {
        let mut generator = TraceGenerator::new(self, seed);
        let arrivals = (0..requests).map(|number| generator.arrival(number)).collect();
        Trace { arrivals }
    }
}

/// Generator of the arrivals of a trace.
struct TraceGenerator<'a> {
    /// Parameters of the traffic.
    preset: &'a Preset,
    /// Seed of the trace, also part of the idempotency keys and the prompts.
    seed: u64,
    /// Random numbers, seeded with `seed`.
    rng: ChaCha8Rng,
    /// Time of the latest arrival, from the start of the trace.
    now: Duration,
    /// Current text of each long prompt, by workspace and number of the prompt.
    prompts: HashMap<(u32, u32), Arc<str>>,
}

impl<'a> TraceGenerator<'a> {
    fn new(preset: &'a Preset, seed: u64) -> Self {
        Self {
            preset,
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            prompts: HashMap::new(),
        }
    }

    /// Generates the next request; gaps between arrivals are exponentially distributed.
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

    /// Chooses a workspace; the first two together get most of the traffic.
    fn pick_workspace(&mut self) -> u32 {
        match self.rng.random_range(0..10) {
            0..4 => 0,
            4..6 => 1.min(self.preset.workspaces - 1),
            _ => self.rng.random_range(0..self.preset.workspaces),
        }
    }

    fn draft(&mut self, workspace: u32) -> PlannedDraft {
        let first = self.rng.random_range(0..self.preset.base_prompts);
        let second = self.rng.random_range(0..self.preset.base_prompts);
        // The minimum of two uniform numbers sends some prompts far more often than others.
        let base_prompt = first.min(second);
        let pieces = self.rng.random_range(self.preset.base_prompt_pieces.clone());
        let seed = self.seed ^ u64::from(workspace) << 40 ^ u64::from(base_prompt) << 20;
        let turn = generate_text(self.rng.random(), TURN_TOKENS);
        let new_prompt = || Arc::from(generate_text(seed, pieces * PIECE_TOKENS));
        let prompt = self
            .prompts
            .entry((workspace, base_prompt))
            .or_insert_with(new_prompt);
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
