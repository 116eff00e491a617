use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use policy::HolderPhase;

use crate::account::{Charge, MemoryHolder};

/// Part of a head that is charged with its connection, in bytes.
const FREE_HEAD_BYTES: usize = 8 << 10;
/// Most bytes that are charged for a head: the largest limit on heads.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Bytes charged per further byte of a head: the buffer grows ahead of it, and the parsed head is copied.
const HEAD_FACTOR: usize = 2;

/// Most bytes of an unread body that are discarded before its connection closes.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Longest time for which an unread body is discarded before its connection closes.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Size of the reads that discard a body, in bytes.
const DISCARD_READ_BYTES: usize = 4 << 10;

/// The end of a connection after an answer to a request whose body was not read. Closing a socket with unread bytes
/// resets it, and the caller could lose the answer, so some of the body is read and discarded first.
struct Discard {
    /// Bytes that may still be read.
    left: usize,
    /// Ends the reading.
    timeout: smol::Timer,
}

/// The socket of a connection. Charges heads as they arrive and records progress.
pub(crate) struct Metered<S> {
    inner: S,
    holder: MemoryHolder,
    /// Bytes of the current head.
    head_bytes: usize,
    /// Charge of the current head.
    charge: Charge,
    /// Set once the writing half is closed.
    discard: Option<Discard>,
}

impl<S> Metered<S> {
    pub(crate) fn new(inner: S, holder: MemoryHolder) -> Self {
        Self {
            inner,
            charge: holder.charge(),
            holder,
            head_bytes: 0,
            discard: None,
        }
    }

    /// Records received bytes. Fails if there is no room for a head.
    fn record_received(&mut self, count: usize) -> Result<()> {
        match self.holder.phase() {
            // Where a head begins is not known until it is whole: the limit on idle connections holds for it. The rest of
            // the body is not buffered.
            HolderPhase::Idle if self.holder.has_unread_body() => {}
            HolderPhase::Idle => {
                self.holder.set_phase(HolderPhase::Head);
                self.head_bytes = 0;
            }
            HolderPhase::Head => {}
            _ => return Ok(()),
        }
        self.head_bytes = self.head_bytes.saturating_add(count).min(MAX_HEAD_BYTES);
        let bytes = self.head_bytes.saturating_sub(FREE_HEAD_BYTES);
        let charged = self.charge.resize(bytes.saturating_mul(HEAD_FACTOR));
        charged.map_err(|_| Error::from(ErrorKind::OutOfMemory))
    }

    fn record_written(&self, written: &Poll<Result<usize>>) {
        match written {
            Poll::Ready(_) => {
                self.holder.set_blocked(false);
                self.holder.record_progress();
            }
            Poll::Pending => self.holder.set_blocked(true),
        }
    }
}

impl<S: AsyncRead + Unpin> Metered<S> {
    /// Reads and discards an unread body until its end, the limit of bytes or the time-out.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(discard) = self.discard.as_mut().filter(|_| self.holder.has_unread_body()) else {
            return Poll::Ready(());
        };
        let mut buf = [0; DISCARD_READ_BYTES];
        while discard.left > 0 && Pin::new(&mut discard.timeout).poll(cx).is_pending() {
            match ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf)) {
                Ok(0) | Err(_) => break,
                Ok(count) => discard.left = discard.left.saturating_sub(count),
            }
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = polled
            && count > 0
        {
            self.record_received(count)?;
        }
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record_written(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record_written(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.discard.is_none() {
            ready!(Pin::new(&mut self.inner).poll_close(cx))?;
            self.discard = Some(Discard {
                left: MAX_DISCARDED_BYTES,
                timeout: smol::Timer::after(DISCARD_TIMEOUT),
            });
        }
        self.poll_discard(cx).map(Ok)
    }
}
