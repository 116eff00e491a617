use std::collections::{BTreeMap, HashMap, VecDeque};

use slotmap::{SlotMap, new_key_type};
use targets::{DraftRequest, PIECE_TOKENS};
use utils::{Monotonic, RequestId};

use super::cache::{Block, Cache};
use super::config::EngineConfig;
use super::record::{DraftRun, EngineRecord, PieceUse};
use crate::answer::Answer;
use crate::running::unix_micros;

/// Drafts that are kept after their end, for callers that come back.
const HELD_DRAFTS: usize = 4_096;

new_key_type! {
    /// A draft in the batch.
    pub(crate) struct DraftKey;
}

/// What a draft generates, and when its tokens are ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Schedule {
    /// When the prompt was processed.
    pub(crate) since: Monotonic,
    /// First token that is generated after that.
    pub(crate) first_index: u32,
    /// Tokens of the prompt that came from cache.
    pub(crate) cached_tokens: u32,
    /// The tokens.
    pub(crate) answer: Answer,
    /// Tokens in the whole answer.
    pub(crate) max_tokens: u32,
}

/// A resume names a draft that the engine does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NotHeld;

/// Tells a waiting stream its schedule; dropped when the draft is cancelled.
type Notice = async_channel::Sender<Schedule>;

/// Where a draft is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Prefilling { until: Monotonic },
    Decoding { until: Monotonic },
}

#[derive(Debug)]
struct Draft {
    /// The request that started it.
    req: DraftRequest,
    /// Where it is.
    phase: Phase,
    /// Set once the prompt's processing starts.
    schedule: Option<Schedule>,
    /// Streams that wait for the schedule.
    notices: Vec<Notice>,
    /// Pieces kept for it.
    pinned: usize,
    /// When it came, in microseconds since the Unix epoch.
    at_micros: u64,
}

/// Continuous batching: one prompt is processed at a time, several drafts generate at once.
#[derive(Debug)]
pub(crate) struct Batch {
    /// Drafts that wait or run.
    drafts: SlotMap<DraftKey, Draft>,
    /// Drafts that wait, in the order in which they start.
    waiting: BTreeMap<(u8, u64), DraftKey>,
    /// The draft whose prompt is processed.
    prefilling: Option<DraftKey>,
    /// Drafts that generate.
    decoding: Vec<DraftKey>,
    /// Drafts by request.
    by_request: HashMap<RequestId, DraftKey>,
    /// Drafts that ended, by request.
    ended: HashMap<RequestId, (DraftRequest, Schedule)>,
    /// Their requests, oldest first.
    ended_order: VecDeque<RequestId>,
    /// Order of arrival.
    arrivals: u64,
}

/// Figures of a batch for the load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Occupancy {
    /// Prompt tokens that wait for processing.
    pub(crate) queued_prompt_tokens: u64,
    /// Drafts that generate.
    pub(crate) running: u32,
    /// Drafts that wait.
    pub(crate) waiting: u32,
}

impl Batch {
    pub(crate) fn new() -> Self {
        Self {
            drafts: SlotMap::with_key(),
            waiting: BTreeMap::new(),
            prefilling: None,
            decoding: Vec::new(),
            by_request: HashMap::new(),
            ended: HashMap::new(),
            ended_order: VecDeque::new(),
            arrivals: 0,
        }
    }

    /// Whether a draft that `req` can go on with is running or was kept.
    pub(crate) fn holds(&self, req: &DraftRequest) -> bool {
        let running = self.by_request.get(&req.request_id);
        running.is_some_and(|key| continues(&self.drafts[*key].req, req))
            || self
                .ended
                .get(&req.request_id)
                .is_some_and(|(held, _)| continues(held, req))
    }

