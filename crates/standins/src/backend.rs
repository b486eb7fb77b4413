//! Backend server with slots, cold start, drain, crashes and faulty answers.
//!
//! `ANY /{path}` runs a request. `GET /health` ([`Health`]), `GET /runs` (list of [`Run`]), `GET /stats`
//! ([`BackendStats`]) and `POST /faults` ([`BackendFaults`]) take no slot. Query parameters of a run: `run_ms` (run
//! time) and `bytes` (length of the answer; without it the body is echoed).

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::http::{Handler, Limits, Reply, Request, Response, serve};
use crate::worker::{Task, Timer, Worker, bind};

/// Pause between attempts to listen again after a crash.
const REBIND_RETRY: Duration = Duration::from_millis(10);

/// Fixed properties of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendConfig {
    /// Requests that run at a time; more are shed.
    pub slots: u32,
    /// Run time in ms of a request without `run_ms`.
    pub run_ms: u64,
    /// For this time in ms after a boot, runs take `cold_factor` times as long.
    pub cold_ms: u64,
    /// See `cold_ms`.
    pub cold_factor: u32,
    /// Time in ms that connections are refused after a crash.
    pub restart_ms: u64,
    /// Connections at a time; more wait.
    pub connections: usize,
    /// Time in ms from accepting a connection to reading from it.
    pub connect_ms: u64,
}

impl Default for BackendConfig {
    fn default() -> Self {
        Self {
            slots: 3,
            run_ms: 20,
            cold_ms: 0,
            cold_factor: 1,
            restart_ms: 500,
            connections: 360,
            connect_ms: 0,
        }
    }
}

/// Faults and reports of a backend server. The numbers count answers to runs and go down as they are used; an
/// answer uses one of each.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Answers cut to half of their announced length.
    pub truncated: u32,
    /// Answers sent `late_ms` after the run.
    pub late: u32,
    /// See `late`.
    pub late_ms: u64,
    /// Answers with the request id and body of another request.
    pub crossed: u32,
    /// Runs whose connection is closed without an answer.
    pub unanswered: u32,
    /// The server leaves and says so in its health report; it still runs what it gets.
    pub draining: bool,
    /// The health report never mentions draining.
    pub hide_draining: bool,
    /// The health report shows this number in use.
    pub fixed_in_use: Option<u32>,
    /// Age in ms of what the health report shows.
    pub health_lag_ms: u64,
}

/// Body of `GET /health`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Boot number; grows with each crash and restart.
    pub boot: u64,
    /// Requests that run.
    pub in_use: u32,
    /// Requests that may run at a time.
    pub slots: u32,
    /// Whether the server is leaving.
    pub draining: bool,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunEnd {
    /// It ran to its end, whatever became of the answer.
    Done,
    /// The caller closed its connection.
    Cancelled,
    /// `medlar-deadline-ms` passed.
    Deadline,
    /// The server crashed.
    Crashed,
}

/// One run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Header `medlar-request-id`, empty if absent.
    pub request_id: String,
    /// Header `medlar-token`, empty if absent.
    pub token: String,
    /// Path of the request.
    pub path: String,
    /// Boot of the server.
    pub boot: u64,
    /// Time in ms that the run should take.
    pub service_ms: u64,
    /// Start in ms since the Unix epoch.
    pub start_ms: u64,
    /// End in ms since the Unix epoch.
    pub end_ms: u64,
    /// How it ended.
    pub end: RunEnd,
}

/// Body of `GET /stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStats {
    /// Highest number of runs at a time.
    pub most_in_use: u32,
    /// Runs that ended.
    pub runs: u64,
    /// Requests refused above the slots.
    pub shed: u64,
    /// Crashes.
    pub crashes: u64,
}

/// A running backend server; dropping it stops the server.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
    server: Arc<Server>,
    _task: Task,
}

