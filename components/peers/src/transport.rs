use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use membership::Heartbeat;
use quinn::{Connection, Endpoint, EndpointConfig, Incoming, RecvStream, SendStream};
use utils::HostId;

use crate::link::Links;
use crate::name::{receive_name, send_name};
use crate::runtime::JoinedRuntime;
use crate::{PeerError, PeerTls};

/// Largest question or answer on a stream, in bytes.
pub const MAX_STREAM_BYTES: usize = 1 << 20;
/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the answer to a question.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which the other ends are told that the connections close.
const CLOSE_FLUSH: Duration = Duration::from_millis(100);
/// Arrivals that wait for the control loop; later ones are dropped.
const ARRIVALS: usize = 1_024;

/// Runs the transport's tasks.
pub type Executor = Arc<smol::Executor<'static>>;

/// What came from another host.
#[derive(Debug)]
pub enum InboundMessage {
    /// A heartbeat.
    Heartbeat {
        /// The sender, by its certificate.
        from: HostId,
        /// Its content.
        heartbeat: Heartbeat,
    },
    /// A question on a stream.
    Query {
        /// The sender, by its certificate.
        from: HostId,
        /// The question.
        body: Vec<u8>,
        /// Takes the answer.
        answer: async_channel::Sender<Vec<u8>>,
    },
}

/// How to start a transport.
pub struct TransportOptions {
    /// Name of this host, as in its certificate.
    pub host: HostId,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Keys.
    pub tls: PeerTls,
}

/// Connections to other entry hosts.
///
/// Each connection that this host opens has its own socket: a replacement takes another path
/// through whatever lost track of the old one.
#[derive(Clone)]
pub struct Transport {
    /// Shared with the tasks.
    inner: Arc<Inner>,
}

struct Inner {
    /// Name of this host.
    host: HostId,
    /// Keys.
    tls: PeerTls,
    /// Takes connections.
    endpoint: Endpoint,
    /// Address that takes connections.
    addr: SocketAddr,
    /// Runs and keeps all tasks.
    runtime: Arc<JoinedRuntime>,
    /// Connections by host.
    links: Mutex<Links>,
    /// Takes what arrives.
    arrived: async_channel::Sender<InboundMessage>,
    /// Ends all tasks when it is closed.
    stop: async_channel::Receiver<()>,
    /// Closes `stop`.
    stopper: async_channel::Sender<()>,
}

impl Transport {
    /// Listens, and returns what arrives.
    ///
    /// # Errors
    /// [`PeerError::Bind`] if the address can not be used.
    pub fn bind(
        options: TransportOptions,
        ex: Executor,
    ) -> Result<(Self, async_channel::Receiver<InboundMessage>), Report<PeerError>> {
        let runtime = JoinedRuntime::new(ex);
        let socket = std::net::UdpSocket::bind(options.listen).change_context(PeerError::Bind)?;
        let server = Some(options.tls.server.clone());
        let endpoint = Endpoint::new(EndpointConfig::default(), server, socket, runtime.clone())
            .change_context(PeerError::Bind)?;
        let addr = endpoint.local_addr().change_context(PeerError::Bind)?;
        let (arrived, arrivals) = async_channel::bounded(ARRIVALS);
        let (stopper, stop) = async_channel::bounded(1);
        let inner = Arc::new(Inner {
            host: options.host,
            tls: options.tls,
            endpoint,
            addr,
            runtime: runtime.clone(),
            links: Mutex::default(),
            arrived,
            stop,
            stopper,
        });
        runtime.run(accept(inner.clone()));
        Ok((Self { inner }, arrivals))
    }

    /// The address that takes connections.
    pub fn local_addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Sends a heartbeat; opens a connection to `addr` first if there is none. Heartbeats may be lost.
    pub fn send(&self, to: &HostId, addr: Option<SocketAddr>, heartbeat: &Heartbeat) {
        let Ok(bytes) = heartbeat.encode() else {
            return;
        };
        let datagram = Bytes::from(bytes);
        let connection = self.inner.links().open(to);
        if let Some(connection) = connection {
            // A datagram that can not be sent counts as lost; the echo will be missing.
            let _ = connection.send_datagram(datagram);
            return;
        }
        self.inner.links().keep(to, datagram);
        if let Some(addr) = addr {
            self.dial(to, addr);
        }
    }

    /// Opens a new connection to a host that went silent; the old one is closed when the new one stands.
    pub fn reconnect(&self, to: &HostId, addr: SocketAddr) {
        self.dial(to, addr);
    }

    /// Asks a host a question on a stream.
    ///
    /// # Errors
    /// [`PeerError`] if there is no connection, or no answer in time.
    pub async fn query(&self, to: &HostId, body: &[u8]) -> Result<Vec<u8>, Report<PeerError>> {
        let connection = self.inner.links().open(to);
        let connection = connection.ok_or(PeerError::NotConnected)?;
        let exchange = async {
            let (mut tx, mut rx) = connection
                .open_bi()
                .await
                .change_context(PeerError::ConnectionLost)?;
            tx.write_all(body)
                .await
                .change_context(PeerError::ConnectionLost)?;
            tx.finish().change_context(PeerError::ConnectionLost)?;
            rx.read_to_end(MAX_STREAM_BYTES)
                .await
                .change_context(PeerError::ConnectionLost)
        };
        exchange.or(timeout(ASK_TIMEOUT)).await
    }

