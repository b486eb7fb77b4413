//! Simulated backend server with limited concurrency, cold starts, draining, crashes and faulty responses.
//!
//! `ANY /{path}` executes a request, which is called a run. `GET /health` ([`Health`]), `GET /runs` (list of
//! [`Run`]), `GET /stats` ([`BackendStats`]) and `POST /faults` ([`BackendFaults`]) use no slot. A run has the query
//! parameters `run_ms` (run time) and `bytes` (length of the response body; without it the request body is echoed).

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

/// Delay between attempts to listen again after a crash.
const REBIND_RETRY: Duration = Duration::from_millis(10);

/// Configuration of a backend server, fixed at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendConfig {
    /// Number of concurrent runs; more requests are rejected with status 503.
    pub slots: u32,
    /// Run time in ms of a request without the query parameter `run_ms`.
    pub run_ms: u64,
    /// Duration in ms of a cold start. Runs that start in this time after a boot take `cold_factor` times as long.
    pub cold_ms: u64,
    /// Factor of the run time during a cold start.
    pub cold_factor: u32,
    /// Time in ms from a crash to the next boot. Connections are refused meanwhile.
    pub restart_ms: u64,
    /// Number of concurrent connections; more wait in the listen backlog.
    pub connections: usize,
    /// Delay in ms between accepting a connection and reading from it.
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

/// Injected faults of a backend server. The fields `truncated`, `late`, `crossed` and `unanswered` are the number of
/// next responses to runs that have the fault. Each response decrements all of them that are above 0.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Number of responses whose body ends after half of its `Content-Length`.
    pub truncated: u32,
    /// Number of responses sent `late_ms` after the end of the run.
    pub late: u32,
    /// Delay in ms of a late response.
    pub late_ms: u64,
    /// Number of responses with the request id and body of another request.
    pub crossed: u32,
    /// Number of runs whose connection is closed without a response.
    pub unanswered: u32,
    /// Whether the server is draining. It reports this in its health report and still accepts requests.
    pub draining: bool,
    /// Whether the health report always has `draining` set to false.
    pub hide_draining: bool,
    /// Value of `in_use` in the health report; `None` means the actual number of runs.
    pub fixed_in_use: Option<u32>,
    /// Age in ms of the state in the health report.
    pub health_lag_ms: u64,
}

/// Body of `GET /health`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Boot number, which increases with each crash.
    pub boot: u64,
    /// Number of current runs.
    pub in_use: u32,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Whether the server is draining.
    pub draining: bool,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunEnd {
    /// The run was completed. The response may still have been lost or faulty.
    Done,
    /// The client closed its connection.
    Cancelled,
    /// The deadline in `medlar-deadline-ms` expired.
    Deadline,
    /// The server crashed during the run.
    Crashed,
}

/// Record of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Header `medlar-request-id`, empty if absent.
    pub request_id: String,
    /// Header `medlar-token`, empty if absent.
    pub token: String,
    /// Path of the request.
    pub path: String,
    /// Boot number of the server at the start of the run.
    pub boot: u64,
    /// Run time in ms without a deadline, including the factor of a cold start.
    pub service_ms: u64,
    /// Start time in ms since the Unix epoch.
    pub start_ms: u64,
    /// End time in ms since the Unix epoch.
    pub end_ms: u64,
    /// How the run ended.
    pub end: RunEnd,
}

/// Body of `GET /stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStats {
    /// Highest number of concurrent runs.
    pub most_in_use: u32,
    /// Number of runs that ended.
    pub runs: u64,
    /// Number of requests rejected because all slots were in use.
    pub shed: u64,
    /// Number of crashes.
    pub crashes: u64,
}

/// Handle of a running backend server. Dropping it stops the server.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
    server: Arc<Server>,
    _task: Task,
}

impl BackendServer {
    /// Starts a server on `address`. With port 0 the system chooses the port.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub fn start(worker: &Arc<Worker>, address: SocketAddr, config: BackendConfig) -> io::Result<Self> {
        let (listener, address) = bind(address)?;
        let state = State {
            boot: unix_ms(),
            is_down: false,
            booted_at: Instant::now(),
            in_use: 0,
            faults: BackendFaults::default(),
            health_history: VecDeque::new(),
            runs: Vec::new(),
            stats: BackendStats::default(),
        };
        let server = Arc::new(Server {
            config,
            state: Mutex::new(state),
            crashed: Notify::new(),
            timer: worker.timer(),
        });
        server.lock().record_health(server.config.slots);
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
                run.finish_restart();
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

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.server.set_faults(faults);
    }

    /// Crashes the server, as a request with the header `x-crash: yes` or the text `CRASH` in its body does.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Returns the health report, with the effect of faults.
    pub fn health(&self) -> Health {
        self.server.lock().reported_health(self.server.config.slots)
    }

    /// Returns the runs that have ended, in the order of their end.
    pub fn runs(&self) -> Vec<Run> {
        self.server.lock().runs.clone()
    }

    /// Returns the statistics since the start of the stand-in.
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
    /// Whether the server has crashed and not restarted yet. Requests on connections that are still open get no
    /// response meanwhile.
    is_down: bool,
    booted_at: Instant,
    in_use: u32,
    faults: BackendFaults,
    /// Actual states by time, as far back as `health_lag_ms` requires.
    health_history: VecDeque<(Instant, Health)>,
    runs: Vec<Run>,
    stats: BackendStats,
}