impl BackendServer {
    /// Starts a server. Port 0 lets the system choose.
    pub fn start(worker: &Arc<Worker>, address: SocketAddr, config: BackendConfig) -> io::Result<Self> {
        let (listener, address) = bind(address)?;
        let state = State {
            boot: unix_ms(),
            is_down: false,
            booted: Instant::now(),
            in_use: 0,
            faults: BackendFaults::default(),
            reports: VecDeque::new(),
            runs: Vec::new(),
            stats: BackendStats::default(),
        };
        let server = Arc::new(Server {
            config,
            state: Mutex::new(state),
            crashed: Notify::new(),
            timer: worker.timer(),
        });
        server.lock().report(server.config.slots);
        let run = Arc::clone(&server);
        let task = worker.spawn(async move {
            let limits = Limits {
                connections: run.config.connections,
                accept_delay: Duration::from_millis(run.config.connect_ms),
            };
            let mut listener = listener;
            loop {
                tokio::select! {
                    () = serve(listener, Arc::clone(&run), limits) => {}
                    () = run.crashed.notified() => {}
                }
                sleep(Duration::from_millis(run.config.restart_ms)).await;
                run.boot();
                listener = loop {
                    match bind(address) {
                        Ok((listener, _)) => break listener,
                        Err(_) => sleep(REBIND_RETRY).await,
                    }
                };
            }
        });
        Ok(Self { address, server, _task: task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.server.set_faults(faults);
    }

    /// Crashes the server as a crashing request does.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// What the health report shows.
    pub fn health(&self) -> Health {
        self.server.lock().shown(self.server.config.slots)
    }

    /// The runs that ended, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        self.server.lock().runs.clone()
    }

    /// Counts since the start.
    pub fn stats(&self) -> BackendStats {
        self.server.lock().stats.clone()
    }
}

#[derive(Debug)]
struct Server {
    config: BackendConfig,
    state: Mutex<State>,
    crashed: Notify,
    timer: Timer,
}

#[derive(Debug)]
struct State {
    boot: u64,
    /// Set from a crash to the next boot, while the last connections go away.
    is_down: bool,
    booted: Instant,
    in_use: u32,
    faults: BackendFaults,
    /// True reports by time, as far back as the report lag needs.
    reports: VecDeque<(Instant, Health)>,
    runs: Vec<Run>,
    stats: BackendStats,
}

impl State {
    /// Records the present state for health reports.
    fn report(&mut self, slots: u32) {
        let health = Health { boot: self.boot, in_use: self.in_use, slots, draining: self.faults.draining };
        self.reports.push_back((Instant::now(), health));
        self.drop_old_reports();
    }

    fn drop_old_reports(&mut self) {
        let lag = Duration::from_millis(self.faults.health_lag_ms);
        while self.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.reports.pop_front();
        }
    }

    fn shown(&mut self, slots: u32) -> Health {
        self.drop_old_reports();
        let none = Health { boot: self.boot, in_use: 0, slots, draining: false };
        let mut health = self.reports.front().map_or(none, |(_, health)| health.clone());
        health.in_use = self.faults.fixed_in_use.unwrap_or(health.in_use);
        health.draining &= !self.faults.hide_draining;
        health
    }
}

