use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

use config::Settings;
use error_stack::{Report, ResultExt};
use errors::events;
use http_io::{Executor, MemoryAccount, Shutdown, load_acceptor, shutdown_channel};
use ledger::LedgerWriter;
use policy::{CacheAware, MemoryBudget};
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

/// The listen addresses of a running host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other entry hosts, if the settings have peer keys.
    pub peers: Option<SocketAddr>,
}

/// A running entry host with one control thread and several traffic threads.
pub struct Daemon {
    /// State shared by all threads.
    shared: Arc<Shared>,
    /// Listen addresses of the host.
    addresses: Addresses,
    /// Dropped to stop the traffic threads once their open requests have finished.
    stop_traffic: async_channel::Sender<()>,
    /// Closed to stop the traffic threads without finishing open requests.
    abort_traffic: async_channel::Sender<()>,
    /// Dropped to stop the control thread.
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
    /// Returns [`EntryError::Listen`] if an address is already in use; no thread has been started then.
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
                table_commands: commands,
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

    /// Returns the listen addresses of the host.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Reports not ready, waits until the load balancer has stopped sending requests, finishes all open
    /// requests and joins the threads.
    ///
    /// # Errors
    /// Returns [`EntryError::Panicked`] if a thread panicked.
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

    /// Closes all connections without finishing their requests and joins the threads. Tests use it to
    /// simulate a killed process.
    ///
    /// # Errors
    /// Returns [`EntryError::Panicked`] if a thread panicked.
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
    let memory = settings.limits.memory_mb.saturating_mul(1 << 20);
    let memory = MemoryAccount::new(MemoryBudget::for_machine(memory));
    let shared = Shared {
        incarnation,
        clock,
        ledger,
        suspects,
        limiter: Arc::default(),
        retries: Retries::default(),
        live_hosts,
        log,
        metrics: Metrics::new(&memory)?,
        memory,
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

/// Returns the incarnation of this process. It grows with each start of the host.
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
