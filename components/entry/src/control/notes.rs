use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use errors::events;
use futures_lite::FutureExt;
use metadata::{HttpPlatform, RowVersion};
use notes::{
    EnforcedNotes, EnforcedNotesBuilder, HeadContent, HostRow, NoteError, NoteReader, NoteReplica, NoteState,
    NoteStore, ReplicaEffect, head_interval, write_window,
};
use rand::RngExt;
use slog::{info, warn};
use utils::{HostId, Incarnation, Monotonic};

use super::poll::{Health, Inputs, jittered};
use super::state::Input;
use crate::shared::Shared;

/// Longest wait between two tries while the platform fails.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Times that a starting host looks for the platform's list before its first call.
const MAX_LIST_CHECKS: u32 = 10;
/// Time between two looks.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for the row that says that the host has ended.
const STOP_RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Follows the release notes: reads the head, publishes what must be obeyed, acknowledges what is staged.
pub(crate) async fn follow(
    shared: Arc<Shared>,
    platform: Arc<HttpPlatform>,
    tx: Inputs,
    peer_states: async_channel::Receiver<PeerNoteState>,
) {
    let store = NoteStore::new(platform.clone(), platform);
    let mut follower = Follower::new(shared, store, tx, peer_states);
    follower.delay_start().await;
    loop {
        if follower.ensure_registered().await {
            follower.read().await;
            follower.acknowledge().await;
        }
        let wait = smol::Timer::after(follower.next_wait());
        follower.while_receiving(wait).await;
    }
}

/// Says in the host's row that this run takes no more new work, so that no note waits for it.
pub(crate) async fn record_stopped(shared: &Shared, platform: Arc<HttpPlatform>) {
    let store = NoteStore::new(platform.clone(), platform);
    let record = async {
        let (revision, mut row) = store.register(first_row(shared)).await?;
        row.is_stopped = true;
        store.update_host(revision, &row).await.map(|_| ())
    };
    let timeout = async {
        smol::Timer::after(STOP_RECORD_TIMEOUT).await;
        Err(Report::new(NoteError::Platform(
            metadata::PlatformError::AnswerLost,
        )))
    };
    if let Err(e) = record.or(timeout).await {
        warn!(shared.log, "end not recorded"; events::PLATFORM_FAILED,
            "what" => "notes", "error" => %e.current_context());
    }
}

fn first_row(shared: &Shared) -> HostRow {
    let settings = &shared.settings;
    HostRow {
        host: settings.host.id.clone(),
        incarnation: shared.incarnation,
        region: settings.host.region.clone(),
        address: settings.listen.callers,
        acknowledged: 0,
        is_stopped: false,
        are_earlier_ended: true,
    }
}

/// What another entry host said about the notes in a heartbeat.
#[derive(Debug)]
pub(crate) struct PeerNoteState {
    /// The other host.
    pub from: HostId,
    /// Its run.
    pub incarnation: Incarnation,
    /// When the probe that it answers was sent; `None` if it answers none.
    pub probe_sent: Option<Monotonic>,
    /// What it holds and obeys.
    pub state: NoteState,
}

/// One host's part in bringing notes into force.
struct Follower {
    /// State of all threads.
    shared: Arc<Shared>,
    /// Where the notes are.
    store: NoteStore,
    /// Reads the head with its content.
    reader: NoteReader,
    /// What is known, and until when the host may take new work.
    replica: NoteReplica,
    /// Builds the views.
    builder: EnforcedNotesBuilder,
    /// Content of what the holder knows.
    content: Option<HeadContent>,
    /// What other entry hosts say.
    peer_states: async_channel::Receiver<PeerNoteState>,
    /// The host's row and its version; `None` while they are not known.
    row: Option<(RowVersion, HostRow)>,
    /// State of the last published view.
    published: NoteState,
    /// To the control loop.
    tx: Inputs,
    /// Logs when the platform fails.
    health: Health,
    /// Reads that failed in a row.
    failures: u32,
    /// Whether a newer run has registered under this host's name.
    is_superseded: bool,
    /// Whether the log says that the head is not confirmed.
    is_unconfirmed: bool,
}

