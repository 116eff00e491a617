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

/// Maximum time between attempts while the platform fails.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Maximum number of times that a starting host checks for the platform's list before its first call.
const MAX_LIST_CHECKS: u32 = 10;
/// Interval between these checks.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time to record at shutdown that the host has stopped.
const STOP_RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Follows the release notes: reads the head, publishes the notes to enforce, acknowledges staged changes.
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

/// Records in the host's row that this run takes no more new work. Notes then come into force without waiting
/// for it.
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
        warn!(shared.log, "could not record that this host stopped"; events::PLATFORM_FAILED,
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

/// State of the release notes at another entry host, received in a heartbeat.
#[derive(Debug)]
pub(crate) struct PeerNoteState {
    /// The other host.
    pub from: HostId,
    /// Incarnation of the other host.
    pub incarnation: Incarnation,
    /// When the probe that the heartbeat answers was sent; `None` if it answers none.
    pub probe_sent: Option<Monotonic>,
    /// The changes that the other host holds and enforces.
    pub state: NoteState,
}

/// Reads and acknowledges release notes on behalf of this host.
struct Follower {
    /// State that all threads share.
    shared: Arc<Shared>,
    /// Storage of the notes.
    store: NoteStore,
    /// Reads the head with its content.
    reader: NoteReader,
    /// Replica of the note state; determines until when the host may take new work.
    replica: NoteReplica,
    /// Builds the views of the notes to enforce.
    builder: EnforcedNotesBuilder,
    /// Content of the changes that the replica holds.
    content: Option<HeadContent>,
    /// Receives the note states of other entry hosts.
    peer_states: async_channel::Receiver<PeerNoteState>,
    /// The host's row and its version; `None` before registration and after a failed write.
    row: Option<(RowVersion, HostRow)>,
    /// State of the last published view.
    published: NoteState,
    /// Sends inputs to the control loop.
    tx: Inputs,
    /// Logs failures of the platform.
    health: Health,
    /// Number of consecutive failed reads.
    failures: u32,
    /// Whether a newer run has registered under this host's name.
    is_superseded: bool,
    /// Whether the missing confirmation of the head has been logged.
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

    /// Delays the first calls by a random time, which spreads those of hosts that start together. Waits first
    /// for the list, which gives the number of hosts.
    async fn delay_start(&self) {
        for _ in 0..MAX_LIST_CHECKS {
            if self.shared.view.load().entry_hosts > 0 {
                break;
            }
            smol::Timer::after(LIST_CHECK_INTERVAL).await;
        }
        smol::Timer::after(self.random_delay()).await;
    }

    /// Waits for `work` and applies note states of other hosts meanwhile.
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

    /// Applies the note state of another host. An answer to a probe extends the time in which this host may
    /// take new work; a head equal to this host's staged change shows that the change is accepted.
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

    /// Applies the staged change to the content after another host has reported it as its head.
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
                warn!(self.shared.log, "staged release note can not be applied"; events::NOTE_REJECTED,
                    "error" => %e.current_context());
                self.content = None;
            }
        }
    }

    /// Registers this run if it has no row, and returns whether reads may go on. Registration comes before
    /// the first read: no earlier run can acknowledge after it. It is repeated after an acknowledgement whose
    /// answer is lost.
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
                warn!(self.shared.log, "release note can not be read"; events::NOTE_REJECTED,
                    "error" => %e.current_context());
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

    /// Publishes a changed view, then permits new work under it.
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

    /// Sends a view to the control loop and waits until it is published. Returns whether it is.
    async fn send(&self, enforced: EnforcedNotes) -> bool {
        let (done, published) = async_channel::bounded(1);
        let input = Input::Notes { enforced, done };
        self.tx.send(input).await.is_ok() && published.recv().await.is_ok()
    }

    /// Acknowledges the staged change, which the published view enforces. A random delay spreads the writes
    /// of all hosts.
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
                warn!(self.shared.log, "a newer run has registered under this host's name";
                    events::HOST_SUPERSEDED);
                self.is_superseded = true;
                self.replica.stop();
                self.shared.gate.open(&self.published, Monotonic::ZERO);
            }
            Err(e) => {
                self.health.record::<()>(platform_error(Err(e)));
            }
        }
    }

    /// Returns the time until the next read. It grows with the number of hosts and while the platform fails.
    fn next_wait(&self) -> Duration {
        let hosts = self.shared.view.load().entry_hosts;
        let shortest = Duration::from_millis(self.shared.settings.platform.head_interval_ms);
        let interval = head_interval(shortest, hosts);
        let backoff = interval * 2_u32.pow(self.failures.min(4));
        jittered(backoff.min(MAX_BACKOFF.max(interval)))
    }

    /// Returns a random part of the window over which all hosts spread one write each.
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

    /// Logs when new work is refused because the head is not confirmed, and when it is accepted again.
    fn log_confirmation(&mut self) {
        let is_unconfirmed =
            self.published.head > 0 && !self.replica.may_take_new_work(self.shared.clock.now());
        if is_unconfirmed && !self.is_unconfirmed {
            warn!(self.shared.log, "head not confirmed, refusing new work"; events::HEAD_UNCONFIRMED,
                "version" => self.published.version);
        }
        if !is_unconfirmed && self.is_unconfirmed {
            info!(self.shared.log, "head confirmed again, accepting new work"; events::HEAD_CONFIRMED,
                "version" => self.published.version);
        }
        self.is_unconfirmed = is_unconfirmed;
    }
}

/// The event that ends a wait.
enum Waited<T> {
    /// The awaited work is done.
    Done(T),
    /// A note state of another host arrived.
    Received(PeerNoteState),
    /// The channel of note states is closed.
    Closed,
}

/// Converts an error to the platform's error in it, for the log. Other errors count as malformed answers.
fn platform_error<T>(result: Result<T, Report<NoteError>>) -> Result<T, Report<metadata::PlatformError>> {
    result.map_err(|e| match *e.current_context() {
        NoteError::Platform(kind) => e.change_context(kind),
        _ => e.change_context(metadata::PlatformError::Malformed),
    })
}
