use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use checker::{CallerRequest, DraftBody, RunRecord, Work};
use serde::Serialize;
use standins::{DraftRun, ImportRun};
use targets::PIECE_TOKENS;
use utils::{Digest, HostId, RegionId, TargetId};

/// Bytes of text that count as one token of a prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// Prompt work and link use of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct WorkSummary {
    /// Tokens of all prompts that ran.
    pub prompt_tokens: u64,
    /// Tokens among them that engines had in cache.
    pub cached_tokens: u64,
    /// Tokens among them in full pieces that some engine had computed before and that were computed again.
    pub recomputed_tokens: u64,
    /// Bytes of prompts, answers and kept cache over the link between regions.
    pub link_bytes: u64,
}

impl WorkSummary {
    /// Share of the prompt tokens that were computed again, 0 to 1.
    ///
    /// ```
    /// let work = trial::WorkSummary { prompt_tokens: 200, recomputed_tokens: 50, ..Default::default() };
    /// assert_eq!(work.recomputed_share(), 0.25);
    /// ```
    pub fn recomputed_share(&self) -> f64 {
        share(self.recomputed_tokens, self.prompt_tokens)
    }

    /// Share of the prompt tokens that came from cache, 0 to 1.
    pub fn cached_share(&self) -> f64 {
        share(self.cached_tokens, self.prompt_tokens)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// Where hosts, targets and stores stand.
pub(crate) struct Regions<'a> {
    /// By name.
    pub(crate) names: &'a BTreeMap<TargetId, RegionId>,
    /// Stores by address.
    pub(crate) stores: &'a BTreeMap<SocketAddr, RegionId>,
}

/// Adds up what engines did.
pub(crate) fn summarize(record: &RunRecord, regions: &Regions<'_>) -> WorkSummary {
    let mut runs: Vec<(&TargetId, &DraftRun)> = Vec::new();
    for (target, engine) in &record.engines {
        runs.extend(engine.drafts.iter().map(|run| (target, run)));
    }
    runs.sort_by_key(|(_, run)| run.at_micros);
    let sources = sources(record);
    let mut work = WorkSummary::default();
    let mut computed = HashSet::new();
    for (target, run) in runs {
        work.prompt_tokens += u64::from(run.prompt_tokens);
        work.cached_tokens += u64::from(run.cached_tokens);
        let Some(source) = sources.get(format!("{:032x}", run.request_id).as_str()) else {
            continue;
        };
        let known = known_tokens(&mut computed, source.req, source.body);
        work.recomputed_tokens += known.saturating_sub(u64::from(run.cached_tokens));
        if regions.names.get(source.host) != regions.names.get(target) {
            work.link_bytes += u64::from(run.prompt_tokens) * BYTES_PER_TOKEN;
        }
    }
    work.link_bytes += answers_over_the_link(record, regions);
    for (target, engine) in &record.engines {
        let crossed = engine
            .imports
            .iter()
            .filter(|import| crosses(target, import, regions));
        work.link_bytes += crossed.map(|import| import.bytes).sum::<u64>();
    }
    work
}

/// Where a run comes from.
struct Source<'a> {
    /// The entry host.
    host: &'a HostId,
    /// The caller's request.
    req: &'a CallerRequest,
    /// Its prompt.
    body: &'a DraftBody,
}

/// Sources of the runs by the identifier that the entry host gave.
fn sources(record: &RunRecord) -> HashMap<&str, Source<'_>> {
    let mut sources = HashMap::new();
    for req in &record.requests {
        let Work::Draft(body) = &req.work else {
            continue;
        };
        for exchange in &req.exchanges {
            let host = &exchange.host;
            sources.insert(exchange.request_id.as_str(), Source { host, req, body });
        }
    }
    sources
}

/// Tokens in the full pieces at the head of a prompt that were computed before; notes all of its pieces.
fn known_tokens(computed: &mut HashSet<Digest>, req: &CallerRequest, body: &DraftBody) -> u64 {
    let piece_bytes = PIECE_TOKENS as usize * BYTES_PER_TOKEN as usize;
    let mut name = utils::digest(format!("{}/{}", req.workspace, body.model).as_bytes());
    let mut known = 0;
    let mut is_head = true;
    for piece in body.prompt.as_bytes().chunks_exact(piece_bytes) {
        name = utils::digest(&[name.as_bytes(), piece].concat());
        is_head &= !computed.insert(name);
        known += u64::from(is_head) * u64::from(PIECE_TOKENS);
    }
    known
}

/// Bytes of the answers whose engine stands in another region than the entry host.
fn answers_over_the_link(record: &RunRecord, regions: &Regions<'_>) -> u64 {
    let mut targets = HashMap::new();
    for (target, engine) in &record.engines {
        for run in &engine.drafts {
            targets.insert(format!("{:032x}", run.request_id), target);
        }
    }
    let mut bytes = 0;
    for req in &record.requests {
        let Some(last) = req.exchanges.last() else {
            continue;
        };
        let is_draft = matches!(req.work, Work::Draft(_));
        let target = targets.get(&last.request_id).filter(|_| is_draft);
        if target.is_some_and(|target| regions.names.get(*target) != regions.names.get(&last.host)) {
            bytes += req.received.tokens.iter().map(|t| t.len() as u64).sum::<u64>();
        }
    }
    bytes
}

fn crosses(target: &TargetId, import: &ImportRun, regions: &Regions<'_>) -> bool {
    regions.stores.get(&import.store) != regions.names.get(target)
}