    /// Adds a draft, or a stream to the draft that the request already has; its schedule comes through `notice`.
    pub(crate) fn submit(&mut self, req: DraftRequest, notice: Notice) -> Result<(), NotHeld> {
        if let Some(key) = self.by_request.get(&req.request_id) {
            let draft = &mut self.drafts[*key];
            if continues(&draft.req, &req) {
                draft.join(notice);
                return Ok(());
            }
        }
        if let Some((held, schedule)) = self.ended.get(&req.request_id)
            && continues(held, &req)
        {
            let _ = notice.try_send(*schedule);
            return Ok(());
        }
        if req.resume_only {
            return Err(NotHeld);
        }
        let (id, priority) = (req.request_id, req.priority);
        let key = self.drafts.insert(Draft {
            req,
            phase: Phase::Waiting,
            schedule: None,
            notices: vec![notice],
            pinned: 0,
            at_micros: unix_micros(),
        });
        self.waiting.insert((priority, self.arrivals), key);
        self.arrivals += 1;
        self.by_request.insert(id, key);
        Ok(())
    }

    /// Stops a request's draft; its streams end without an end event.
    pub(crate) fn cancel(&mut self, id: RequestId, cache: &mut Cache) {
        if let Some(key) = self.by_request.get(&id).copied() {
            self.remove(key, cache);
        }
    }

    /// Moves on to `now`; gives the time of the next change, if there is one.
    pub(crate) fn advance(
        &mut self,
        now: Monotonic,
        cfg: &EngineConfig,
        cache: &mut Cache,
        record: &mut EngineRecord,
    ) -> Option<Monotonic> {
        loop {
            let mut moved = self.finish_decoding(now, cache);
            moved |= self.finish_prefill(now, cfg, cache);
            moved |= self.start_prefill(now, cfg, cache, record);
            if !moved {
                return self.next_change();
            }
        }
    }

    pub(crate) fn occupancy(&self) -> Occupancy {
        let queued = self.waiting.values().chain(&self.prefilling);
        Occupancy {
            queued_prompt_tokens: queued
                .map(|key| u64::from(self.drafts[*key].req.prompt_tokens))
                .sum(),
            running: self.decoding.len() as u32,
            waiting: self.waiting.len() as u32,
        }
    }

    fn finish_decoding(&mut self, now: Monotonic, cache: &mut Cache) -> bool {
        let is_done = |key: &&DraftKey| self.drafts[**key].until().is_some_and(|until| until <= now);
        let done: Vec<DraftKey> = self.decoding.iter().filter(is_done).copied().collect();
        for key in &done {
            if let Some((mut req, schedule)) = self.remove(*key, cache) {
                req.prompt = String::new();
                self.hold(req, schedule);
            }
        }
        !done.is_empty()
    }

