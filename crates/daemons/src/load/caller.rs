//! Worker threads of the load tool. Each sends its share of the trace over its own connections.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use awc::error::SendRequestError;
use awc::{Client, Connector};
use medlarstair::protocol::headers;
use medlarstair_standins::Deployment;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use tokio::sync::mpsc::UnboundedReceiver;

use super::directory::{Lookup, check_loopback, fetch_lookup};
use super::error::LoadError;
use super::outcome::{Outcome, Record, ResponseParts};
use super::policy::{Policy, Pool};
use super::trace::TraceRequest;

/// Maximum number of connections per worker and region. Without a limit, a short stall of the machine made the workers
/// open thousands of connections at once, which overloaded the link relay until the end of the run. The limit exceeds
/// the number of requests that are pending during a flood. Time spent waiting for a connection counts as latency.
const MAX_CONNECTIONS: usize = 400;
/// Maximum number of pending requests per worker. Requests beyond it are not sent and are recorded as `too-many-open`.
const MAX_OPEN_REQUESTS: usize = 20_000;
/// Period after the deadline for which a worker waits, to distinguish late responses from missing ones.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of entry VMs or backend servers tried per request. The daemons use the same limit.
const MAX_ATTEMPTS: usize = 3;
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Idle time after which a worker closes a connection. It is shorter than the 5 s after which a daemon does so.
const KEEP_ALIVE: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which lookups are checked for renewal.
const RENEWAL_PERIOD: Duration = Duration::from_millis(200);
/// Remaining lifetime below which a lookup is renewed.
const RENEWAL_MARGIN: Duration = Duration::from_secs(1);

/// State shared by all workers of a run.
#[derive(Debug)]
pub struct RunContext {
    /// Requests, ordered by send time. Elsewhere a request is identified by its index in this list.
    pub trace: Vec<TraceRequest>,
    /// Deployment under load.
    pub deployment: Deployment,
    /// How the destination of each request is selected.
    pub policy: Policy,
    /// Backend servers, one pool per service.
    pub pools: Vec<Pool>,
    /// Fraction of the request paths that identifies this run in the run logs.
    pub run_id: Box<str>,
}

impl RunContext {
    /// Path of a request at the backend server, without the query.
    pub fn path(&self, index: usize) -> String {
        format!("/r/{}/{index}", self.run_id)
    }

    /// Index of the request with this path; `None` if the path does not belong to this run.
    pub fn index_of(&self, path: &str) -> Option<usize> {
        path.strip_prefix("/r/")?.strip_prefix(&*self.run_id)?.strip_prefix('/')?.parse().ok()
    }
}

/// Parameters that determine the response to a lookup.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LookupKey {
    region: Box<str>,
    customer: Box<str>,
    service: Box<str>,
}

struct Worker {
    ctx: Arc<RunContext>,
    start: Instant,
    clients: BTreeMap<Box<str>, Client>,
    lookups: RefCell<HashMap<LookupKey, Rc<Lookup>>>,
    rng: RefCell<Pcg32>,
    records: RefCell<Vec<Record>>,
    open: Cell<usize>,
}

/// Runs one worker until `requests` is closed and all its requests have ended. `number` seeds its random choices.
///
/// # Errors
///
/// A region has no client address, or an address is not a loopback address.
pub async fn run_worker(
    ctx: Arc<RunContext>,
    number: u64,
    start: Instant,
    mut requests: UnboundedReceiver<usize>,
) -> Result<Vec<Record>, LoadError> {
    let clients = clients(&ctx.deployment)?;
    let worker = Rc::new(Worker {
        ctx,
        start,
        clients,
        lookups: RefCell::default(),
        rng: RefCell::new(Pcg32::seed_from_u64(number)),
        records: RefCell::default(),
        open: Cell::new(0),
    });
    let renewal = actix_rt::spawn(Rc::clone(&worker).renew_lookups());
    while let Some(index) = requests.recv().await {
        let worker = Rc::clone(&worker);
        if worker.open.get() >= MAX_OPEN_REQUESTS {
            let outcome = Outcome::Transport("too-many-open".into());
            worker.record(index, worker.since_intended(index), outcome);
            continue;
        }
        worker.open.set(worker.open.get() + 1);
        actix_rt::spawn(worker.send_request(index));
    }
    // This ends because `send_request` limits the duration of every request.
    while worker.open.get() > 0 {
        actix_rt::time::sleep(RENEWAL_PERIOD).await;
    }
    renewal.abort();
    Ok(worker.records.take())
}

