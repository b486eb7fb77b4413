//! Stand-in of a target: runs one request at a time on each connection, and drops a request when its connection closes.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::record::Record;

/// Interval at which a target that works on a request checks whether its connection is open.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What a target does with a request.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub time: Duration,
    /// Size of the body of the answer.
    pub bytes: usize,
}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub began: Instant,
    /// `None` while it runs.
    pub ended: Option<Instant>,
    /// Whether it was dropped because the connection closed.
    pub dropped: bool,
}

/// A target.
pub struct Target {
    pub id: String,
    pub zone: String,
    pub address: String,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Target {
    /// Starts a target at an address, in threads of this process. `work` tells what it does with each request.
    pub fn start(
        id: &str,
        zone: &str,
        address: &str,
        record: &Arc<Record>,
        work: impl Fn(&Message) -> Work + Send + Sync + 'static,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let target = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: address.to_owned(),
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let (shared, work) = (Arc::clone(&target), Arc::new(work));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (target, work) = (Arc::clone(&shared), Arc::clone(&work));
                std::thread::spawn(move || target.serve(stream, &*work));
            }
        });
        Ok(target)
    }

    /// The runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// The entry of the target in the store.
    pub fn entry(&self, service: &str, slots: u32, state: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{service}\",\"config_version\":\"v1\",\"zone\":\"{}\",\
             \"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\"seq_no\":1,\"cold_left\":\"0ms\"}},\"born\":1700000000000}}",
            self.address, self.zone
        )
    }

    fn serve(&self, stream: TcpStream, work: &(impl Fn(&Message) -> Work + ?Sized)) {
        let Ok(mut out) = stream.try_clone() else { return };
        let _ = out.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(message) = read_message(&mut reader) {
            let attempt = message.header("x-attempt-id").unwrap_or("").to_owned();
            if message.target() == "/health" {
                let head =
                    format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                if out.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let work = work(&message);
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    attempt: attempt.clone(),
                    began: Instant::now(),
                    ended: None,
                    dropped: false,
                });
                runs.len() - 1
            };
            self.record.line(&format!("target {} runs {attempt} {}", self.id, message.start));
            let dropped = !self.work(&reader, work.time);
            {
                let mut runs = self.runs.lock().unwrap();
                runs[index].ended = Some(Instant::now());
                runs[index].dropped = dropped;
            }
            if dropped {
                self.record.line(&format!("target {} drops {attempt}: its connection closed", self.id));
                return;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {}.{attempt}\r\n\
                 Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
                self.id, work.bytes
            );
            self.record.line(&format!("target {} answers {attempt} with {} bytes", self.id, work.bytes));
            let mut answer = head.into_bytes();
            answer.extend((0..work.bytes).map(|n| b'a' + (n % 26) as u8));
            if out.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Works for some time. Returns false if the connection closes meanwhile.
    fn work(&self, reader: &BufReader<TcpStream>, time: Duration) -> bool {
        let until = Instant::now() + time;
        let stream = reader.get_ref();
        let _ = stream.set_read_timeout(Some(CHECK_INTERVAL));
        let mut open = true;
        while open && Instant::now() < until {
            open = match stream.peek(&mut [0]) {
                Ok(0) => false,
                Ok(_) => {
                    std::thread::sleep(CHECK_INTERVAL);
                    true
                }
                Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            };
        }
        let _ = stream.set_read_timeout(None);
        open
    }
}