impl Follower {
    fn new(
        shared: Arc<Shared>,
        store: NoteStore,
        tx: Inputs,
        peer_states: async_channel::Receiver<PeerNoteState>,
    ) -> Self {
        let host = &shared.settings.host;
        Self {
            reader: NoteReader::new(store.clone()),
            replica: NoteReplica::new(host.id.clone(), shared.incarnation, host.region.clone()),
            builder: EnforcedNotesBuilder::default(),
            content: None,
            peer_states,
            row: None,
            published: NoteState::default(),
            tx,
            health: Health::new(&shared, "notes"),
            failures: 0,
            is_superseded: false,
            is_unconfirmed: false,
            store,
            shared,
        }
    }

    /// Spreads the first calls of hosts that start together, as soon as the list tells how many there are.
    async fn delay_start(&self) {
        for _ in 0..MAX_LIST_CHECKS {
            if self.shared.view.load().entry_hosts > 0 {
                break;
            }
            smol::Timer::after(LIST_CHECK_INTERVAL).await;
        }
        smol::Timer::after(self.random_delay()).await;
    }

    /// Waits for something while what other hosts say keeps counting.
    async fn while_receiving<T>(&mut self, work: impl Future<Output = T>) -> T {
        let peer_states = self.peer_states.clone();
        let mut work = std::pin::pin!(work);
        loop {
            let done = async { Waited::Done(work.as_mut().await) };
            let next = async { peer_states.recv().await.map_or(Waited::Closed, Waited::Received) };
            match done.or(next).await {
                Waited::Done(value) => return value,
                Waited::Received(peer_state) => self.apply_peer_state(&peer_state).await,
                Waited::Closed => return work.await,
            }
        }
    }

    /// Takes what another host said: it keeps this one serving, or shows that a staged change is accepted.
    async fn apply_peer_state(&mut self, peer_state: &PeerNoteState) {
        let effects = match peer_state.probe_sent {
            Some(sent) => {
                self.replica
                    .on_answer(&peer_state.from, peer_state.incarnation, sent, &peer_state.state)
            }
            None => self.replica.on_peer_state(&peer_state.state),
        };
        if effects.contains(&ReplicaEffect::Publish) {
            self.promote_staged();
        }
        self.publish().await;
        self.log_confirmation();
    }

    /// Makes the content that of the staged change, which another host has as its head.
    fn promote_staged(&mut self) {
        let Some(content) = &mut self.content else {
            return;
        };
        let Some(note) = content.staged.take() else {
            return;
        };
        match notes::apply(&content.declared, &note) {
            Ok(next) => content.declared = Arc::new(next),
            Err(e) => {
                warn!(self.shared.log, "note can not be read"; events::NOTE_REJECTED, "error" => %e.current_context());
                self.content = None;
            }
        }
    }

    /// Registers this run if that is not done: before the first reading, so that no earlier run can
    /// acknowledge after it, and after an acknowledgement whose answer is lost.
    async fn ensure_registered(&mut self) -> bool {
        if self.row.is_some() || self.is_superseded {
            return true;
        }
        let (store, row) = (self.store.clone(), first_row(&self.shared));
        let registered = self
            .while_receiving(async move { store.register(row).await })
            .await;
        self.row = self.health.record(platform_error(registered));
        if let Some((_, row)) = &self.row {
            self.replica.on_acknowledged(row.acknowledged);
            return true;
        }
        self.failures += 1;
        self.log_confirmation();
        false
    }

    async fn read(&mut self) {
        let sent = self.shared.clock.now();
        let mut reader = std::mem::replace(&mut self.reader, NoteReader::new(self.store.clone()));
        let reading = async move {
            let read = reader.read().await;
            (reader, read)
        };
        let (reader, read) = self.while_receiving(reading).await;
        self.reader = reader;
        let content = match read {
            Err(e) if matches!(e.current_context(), NoteError::NoHead) => {
                self.failures = 0;
                return;
            }
            Err(e) if !matches!(e.current_context(), NoteError::Platform(_)) => {
                warn!(self.shared.log, "note can not be read"; events::NOTE_REJECTED, "error" => %e.current_context());
                self.failures += 1;
                return self.log_confirmation();
            }
            other => self.health.record(platform_error(other)),
        };
        let Some(content) = content else {
            self.failures += 1;
            return self.log_confirmation();
        };
        self.failures = 0;
        self.replica.on_head_read(sent, &content.head_read);
        let holds = |seq| self.replica.head().is_some_and(|head| head.seq == seq);
        if holds(content.head_read.head.seq) {
            self.content = Some(content);
        }
        self.publish().await;
        self.log_confirmation();
    }