    /// Closes all connections and ends all tasks.
    pub async fn shutdown(self) {
        self.inner.links().closed = true;
        self.inner.stopper.close();
        self.inner.endpoint.close(0_u32.into(), b"shutdown");
        self.inner.arrived.close();
        smol::Timer::after(CLOSE_FLUSH).await;
        self.inner.runtime.join().await;
    }

    fn dial(&self, to: &HostId, addr: SocketAddr) {
        if !self.inner.links().start_dial(to, Instant::now()) {
            return;
        }
        let inner = self.inner.clone();
        let to = to.clone();
        self.inner.runtime.run(async move {
            let stop = inner.stop.clone();
            let stopped = async {
                let _ = stop.recv().await;
            };
            dial(inner, to, addr).or(stopped).await;
        });
    }
}

impl Inner {
    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn timeout<T>(wait: Duration) -> Result<T, Report<PeerError>> {
    smol::Timer::after(wait).await;
    Err(Report::new(PeerError::TimedOut))
}

async fn accept(inner: Arc<Inner>) {
    while let Some(incoming) = inner.endpoint.accept().await {
        inner.runtime.run(take_incoming(inner.clone(), incoming));
    }
}

async fn take_incoming(inner: Arc<Inner>, incoming: Incoming) {
    let handshake = async {
        let connection = incoming.await.change_context(PeerError::NotConnected)?;
        match receive_name(&connection).await {
            Ok(from) => Ok((connection, from)),
            Err(e) => {
                connection.close(1_u32.into(), b"name");
                Err(e)
            }
        }
    };
    let Ok((connection, from)) = handshake.or(timeout(CONNECT_TIMEOUT)).await else {
        return;
    };
    let waiting = inner.links().accepted(&from, connection.clone());
    send_waiting(&connection, waiting);
    read(inner, connection, from).await;
}

async fn dial(inner: Arc<Inner>, to: HostId, addr: SocketAddr) {
    let opened = connect(&inner, &to, addr).or(timeout(CONNECT_TIMEOUT)).await;
    let (endpoint, connection) = match opened {
        Ok(opened) => opened,
        Err(_) => {
            inner.links().dial_failed(&to, Instant::now());
            return;
        }
    };
    let (old, waiting) = inner.links().dialed(&to, connection.clone(), Instant::now());
    if let Some(old) = old {
        old.close(0_u32.into(), b"replaced");
    }
    send_waiting(&connection, waiting);
    read(inner, connection, to).await;
    endpoint.close(0_u32.into(), b"");
}

async fn connect(
    inner: &Inner,
    to: &HostId,
    addr: SocketAddr,
) -> Result<(Endpoint, Connection), Report<PeerError>> {
    let local = SocketAddr::new(inner.addr.ip(), 0);
    let socket = std::net::UdpSocket::bind(local).change_context(PeerError::Bind)?;
    let endpoint = Endpoint::new(EndpointConfig::default(), None, socket, inner.runtime.clone())
        .change_context(PeerError::Bind)?;
    let connecting = endpoint
        .connect_with(inner.tls.client.clone(), addr, to)
        .change_context(PeerError::NotConnected)?;
    let connection = connecting.await.change_context(PeerError::NotConnected)?;
    send_name(&connection, &inner.host).await?;
    Ok((endpoint, connection))
}

fn send_waiting(connection: &Connection, waiting: Option<Bytes>) {
    if let Some(datagram) = waiting {
        let _ = connection.send_datagram(datagram);
    }
}

/// Reads datagrams and streams until the connection ends.
async fn read(inner: Arc<Inner>, connection: Connection, from: HostId) {
    let stop = inner.stop.clone();
    let stopped = async {
        let _ = stop.recv().await;
    };
    read_datagrams(&inner, &connection, &from)
        .or(read_streams(&inner, &connection, &from))
        .or(stopped)
        .await;
    connection.close(0_u32.into(), b"");
}

async fn read_datagrams(inner: &Inner, connection: &Connection, from: &HostId) {
    while let Ok(datagram) = connection.read_datagram().await {
        if let Ok(heartbeat) = Heartbeat::decode(&datagram) {
            let from = from.clone();
            let _ = inner
                .arrived
                .try_send(InboundMessage::Heartbeat { from, heartbeat });
        }
    }
}

async fn read_streams(inner: &Inner, connection: &Connection, from: &HostId) {
    while let Ok((tx, rx)) = connection.accept_bi().await {
        // One question after the other: a peer can not make this host hold many.
        let _ = answer(inner, from, tx, rx).or(timeout(ASK_TIMEOUT)).await;
    }
}

async fn answer(
    inner: &Inner,
    from: &HostId,
    mut tx: SendStream,
    mut rx: RecvStream,
) -> Result<(), Report<PeerError>> {
    let body = rx
        .read_to_end(MAX_STREAM_BYTES)
        .await
        .change_context(PeerError::ConnectionLost)?;
    let (answer, answered) = async_channel::bounded(1);
    let question = InboundMessage::Query {
        from: from.clone(),
        body,
        answer,
    };
    inner
        .arrived
        .try_send(question)
        .map_err(|_| PeerError::ConnectionLost)?;
    let answer = answered.recv().await.change_context(PeerError::ConnectionLost)?;
    tx.write_all(&answer)
        .await
        .change_context(PeerError::ConnectionLost)?;
    tx.finish().change_context(PeerError::ConnectionLost)
}
