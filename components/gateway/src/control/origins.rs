use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use error_stack::Report;
use futures_lite::FutureExt;
use policy::TokenBucket;
use smol::Task;
use utils::Monotonic;

use super::Control;
use crate::jitter::jittered;
use crate::ports::{FoundOrigin, OriginPage, OriginStore, StoreError};
use crate::software::{Leftovers, OriginKey, OriginPart, OriginUnknown, OriginWrite, stream_lifetime};
use crate::traffic::{FindQuery, FindResult, Origins};

/// Calls that write records at the same time.
const WRITERS: usize = 4;
/// Calls that look up records at the same time.
const FINDERS: usize = 8;
/// Most calls a second that write or remove records.
const WRITES_PER_SECOND: f64 = 20.0;
/// Most calls a second that read records.
const READS_PER_SECOND: f64 = 60.0;
/// Calls that a look-up makes at most.
const FIND_ATTEMPTS: usize = 3;
/// Mean delay before a failed look-up is repeated.
const FIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between checks for a restored store and for expired records.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Mean interval between lists of records that dead hosts may have left.
const LIST_INTERVAL: Duration = Duration::from_secs(60);
/// Most records that one call removes.
const MAX_REMOVALS_PER_CALL: usize = 100;
/// The duty to remove what dead hosts have left.
const CLEANUP_DUTY: &[u8] = b"stream-origins";
/// Time without an answer of the store after which a look-up is not tried.
const STORE_LOST_AFTER: Duration = Duration::from_secs(5);

/// A bound on the rate of calls.
struct CallRate(Mutex<TokenBucket>);

impl CallRate {
    fn new(per_second: f64, now: Monotonic) -> Self {
        Self(Mutex::new(TokenBucket::new(per_second, per_second, now)))
    }

    /// Takes a call; returns the time until the next one is allowed if none is.
    fn try_take(&self, now: Monotonic) -> Result<(), Duration> {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        bucket.take(1.0, now)
    }
}

/// State that the tasks for records of stream origins share.
struct OriginTasks {
    control: Arc<Control>,
    store: Arc<dyn OriginStore>,
    writes: CallRate,
    reads: CallRate,
}

/// Starts the tasks that write, look up and remove records of stream origins.
pub(crate) fn spawn(control: &Arc<Control>, store: Arc<dyn OriginStore>) -> Vec<Task<()>> {
    let now = control.traffic.now();
    let cx = Arc::new(OriginTasks {
        control: control.clone(),
        store,
        writes: CallRate::new(WRITES_PER_SECOND, now),
        reads: CallRate::new(READS_PER_SECOND, now),
    });
    let ex = &control.ex;
    let mut tasks = vec![
        ex.spawn(remove_expired(cx.clone())),
        ex.spawn(remove_leftovers(cx.clone())),
    ];
    tasks.extend((0..WRITERS).map(|_| ex.spawn(write_records(cx.clone()))));
    tasks.extend((0..FINDERS).map(|_| ex.spawn(answer_finds(cx.clone()))));
    tasks
}

impl OriginTasks {
    fn now(&self) -> Monotonic {
        self.control.traffic.now()
    }

    fn origins(&self) -> &Origins {
        &self.control.traffic.origins
    }

    /// Waits until a call that writes or removes records is allowed.
    async fn write_allowed(&self) {
        while let Err(wait) = self.writes.try_take(self.now()) {
            smol::Timer::after(wait).await;
        }
    }

    /// Waits until records are due to be written.
    async fn records_due(&self) {
        loop {
            let due = self.origins().records().next_write_at();
            let now = self.now();
            match due {
                Some(due) if due <= now => return,
                Some(due) => {
                    let due = async {
                        smol::Timer::after(due.saturating_sub(now)).await;
                    };
                    due.or(self.origins().woken()).await;
                }
                None => self.origins().woken().await,
            }
        }
    }

    /// Records an era of the store and wakes a task if records are lost by it.
    fn record_era(&self, era: u64) {
        if self.origins().records().record_era(era) {
            self.origins().wake();
        }
    }
}

/// Writes records. Those of one part that arrive during a call are written together with the next one.
async fn write_records(cx: Arc<OriginTasks>) {
    loop {
        cx.records_due().await;
        cx.write_allowed().await;
        let write = cx.origins().records().take_write(cx.now());
        if let Some(write) = write {
            // Another task writes what is due in other parts.
            cx.origins().wake();
            write_to_store(&cx, write).await;
        }
    }
}

async fn write_to_store(cx: &OriginTasks, write: OriginWrite) {
    let store_time = cx.control.cached_state().store_time(cx.now());
    let written = cx.store.record(&write.origins, store_time).await;
    let telemetry = &cx.control.traffic.telemetry.origins;
    match &written {
        Ok(_) => telemetry.written(write.origins.len()),
        Err(e) => telemetry.not_written(write.origins.len(), e, cx.now()),
    }
    let mut records = cx.origins().records();
    records.finish_write(write, written.ok(), cx.now());
}