/// A run that holds its slot until it is dropped, also when the connection or the server goes away.
struct Running<'a> {
    server: &'a Server,
    run: Run,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        self.run.end_ms = unix_ms();
        if state.boot == self.run.boot {
            state.in_use -= 1;
            state.report(self.server.config.slots);
        } else {
            self.run.end = RunEnd::Crashed;
        }
        state.stats.runs += 1;
        state.runs.push(self.run.clone());
    }
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn set_faults(&self, faults: BackendFaults) {
        let mut state = self.lock();
        state.faults = faults;
        state.report(self.config.slots);
    }

    fn crash(&self) {
        let mut state = self.lock();
        if state.is_down {
            return;
        }
        state.is_down = true;
        state.boot = unix_ms().max(state.boot + 1);
        state.in_use = 0;
        state.stats.crashes += 1;
        state.report(self.config.slots);
        self.crashed.notify_one();
    }

    fn boot(&self) {
        let mut state = self.lock();
        state.is_down = false;
        state.booted = Instant::now();
    }

    /// Takes a slot, or `None` if all are in use.
    fn begin(&self, req: &Request) -> Option<Running<'_>> {
        let mut state = self.lock();
        if state.in_use >= self.config.slots {
            state.stats.shed += 1;
            return None;
        }
        state.in_use += 1;
        state.stats.most_in_use = state.stats.most_in_use.max(state.in_use);
        state.report(self.config.slots);
        let is_cold = state.booted.elapsed() < Duration::from_millis(self.config.cold_ms);
        let factor = if is_cold { u64::from(self.config.cold_factor) } else { 1 };
        let text = |name| req.header(name).unwrap_or_default().to_string();
        let run = Run {
            request_id: text("medlar-request-id"),
            token: text("medlar-token"),
            path: req.path.clone(),
            boot: state.boot,
            service_ms: req.query_number("run_ms").unwrap_or(self.config.run_ms) * factor,
            start_ms: unix_ms(),
            end_ms: 0,
            end: RunEnd::Cancelled,
        };
        Some(Running { server: self, run })
    }

    async fn run(&self, req: Request) -> Reply {
        let deadline = req.header("medlar-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
        if deadline == 0 {
            return refusal(&req, 504, "the deadline has passed", "not-run").into();
        }
        let Some(mut running) = self.begin(&req) else {
            let shed = refusal(&req, 503, "all slots are in use", "not-run");
            return shed.header("medlar-reason", "shed").into();
        };
        if req.header("x-crash") == Some("yes") || req.body.windows(5).any(|w| w == b"CRASH") {
            self.crash();
            return std::future::pending().await;
        }
        let service_ms = running.run.service_ms;
        self.timer.sleep(Duration::from_millis(service_ms.min(deadline))).await;
        running.run.end = if service_ms > deadline { RunEnd::Deadline } else { RunEnd::Done };
        let end = running.run.end;
        drop(running);
        if end == RunEnd::Deadline {
            return refusal(&req, 504, "the run was stopped at its deadline", "ran").into();
        }
        self.answer(&req).await
    }

    async fn answer(&self, req: &Request) -> Reply {
        let (truncated, late, crossed, unanswered) = {
            let faults = &mut self.lock().faults;
            let late = take(&mut faults.late).then_some(faults.late_ms);
            (take(&mut faults.truncated), late, take(&mut faults.crossed), take(&mut faults.unanswered))
        };
        if let Some(ms) = late {
            sleep(Duration::from_millis(ms)).await;
        }
        if unanswered {
            return Reply::Close;
        }
        let mut body = match req.query_number("bytes") {
            Some(n) => Bytes::from(vec![b'x'; n as usize]),
            None => req.body.clone(),
        };
        if crossed {
            body = Bytes::from_static(b"answer to another request");
        }
        let kind = req.header("content-type").unwrap_or("application/octet-stream");
        let response = Response::new(200, body).header("Content-Type", kind);
        let response = with_request_id(response, req, if crossed { "-other" } else { "" });
        if truncated { Reply::Truncated(response) } else { response.into() }
    }
}

impl Handler for Server {
    async fn handle(&self, req: Request) -> Reply {
        if self.lock().is_down {
            return Reply::Close;
        }
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/health") => Response::json(200, &self.lock().shown(self.config.slots)).into(),
            ("GET", "/runs") => Response::json(200, &self.lock().runs).into(),
            ("GET", "/stats") => Response::json(200, &self.lock().stats).into(),
            ("POST", "/faults") => req.apply(|faults| self.set_faults(faults)),
            _ => self.run(req).await,
        }
    }
}

fn refusal(req: &Request, status: u16, message: &str, outcome: &str) -> Response {
    with_request_id(Response::error(status, message), req, "").header("medlar-outcome", outcome)
}

/// Echoes the request id, if there is one, with a suffix.
fn with_request_id(response: Response, req: &Request, suffix: &str) -> Response {
    match req.header("medlar-request-id") {
        Some(id) => response.header("medlar-request-id", format!("{id}{suffix}")),
        None => response,
    }
}

/// Uses one of a number of faults, if any is left.
fn take(left: &mut u32) -> bool {
    let any = *left > 0;
    *left -= u32::from(any);
    any
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}
