use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

use config::Settings;
use error_stack::{Report, ResultExt};
use errors::events;
use http_io::{Executor, Shutdown, load_acceptor, shutdown_channel};
use ledger::LedgerWriter;
use policy::CacheAware;
use slog::{Logger, info, o};
use utils::{Clock, Incarnation, SystemClock};

use crate::EntryError;
use crate::cache::CacheCell;
use crate::claims::{self, LiveHosts};
use crate::control;
use crate::gate::NoteGate;
use crate::metrics::Metrics;
use crate::observe::Observer;
use crate::outcomes::Outcomes;
use crate::quarantine::{Suspects, TableCommand};
use crate::resume::TokenSigner;
use crate::retries::Retries;
use crate::shared::Shared;
use crate::traffic;
use crate::view::ViewCell;

/// Addresses that a running host listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other entry hosts, if the settings name keys.
    pub peers: Option<SocketAddr>,
}

/// A running entry host: one control thread and several traffic threads.
pub struct Daemon {
    /// State of all threads.
    shared: Arc<Shared>,
    /// Where the host listens.
    addresses: Addresses,
    /// Dropped to end the traffic threads.
    stop_traffic: async_channel::Sender<()>,
    /// Dropped to end the traffic threads without finishing open work.
    abort_traffic: async_channel::Sender<()>,
    /// Dropped to end the control thread.
    stop_control: async_channel::Sender<()>,
    /// The traffic threads.
    traffic: Vec<JoinHandle<()>>,
    /// The control thread.
    control: JoinHandle<()>,
}

impl Daemon {
    /// Starts the threads of an entry host.
    ///
    /// # Errors
    /// [`EntryError::Listen`] for an address that is taken; nothing runs then.
    pub fn start(settings: Settings, log: Logger) -> Result<Self, Report<EntryError>> {
        let callers = bind(settings.listen.callers)?;
        let operators = bind(settings.listen.operators)?;
        let (observer, observations) = Observer::new();
        let (outcomes, records) = Outcomes::new();
        let ex: Executor = Arc::new(smol::Executor::new());
        let (shared, writer, commands) = build_shared(settings, log, observer, outcomes, &ex)?;
        let shared = Arc::new(shared);
        let peers = control::open_peers(&shared, ex.clone()).change_context(EntryError::Peers)?;
        let addresses = Addresses {
            callers: local(&callers)?,
            operators: local(&operators)?,
            peers: peers.as_ref().map(|(transport, _)| transport.local_addr()),
        };
        let (stop_control, control_stopped) = shutdown_channel();
        let (stop_traffic, traffic_stopped) = shutdown_channel();
        let (abort_traffic, traffic_aborted) = shutdown_channel();
        let control = spawn("control", {
            let shared = shared.clone();
            let inputs = control::Sources {
                observations,
                records,
                writer,
                news: commands,
                peers,
            };
            move || control::run(shared, operators, inputs, control_stopped, ex)
        })?;
        let traffic = spawn_traffic(&shared, &callers, &traffic_stopped, &traffic_aborted)?;
        info!(shared.log, "accepting connections"; events::HOST_STARTED,
            "callers" => %addresses.callers, "operators" => %addresses.operators);
        Ok(Self {
            shared,
            addresses,
            stop_traffic,
            abort_traffic,
            stop_control,
            traffic,
            control,
        })
    }

    /// Where the host listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Reports not ready, waits until the balancer has noticed, finishes all open work and joins the threads.
    ///
    /// # Errors
    /// [`EntryError::Panicked`] if a thread did not end by itself.
    pub fn drain(self) -> Result<(), Report<EntryError>> {
        self.shared.draining.store(true, Ordering::Release);
        info!(self.shared.log, "draining"; events::DRAIN_STARTED,
            "open_streams" => self.shared.open_streams.load(Ordering::Acquire));
        std::thread::sleep(Duration::from_millis(
            self.shared.settings.timeouts.drain_notice_ms,
        ));
        let log = self.shared.log.clone();
        self.join()?;
        info!(log, "stopped"; events::HOST_STOPPED);
        Ok(())
    }

    /// Closes every connection as it is and joins the threads, as if the process had been killed. For trials.
    ///
    /// # Errors
    /// [`EntryError::Panicked`] if a thread did not end by itself.
    pub fn abort(self) -> Result<(), Report<EntryError>> {
        self.abort_traffic.close();
        self.join()
    }

    fn join(self) -> Result<(), Report<EntryError>> {
        drop(self.stop_traffic);
        for thread in self.traffic {
            thread.join().map_err(|_| EntryError::Panicked)?;
        }
        drop(self.stop_control);
        self.control.join().map_err(|_| EntryError::Panicked)?;
        Ok(())
    }
}

fn build_shared(
    settings: Settings,
    log: Logger,
    observer: Observer,
    outcomes: Outcomes,
    ex: &Executor,
) -> Result<(Shared, LedgerWriter, async_channel::Receiver<TableCommand>), Report<EntryError>> {
    let cache: Arc<CacheCell> = Arc::default();
    let log = log.new(o!("host" => settings.host.id.to_string()));
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let incarnation = incarnation(&*clock);
    let live_hosts = LiveHosts::default();
    let (writer, ledger) = claims::build(
        &settings,
        incarnation,
        &clock,
        live_hosts.clone(),
        ex,
        log.clone(),
    )?;
    let (suspects, commands) = Suspects::new(&settings, incarnation);
    let shared = Shared {
        incarnation,
        clock,
        ledger,
        suspects,
        limiter: Arc::default(),
        retries: Retries::default(),
        live_hosts,
        log,
        metrics: Metrics::new()?,
        view: ViewCell::default(),
        gate: NoteGate::default(),
        placer: Arc::new(CacheAware::new(cache.clone())),
        cache,
        token_signer: TokenSigner::new(settings.secrets.resume),
        observer,
        outcomes,
        draining: AtomicBool::new(false),
        open_streams: AtomicUsize::new(0),
        settings,
    };
    Ok((shared, writer, commands))
}

/// The run of this process: grows with each start of the same host.
fn incarnation(clock: &dyn Clock) -> Incarnation {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |since| since.as_nanos() as u64)
}

fn spawn_traffic(
    shared: &Arc<Shared>,
    callers: &TcpListener,
    stop: &Shutdown,
    abort: &Shutdown,
) -> Result<Vec<JoinHandle<()>>, Report<EntryError>> {
    let mut threads = Vec::new();
    let tls = shared
        .settings
        .tls
        .as_ref()
        .map(|tls| load_acceptor(&tls.certificate, &tls.key));
    let tls = tls.transpose().change_context(EntryError::Keys)?;
    for i in 0..shared.settings.threads.traffic {
        let listener = callers.try_clone().change_context(EntryError::Thread)?;
        let (shared, stop, abort, tls) = (shared.clone(), stop.clone(), abort.clone(), tls.clone());
        threads.push(spawn(&format!("traffic-{i}"), move || {
            traffic::run(shared, listener, tls, stop, abort)
        })?);
    }
    Ok(threads)
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, Report<EntryError>> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .change_context(EntryError::Thread)
}

fn bind(addr: SocketAddr) -> Result<TcpListener, Report<EntryError>> {
    TcpListener::bind(addr).change_context(EntryError::Listen(addr))
}

fn local(listener: &TcpListener) -> Result<SocketAddr, Report<EntryError>> {
    listener.local_addr().change_context(EntryError::Thread)
}
