use std::collections::{BTreeMap, HashMap, VecDeque};

use slotmap::{SlotMap, new_key_type};
use targets::{DraftRequest, PIECE_TOKENS};
use utils::{Monotonic, RequestId};

use super::cache::{Cache, CachedPiece};
use super::config::EngineConfig;
use super::record::{DraftRun, EngineRecord, PieceUse};
use crate::answer::Answer;
use crate::running::unix_micros;

/// Maximum number of finished drafts that are kept to be resumed.
const MAX_ENDED_DRAFTS: usize = 4_096;

new_key_type! {
    /// Key of a draft in the batch.
    pub(crate) struct DraftKey;
}

/// The tokens that a draft generates, and when they are ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Schedule {
    /// When the processing of the prompt ends.
    pub(crate) prefill_end: Monotonic,
    /// Index of the first token that is generated after that.
    pub(crate) first_index: u32,
    /// Number of prompt tokens that were read from cache.
    pub(crate) cached_tokens: u32,
    /// The generated tokens.
    pub(crate) answer: Answer,
    /// Number of tokens in the whole answer.
    pub(crate) max_tokens: u32,
}

/// Error of a resume request for a draft that the engine does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DraftNotFound;

/// Sends the schedule to a waiting stream; dropped when the draft is cancelled.
type ScheduleSender = async_channel::Sender<Schedule>;

/// Processing phase of a draft.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Prefilling { until: Monotonic },
    Decoding { until: Monotonic },
}

/// A draft that is waiting or running.
#[derive(Debug)]
struct Draft {
    /// The request that started it.
    req: DraftRequest,
    /// Current phase.
    phase: Phase,
    /// Set when the processing of the prompt starts.
    schedule: Option<Schedule>,
    /// Channels of the streams that wait for the schedule.
    schedule_txs: Vec<ScheduleSender>,
    /// Number of leading pieces that are pinned in the cache for the draft.
    pinned_pieces: usize,
    /// When the request was received, in microseconds since the Unix epoch.
    at_micros: u64,
}

/// Simulates continuous batching: one prompt is processed at a time while several drafts generate tokens.
#[derive(Debug)]
pub(crate) struct Batch {
    /// Drafts that are waiting or running.
    drafts: SlotMap<DraftKey, Draft>,
    /// Waiting drafts by priority and arrival number, in the order in which they start.
    waiting: BTreeMap<(u8, u64), DraftKey>,
    /// The draft whose prompt is being processed.
    prefilling: Option<DraftKey>,
    /// Drafts that are generating tokens.
    decoding: Vec<DraftKey>,
    /// Waiting and running drafts by request.
    by_request: HashMap<RequestId, DraftKey>,
    /// Finished drafts by request.
    ended: HashMap<RequestId, (DraftRequest, Schedule)>,
    /// Requests of the finished drafts, oldest first.
    ended_order: VecDeque<RequestId>,
    /// Arrival number of the next draft.
    next_arrival: u64,
}

