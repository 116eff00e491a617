use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

use error_stack::{Report, ResultExt};
use errors::events;
use http_io::{
    Body, Executor, Handler, HandlerFuture, HttpError, MemoryAccount, Server, Shutdown, empty_body,
    full_body, shutdown_channel,
};
use hyper::{Response, StatusCode};
use slog::{Logger, info};
use utils::{Clock, Monotonic, SystemClock};

use crate::control::Control;
use crate::ports::{Decode, EngineControl, Heads, KeptStores, OriginStore, RecordStore};
use crate::traffic::{Traffic, crash_channels, serve};
use crate::{DrainSchedule, GatewayError, HostSettings};

/// Share of the shutdown grace in which the balancer notices that the host is not ready and all requests are
/// still accepted. After it, only requests that can finish before the process ends are accepted.
const ACCEPT_SHARE: f64 = 0.33;
/// Part of the shutdown grace reserved for ending the process.
const EXIT_RESERVE: Duration = Duration::from_millis(250);
/// Part of the shutdown grace reserved for the last answers and for closing connections.
const CLOSE_RESERVE: Duration = Duration::from_millis(250);
/// Path of the metrics, served on the listener for readiness checks.
const METRICS_PATH: &str = "/metrics";
/// Interval between checks for open requests during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Implementations of the ports, provided by a platform.
pub struct PlatformPorts {
    /// The store, built on the executor of the control thread.
    pub store: Arc<dyn RecordStore>,
    /// Records of stream origins in the same store.
    pub origins: Arc<dyn OriginStore>,
    /// Engines, built on the same executor.
    pub engines: Arc<dyn EngineControl>,
    /// Stores of kept cache, built on the same executor.
    pub stores: Arc<dyn KeptStores>,
    /// Decodes rows.
    pub decode: Arc<dyn Decode>,
    /// Reads and writes the heads of requests and answers.
    pub heads: Arc<dyn Heads>,
    /// Account of the answers that the store, the engines and the stores of kept cache send.
    pub memory: Arc<MemoryAccount>,
}

/// A running entry host on a platform, with one thread for control state and one for traffic.
pub struct Daemon {
    /// State of the traffic thread.
    traffic: Arc<Traffic>,
    /// Dropped to close callers' keep-alive connections after their open requests.
    stop_keep_alive: async_channel::Sender<()>,
    /// Dropped to answer all requests whose answers have not begun.
    give_last_answers: async_channel::Sender<()>,
    /// Dropped to stop the traffic thread once open requests are finished.
    stop_traffic: async_channel::Sender<()>,
    /// Dropped to stop the traffic thread without finishing open requests.
    abort_traffic: async_channel::Sender<()>,
    /// Dropped to stop the control thread.
    stop_control: async_channel::Sender<()>,
    /// The traffic thread.
    traffic_thread: JoinHandle<()>,
    /// The control thread.
    control_thread: JoinHandle<()>,
}

impl Daemon {
    /// Starts the threads of an entry host. `ports` builds the platform's ports on the control thread's
    /// executor.
    ///
    /// # Errors
    /// [`GatewayError::Listen`] if an address can not be listened on; no thread runs then.
    pub fn start(
        settings: HostSettings,
        ports: impl FnOnce(&Executor) -> PlatformPorts,
        log: Logger,
    ) -> Result<Self, Report<GatewayError>> {
        let callers = bind(settings.callers)?;
        let readiness = bind(settings.readiness)?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let incarnation = since_epoch(clock.wall()).as_nanos() as u64;
        let control_ex: Executor = Arc::new(smol::Executor::new());
        let traffic_ex: Executor = Arc::new(smol::Executor::new());
        let ports = ports(&control_ex);
        let (crash_tx, crash_rx) = crash_channels();
        let heads = ports.heads.clone();
        let (give_last_answers, last_answers) = shutdown_channel();
        let traffic = Traffic::new(settings, clock, heads, traffic_ex, log, crash_tx, last_answers);
        let traffic = Arc::new(traffic);
        let control = Control::new(traffic.clone(), ports, incarnation, control_ex.clone());
        let (stop_keep_alive, keep_alive_stopped) = shutdown_channel();
        let (stop_traffic, traffic_stopped) = shutdown_channel();
        let (stop_control, control_stopped) = shutdown_channel();
        let control = Arc::new(control);
        let (abort_traffic, traffic_aborted) = shutdown_channel();
        let control_thread = spawn("control", move || {
            smol::block_on(control_ex.run(control.run(crash_rx, control_stopped)));
        })?;
        let traffic_thread = spawn("traffic", {
            let traffic = traffic.clone();
            let signals = ShutdownSignals {
                stop_keep_alive: keep_alive_stopped,
                stop: traffic_stopped,
                abort: traffic_aborted,
            };
            move || run_traffic(traffic, callers, readiness, signals)
        })?;
        info!(traffic.log, "accepting connections"; events::HOST_STARTED,
            "host" => &*traffic.settings.name, "callers" => %traffic.settings.callers);
        Ok(Self {
            traffic,
            stop_keep_alive,
            give_last_answers,
            stop_traffic,
            abort_traffic,
            stop_control,
            traffic_thread,
            control_thread,
        })
    }

