use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Interval in which a part of a body has to arrive.
const STALL_INTERVAL: Duration = Duration::from_millis(450);
/// Bytes that have to arrive in an interval, so that an answer of single bytes comes to an end.
const MIN_INTERVAL_BYTES: usize = 4 << 10;
/// Number of intervals in a row without them after which a body has stalled. A late retransmission can empty one.
const STALLED_INTERVALS: usize = 2;

/// Value before the head of an answer has arrived.
const NO_HEAD: usize = usize::MAX;

/// How much of an answer has arrived, for whoever waits for it. The time that a whole answer takes grows with its size, so
/// it is bounded by its progress.
///
/// ```
/// let progress = http_io::AnswerProgress::default();
/// assert_eq!(progress.received(), None);
/// ```
#[derive(Debug)]
pub struct AnswerProgress(AtomicUsize);

impl Default for AnswerProgress {
    fn default() -> Self {
        Self(AtomicUsize::new(NO_HEAD))
    }
}

impl AnswerProgress {
    /// Returns the number of bytes of the body that have arrived; `None` before the head has.
    pub fn received(&self) -> Option<usize> {
        let received = self.0.load(Ordering::Relaxed);
        (received != NO_HEAD).then_some(received)
    }

    /// Resolves once the body makes no progress any more. Called after the head.
    ///
    /// ```
    /// let progress = http_io::AnswerProgress::default();
    /// smol::block_on(progress.stalled());
    /// ```
    pub async fn stalled(&self) {
        let mut seen = 0;
        let mut empty = 0;
        while empty < STALLED_INTERVALS {
            smol::Timer::after(STALL_INTERVAL).await;
            let received = self.received().unwrap_or(0);
            let is_empty = received < seen + MIN_INTERVAL_BYTES;
            empty = if is_empty { empty + 1 } else { 0 };
            seen = received;
        }
    }

    /// Forgets an earlier answer.
    pub fn reset(&self) {
        self.0.store(NO_HEAD, Ordering::Relaxed);
    }

    /// Records the head.
    pub(crate) fn begin(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Records bytes of the body.
    pub(crate) fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A body whose bytes are recorded as they are read.
pub(crate) struct Counted<'a, B> {
    body: B,
    progress: &'a AnswerProgress,
}

impl<'a, B> Counted<'a, B> {
    /// Records the head of the answer, whose body follows.
    pub(crate) fn new(body: B, progress: &'a AnswerProgress) -> Self {
        progress.begin();
        Self { body, progress }
    }
}

impl<B> Body for Counted<'_, B>
where
    B: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            this.progress.add(frame.data_ref().map_or(0, Bytes::len));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
