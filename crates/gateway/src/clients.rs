//! Open client connections, and the streams that record their progress.
//!
//! [`ClientTable`] decides which connections are accepted and closed; this module delivers its decisions to the tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use medlarstair_state::steering::clients::{
    Admission, ClientTable, ConnectionId, ConnectionPhase, ConnectionProgress, Linger,
};
use medlarstair_state::time::Timestamp;
use medlarstair_transport::clock::BootClock;
use medlarstair_transport::http1::finish_writes;
use medlarstair_transport::shared_stream::{poll_read, poll_write};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep};

/// Buffer size in bytes for discarded data.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Why a connection is closed at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CutCause {
    /// The memory of its response is needed for others.
    #[default]
    Memory,
    /// There are too many connections, and this one made the least progress.
    ConnectionLimit,
    /// The client does not read its response.
    SlowDelivery,
}

impl CutCause {
    /// Name of the limit for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "delivery-memory",
            Self::ConnectionLimit => "connection-limit",
            Self::SlowDelivery => "delivery-stalled",
        }
    }
}

/// Signals to the task of a connection.
#[derive(Debug, Default)]
struct Signals {
    /// Notified when the connection must be closed at once.
    cut: Rc<Notify>,
    cause: Cell<CutCause>,
    /// Whether the client has closed its side.
    is_half_closed: Cell<bool>,
    /// Whether the client did not close its side in time.
    linger_expired: Cell<bool>,
    /// Whether the HTTP library has taken the whole response, and holds what has not been written.
    is_flushing: Cell<bool>,
}

/// Open client connections of a daemon.
#[derive(Debug)]
pub struct Clients {
    table: RefCell<ClientTable>,
    signals: RefCell<BTreeMap<ConnectionId, Rc<Signals>>>,
    clock: BootClock,
}

impl Clients {
    /// Creates a table for at most `limit` connections.
    pub fn new(limit: usize, clock: BootClock) -> Rc<Self> {
        let table = RefCell::new(ClientTable::new(limit));
        Rc::new(Self { table, signals: RefCell::default(), clock })
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.table.borrow().len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Registers a new connection, for which another one may be closed. Returns `None` if it must be refused.
    pub fn admit(self: &Rc<Self>) -> Option<Client> {
        let admission = self.table.borrow_mut().admit(self.clock.now());
        let (id, victim) = match admission {
            Admission::Accepted(id) => (id, None),
            Admission::Replaced(id, victim) => (id, Some(victim)),
            Admission::Refused => return None,
        };
        if let Some(victim) = victim {
            self.cut(victim, CutCause::ConnectionLimit);
        }
        let signals = Rc::new(Signals::default());
        self.signals.borrow_mut().insert(id, Rc::clone(&signals));
        Some(Client { clients: Rc::clone(self), id, signals })
    }

    /// Closes the connections whose clients do not read their responses.
    pub fn cut_stalled(&self) {
        let stalled = self.table.borrow_mut().take_stalled(self.clock.now());
        for id in stalled {
            self.cut(id, CutCause::SlowDelivery);
        }
    }

    /// Records that a complete request has been received on a connection.
    pub fn record_request(&self, id: ConnectionId) {
        if let Some(signals) = self.signals.borrow().get(&id) {
            // The response before it may be written while this request runs, which protects the connection as well.
            signals.is_flushing.set(false);
        }
        self.set_phase(id, ConnectionPhase::Running);
    }

    fn set_phase(&self, id: ConnectionId, phase: ConnectionPhase) {
        self.table.borrow_mut().set_phase(self.clock.now(), id, phase);
    }

    fn cut(&self, id: ConnectionId, cause: CutCause) {
        if let Some(signals) = self.signals.borrow().get(&id) {
            signals.cause.set(cause);
            signals.cut.notify_one();
        }
    }
}

/// An open client connection. It counts as closed when this is dropped.
#[derive(Debug)]
pub struct Client {
    clients: Rc<Clients>,
    id: ConnectionId,
    signals: Rc<Signals>,
}

impl Client {
    /// Identity of the connection.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Completes when the connection must be closed at once.
    pub async fn cut(&self) -> CutCause {
        self.signals.cut.notified().await;
        self.signals.cause.get()
    }