    /// Drains the host and joins its threads. Reports not ready and serves all requests until the balancer
    /// has noticed, then accepts only requests that can finish in time. Ends as soon as no request is open,
    /// at the latest with the shutdown grace. Requests whose answers have not begun by then get a final answer.
    ///
    /// # Errors
    /// [`GatewayError::Panicked`] if a thread panicked.
    pub fn drain(self) -> Result<(), Report<GatewayError>> {
        let traffic = &self.traffic;
        let log = traffic.log.clone();
        info!(log, "draining"; events::DRAIN_STARTED, "open" => traffic.in_flight.load(Ordering::Acquire));
        let grace = traffic.settings.bounds.shutdown_grace;
        let started = traffic.now();
        let ends_at = started + grace.saturating_sub(EXIT_RESERVE);
        let limited_from = started + grace.mul_f64(ACCEPT_SHARE);
        let answers_end = ends_at.saturating_sub(CLOSE_RESERVE);
        traffic.begin_drain(DrainSchedule {
            limited_from,
            answers_end,
            ends_at,
        });
        std::thread::sleep(limited_from.saturating_sub(traffic.now()));
        drop(self.stop_keep_alive);
        wait_until_idle(traffic, answers_end);
        info!(log, "ending"; events::DRAIN_ENDING, "open" => traffic.in_flight.load(Ordering::Acquire));
        drop(self.give_last_answers);
        drop(self.stop_traffic);
        while !self.traffic_thread.is_finished() && traffic.now() < ends_at {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        drop(self.abort_traffic);
        self.traffic_thread.join().map_err(|_| GatewayError::Panicked)?;
        drop(self.stop_control);
        self.control_thread.join().map_err(|_| GatewayError::Panicked)?;
        info!(log, "stopped"; events::HOST_STOPPED);
        Ok(())
    }
}

/// Waits until no request is open, at most until `end`.
fn wait_until_idle(traffic: &Traffic, end: Monotonic) {
    while traffic.now() < end && traffic.in_flight.load(Ordering::Acquire) > 0 {
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}

/// Shutdown signals of the traffic thread. Each resolves when its sender is dropped.
struct ShutdownSignals {
    /// Closes keep-alive connections. New connections are still accepted, since a balancer without another
    /// host keeps sending them.
    stop_keep_alive: Shutdown,
    /// Stops accepting connections; open requests are finished.
    stop: Shutdown,
    /// Aborts open requests.
    abort: Shutdown,
}

fn run_traffic(
    traffic: Arc<Traffic>,
    callers: TcpListener,
    readiness: TcpListener,
    signals: ShutdownSignals,
) {
    let log = traffic.log.clone();
    if let Err(e) = serve_callers(traffic, callers, readiness, signals) {
        slog::error!(log, "can not listen for callers"; events::CONNECTION_FAILED, "error" => %e);
    }
}

fn serve_callers(
    traffic: Arc<Traffic>,
    callers: TcpListener,
    readiness: TcpListener,
    signals: ShutdownSignals,
) -> Result<(), Report<HttpError>> {
    let ex = traffic.ex.clone();
    let cfg = traffic.resources.for_callers();
    let late_callers = callers.try_clone().change_context(HttpError::Listen)?;
    let callers = Server::from_std(callers, cfg)?;
    let readiness = Server::from_std(readiness, traffic.resources.for_readiness())?;
    let answer = handler(traffic.clone(), |cx, req| Box::pin(serve(cx, req)));
    let ready = handler(traffic.clone(), |cx, req| {
        Box::pin(async move { readiness_of(&cx, req.uri().path()) })
    });
    let ShutdownSignals {
        stop_keep_alive,
        stop,
        abort,
    } = signals;
    let run = async {
        let readiness = ex.spawn(readiness.run(ex.clone(), ready, stop.clone()));
        let keep_alive =
            callers.run_or_abort(ex.clone(), answer.clone(), stop_keep_alive.clone(), abort.clone());
        let keep_alive = ex.spawn(keep_alive);
        let _ = stop_keep_alive.recv().await;
        // The connections of the first listener stay open as long as their requests.
        let open = traffic.in_flight.load(Ordering::Acquire);
        let late_callers = Server::from_std(late_callers, traffic.resources.for_late_callers(open));
        let late_callers = match late_callers {
            Ok(server) => {
                server.run_or_abort(ex.clone(), answer, stop, abort).await;
                Ok(())
            }
            Err(e) => Err(e),
        };
        keep_alive.await;
        readiness.await;
        late_callers
    };
    smol::block_on(ex.run(run))
}

fn handler(
    traffic: Arc<Traffic>,
    answer: impl Fn(Arc<Traffic>, hyper::Request<hyper::body::Incoming>) -> HandlerFuture + Send + Sync + 'static,
) -> Handler {
    Arc::new(move |req| answer(traffic.clone(), req))
}

fn readiness_of(traffic: &Traffic, path: &str) -> Response<Body> {
    if path == METRICS_PATH {
        return Response::new(full_body(traffic.telemetry.text()));
    }
    let mut res = Response::new(empty_body());
    *res.status_mut() = match path == traffic.heads.readiness_path() {
        false => StatusCode::NOT_FOUND,
        true if traffic.is_ready() => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
    };
    res
}

fn since_epoch(wall: SystemTime) -> Duration {
    wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, Report<GatewayError>> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .change_context(GatewayError::Thread)
}

fn bind(addr: SocketAddr) -> Result<TcpListener, Report<GatewayError>> {
    TcpListener::bind(addr).change_context(GatewayError::Listen(addr))
}