/// Creates one client per region, bound to the client address of that region.
fn clients(deployment: &Deployment) -> Result<BTreeMap<Box<str>, Client>, LoadError> {
    let mut clients = BTreeMap::new();
    for region in &deployment.regions {
        let ip = deployment
            .client_ip(region)
            .ok_or_else(|| LoadError::invalid("a region has no client address"))?;
        check_loopback(ip)?;
        let connector = Connector::new()
            .limit(MAX_CONNECTIONS)
            .local_address(ip)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(KEEP_ALIVE);
        let client = Client::builder().connector(connector).disable_redirects().disable_timeout().finish();
        clients.insert(region.as_str().into(), client);
    }
    Ok(clients)
}

impl Worker {
    /// Time since the intended send time of a request.
    fn since_intended(&self, index: usize) -> Duration {
        self.start.elapsed().saturating_sub(Duration::from_micros(self.ctx.trace[index].at_us))
    }

    fn record(&self, index: usize, lateness: Duration, outcome: Outcome) {
        let req = &self.ctx.trace[index];
        self.records.borrow_mut().push(Record {
            index,
            rank: req.rank,
            intended: Duration::from_micros(req.at_us),
            lateness,
            latency: self.since_intended(index),
            outcome,
        });
    }

    async fn send_request(self: Rc<Self>, index: usize) {
        let lateness = self.since_intended(index);
        let limit = Duration::from_millis(self.ctx.trace[index].deadline_ms.into()) + LATE_RESPONSE_TIMEOUT;
        let remaining = limit.saturating_sub(lateness);
        let outcome = actix_rt::time::timeout(remaining, async {
            match self.ctx.policy {
                Policy::Medlarstair => self.send_through_entry(index).await,
                _ => self.send_to_backend(index).await,
            }
        });
        let outcome = outcome.await.unwrap_or_else(|_| Outcome::Transport("no-answer".into()));
        self.record(index, lateness, outcome);
        self.open.set(self.open.get() - 1);
    }

    async fn send_through_entry(&self, index: usize) -> Outcome {
        let req = &self.ctx.trace[index];
        let Some(lookup) = self.current_lookup(req).await else {
            return Outcome::Transport("no-lookup".into());
        };
        let order = lookup.order(&mut *self.rng.borrow_mut());
        let Some(first) = order.first() else {
            return Outcome::Transport("no-entry".into());
        };
        let suffix = format!("{}x{index}", self.ctx.run_id);
        let token = (!req.repeatable).then(|| format!("{}{suffix}", first.token_prefix));
        let path = format!("/v1/call/{}/{}{}", req.customer, req.service, self.ctx.path(index));
        let mut failure = Box::default();
        for entry in order.iter().take(MAX_ATTEMPTS) {
            match self.exchange(index, entry.address, &path, token.as_deref()).await {
                Ok(outcome) => return outcome,
                Err(kind) => failure = kind,
            }
        }
        Outcome::Transport(failure)
    }

    async fn send_to_backend(&self, index: usize) -> Outcome {
        let req = &self.ctx.trace[index];
        let Some(pool) = self.ctx.pools.iter().find(|pool| pool.service == req.service) else {
            return Outcome::Transport("no-service".into());
        };
        let deadline = Duration::from_millis(req.deadline_ms.into());
        let mut permit = None;
        if self.ctx.policy == Policy::FirstCome {
            let remaining = deadline.saturating_sub(self.since_intended(index));
            match actix_rt::time::timeout(remaining, pool.free_slots.acquire()).await {
                Ok(acquired) => permit = acquired.ok(),
                Err(_) => return Outcome::NotRun("queue".into()),
            }
        }
        let path = self.ctx.path(index);
        let mut outcome = Outcome::NotRun("no-backend".into());
        for _ in 0..MAX_ATTEMPTS {
            let server = pool.pick(self.ctx.policy, &req.region, &mut *self.rng.borrow_mut());
            let Some(server) = server else { break };
            let response = self.exchange(index, pool.servers[server].front, &path, None).await;
            pool.release(server);
            outcome = match response {
                Ok(Outcome::NotRun(reason)) => Outcome::NotRun(reason),
                Ok(outcome) => return outcome,
                // The request may have been executed, so it is retried only if it is repeatable.
                Err(kind) if !req.repeatable => return Outcome::Transport(kind),
                Err(kind) => Outcome::Transport(kind),
            };
        }
        drop(permit);
        outcome
    }

