//! Runtime threads for the stand-ins, and a timer with a finer resolution than that of tokio.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Maximum time that dropping a stand-in waits until its sockets are closed.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// A thread with a tokio runtime, which any number of stand-ins can share. It stops when the last of them and all other
/// references are dropped.
#[derive(Debug)]
pub struct Worker {
    runtime: Handle,
    timer: Timer,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the system does not allow another thread or runtime.
    pub fn start() -> io::Result<Arc<Self>> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = oneshot::channel();
        let handle = runtime.handle().clone();
        let thread = thread::Builder::new().name("standin".into()).spawn(move || {
            let _ = runtime.block_on(stopped);
        })?;
        let timer = Timer::start()?;
        Ok(Arc::new(Self { runtime: handle, timer, stop: Some(stop), thread: Some(thread) }))
    }

    pub(crate) fn timer(&self) -> Timer {
        self.timer.clone()
    }

    pub(crate) fn spawn(self: &Arc<Self>, f: impl Future<Output = ()> + Send + 'static) -> Task {
        let (guard, ended) = mpsc::channel::<()>();
        let abort = self
            .runtime
            .spawn(async move {
                let _guard = guard;
                f.await;
            })
            .abort_handle();
        Task { abort, ended: Mutex::new(ended), _worker: Arc::clone(self) }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        drop(self.stop.take());
        let Some(thread) = self.thread.take() else { return };
        if thread.thread().id() != thread::current().id() {
            let _ = thread.join();
        }
    }
}

/// A task on a worker. Dropping it aborts the task and waits until its sockets are closed.
#[derive(Debug)]
pub(crate) struct Task {
    abort: AbortHandle,
    /// Disconnected when the future of the task has been dropped.
    ended: Mutex<mpsc::Receiver<()>>,
    _worker: Arc<Worker>,
}

impl Drop for Task {
    fn drop(&mut self) {
        self.abort.abort();
        if let Ok(ended) = self.ended.lock() {
            let _ = ended.recv_timeout(STOP_TIMEOUT);
        }
    }
}

/// Timer that wakes tasks with an accuracy of about 0.1 ms. The timer of tokio has a resolution of 1 ms and rounds up,
/// which would double a link delay of 1 ms and lengthen each run.
#[derive(Debug, Clone)]
pub(crate) struct Timer(mpsc::Sender<(Instant, oneshot::Sender<()>)>);

impl Timer {
    /// Starts the timer thread, which ends when the last clone of the timer is dropped.
    fn start() -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        thread::Builder::new().name("standin-timer".into()).spawn(move || run_timer(&rx))?;
        Ok(Self(tx))
    }

    pub(crate) async fn sleep(&self, time: Duration) {
        self.sleep_until(Instant::now() + time).await;
    }

    pub(crate) async fn sleep_until(&self, at: Instant) {
        if at <= Instant::now() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        if self.0.send((at, wake)).is_ok() {
            let _ = woken.await;
        }
    }
}

/// Wakes the senders at their times. Returns when the channel is disconnected.
fn run_timer(requests: &mpsc::Receiver<(Instant, oneshot::Sender<()>)>) {
    // The count distinguishes requests for the same time.
    let mut pending: BTreeMap<(Instant, u64), oneshot::Sender<()>> = BTreeMap::new();
    let mut count = 0_u64;
    loop {
        let now = Instant::now();
        while let Some(first) = pending.first_entry()
            && first.key().0 <= now
        {
            // The send fails if the task was cancelled, which drops the receiver.
            let _ = first.remove().send(());
        }
        let request = match pending.first_key_value() {
            Some(((at, _), _)) => requests.recv_timeout(*at - now),
            None => requests.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match request {
            Ok((at, sender)) => {
                count += 1;
                pending.insert((at, count), sender);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Binds a listener and returns it with its address. Called before the task is spawned, so that clients can connect as
/// soon as the `start` of a stand-in returns.
pub(crate) fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
