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

/// Maximum size of a query or an answer on a stream, in bytes.
pub const MAX_STREAM_BYTES: usize = 1 << 20;
/// Maximum time to open a connection and exchange names.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for a query and its answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to send the close frames of all connections on shutdown.
const CLOSE_FLUSH_TIME: Duration = Duration::from_millis(100);
/// Capacity of the queue of received messages for the control loop; further messages are dropped.
const INBOUND_CAPACITY: usize = 1_024;

/// Executor that runs the transport's tasks.
pub type Executor = Arc<smol::Executor<'static>>;

/// A message received from another host.
#[derive(Debug)]
pub enum InboundMessage {
    /// A heartbeat.
    Heartbeat {
        /// Name of the sender, verified against its certificate.
        from: HostId,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A query on a stream.
    Query {
        /// Name of the sender, verified against its certificate.
        from: HostId,
        /// Content of the query.
        body: Vec<u8>,
        /// Channel that takes the answer.
        answer: async_channel::Sender<Vec<u8>>,
    },
}

/// Options to start a transport.
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
/// Each connection that this host opens has its own socket. A replacement connection thus has a new source
/// port, and a network device on the path that has lost the state of the old connection treats it as a new
/// flow.
#[derive(Clone)]
pub struct Transport {
    /// State shared with the tasks.
    inner: Arc<Inner>,
}

struct Inner {
    /// Name of this host.
    host: HostId,
    /// Keys.
    tls: PeerTls,
    /// Endpoint that accepts connections.
    endpoint: Endpoint,
    /// Local address of the endpoint.
    addr: SocketAddr,
    /// Runs and tracks all tasks.
    runtime: Arc<JoinedRuntime>,
    /// Connection state by host.
    links: Mutex<Links>,
    /// Queue of received messages.
    inbound: async_channel::Sender<InboundMessage>,
    /// Resolves when `stopper` is closed, which ends the tasks.
    stop: async_channel::Receiver<()>,
    /// Sending half of `stop`.
    stopper: async_channel::Sender<()>,
}

impl Transport {
    /// Binds the listen address and returns the transport with the queue of received messages.
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
        let (inbound, messages) = async_channel::bounded(INBOUND_CAPACITY);
        let (stopper, stop) = async_channel::bounded(1);
        let inner = Arc::new(Inner {
            host: options.host,
            tls: options.tls,
            endpoint,
            addr,
            runtime: runtime.clone(),
            links: Mutex::default(),
            inbound,
            stop,
            stopper,
        });
        runtime.run(accept(inner.clone()));
        Ok((Self { inner }, messages))
    }

    /// Returns the address that accepts connections.
    pub fn local_addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Sends a heartbeat, which may be lost. Without an open connection it stores the heartbeat and opens a
    /// connection to `addr`, if there is an address.
    pub fn send(&self, to: &HostId, addr: Option<SocketAddr>, heartbeat: &Heartbeat) {
        let Ok(bytes) = heartbeat.encode() else {
            return;
        };
        let datagram = Bytes::from(bytes);
        let connection = self.inner.links().open_connection(to);
        if let Some(connection) = connection {
            // A datagram that can not be sent counts as lost; the sender detects it by the missing echo.
            let _ = connection.send_datagram(datagram);
            return;
        }
        self.inner.links().set_pending(to, datagram);
        if let Some(addr) = addr {
            self.dial(to, addr);
        }
    }

    /// Opens a new connection to a host that no longer answers. The old connection is closed once the new one
    /// is open.
    pub fn reconnect(&self, to: &HostId, addr: SocketAddr) {
        self.dial(to, addr);
    }

    /// Sends a query to a host on a stream and returns the answer.
    ///
    /// # Errors
    /// [`PeerError::NotConnected`] without an open connection, [`PeerError::ConnectionLost`] if the
    /// connection fails, [`PeerError::TimedOut`] if the answer does not arrive in time.
    pub async fn query(&self, to: &HostId, body: &[u8]) -> Result<Vec<u8>, Report<PeerError>> {
        let connection = self.inner.links().open_connection(to);
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
        exchange.or(timeout(QUERY_TIMEOUT)).await
    }

    /// Closes all connections and ends all tasks.
    pub async fn shutdown(self) {
        self.inner.links().closed = true;
        self.inner.stopper.close();
        self.inner.endpoint.close(0_u32.into(), b"shutdown");
        self.inner.inbound.close();
        smol::Timer::after(CLOSE_FLUSH_TIME).await;
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
        inner.runtime.run(handle_incoming(inner.clone(), incoming));
    }
}

async fn handle_incoming(inner: Arc<Inner>, incoming: Incoming) {
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
    let pending = inner.links().accepted(&from, connection.clone());
    send_pending(&connection, pending);
    read_messages(inner, connection, from).await;
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
    let (old, pending) = inner.links().dialed(&to, connection.clone(), Instant::now());
    if let Some(old) = old {
        old.close(0_u32.into(), b"replaced");
    }
    send_pending(&connection, pending);
    read_messages(inner, connection, to).await;
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

fn send_pending(connection: &Connection, pending: Option<Bytes>) {
    if let Some(datagram) = pending {
        let _ = connection.send_datagram(datagram);
    }
}

/// Reads datagrams and streams until the connection ends.
async fn read_messages(inner: Arc<Inner>, connection: Connection, from: HostId) {
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
                .inbound
                .try_send(InboundMessage::Heartbeat { from, heartbeat });
        }
    }
}

async fn read_streams(inner: &Inner, connection: &Connection, from: &HostId) {
    while let Ok((tx, rx)) = connection.accept_bi().await {
        // Queries are answered one at a time, which limits the memory that a peer can occupy.
        let _ = answer_query(inner, from, tx, rx).or(timeout(QUERY_TIMEOUT)).await;
    }
}

async fn answer_query(
    inner: &Inner,
    from: &HostId,
    mut tx: SendStream,
    mut rx: RecvStream,
) -> Result<(), Report<PeerError>> {
    let body = rx
        .read_to_end(MAX_STREAM_BYTES)
        .await
        .change_context(PeerError::ConnectionLost)?;
    let (answer, answer_rx) = async_channel::bounded(1);
    let query = InboundMessage::Query {
        from: from.clone(),
        body,
        answer,
    };
    inner
        .inbound
        .try_send(query)
        .map_err(|_| PeerError::ConnectionLost)?;
    let answer = answer_rx.recv().await.change_context(PeerError::ConnectionLost)?;
    tx.write_all(&answer)
        .await
        .change_context(PeerError::ConnectionLost)?;
    tx.finish().change_context(PeerError::ConnectionLost)
}
