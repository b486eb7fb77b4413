//! Threads that stand-ins run on.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Longest time that dropping a stand-in waits for its sockets to close.
const STOP_WAIT: Duration = Duration::from_secs(1);

/// A thread with a tokio runtime. Any number of stand-ins share one; it stops with the last of them.
#[derive(Debug)]
pub struct Worker {
    runtime: Handle,
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
        Ok(Arc::new(Self { runtime: handle, stop: Some(stop), thread: Some(thread) }))
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

/// Binds before the task starts, so that a stand-in answers as soon as its `start` returns.
pub(crate) fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
