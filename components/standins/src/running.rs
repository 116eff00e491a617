use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use http_io::{
    Executor, Handler, HandlerFuture, HttpError, Server, ServerConfig, Shutdown, serve_connection,
};
use hyper::Request;
use hyper::body::Incoming;
use smol::Task;
use smol::net::TcpStream;

use crate::connection::{ConnectionNumber, ConnectionRegistry};

/// Time that open requests have to finish when a stand-in stops; the rest are aborted.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Injects faults into the simulated process of a stand-in.
pub(crate) type FaultSender = async_channel::Sender<ProcessFault>;

/// A fault that affects all open connections of a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessFault {
    /// The process crashes and restarts: every connection closes and the state in memory is lost.
    Crash,
    /// Open connections become silent until they close; new connections work.
    Silence,
}

/// Request handling and crash behaviour of a kind of stand-in.
pub(crate) trait StandIn: Send + Sync + 'static {
    /// Handles a request.
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture;

    /// Drops the state that a process loses when it crashes.
    fn crash(&self);

    /// Runs work that is not part of a request, for as long as the stand-in runs.
    fn background(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }
}

/// Handle of a stand-in that is listening.
pub struct Running<T> {
    /// Address that it listens on.
    addr: SocketAddr,
    /// The stand-in.
    state: Arc<T>,
    /// Numbers its connections and records which of them are silent.
    registry: Arc<ConnectionRegistry>,
    /// Injects faults into the accept loop.
    fault_tx: FaultSender,
    /// Dropped to start the shutdown.
    stop: async_channel::Sender<()>,
    /// Task of the accept loop.
    task: Task<()>,
}

impl<T> Running<T> {
    /// Returns the address that the stand-in listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the stand-in, which gives access to its record and its fault switches.
    pub fn state(&self) -> &Arc<T> {
        &self.state
    }

    /// Returns the number of connections that the stand-in has accepted since its start.
    pub fn connections(&self) -> u64 {
        self.registry.opened_count()
    }

    /// Simulates a crash and restart of the process: every connection closes and the state in memory is lost.
    pub fn crash(&self) {
        let _ = self.fault_tx.try_send(ProcessFault::Crash);
    }

    /// Makes the open connections silent until they close: nothing more is read or answered on them. New
    /// connections work.
    pub fn silence(&self) {
        let _ = self.fault_tx.try_send(ProcessFault::Silence);
    }

    /// Closes the listener, then waits until all open requests have finished, or for 5 seconds.
    pub async fn stop(self) {
        drop(self.stop);
        self.task.await;
    }

    /// Closes the listener and every connection immediately, like a power failure of the host.
    pub async fn kill(self) {
        self.task.cancel().await;
    }

    /// Serves until `shutdown` resolves, then stops.
    pub async fn run_until(self, shutdown: impl Future<Output = ()>) {
        shutdown.await;
        self.stop().await;
    }
}

/// Returns the current time in microseconds since the Unix epoch. Records use it because it is comparable
/// between stand-ins.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// Creates the channel that carries injected faults to the accept loop.
pub(crate) fn fault_channel() -> (FaultSender, async_channel::Receiver<ProcessFault>) {
    async_channel::bounded(16)
}

pub(crate) fn start<T: StandIn>(
    ex: &Executor,
    addr: SocketAddr,
    state: Arc<T>,
    (fault_tx, fault_rx): (FaultSender, async_channel::Receiver<ProcessFault>),
) -> Result<Running<T>, Report<HttpError>> {
    let server = Server::bind(addr, ServerConfig::default())?;
    let addr = server.local_addr().change_context(HttpError::Listen)?;
    let (stop, shutdown) = http_io::shutdown_channel();
    let registry = Arc::<ConnectionRegistry>::default();
    let accept_loop = AcceptLoop {
        ex: ex.clone(),
        server,
        state: state.clone(),
        registry: registry.clone(),
        connections: Vec::new(),
        shutdown,
    };
    let work = state.clone().background();
    let task = ex.spawn(async move {
        let background = async {
            work.await;
            std::future::pending().await
        };
        accept_loop.run(fault_rx).or(background).await;
    });
    Ok(Running {
        addr,
        state,
        registry,
        fault_tx,
        stop,
        task,
    })
}

/// State of the accept loop of a stand-in.
struct AcceptLoop<T> {
    /// Runs the connection tasks.
    ex: Executor,
    /// Accepts connections.
    server: Server,
    /// Handles the requests.
    state: Arc<T>,
    /// Numbers the connections and makes them silent.
    registry: Arc<ConnectionRegistry>,
    /// Tasks of the open connections; dropping a task closes its socket.
    connections: Vec<(ConnectionNumber, Task<()>)>,
    /// Resolves when the stand-in stops.
    shutdown: Shutdown,
}

/// An event that the accept loop handles.
enum LoopEvent {
    Accepted(TcpStream),
    Fault(ProcessFault),
    Stopped,
}

impl<T: StandIn> AcceptLoop<T> {
    async fn run(mut self, fault_rx: async_channel::Receiver<ProcessFault>) {
        loop {
            match self.next_event(&fault_rx).await {
                LoopEvent::Accepted(stream) => self.serve(stream),
                LoopEvent::Fault(ProcessFault::Silence) => self.registry.silence(),
                LoopEvent::Fault(ProcessFault::Crash) => {
                    self.connections.clear();
                    self.state.crash();
                }
                LoopEvent::Stopped => break,
            }
        }
        self.join().await;
    }

    async fn next_event(&self, fault_rx: &async_channel::Receiver<ProcessFault>) -> LoopEvent {
        let fault = async {
            match fault_rx.recv().await {
                Ok(fault) => LoopEvent::Fault(fault),
                Err(_) => std::future::pending().await,
            }
        };
        let accepted = async {
            match self.server.accept(&self.shutdown).await {
                Some(stream) => LoopEvent::Accepted(stream),
                None => LoopEvent::Stopped,
            }
        };
        fault.or(accepted).await
    }

    fn serve(&mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let conn = self.registry.register(stream);
        let number = conn.number;
        let state = self.state.clone();
        let handler: Handler = Arc::new(move |req| state.clone().handle(req));
        let cfg = ServerConfig {
            max_head_bytes: 64 << 10,
            ..ServerConfig::default()
        };
        let serve = serve_connection(conn, cfg, handler, self.shutdown.clone());
        self.connections.retain(|(_, task)| !task.is_finished());
        self.connections.push((number, self.ex.spawn(serve)));
    }

    async fn join(self) {
        drop(self.server);
        let deadline = smol::Timer::after(STOP_TIMEOUT);
        let registry = self.registry;
        let finish = async {
            for (number, task) in self.connections {
                if registry.is_silent(number) {
                    task.cancel().await;
                } else {
                    task.await;
                }
            }
        };
        let timeout = async {
            deadline.await;
        };
        finish.or(timeout).await;
    }
}
