use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures_lite::FutureExt;
use http_io::{Body, Executor, HttpError, MemoryAccount, MemoryHolder};
use hyper::client::conn::http1::{self, SendRequest};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};
use utils::Monotonic;

/// Time limit for opening a connection: a round trip between regions, and the handshake with a busy target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without an acknowledgement of sent bytes after which the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle time before the first keep-alive probe, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Largest buffers of a connection, in bytes; also the largest head of an answer.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// Number of a caller's request at this host.
pub(crate) type CallNumber = u64;

/// An open connection to a target; dropping it closes the socket.
pub(crate) struct Connection {
    /// Sends requests.
    pub sender: SendRequest<Body>,
    /// Address that it was opened to.
    pub address: SocketAddr,
    /// Time until which it may be used while it is idle, by the last answer; `None` before the first one.
    pub usable_until: Option<Monotonic>,
    /// The last call that was sent on it.
    last_call: Option<CallNumber>,
    /// Reads and writes the socket.
    _driver: smol::Task<()>,
    /// Memory of its buffers.
    _memory: MemoryHolder,
}

impl Connection {
    /// Records a call that is sent now; returns whether it is the first.
    pub(crate) fn record_call(&mut self, call: CallNumber) -> bool {
        self.last_call.replace(call).is_none()
    }

    /// Whether this call was sent last, so that late copies of its answer look like the answer to another send of
    /// it.
    pub(crate) fn has_last_sent(&self, call: CallNumber) -> bool {
        self.last_call == Some(call)
    }
}

/// Opens a connection that detects the failure of its peer by itself. An error of [`HttpError::NoMemory`] says nothing
/// about the peer.
pub(crate) async fn connect(
    ex: &Executor,
    memory: &Arc<MemoryAccount>,
    address: SocketAddr,
) -> Result<Connection, Report<HttpError>> {
    let memory = memory.open_outgoing().change_context(HttpError::NoMemory)?;
    let open = async {
        let stream = TcpStream::connect(address)
            .await
            .change_context(HttpError::Connect)?;
        configure_socket(&stream).change_context(HttpError::Connect)?;
        http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .change_context(HttpError::Connect)
    };
    let timeout = async {
        smol::Timer::after(CONNECT_TIMEOUT).await;
        Err(Report::new(HttpError::Connect))
    };
    let (sender, conn) = open.or(timeout).await?;
    let driver = ex.spawn(async move {
        // Errors reach the exchange through its sender or body.
        let _ = conn.await;
    });
    Ok(Connection {
        sender,
        address,
        usable_until: None,
        last_call: None,
        _driver: driver,
        _memory: memory,
    })
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