/// Occupancy of a batch, for the load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Occupancy {
    /// Number of prompt tokens that are not processed yet, including those of the current prompt.
    pub(crate) queued_prompt_tokens: u64,
    /// Number of drafts that are generating tokens.
    pub(crate) running: u32,
    /// Number of drafts that are waiting.
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
            next_arrival: 0,
        }
    }

    /// Whether there is a waiting, running or finished draft that `req` can resume.
    pub(crate) fn can_resume(&self, req: &DraftRequest) -> bool {
        let running = self.by_request.get(&req.request_id);
        running.is_some_and(|key| is_continuation(&self.drafts[*key].req, req))
            || self
                .ended
                .get(&req.request_id)
                .is_some_and(|(earlier, _)| is_continuation(earlier, req))
    }

    /// Adds a draft, or a stream to an existing draft that `req` can resume; the schedule is sent through
    /// `schedule_tx`.
    pub(crate) fn submit(
        &mut self,
        req: DraftRequest,
        schedule_tx: ScheduleSender,
    ) -> Result<(), DraftNotFound> {
        if let Some(key) = self.by_request.get(&req.request_id) {
            let draft = &mut self.drafts[*key];
            if is_continuation(&draft.req, &req) {
                draft.add_stream(schedule_tx);
                return Ok(());
            }
        }
        if let Some((earlier, schedule)) = self.ended.get(&req.request_id)
            && is_continuation(earlier, &req)
        {
            let _ = schedule_tx.try_send(*schedule);
            return Ok(());
        }
        if req.resume_only {
            return Err(DraftNotFound);
        }
        let (id, priority) = (req.request_id, req.priority);
        let key = self.drafts.insert(Draft {
            req,
            phase: Phase::Waiting,
            schedule: None,
            schedule_txs: vec![schedule_tx],
            pinned_pieces: 0,
            at_micros: unix_micros(),
        });
        self.waiting.insert((priority, self.next_arrival), key);
        self.next_arrival += 1;
        self.by_request.insert(id, key);
        Ok(())
    }

    /// Cancels the draft of a request; streams that have no schedule yet are interrupted.
    pub(crate) fn cancel(&mut self, id: RequestId, cache: &mut Cache) {
        if let Some(key) = self.by_request.get(&id).copied() {
            self.remove(key, cache);
        }
    }

    /// Advances the batch to `now`; returns the time of the next change, if there is one.
    pub(crate) fn advance(
        &mut self,
        now: Monotonic,
        cfg: &EngineConfig,
        cache: &mut Cache,
        record: &mut EngineRecord,
    ) -> Option<Monotonic> {
        loop {
            let mut changed = self.finish_decoding(now, cache);
            changed |= self.finish_prefill(now, cfg, cache);
            changed |= self.start_prefill(now, cfg, cache, record);
            if !changed {
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
        let is_done = |key: &&DraftKey| self.drafts[**key].phase_end().is_some_and(|end| end <= now);
        let done: Vec<DraftKey> = self.decoding.iter().filter(is_done).copied().collect();
        for key in &done {
            if let Some((mut req, schedule)) = self.remove(*key, cache) {
                req.prompt = String::new();
                self.keep_ended(req, schedule);
            }
        }
        !done.is_empty()
    }

    fn keep_ended(&mut self, req: DraftRequest, schedule: Schedule) {
        self.ended_order.push_back(req.request_id);
        self.ended.insert(req.request_id, (req, schedule));
        if self.ended_order.len() > MAX_ENDED_DRAFTS
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
        if draft.phase_end().is_none_or(|end| end > now) {
            return false;
        }
        let expected = expected_answer(&draft.req);
        let intact = draft.schedule.is_none_or(|s| s.answer == expected);
        for piece in &draft.req.pieces {
            let workspace = Some(draft.req.workspace.clone());
            cache.store(now, *piece, workspace, draft.req.weight_version, intact);
        }
        let tokens = draft.req.max_tokens.saturating_sub(draft.req.offset);
        let prefill_end = draft.schedule.map_or(now, |s| s.prefill_end);
        draft.phase = Phase::Decoding {
            until: prefill_end + cfg.time_per_output_token * tokens,
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
        let cached_pieces = cache.cached_prefix(&draft.req.pieces);
        draft.pin_pieces(&cached_pieces, cache, &mut record.uses);
        let cached_tokens = (cached_pieces.len() as u32 * PIECE_TOKENS).min(draft.req.prompt_tokens);
        let uncached = draft.req.prompt_tokens - cached_tokens + draft.req.offset;
        let prefill_end = now + cfg.time_per_prompt_token * uncached;
        draft.phase = Phase::Prefilling { until: prefill_end };
        record.drafts.push(draft.to_record(cached_tokens));
        draft.set_schedule(Schedule {
            prefill_end,
            first_index: draft.req.offset,
            cached_tokens,
            answer: draft.answer(&cached_pieces),
            max_tokens: draft.req.max_tokens,
        });
        self.prefilling = Some(key);
        true
    }

    fn next_change(&self) -> Option<Monotonic> {
        let started = self.decoding.iter().chain(&self.prefilling);
        started.filter_map(|key| self.drafts[*key].phase_end()).min()
    }

    fn remove(&mut self, key: DraftKey, cache: &mut Cache) -> Option<(DraftRequest, Schedule)> {
        let draft = self.drafts.remove(key)?;
        for piece in &draft.req.pieces[..draft.pinned_pieces] {
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
    /// Returns when the current phase ends; `None` for a waiting draft.
    fn phase_end(&self) -> Option<Monotonic> {
        match self.phase {
            Phase::Waiting => None,
            Phase::Prefilling { until } | Phase::Decoding { until } => Some(until),
        }
    }

    fn to_record(&self, cached_tokens: u32) -> DraftRun {
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

    /// Returns the expected answer, or a wrong one if a cached piece is corrupt or `continued` is wrong.
    fn answer(&self, cached_pieces: &[CachedPiece]) -> Answer {
        let expected = expected_answer(&self.req);
        let continues_answer = self.req.offset == 0 || self.req.continued == expected.text(self.req.offset);
        if continues_answer && cached_pieces.iter().all(|cached| cached.intact) {
            expected
        } else {
            expected.corrupted()
        }
    }

    fn add_stream(&mut self, schedule_tx: ScheduleSender) {
        match self.schedule {
            Some(schedule) => {
                let _ = schedule_tx.try_send(schedule);
            }
            None => self.schedule_txs.push(schedule_tx),
        }
    }

    fn set_schedule(&mut self, schedule: Schedule) {
        self.schedule = Some(schedule);
        for schedule_tx in self.schedule_txs.drain(..) {
            let _ = schedule_tx.try_send(schedule);
        }
    }

    fn pin_pieces(&mut self, cached_pieces: &[CachedPiece], cache: &mut Cache, uses: &mut Vec<PieceUse>) {
        for (piece, cached) in self.req.pieces.iter().zip(cached_pieces) {
            cache.pin(piece);
            uses.push(PieceUse {
                request_id: self.req.request_id,
                piece: *piece,
                workspace: self.req.workspace.clone(),
                from_workspace: cached.workspace.clone(),
                weight_version: self.req.weight_version,
                from_version: cached.weight_version,
                intact: cached.intact,
            });
        }
        self.pinned_pieces = cached_pieces.len();
    }
}

fn expected_answer(req: &DraftRequest) -> Answer {
    Answer::new(&req.model, req.weight_version, &req.prompt)
}

/// Whether `req` can resume the draft of an earlier request.
fn is_continuation(earlier: &DraftRequest, req: &DraftRequest) -> bool {
    earlier.offset <= req.offset
        && earlier.weight_version == req.weight_version
        && earlier.workspace == req.workspace
}
