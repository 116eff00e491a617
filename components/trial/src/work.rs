use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use checker::{CallerRequest, DraftBody, RunRecord, Work};
use serde::Serialize;
use standins::{DraftRun, ImportRun};
use targets::PIECE_TOKENS;
use utils::{Digest, HostId, RegionId, TargetId};

/// Bytes of text that count as one token of a prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// Token counts of the prompts and traffic between regions in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct WorkSummary {
    /// Tokens of the prompts of all runs.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engines had in cache.
    pub cached_tokens: u64,
    /// Prompt tokens in full pieces that an engine had computed before and that were computed again.
    pub recomputed_tokens: u64,
    /// Bytes of prompts, answers and stored cache that were sent between regions.
    pub link_bytes: u64,
}

impl WorkSummary {
    /// Returns the share of the prompt tokens that were computed again, 0 to 1.
    ///
    /// ```
    /// let work = trial::WorkSummary { prompt_tokens: 200, recomputed_tokens: 50, ..Default::default() };
    /// assert_eq!(work.recomputed_share(), 0.25);
    /// ```
    pub fn recomputed_share(&self) -> f64 {
        ratio(self.recomputed_tokens, self.prompt_tokens)
    }

    /// Returns the share of the prompt tokens that came from cache, 0 to 1.
    pub fn cached_share(&self) -> f64 {
        ratio(self.cached_tokens, self.prompt_tokens)
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

/// Regions of hosts, targets and stores.
pub(crate) struct Regions<'a> {
    /// Regions of hosts and targets, by name.
    pub(crate) by_name: &'a BTreeMap<TargetId, RegionId>,
    /// Regions of the stores, by address.
    pub(crate) by_store_address: &'a BTreeMap<SocketAddr, RegionId>,
}

/// Sums up the work of the engines and the traffic between regions.
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
        let previously_computed = previously_computed_tokens(&mut computed, source.req, source.body);
        work.recomputed_tokens += previously_computed.saturating_sub(u64::from(run.cached_tokens));
        if regions.by_name.get(source.host) != regions.by_name.get(target) {
            work.link_bytes += u64::from(run.prompt_tokens) * BYTES_PER_TOKEN;
        }
    }
    work.link_bytes += answer_link_bytes(record, regions);
    for (target, engine) in &record.engines {
        let cross_region = engine
            .imports
            .iter()
            .filter(|import| crosses_regions(target, import, regions));
        work.link_bytes += cross_region.map(|import| import.bytes).sum::<u64>();
    }
    work
}

/// Origin of a draft that an engine ran.
struct Source<'a> {
    /// Entry host that sent the request to the engine.
    host: &'a HostId,
    /// Request of the caller.
    req: &'a CallerRequest,
    /// Draft that the caller requested.
    body: &'a DraftBody,
}

/// Returns the sources of the runs, by the request id that the entry host assigned.
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

/// Returns the number of tokens in the leading full pieces of a prompt that were computed before, and records
/// all full pieces of the prompt as computed.
fn previously_computed_tokens(computed: &mut HashSet<Digest>, req: &CallerRequest, body: &DraftBody) -> u64 {
    let piece_bytes = PIECE_TOKENS as usize * BYTES_PER_TOKEN as usize;
    let mut name = utils::digest(format!("{}/{}", req.workspace, body.model).as_bytes());
    let mut tokens = 0;
    let mut is_head = true;
    for piece in body.prompt.as_bytes().chunks_exact(piece_bytes) {
        name = utils::digest(&[name.as_bytes(), piece].concat());
        is_head &= !computed.insert(name);
        tokens += u64::from(is_head) * u64::from(PIECE_TOKENS);
    }
    tokens
}

/// Returns the bytes of the answers that an engine sent to an entry host in another region.
fn answer_link_bytes(record: &RunRecord, regions: &Regions<'_>) -> u64 {
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
        if target.is_some_and(|target| regions.by_name.get(*target) != regions.by_name.get(&last.host)) {
            bytes += req.received.tokens.iter().map(|t| t.len() as u64).sum::<u64>();
        }
    }
    bytes
}

/// Returns whether a target imported cache from a store in another region.
fn crosses_regions(target: &TargetId, import: &ImportRun, regions: &Regions<'_>) -> bool {
    regions.by_store_address.get(&import.store) != regions.by_name.get(target)
}
