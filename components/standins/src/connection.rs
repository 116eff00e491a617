use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Number of a connection; connections are numbered in the order in which they are accepted.
pub(crate) type ConnectionNumber = u64;

/// Numbers the connections of a stand-in and records which of them are silent.
#[derive(Debug, Default)]
pub(crate) struct ConnectionRegistry {
    /// Number of the next connection.
    next_number: AtomicU64,
    /// Connections with a lower number are silent until they close.
    silent_below: AtomicU64,
}

impl ConnectionRegistry {
    /// Makes every connection that is open now silent.
    pub(crate) fn silence(&self) {
        let next_number = self.next_number.load(Ordering::SeqCst);
        self.silent_below.store(next_number, Ordering::SeqCst);
    }

    /// Returns the number of connections accepted since the start.
    pub(crate) fn opened_count(&self) -> u64 {
        self.next_number.load(Ordering::SeqCst)
    }

    pub(crate) fn is_silent(&self, number: ConnectionNumber) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }

    pub(crate) fn register(self: &Arc<Self>, stream: TcpStream) -> Connection {
        Connection {
            number: self.next_number.fetch_add(1, Ordering::SeqCst),
            stream,
            registry: self.clone(),
        }
    }
}

/// A connection that can become silent: the socket stays open, reads never complete, and written bytes are
/// discarded.
pub(crate) struct Connection {
    /// Number of the connection.
    pub(crate) number: ConnectionNumber,
    /// The socket.
    stream: TcpStream,
    /// Records whether the connection is silent.
    registry: Arc<ConnectionRegistry>,
}

impl Connection {
    fn is_silent(&self) -> bool {
        self.registry.is_silent(self.number)
    }
}

impl AsyncRead for Connection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
