//! Bodies of requests and responses, held once in memory.
//!
//! A body is copied from the buffer of its connection into segments whose sizes depend only on the position in the body.
//! Keeping the frames of the HTTP library instead would keep its buffers, in which a byte in a chunk of its own takes six,
//! and one list entry for each frame. The segments are shared by all sends of a request and are never joined.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use medlarstair_state::steering::memory::HolderKind;
use medlarstair_state::time::Timestamp;
use rapidhash::v3::{DEFAULT_RAPID_SECRETS, RapidStreamHasherV3};
use tokio::time::timeout;

use crate::clients::Client;
use crate::memory::{Holding, OutOfMemory};

/// Size of the first segment in bytes. Most bodies are smaller.
const MIN_SEGMENT_BYTES: usize = 4 << 10;

/// Maximum size of a segment in bytes.
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// A body was not received completely.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[display("body longer than allowed")]
    #[from(ignore)]
    TooLarge,
    /// The memory budget is exhausted.
    #[display("{_0}")]
    OutOfMemory(OutOfMemory),
    /// The memory is needed for others, and the body made the least progress.
    #[display("evicted")]
    #[from(ignore)]
    Evicted,
    /// No byte arrived for the allowed time.
    #[display("no progress")]
    #[from(ignore)]
    Stalled,
    /// The connection failed, or the bytes are not a valid body.
    #[display("{_0}")]
    Connection(hyper::Error),
}

/// Bytes of a body, in segments. Clones share them.
///
/// ```
/// use bytes::Bytes;
/// use medlarstair_gateway::body::Segments;
/// let body = Segments::from(Bytes::from_static(b"hello"));
/// assert_eq!(body.len(), 5);
/// assert!(Segments::default().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Segments {
    list: Arc<[Bytes]>,
    len: usize,
}

impl Segments {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Hash of the bytes. It does not depend on the segments.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use medlarstair_gateway::body::Segments;
    /// use rapidhash::v3::rapidhash_v3;
    /// assert_eq!(Segments::from(Bytes::from_static(b"hello")).hash(), rapidhash_v3(b"hello"));
    /// ```
    pub fn hash(&self) -> u64 {
        let mut hasher = RapidStreamHasherV3::new(&DEFAULT_RAPID_SECRETS);
        for segment in &*self.list {
            hasher.write(segment);
        }
        hasher.finish()
    }
}

impl From<Bytes> for Segments {
    fn from(bytes: Bytes) -> Self {
        let len = bytes.len();
        Self { list: if len == 0 { Arc::default() } else { Arc::new([bytes]) }, len }
    }
}

/// Collects a body into segments.
#[derive(Debug)]
struct SegmentBuffer {
    full: Vec<Bytes>,
    current: BytesMut,
    len: usize,
    /// Length of the body, whose memory has been reserved. `None` if it is not known.
    declared: Option<usize>,
}

impl SegmentBuffer {
    fn new(declared: Option<usize>) -> Self {
        Self { full: Vec::new(), current: BytesMut::new(), len: 0, declared }
    }

    /// Appends a copy of `data`. Reserves memory for each new segment unless the length of the body is known.
    async fn push(&mut self, mut data: &[u8], holding: &Holding) -> Result<(), OutOfMemory> {
        while !data.is_empty() {
            if self.current.len() == self.current.capacity() {
                self.start_segment(holding).await?;
            }
            let n = data.len().min(self.current.capacity() - self.current.len());
            self.current.extend_from_slice(&data[..n]);
            self.len += n;
            data = &data[n..];
        }
        Ok(())
    }

    async fn start_segment(&mut self, holding: &Holding) -> Result<(), OutOfMemory> {
        // The size doubles with the length, so that a body never takes more than twice its bytes.
        let size = self.len.clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        let size = match self.declared {
            Some(declared) => size.min(declared - self.len),
            None => {
                holding.grow(size as u64).await?;
                size
            }
        };
        let full = std::mem::replace(&mut self.current, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.full.push(full.freeze());
        }
        Ok(())
    }

    fn finish(mut self) -> Segments {
        if !self.current.is_empty() {
            self.full.push(self.current.freeze());
        }
        Segments { list: self.full.into(), len: self.len }
    }
}

/// Receives a body of at most `max` bytes. The memory of a body whose length is known is reserved before it is read.
///
/// # Errors
///
/// [`BodyError`]; the connection cannot be used afterwards. `Stalled` if no byte arrives for `stall_timeout`.
pub async fn read(
    mut body: Incoming,
    max: usize,
    stall_timeout: Duration,
    holding: &Holding,
) -> Result<Segments, BodyError> {
    let declared = body.size_hint().exact().map(|len| usize::try_from(len).unwrap_or(usize::MAX));
    if let Some(len) = declared {
        if len > max {
            return Err(BodyError::TooLarge);
        }
        holding.grow(len as u64).await?;
    }
    let mut buffer = SegmentBuffer::new(declared);
    loop {
        let frame = tokio::select! {
            biased;
            () = holding.evicted() => return Err(BodyError::Evicted),
            frame = timeout(stall_timeout, body.frame()) => frame.map_err(|_| BodyError::Stalled)?,
        };
        let Some(frame) = frame else { return Ok(buffer.finish()) };
        // Trailers are not forwarded.
        let Ok(data) = frame?.into_data() else { continue };
        if data.len() > max - buffer.len {
            return Err(BodyError::TooLarge);
        }
        holding.record_progress();
        buffer.push(&data, holding).await?;
    }
}

/// Body of a request to a backend server.
#[derive(Debug, Default)]
pub struct RequestBody {
    segments: Segments,
    next: usize,
    left: u64,
}

impl From<Segments> for RequestBody {
    fn from(segments: Segments) -> Self {
        let left = segments.len() as u64;
        Self { segments, next: 0, left }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.list.get(self.next).cloned();
        Poll::Ready(segment.map(|segment| {
            self.next += 1;
            self.left -= segment.len() as u64;
            Ok(Frame::data(segment))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// Body of a response to a client. Its memory is released when it has been delivered.
#[derive(Debug, Default)]
pub struct ResponseBody {
    body: RequestBody,
    holding: Option<Holding>,
    client: Option<Rc<Client>>,
    /// Deadline of the request, if its client gave one.
    deadline: Option<Timestamp>,
}

impl ResponseBody {
    /// Creates a body whose memory is reserved by `holding`.
    pub fn new(segments: Segments, holding: Option<Holding>) -> Self {
        Self { body: segments.into(), holding, client: None, deadline: None }
    }

    /// Sets the deadline of the request, until which the client may take its time to read.
    pub fn set_deadline(&mut self, deadline: Timestamp) {
        self.deadline = Some(deadline);
    }

    /// Begins the delivery to a client. If the memory is needed for others, its connection is closed.
    pub fn deliver_to(&mut self, client: &Rc<Client>) {
        client.record_delivery(self.deadline);
        if let Some(holding) = &self.holding {
            holding.set_kind(HolderKind::Delivery);
            holding.notify_on_eviction(client.cut_signal());
        }
        self.client = Some(Rc::clone(client));
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::new(bytes.into(), None)
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // A body that was not taken is dropped with its connection.
        if let Some(client) = self.client.as_ref().filter(|_| self.body.is_end_stream()) {
            client.record_taken();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(holding) = &self.holding {
            holding.record_progress();
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
