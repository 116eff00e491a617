use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_lite::{AsyncRead, AsyncWrite};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;

use crate::account::{MemoryHolder, Shortage};
use crate::{Body, Executor, HttpError};

/// Largest buffers of a connection, in bytes; also the largest head of an answer.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Most bytes that may arrive from a request to the head of its answer. Heads of interim answers are not kept and have no
/// bound of their own; the first bytes of the body can arrive with the head.
const MAX_BYTES_TO_HEAD: usize = 8 * MAX_BUFFER_BYTES;
/// Most bytes that the kernel takes before it can send them. More would count as written although the peer gets no more.
const MAX_UNSENT_BYTES: u32 = 16 << 10;
/// Reads in succession after which the connection lets other tasks of its thread run.
const MAX_READS_IN_A_ROW: u32 = 16;
/// Stands for no bound, while no head is awaited.
const UNBOUNDED: usize = usize::MAX;

/// A connection that this process has opened. Dropping it closes the socket. What arrives from the peer is bounded up to
/// the head of an answer; the reader of the body bounds the rest.
pub struct OutgoingConnection {
    /// Sends requests.
    sender: SendRequest<Body>,
    /// Bytes that may still arrive before the head of the awaited answer.
    head_allowance: Arc<AtomicUsize>,
    /// How far the last request has been written.
    progress: Arc<WriteProgress>,
    /// What answers are charged to.
    memory: MemoryHolder,
    /// Reads and writes the socket.
    _driver: smol::Task<()>,
}

impl OutgoingConnection {
    /// Begins HTTP/1.1 on an open socket. The connection runs on `ex`; `memory` is what its answers are charged to.
    ///
    /// # Errors
    /// [`HttpError::Connect`] if the socket or the handshake fails.
    pub async fn start(
        ex: &Executor,
        stream: TcpStream,
        memory: MemoryHolder,
    ) -> std::result::Result<Self, Report<HttpError>> {
        SockRef::from(&stream)
            .set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
            .change_context(HttpError::Connect)?;
        let head_allowance = Arc::new(AtomicUsize::new(UNBOUNDED));
        let progress = Arc::new(WriteProgress::default());
        let socket = AnswerSocket {
            inner: stream,
            head_allowance: head_allowance.clone(),
            progress: progress.clone(),
            memory: memory.clone(),
            reads: 0,
        };
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(FuturesIo::new(socket))
            .await
            .change_context(HttpError::Connect)?;
        let driver = ex.spawn(async move {
            // Errors reach the exchange through its sender or body.
            let _ = conn.await;
        });
        Ok(Self {
            sender,
            head_allowance,
            progress,
            memory,
            _driver: driver,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// The error holds the request if no byte of it was sent.
    pub async fn send(
        &mut self,
        req: Request<Body>,
    ) -> std::result::Result<Response<Incoming>, TrySendError<Request<Body>>> {
        self.head_allowance.store(MAX_BYTES_TO_HEAD, Ordering::Relaxed);
        let req = req.map(|body| OutgoingBody::new(body, &self.progress).boxed_unsync());
        let answer = self.sender.try_send_request(req).await;
        self.head_allowance.store(UNBOUNDED, Ordering::Relaxed);
        answer.inspect_err(|e| {
            if e.error().is_parse_too_large() {
                self.memory.record(Shortage::AnswerTooLarge);
            }
        })
    }

    /// Whether the last request has been written to its end. Unless it has, an answer that only the end of the connection
    /// ends may be broken off.
    pub fn has_written_request(&self) -> bool {
        self.progress.is_body_taken.load(Ordering::Relaxed)
            && !self.progress.is_blocked.load(Ordering::Relaxed)
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the holder that answers are charged to.
    pub fn memory(&self) -> &MemoryHolder {
        &self.memory
    }
}

/// How far a request has been written.
#[derive(Debug, Default)]
struct WriteProgress {
    /// Whether the connection has taken the body to its end.
    is_body_taken: AtomicBool,
    /// Whether the socket has not accepted the last bytes that it was given.
    is_blocked: AtomicBool,
}

impl WriteProgress {
    fn record_write(&self, polled: &Poll<Result<usize>>) {
        self.is_blocked
            .store(!matches!(polled, Poll::Ready(Ok(_))), Ordering::Relaxed);
    }
}

/// The body of a request, which records when it has been taken to its end.
struct OutgoingBody {
    inner: Body,
    progress: Arc<WriteProgress>,
}

impl OutgoingBody {
    fn new(inner: Body, progress: &Arc<WriteProgress>) -> Self {
        progress
            .is_body_taken
            .store(inner.is_end_stream(), Ordering::Relaxed);
        Self {
            inner,
            progress: progress.clone(),
        }
    }
}

impl hyper::body::Body for OutgoingBody {
    type Data = Bytes;
    type Error = HttpError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, HttpError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if frame.is_none() || self.inner.is_end_stream() {
            self.progress.is_body_taken.store(true, Ordering::Relaxed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// The socket of a connection that this process has opened. It ends when too much arrives in place of a head, and a peer
/// that always has bytes ready does not keep the thread to itself.
struct AnswerSocket {
    inner: TcpStream,
    /// As in [`OutgoingConnection`].
    head_allowance: Arc<AtomicUsize>,
    progress: Arc<WriteProgress>,
    memory: MemoryHolder,
    /// Reads since the socket last had no bytes.
    reads: u32,
}

impl AnswerSocket {
    /// Records received bytes. Fails if they are too many for the head of an answer.
    fn record_received(&self, count: usize) -> Result<()> {
        let allowance = self.head_allowance.load(Ordering::Relaxed);
        if allowance == UNBOUNDED {
            return Ok(());
        }
        let Some(left) = allowance.checked_sub(count) else {
            self.memory.record(Shortage::AnswerTooLarge);
            return Err(Error::from(ErrorKind::InvalidData));
        };
        self.head_allowance.store(left, Ordering::Relaxed);
        Ok(())
    }
}

impl AsyncRead for AnswerSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<Result<usize>> {
        if self.reads >= MAX_READS_IN_A_ROW {
            self.reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.reads += 1;
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if polled.is_pending() {
            self.reads = 0;
        }
        let count = ready!(polled)?;
        self.record_received(count)?;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for AnswerSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.progress.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.progress.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