    /// Notified when the connection must be closed at once.
    pub fn cut_signal(&self) -> Rc<Notify> {
        Rc::clone(&self.signals.cut)
    }

    /// What the connection has done so far.
    pub fn progress(&self) -> Option<ConnectionProgress> {
        self.clients.table.borrow().progress(self.clients.clock.now(), self.id)
    }

    /// Whether a request runs on the connection.
    pub fn is_running(&self) -> bool {
        self.progress().is_some_and(|progress| progress.phase == ConnectionPhase::Running)
    }

    /// Records that the client has closed its side. It may still read.
    pub fn record_closed_side(&self) {
        self.signals.is_half_closed.set(true);
    }

    /// Whether the client has closed its side.
    pub fn has_closed_its_side(&self) -> bool {
        self.signals.is_half_closed.get()
    }

    /// Whether the connection was read for as long as it may be, and the client did not close its side.
    pub fn is_linger_expired(&self) -> bool {
        self.signals.linger_expired.get()
    }

    /// Records that the delivery of a response begins, to a request with the given deadline.
    pub fn record_delivery(&self, deadline: Option<Timestamp>) {
        self.clients.set_phase(self.id, ConnectionPhase::Delivering);
        if let Some(deadline) = deadline {
            self.clients.table.borrow_mut().protect_until(self.clients.clock.now(), self.id, deadline);
        }
    }

    /// Records that the HTTP library has taken the whole response.
    pub fn record_taken(&self) {
        self.signals.is_flushing.set(true);
    }

    /// Records that everything that the HTTP library has taken is written.
    fn record_flushed(&self) {
        if self.signals.is_flushing.take() {
            self.clients.set_phase(self.id, ConnectionPhase::Receiving);
        }
    }

    /// Records that no more data follows. Returns how the connection must still be read.
    fn begin_closing(&self) -> Linger {
        self.clients.table.borrow_mut().begin_closing(self.clients.clock.now(), self.id)
    }

    fn record_written(&self, bytes: usize) {
        self.clients.table.borrow_mut().record_written(self.clients.clock.now(), self.id, bytes);
    }

    fn record_read(&self, bytes: usize) {
        self.clients.table.borrow_mut().record_read(self.clients.clock.now(), self.id, bytes);
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.clients.signals.borrow_mut().remove(&self.id);
        self.clients.table.borrow_mut().remove(self.id);
    }
}

/// Progress of the reading that precedes the end of a connection.
#[derive(Debug)]
struct Discard {
    ends: Pin<Box<Sleep>>,
    left: usize,
}

/// The stream of a client connection, which records its progress. The connection's task also watches the stream for its end.
#[derive(Debug)]
pub struct ClientStream {
    stream: Rc<TcpStream>,
    client: Rc<Client>,
    discard: Option<Discard>,
}

impl ClientStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: Rc<TcpStream>, client: Rc<Client>) -> Self {
        Self { stream, client, discard: None }
    }

    /// Tells the client that no more data follows, unless it has been told.
    fn begin_closing(&mut self) -> io::Result<()> {
        if self.discard.is_none() {
            finish_writes(&self.stream)?;
            let Linger { time, bytes } = self.client.begin_closing();
            self.discard = Some(Discard { ends: Box::pin(sleep(time)), left: bytes });
        }
        Ok(())
    }

    /// Reads and discards data until the client closes the connection, or a limit is reached.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(discard) = &mut self.discard else { return Poll::Ready(Ok(())) };
        let mut scratch = [0; DISCARD_BUFFER_BYTES];
        while discard.left > 0 && discard.ends.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut scratch);
            ready!(poll_read(&self.stream, cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            discard.left = discard.left.saturating_sub(buf.filled().len());
        }
        self.client.signals.linger_expired.set(true);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(poll_read(&self.stream, cx, buf))?;
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.client.record_read(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let n = ready!(poll_write(&self.stream, cx, |stream| stream.try_write(data)))?;
        self.client.record_written(n);
        Poll::Ready(Ok(n))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let n = ready!(poll_write(&self.stream, cx, |stream| stream.try_write_vectored(data)))?;
        self.client.record_written(n);
        Poll::Ready(Ok(n))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket has no buffer in the process, and the HTTP library has emptied its own.
        self.client.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.begin_closing()?;
        self.poll_discard(cx)
    }
}