impl State {
    /// Adds the current state to the history for health reports.
    fn record_health(&mut self, slots: u32) {
        let health = Health { boot: self.boot, in_use: self.in_use, slots, draining: self.faults.draining };
        self.health_history.push_back((Instant::now(), health));
        self.prune_health_history();
    }

    fn prune_health_history(&mut self) {
        let lag = Duration::from_millis(self.faults.health_lag_ms);
        while self.health_history.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.health_history.pop_front();
        }
    }

    fn reported_health(&mut self, slots: u32) -> Health {
        self.prune_health_history();
        let idle = Health { boot: self.boot, in_use: 0, slots, draining: false };
        let mut health = self.health_history.front().map_or(idle, |(_, health)| health.clone());
        health.in_use = self.faults.fixed_in_use.unwrap_or(health.in_use);
        health.draining &= !self.faults.hide_draining;
        health
    }
}

/// A run in progress. Dropping it records the run and releases its slot, also after a cancellation or a crash.
struct ActiveRun<'a> {
    server: &'a Server,
    run: Run,
}

impl Drop for ActiveRun<'_> {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        self.run.end_ms = unix_ms();
        if state.boot == self.run.boot {
            state.in_use -= 1;
            state.record_health(self.server.config.slots);
        } else {
            self.run.end = RunEnd::Crashed;
        }
        state.stats.runs += 1;
        state.runs.push(self.run.clone());
    }
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    fn set_faults(&self, faults: BackendFaults) {
        let mut state = self.lock();
        state.faults = faults;
        state.record_health(self.config.slots);
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
        state.record_health(self.config.slots);
        self.crashed.notify_one();
    }

    fn finish_restart(&self) {
        let mut state = self.lock();
        state.is_down = false;
        state.booted_at = Instant::now();
    }

    /// Starts a run in a free slot. Returns `None` if all slots are in use.
    fn start_run(&self, req: &Request) -> Option<ActiveRun<'_>> {
        let mut state = self.lock();
        if state.in_use >= self.config.slots {
            state.stats.shed += 1;
            return None;
        }
        state.in_use += 1;
        state.stats.most_in_use = state.stats.most_in_use.max(state.in_use);
        state.record_health(self.config.slots);
        let is_cold = state.booted_at.elapsed() < Duration::from_millis(self.config.cold_ms);
        let factor = if is_cold { u64::from(self.config.cold_factor) } else { 1 };
        let header_or_empty = |name| req.header(name).unwrap_or_default().to_string();
        let run = Run {
            request_id: header_or_empty("medlar-request-id"),
            token: header_or_empty("medlar-token"),
            path: req.path.clone(),
            boot: state.boot,
            service_ms: req.query_number("run_ms").unwrap_or(self.config.run_ms) * factor,
            start_ms: unix_ms(),
            end_ms: 0,
            end: RunEnd::Cancelled,
        };
        Some(ActiveRun { server: self, run })
    }

    async fn run(&self, req: Request) -> Reply {
        let deadline = req.header("medlar-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
        if deadline == 0 {
            return error_response(&req, 504, "the deadline has passed", "not-run").into();
        }
        let Some(mut active) = self.start_run(&req) else {
            let shed = error_response(&req, 503, "all slots are in use", "not-run");
            return shed.header("medlar-reason", "shed").into();
        };
        if req.header("x-crash") == Some("yes") || req.body.windows(5).any(|w| w == b"CRASH") {
            self.crash();
            return std::future::pending().await;
        }
        let service_ms = active.run.service_ms;
        self.timer.sleep(Duration::from_millis(service_ms.min(deadline))).await;
        active.run.end = if service_ms > deadline { RunEnd::Deadline } else { RunEnd::Done };
        let end = active.run.end;
        drop(active);
        if end == RunEnd::Deadline {
            return error_response(&req, 504, "the run was stopped at its deadline", "ran").into();
        }
        self.respond(&req).await
    }

    async fn respond(&self, req: &Request) -> Reply {
        let (truncated, late, crossed, unanswered) = {
            let faults = &mut self.lock().faults;
            let late = consume_fault(&mut faults.late).then_some(faults.late_ms);
            (
                consume_fault(&mut faults.truncated),
                late,
                consume_fault(&mut faults.crossed),
                consume_fault(&mut faults.unanswered),
            )
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
        let content_type = req.header("content-type").unwrap_or("application/octet-stream");
        let response = Response::new(200, body).header("Content-Type", content_type);
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
            ("GET", "/health") => Response::json(200, &self.lock().reported_health(self.config.slots)).into(),
            ("GET", "/runs") => Response::json(200, &self.lock().runs).into(),
            ("GET", "/stats") => Response::json(200, &self.lock().stats).into(),
            ("POST", "/faults") => req.apply(|faults| self.set_faults(faults)),
            _ => self.run(req).await,
        }
    }
}

fn error_response(req: &Request, status: u16, message: &str, outcome: &str) -> Response {
    with_request_id(Response::error(status, message), req, "").header("medlar-outcome", outcome)
}

/// Copies the request id of the request, if present, to the response and appends `suffix`.
fn with_request_id(response: Response, req: &Request, suffix: &str) -> Response {
    match req.header("medlar-request-id") {
        Some(id) => response.header("medlar-request-id", format!("{id}{suffix}")),
        None => response,
    }
}

/// Decrements a number of remaining faults. Returns whether it was above 0.
fn consume_fault(remaining: &mut u32) -> bool {
    let any = *remaining > 0;
    *remaining -= u32::from(any);
    any
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}
