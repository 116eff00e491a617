use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};

use crate::account::{Charge, MemoryHolder, Shortage};
use crate::{Body, HttpError};

/// Size of the blocks that a body is collected in. Blocks of one size leave no gaps in the heap when bodies of
/// different sizes come and go, and stay below the size from which the allocator maps memory for each block.
const BLOCK_BYTES: usize = 16 << 10;
/// First size of a block whose body has no announced length.
const FIRST_BLOCK_BYTES: usize = 512;
/// Size from which a body is checked for room before any of it is read.
const LARGE_BODY_BYTES: u64 = 128 << 10;

/// A whole body in memory, charged to a connection until it is dropped.
pub struct HeldBody {
    blocks: VecDeque<Bytes>,
    /// Number of bytes in the blocks.
    len: usize,
    charge: Charge,
    /// Whether each part is memory of its own.
    releases_parts: bool,
}

impl HeldBody {
    /// Returns a body without bytes.
    pub fn empty(holder: &MemoryHolder) -> Self {
        Self {
            blocks: VecDeque::new(),
            len: 0,
            charge: holder.charge(),
            releases_parts: false,
        }
    }

    /// Charges bytes that are already in memory to a connection, in parts that are written one by one.
    ///
    /// # Errors
    /// [`HttpError::NoMemory`] if the budget is used up.
    pub fn from_bytes(bytes: impl Into<Bytes>, holder: &MemoryHolder) -> Result<Self, Report<HttpError>> {
        let mut bytes: Bytes = bytes.into();
        let len = bytes.len();
        let mut charge = holder.charge();
        charge.grow(len).change_context(HttpError::NoMemory)?;
        let mut blocks = VecDeque::new();
        while !bytes.is_empty() {
            blocks.push_back(bytes.split_to(bytes.len().min(BLOCK_BYTES)));
        }
        Ok(Self {
            blocks,
            len,
            charge,
            releases_parts: false,
        })
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the parts of the body in their order.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.blocks.iter().map(Bytes::as_ref)
    }

    /// Joins the parts; the charge stays with them.
    ///
    /// # Errors
    /// [`HttpError::NoMemory`] if a body of several parts can not be copied within the budget.
    pub fn join(mut self) -> Result<(Bytes, Charge), Report<HttpError>> {
        if self.blocks.len() <= 1 {
            return Ok((self.blocks.pop_front().unwrap_or_default(), self.charge));
        }
        self.charge.grow(self.len).change_context(HttpError::NoMemory)?;
        let mut joined = Vec::with_capacity(self.len);
        while let Some(block) = self.blocks.pop_front() {
            joined.extend_from_slice(&block);
        }
        // The charge only shrinks here.
        let _ = self.charge.resize(self.len);
        Ok((joined.into(), self.charge))
    }

    /// Returns a body that releases each part once it is taken for writing.
    pub fn into_body(self) -> Body {
        BodyExt::boxed_unsync(self)
    }

    /// Returns a body that leaves the parts in place for another send.
    pub fn shared_body(self: &Arc<Self>) -> Body {
        let body = SharedParts {
            held: self.clone(),
            next: 0,
            left: self.len,
        };
        BodyExt::boxed_unsync(body)
    }
}

