//! Threads that stand-ins run on, and a timer finer than that of tokio.

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

/// Longest time that dropping a stand-in waits for its sockets to close.
const STOP_WAIT: Duration = Duration::from_secs(1);

/// A thread with a tokio runtime. Any number of stand-ins share one; it stops with the last of them.
#[derive(Debug)]
pub struct Worker {
    runtime: Handle,
    timer: Timer,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts the thread.
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
        let (alive, ended) = mpsc::channel::<()>();
        let abort = self
            .runtime
            .spawn(async move {
                let _alive = alive;
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

/// A task on a worker; dropping it ends the task and waits until its sockets are closed.
#[derive(Debug)]
pub(crate) struct Task {
    abort: AbortHandle,
    ended: Mutex<mpsc::Receiver<()>>,
    _worker: Arc<Worker>,
}

impl Drop for Task {
    fn drop(&mut self) {
        self.abort.abort();
        if let Ok(ended) = self.ended.lock() {
            let _ = ended.recv_timeout(STOP_WAIT);
        }
    }
}

/// Wakes tasks to within about 0.1 ms. The timer of tokio has steps of 1 ms and rounds up, which would double a
/// link delay of 1 ms and lengthen each run.
#[derive(Debug, Clone)]
pub(crate) struct Timer(mpsc::Sender<(Instant, oneshot::Sender<()>)>);

impl Timer {
    /// Starts the thread, which ends with the last clone of the timer.
    fn start() -> io::Result<Self> {
        let (tx, rx) = mpsc::channel();
        thread::Builder::new().name("standin-timer".into()).spawn(move || wake(&rx))?;
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

fn wake(requests: &mpsc::Receiver<(Instant, oneshot::Sender<()>)>) {
    let mut waiting: BTreeMap<(Instant, u64), oneshot::Sender<()>> = BTreeMap::new();
    let mut count = 0_u64;
    loop {
        let now = Instant::now();
        while let Some(first) = waiting.first_entry()
            && first.key().0 <= now
        {
            // A task that no longer waits has dropped its receiver.
            let _ = first.remove().send(());
        }
        let request = match waiting.first_key_value() {
            Some(((at, _), _)) => requests.recv_timeout(*at - now),
            None => requests.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match request {
            Ok((at, sender)) => {
                count += 1;
                waiting.insert((at, count), sender);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Binds before the task starts, so that a stand-in answers as soon as its `start` returns.
pub(crate) fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