/// Looks up records that other hosts have made.
async fn answer_finds(cx: Arc<OriginTasks>) {
    while let Some(query) = cx.origins().next_find().await {
        let result = find(&cx, &query).await;
        query.answer(result);
    }
}

/// Looks up a record; calls that fail are repeated while the request waits.
async fn find(cx: &OriginTasks, query: &FindQuery) -> FindResult {
    for _ in 0..FIND_ATTEMPTS {
        // Many callers take their streams up together after hosts have failed. They wait for their turn.
        while let (false, Err(wait)) = (query.is_abandoned(), cx.reads.try_take(cx.now())) {
            smol::Timer::after(wait).await;
        }
        if query.is_abandoned() || is_store_lost(cx) {
            break;
        }
        match cx.store.find(&query.key).await {
            Ok(found) => return current_origin(cx, found),
            Err(e) => cx.control.traffic.telemetry.origins.find_failed(&query.key, &e),
        }
        smol::Timer::after(jittered(FIND_RETRY_DELAY, 0.5)).await;
    }
    Err(OriginUnknown)
}

fn is_store_lost(cx: &OriginTasks) -> bool {
    let state = cx.control.cached_state();
    state.is_store_down() && state.store_age(cx.now()) > STORE_LOST_AFTER
}

/// Returns what was found. A store that was restored may have lost a record, so none means nothing as long as the host
/// does not know of the restore.
fn current_origin(cx: &OriginTasks, found: FoundOrigin) -> FindResult {
    let FoundOrigin { origin, position } = found;
    cx.record_era(position.era());
    match origin.is_none() && position.era() > cx.control.cached_state().era() {
        true => Err(OriginUnknown),
        false => Ok(origin),
    }
}

/// Removes records of this host past their lifetime, and has records written again after the store was restored.
async fn remove_expired(cx: Arc<OriginTasks>) {
    let mut lifetime = None;
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        cx.record_era(cx.control.cached_state().era());
        let now = cx.now();
        let keys = {
            let mut records = cx.origins().records();
            // A shorter lifetime, or none, does not hold for streams that began before it was declared.
            lifetime = match records.is_empty() {
                true => declared_lifetime(&cx),
                false => lifetime.max(declared_lifetime(&cx)),
            };
            if let Some(lifetime) = lifetime {
                records.expire(lifetime, now);
            }
            records.take_removals(now)
        };
        if !keys.is_empty() && remove(&cx, &keys).await.is_err() {
            cx.origins().records().put_back_removals(&keys, cx.now());
        }
    }
}

/// Removes records that hosts have left which ended before the records expired. One host lists one part at a time, while
/// there are routes whose streams can be resumed: hosts that started later can't know whether there are records.
async fn remove_leftovers(cx: Arc<OriginTasks>) {
    let mut leftovers = Leftovers::default();
    let mut part = OriginPart::default();
    let mut from = None;
    let mut longest = Duration::ZERO;
    loop {
        smol::Timer::after(jittered(LIST_INTERVAL, 0.2)).await;
        let view = cx.control.traffic.view.load_full();
        let is_owner = view.owns(CLEANUP_DUTY, &cx.control.traffic.settings.name, 1);
        let Some(lifetime) = declared_lifetime(&cx).filter(|_| is_owner) else {
            continue;
        };
        // Hosts may have left records when a longer lifetime was declared.
        longest = longest.max(lifetime);
        if cx.reads.try_take(cx.now()).is_err() {
            continue;
        }
        // After a failure the list continues at the same place.
        let Ok(page) = cx.store.list(part, from.as_deref()).await else {
            continue;
        };
        remove_listed(&cx, &mut leftovers, &page, longest.saturating_mul(2)).await;
        if page.next.is_none() {
            part = part.next();
        }
        from = page.next;
    }
}

async fn remove_listed(cx: &OriginTasks, leftovers: &mut Leftovers, page: &OriginPage, age: Duration) {
    let keys = leftovers.find(page, age, cx.now());
    for keys in keys.chunks(MAX_REMOVALS_PER_CALL) {
        // Those that stay are listed again.
        if remove(cx, keys).await.is_err() {
            return;
        }
    }
}

async fn remove(cx: &OriginTasks, keys: &[OriginKey]) -> Result<(), Report<StoreError>> {
    cx.write_allowed().await;
    let removed = cx.store.remove(keys).await;
    cx.control
        .traffic
        .telemetry
        .origins
        .removed(keys.len(), removed.as_ref());
    removed
}

/// Returns the time after which no declared route's streams are taken up any more; `None` if none can be.
fn declared_lifetime(cx: &OriginTasks) -> Option<Duration> {
    let view = cx.control.traffic.view.load();
    stream_lifetime(view.declared.as_deref()?)
}