impl hyper::body::Body for HeldBody {
    type Data = Bytes;
    type Error = HttpError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, HttpError>>> {
        let this = self.get_mut();
        let block = this.blocks.pop_front();
        let frame = block.map(|block| {
            this.len -= block.len();
            if this.releases_parts {
                this.charge.shrink(BLOCK_BYTES);
            }
            Ok(Frame::data(block))
        });
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.blocks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}

/// A body whose parts stay held for another send.
struct SharedParts {
    held: Arc<HeldBody>,
    /// Index of the next part.
    next: usize,
    /// Number of bytes from there.
    left: usize,
}

impl hyper::body::Body for SharedParts {
    type Data = Bytes;
    type Error = HttpError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, HttpError>>> {
        let this = self.get_mut();
        let block = this.held.blocks.get(this.next).cloned();
        let frame = block.map(|block| {
            this.next += 1;
            this.left -= block.len();
            Ok(Frame::data(block))
        });
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.next >= self.held.blocks.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// Collects a body in blocks that are charged as they fill.
struct Collector {
    full: VecDeque<Bytes>,
    /// The block that is being filled; its capacity is charged.
    block: Vec<u8>,
    len: usize,
    charge: Charge,
    /// Announced number of bytes that have not arrived; 0 if unknown.
    announced: usize,
}

impl Collector {
    fn push(&mut self, mut bytes: &[u8]) -> Result<(), Report<HttpError>> {
        self.len += bytes.len();
        while !bytes.is_empty() {
            if self.block.len() == self.block.capacity() {
                self.add_room(bytes.len()).change_context(HttpError::NoMemory)?;
            }
            let room = self.block.capacity() - self.block.len();
            let (now, rest) = bytes.split_at(room.min(bytes.len()));
            self.block.extend_from_slice(now);
            self.announced = self.announced.saturating_sub(now.len());
            bytes = rest;
        }
        Ok(())
    }

    /// Doubles the current block, or starts the next one if it has its full size.
    fn add_room(&mut self, needed: usize) -> Result<(), crate::OutOfMemory> {
        let held = self.block.capacity();
        if held >= BLOCK_BYTES {
            self.full.push_back(std::mem::take(&mut self.block).into());
            return self.start_block(needed);
        }
        if held == 0 {
            return self.start_block(needed);
        }
        let size = (held * 2).max(held + needed).min(BLOCK_BYTES);
        self.charge.grow(size - held)?;
        self.block.reserve_exact(size - self.block.len());
        Ok(())
    }

    fn start_block(&mut self, needed: usize) -> Result<(), crate::OutOfMemory> {
        let is_sized = self.announced > 0 || self.full.is_empty();
        let size = match is_sized {
            true => self.announced.max(needed).clamp(FIRST_BLOCK_BYTES, BLOCK_BYTES),
            false => BLOCK_BYTES,
        };
        self.charge.grow(size)?;
        self.block = Vec::with_capacity(size);
        Ok(())
    }

    fn finish(mut self) -> HeldBody {
        if !self.block.is_empty() {
            self.full.push_back(self.block.into());
        }
        HeldBody {
            blocks: self.full,
            len: self.len,
            charge: self.charge,
            releases_parts: true,
        }
    }
}

/// Reads a whole body of at most `limit` bytes and charges it to a connection as it arrives. A body that is announced
/// over the limit, or for which there is no room, is not read.
///
/// # Errors
/// [`HttpError::TooLarge`] if the body exceeds the limit, [`HttpError::NoMemory`] if the budget is used up or the
/// body was evicted, [`HttpError::Interrupted`] if the body ends early.
pub async fn read_held<B>(
    mut body: B,
    limit: usize,
    holder: &MemoryHolder,
) -> Result<HeldBody, Report<HttpError>>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().lower();
    if announced > limit as u64 {
        return Err(Report::new(HttpError::TooLarge { limit }));
    }
    if announced > LARGE_BODY_BYTES {
        let room = holder.check_room(announced as usize);
        room.change_context(HttpError::NoMemory)?;
    }
    let mut collector = Collector {
        full: VecDeque::new(),
        block: Vec::new(),
        len: 0,
        charge: holder.charge(),
        announced: announced as usize,
    };
    while let Some(frame) = next_frame(&mut body, holder).await? {
        let Ok(bytes) = frame.into_data() else { continue };
        holder.record_progress();
        if bytes.len() > limit - collector.len {
            return Err(Report::new(HttpError::TooLarge { limit }));
        }
        collector.push(&bytes)?;
    }
    Ok(collector.finish())
}

/// Reads the whole body of an answer as [`read_held`] does, and counts one that is too large. A body that is not read to
/// its end has to be dropped with its connection.
///
/// # Errors
/// As [`read_held`].
pub async fn read_answer<B>(
    body: B,
    limit: usize,
    holder: &MemoryHolder,
) -> Result<HeldBody, Report<HttpError>>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let read = read_held(body, limit, holder).await;
    read.inspect_err(|e| {
        if matches!(e.current_context(), HttpError::TooLarge { .. }) {
            holder.record(Shortage::AnswerTooLarge);
        }
    })
}

/// Reads the body of a request as [`read_held`] does. From its end on the request is not evicted.
///
/// # Errors
/// As [`read_held`].
pub async fn read_request<B>(
    body: B,
    limit: usize,
    holder: &MemoryHolder,
) -> Result<HeldBody, Report<HttpError>>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let held = read_held(body, limit, holder).await?;
    holder.record_complete();
    Ok(held)
}

async fn next_frame<B>(body: &mut B, holder: &MemoryHolder) -> Result<Option<Frame<Bytes>>, Report<HttpError>>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    // An eviction wakes the connection's task, which polls this.
    let frame = std::future::poll_fn(|cx| match holder.is_evicted() {
        true => Poll::Ready(Err(HttpError::NoMemory)),
        false => Pin::new(&mut *body)
            .poll_frame(cx)
            .map(|frame| frame.transpose().map_err(|_| HttpError::Interrupted)),
    });
    frame.await.map_err(Report::new)
}