    fn hold(&mut self, req: DraftRequest, schedule: Schedule) {
        self.ended_order.push_back(req.request_id);
        self.ended.insert(req.request_id, (req, schedule));
        if self.ended_order.len() > HELD_DRAFTS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    fn finish_prefill(&mut self, now: Monotonic, cfg: &EngineConfig, cache: &mut Cache) -> bool {
        let Some(key) = self.prefilling else {
            return false;
        };
        let draft = &mut self.drafts[key];
        if draft.until().is_none_or(|until| until > now) {
            return false;
        }
        let right = right_answer(&draft.req);
        let intact = draft.schedule.is_none_or(|s| s.answer == right);
        for piece in &draft.req.pieces {
            let workspace = Some(draft.req.workspace.clone());
            cache.store(now, *piece, workspace, draft.req.weight_version, intact);
        }
        let tokens = draft.req.max_tokens.saturating_sub(draft.req.offset);
        let since = draft.schedule.map_or(now, |s| s.since);
        draft.phase = Phase::Decoding {
            until: since + cfg.time_per_output_token * tokens,
        };
        self.prefilling = None;
        self.decoding.push(key);
        true
    }

    fn start_prefill(
        &mut self,
        now: Monotonic,
        cfg: &EngineConfig,
        cache: &mut Cache,
        record: &mut EngineRecord,
    ) -> bool {
        if self.prefilling.is_some() || self.decoding.len() >= cfg.slots as usize {
            return false;
        }
        let Some((_, key)) = self.waiting.pop_first() else {
            return false;
        };
        let draft = &mut self.drafts[key];
        let blocks = cache.prefix(&draft.req.pieces);
        draft.use_blocks(&blocks, cache, &mut record.uses);
        let cached_tokens = (blocks.len() as u32 * PIECE_TOKENS).min(draft.req.prompt_tokens);
        let uncached = draft.req.prompt_tokens - cached_tokens + draft.req.offset;
        let since = now + cfg.time_per_prompt_token * uncached;
        draft.phase = Phase::Prefilling { until: since };
        record.drafts.push(draft.run(cached_tokens));
        draft.begin(Schedule {
            since,
            first_index: draft.req.offset,
            cached_tokens,
            answer: draft.answer(&blocks),
            max_tokens: draft.req.max_tokens,
        });
        self.prefilling = Some(key);
        true
    }

    fn next_change(&self) -> Option<Monotonic> {
        let running = self.decoding.iter().chain(&self.prefilling);
        running.filter_map(|key| self.drafts[*key].until()).min()
    }

    fn remove(&mut self, key: DraftKey, cache: &mut Cache) -> Option<(DraftRequest, Schedule)> {
        let draft = self.drafts.remove(key)?;
        for piece in &draft.req.pieces[..draft.pinned] {
            cache.unpin(piece);
        }
        self.waiting.retain(|_, other| *other != key);
        self.decoding.retain(|other| *other != key);
        if self.prefilling == Some(key) {
            self.prefilling = None;
        }
        if self.by_request.get(&draft.req.request_id) == Some(&key) {
            self.by_request.remove(&draft.req.request_id);
        }
        draft.schedule.map(|schedule| (draft.req, schedule))
    }
}

impl Draft {
    /// When the phase ends.
    fn until(&self) -> Option<Monotonic> {
        match self.phase {
            Phase::Waiting => None,
            Phase::Prefilling { until } | Phase::Decoding { until } => Some(until),
        }
    }

    fn run(&self, cached_tokens: u32) -> DraftRun {
        DraftRun {
            request_id: self.req.request_id,
            attempt: self.req.attempt,
            workspace: self.req.workspace.clone(),
            model: self.req.model.clone(),
            weight_version: self.req.weight_version,
            prompt: utils::digest(self.req.prompt.as_bytes()),
            prompt_tokens: self.req.prompt_tokens,
            cached_tokens,
            offset: self.req.offset,
            at_micros: self.at_micros,
        }
    }

    /// The answer that comes out of these blocks and of what is to be continued.
    fn answer(&self, blocks: &[Block]) -> Answer {
        let right = right_answer(&self.req);
        let continues = self.req.offset == 0 || self.req.continued == right.text(self.req.offset);
        if continues && blocks.iter().all(|block| block.intact) {
            right
        } else {
            right.damaged()
        }
    }

    fn join(&mut self, notice: Notice) {
        match self.schedule {
            Some(schedule) => {
                let _ = notice.try_send(schedule);
            }
            None => self.notices.push(notice),
        }
    }

    fn begin(&mut self, schedule: Schedule) {
        self.schedule = Some(schedule);
        for notice in self.notices.drain(..) {
            let _ = notice.try_send(schedule);
        }
    }

    fn use_blocks(&mut self, blocks: &[Block], cache: &mut Cache, uses: &mut Vec<PieceUse>) {
        for (piece, block) in self.req.pieces.iter().zip(blocks) {
            cache.pin(piece);
            uses.push(PieceUse {
                request_id: self.req.request_id,
                piece: *piece,
                workspace: self.req.workspace.clone(),
                from_workspace: block.workspace.clone(),
                weight_version: self.req.weight_version,
                from_version: block.weight_version,
                intact: block.intact,
            });
        }
        self.pinned = blocks.len();
    }
}

fn right_answer(req: &DraftRequest) -> Answer {
    Answer::new(&req.model, req.weight_version, &req.prompt)
}

/// Whether a request can go on with the draft of another one.
fn continues(held: &DraftRequest, req: &DraftRequest) -> bool {
    held.offset <= req.offset && held.weight_version == req.weight_version && held.workspace == req.workspace
}