    /// Publishes a changed view first, then lets work in under it.
    async fn publish(&mut self) {
        let Some(content) = &self.content else {
            return;
        };
        let state = self.replica.state();
        let serves_until = self.replica.serves_until();
        if state != self.published {
            let staged = content.staged.as_deref();
            let enforced = self.builder.build(state, &content.declared, staged, serves_until);
            self.log_change(state);
            if !self.send(enforced).await {
                return;
            }
            self.published = state;
        }
        self.shared.gate.open(&state, serves_until);
    }

    /// Hands a view to the control loop and waits until it is published.
    async fn send(&self, enforced: EnforcedNotes) -> bool {
        let (done, published) = async_channel::bounded(1);
        let input = Input::Notes { enforced, done };
        self.tx.send(input).await.is_ok() && published.recv().await.is_ok()
    }

    /// Acknowledges the staged change, which the published view obeys. Hosts spread their writes.
    async fn acknowledge(&mut self) {
        let Some(seq) = self.replica.unacknowledged() else {
            return;
        };
        let turn = smol::Timer::after(self.random_delay());
        self.while_receiving(turn).await;
        let Some((revision, mut row)) = self.row.take() else {
            return;
        };
        row.acknowledged = seq;
        let (store, written) = (self.store.clone(), row.clone());
        let write = async move { store.update_host(revision, &written).await };
        match self.while_receiving(write).await {
            Ok(revision) => {
                self.replica.on_acknowledged(seq);
                self.row = Some((revision, row));
            }
            Err(e) if matches!(e.current_context(), NoteError::OtherRun { .. }) => {
                warn!(self.shared.log, "another run has this host's name"; events::HOST_SUPERSEDED);
                self.is_superseded = true;
                self.replica.stop();
                self.shared.gate.open(&self.published, Monotonic::ZERO);
            }
            Err(e) => {
                self.health.record::<()>(platform_error(Err(e)));
            }
        }
    }

    /// Time until the next read: longer with more hosts, and longer while the platform fails.
    fn next_wait(&self) -> Duration {
        let hosts = self.shared.view.load().entry_hosts;
        let shortest = Duration::from_millis(self.shared.settings.platform.head_interval_ms);
        let interval = head_interval(shortest, hosts);
        let backoff = interval * 2_u32.pow(self.failures.min(4));
        jittered(backoff.min(MAX_BACKOFF.max(interval)))
    }

    /// A random part of the time that all hosts take for one write each.
    fn random_delay(&self) -> Duration {
        let window = write_window(self.shared.view.load().entry_hosts);
        window.mul_f64(rand::rng().random_range(0.0..1.0))
    }

    fn log_change(&self, state: NoteState) {
        let log = &self.shared.log;
        if state.head > self.published.head {
            info!(log, "release note in force"; events::NOTE_IN_FORCE,
                "version" => state.version, "change" => state.head);
        }
        if let Some(staged) = state
            .staged
            .filter(|staged| Some(*staged) != self.published.staged)
        {
            info!(log, "release note staged"; events::NOTE_STAGED, "change" => staged);
        }
    }

    /// Logs when new work is refused because the head is not confirmed, and when it is taken again.
    fn log_confirmation(&mut self) {
        let is_unconfirmed =
            self.published.head > 0 && !self.replica.may_take_new_work(self.shared.clock.now());
        if is_unconfirmed && !self.is_unconfirmed {
            warn!(self.shared.log, "head not confirmed, no new work"; events::HEAD_UNCONFIRMED,
                "version" => self.published.version);
        }
        if !is_unconfirmed && self.is_unconfirmed {
            info!(self.shared.log, "head confirmed again"; events::HEAD_CONFIRMED, "version" => self.published.version);
        }
        self.is_unconfirmed = is_unconfirmed;
    }
}

/// What ends a wait.
enum Waited<T> {
    /// What was waited for.
    Done(T),
    /// Another host said something.
    Received(PeerNoteState),
    /// No host can say anything any more.
    Closed,
}

/// The platform's part in a failure, for the log; other failures count as unreadable answers.
fn platform_error<T>(result: Result<T, Report<NoteError>>) -> Result<T, Report<metadata::PlatformError>> {
    result.map_err(|e| match *e.current_context() {
        NoteError::Platform(kind) => e.change_context(kind),
        _ => e.change_context(metadata::PlatformError::Malformed),
    })
}