    /// Sends a request and reads the complete response. An error names the kind of connection failure.
    async fn exchange(
        &self,
        index: usize,
        to: SocketAddr,
        path: &str,
        token: Option<&str>,
    ) -> Result<Outcome, Box<str>> {
        let req = &self.ctx.trace[index];
        let client = self.clients.get(&req.region).ok_or("no-client")?;
        let deadline = Duration::from_millis(req.deadline_ms.into());
        let remaining = deadline.saturating_sub(self.since_intended(index)).as_millis();
        let url = format!("http://{to}{path}?run_ms={}&bytes={}", req.run_ms, req.bytes);
        let mut request = client
            .post(url)
            .insert_header((headers::RANK, req.rank.to_string()))
            .insert_header((headers::DEADLINE_MS, remaining.to_string()))
            .insert_header((headers::REPEATABLE, if req.repeatable { "yes" } else { "no" }));
        if let Some(token) = token {
            request = request.insert_header((headers::TOKEN, token));
        }
        let mut res = request.send().await.map_err(|e| error_kind(&e))?;
        let body = res.body().limit(MAX_RESPONSE_BYTES).await.map_err(|_| "body")?;
        let text = |name| res.headers().get(name).and_then(|v| v.to_str().ok());
        Ok(Outcome::from_response(ResponseParts {
            status: res.status().as_u16(),
            outcome: text(headers::OUTCOME),
            reason: text(headers::REASON),
            complete: body.len() == req.bytes as usize,
            in_time: self.since_intended(index) <= deadline,
        }))
    }

    async fn current_lookup(&self, req: &TraceRequest) -> Option<Rc<Lookup>> {
        let key = LookupKey {
            region: req.region.clone(),
            customer: req.customer.clone(),
            service: req.service.clone(),
        };
        let cached = self.lookups.borrow().get(&key).cloned();
        if let Some(lookup) = cached.filter(|lookup| lookup.expires > Instant::now()) {
            return Some(lookup);
        }
        self.refresh_lookup(key).await
    }

    async fn refresh_lookup(&self, key: LookupKey) -> Option<Rc<Lookup>> {
        let client = self.clients.get(&key.region)?;
        let (near, far): (Vec<_>, Vec<_>) =
            self.ctx.deployment.entries.iter().partition(|e| e.place.region == *key.region);
        let addresses = near.iter().chain(&far).map(|e| e.http.front).collect::<Vec<_>>();
        let lookup = Rc::new(fetch_lookup(client, &addresses, &key.customer, &key.service).await?);
        self.lookups.borrow_mut().insert(key, Rc::clone(&lookup));
        Some(lookup)
    }

    /// Renews lookups before they expire, so that requests rarely wait for one.
    async fn renew_lookups(self: Rc<Self>) {
        if self.ctx.policy != Policy::Medlarstair {
            return;
        }
        let deployment = &self.ctx.deployment;
        let mut keys = Vec::new();
        for region in &deployment.regions {
            for customer in &deployment.customers {
                for service in &deployment.services {
                    keys.push(LookupKey {
                        region: region.as_str().into(),
                        customer: customer.as_str().into(),
                        service: service.name.as_str().into(),
                    });
                }
            }
        }
        loop {
            let renew_before = Instant::now() + RENEWAL_MARGIN;
            for key in &keys {
                let fresh =
                    self.lookups.borrow().get(key).is_some_and(|lookup| lookup.expires > renew_before);
                if !fresh {
                    self.refresh_lookup(key.clone()).await;
                }
            }
            actix_rt::time::sleep(RENEWAL_PERIOD).await;
        }
    }
}

fn error_kind(error: &SendRequestError) -> Box<str> {
    match error {
        SendRequestError::Connect(_) => "connect",
        SendRequestError::Send(_) => "send",
        SendRequestError::Response(_) => "response",
        SendRequestError::Timeout => "timeout",
        _ => "other",
    }
    .into()
}
