//! Callers: each worker thread sends its part of the trace with its own connections.

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

use super::directory::{Lookup, check_loopback, look_up};
use super::error::LoadError;
use super::outcome::{AnswerParts, Outcome, Record};
use super::policy::{Policy, Pool};
use super::trace::TraceRequest;

/// Connections per worker and region. Without a bound, a short pause of the machine made the callers open thousands of
/// connections at once, which kept the link relay busy until the end of the run. It is above the number of requests
/// that wait in a flood; a request that waits for a connection shows it in its latency.
const MAX_CONNECTIONS: usize = 400;
/// Open requests per worker; more are recorded as not sent.
const MAX_OPEN: usize = 20_000;
/// Answers are awaited for this time after the deadline, to tell late answers from lost ones.
const PATIENCE: Duration = Duration::from_secs(1);
/// Entry VMs or backend servers that a request tries; the daemons make as many attempts.
const ATTEMPTS: usize = 3;
/// Largest answer that is read.
const ANSWER_MAX_BYTES: usize = 64 << 20;
/// Below the 5 s after which a daemon closes an idle connection.
const KEEP_ALIVE: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often lookups are checked for renewal, and how long before their end they are renewed.
const RENEWAL_PERIOD: Duration = Duration::from_millis(200);
const RENEWAL_MARGIN: Duration = Duration::from_secs(1);

/// What all workers of a run share.
#[derive(Debug)]
pub struct Job {
    /// The requests.
    pub trace: Vec<TraceRequest>,
    /// The deployment.
    pub deployment: Deployment,
    /// Who steers.
    pub policy: Policy,
    /// Backend servers by service.
    pub pools: Vec<Pool>,
    /// Distinguishes the requests of this run in run logs.
    pub run_id: Box<str>,
}

impl Job {
    /// Path of a request at the backend server, without its query.
    pub fn path(&self, index: usize) -> String {
        format!("/r/{}/{index}", self.run_id)
    }

    /// Number of the request with that path, if it belongs to this run.
    pub fn index_of(&self, path: &str) -> Option<usize> {
        path.strip_prefix("/r/")?.strip_prefix(&*self.run_id)?.strip_prefix('/')?.parse().ok()
    }
}

/// Lookups depend on these.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LookupKey {
    region: Box<str>,
    customer: Box<str>,
    service: Box<str>,
}

struct Worker {
    job: Arc<Job>,
    start: Instant,
    clients: BTreeMap<Box<str>, Client>,
    lookups: RefCell<HashMap<LookupKey, Rc<Lookup>>>,
    rng: RefCell<Pcg32>,
    records: RefCell<Vec<Record>>,
    open: Cell<usize>,
}

/// Runs one worker until the channel closes and its requests have ended.
///
/// # Errors
///
/// A region has no client address, or an address is not on the local machine.
pub async fn work(
    job: Arc<Job>,
    number: u64,
    start: Instant,
    mut requests: UnboundedReceiver<usize>,
) -> Result<Vec<Record>, LoadError> {
    let clients = clients(&job.deployment)?;
    let worker = Rc::new(Worker {
        job,
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
        if worker.open.get() >= MAX_OPEN {
            let ended = Outcome::Transport("too-many-open".into());
            worker.record(index, worker.since_intended(index), ended);
            continue;
        }
        worker.open.set(worker.open.get() + 1);
        actix_rt::spawn(worker.carry_out(index));
    }
    // Every request is bounded in time by `carry_out`.
    while worker.open.get() > 0 {
        actix_rt::time::sleep(RENEWAL_PERIOD).await;
    }
    renewal.abort();
    Ok(worker.records.take())
}

/// One client per region, which leaves from the address of its callers.
fn clients(deployment: &Deployment) -> Result<BTreeMap<Box<str>, Client>, LoadError> {
    let mut clients = BTreeMap::new();
    for region in &deployment.regions {
        let ip = deployment.client_ip(region).ok_or_else(|| LoadError::invalid("a region has no callers"))?;
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
    fn since_intended(&self, index: usize) -> Duration {
        self.start.elapsed().saturating_sub(Duration::from_micros(self.job.trace[index].at_us))
    }

    fn record(&self, index: usize, late: Duration, outcome: Outcome) {
        let req = &self.job.trace[index];
        self.records.borrow_mut().push(Record {
            index,
            rank: req.rank,
            intended: Duration::from_micros(req.at_us),
            late,
            latency: self.since_intended(index),
            outcome,
        });
    }

    async fn carry_out(self: Rc<Self>, index: usize) {
        let late = self.since_intended(index);
        let limit = Duration::from_millis(self.job.trace[index].deadline_ms.into()) + PATIENCE;
        let left = limit.saturating_sub(late);
        let ended = actix_rt::time::timeout(left, async {
            match self.job.policy {
                Policy::Medlarstair => self.through_entry(index).await,
                _ => self.to_backend(index).await,
            }
        });
        let ended = ended.await.unwrap_or_else(|_| Outcome::Transport("no-answer".into()));
        self.record(index, late, ended);
        self.open.set(self.open.get() - 1);
    }

    async fn through_entry(&self, index: usize) -> Outcome {
        let req = &self.job.trace[index];
        let Some(lookup) = self.lookup(req).await else {
            return Outcome::Transport("no-lookup".into());
        };
        let order = lookup.order(&mut *self.rng.borrow_mut());
        let Some(first) = order.first() else {
            return Outcome::Transport("no-entry".into());
        };
        let suffix = format!("{}x{index}", self.job.run_id);
        let token = (!req.repeatable).then(|| format!("{}{suffix}", first.token_prefix));
        let path = format!("/v1/call/{}/{}{}", req.customer, req.service, self.job.path(index));
        let mut failure = Box::default();
        for entry in order.iter().take(ATTEMPTS) {
            match self.exchange(index, entry.address, &path, token.as_deref()).await {
                Ok(outcome) => return outcome,
                Err(kind) => failure = kind,
            }
        }
        Outcome::Transport(failure)
    }

    async fn to_backend(&self, index: usize) -> Outcome {
        let req = &self.job.trace[index];
        let Some(pool) = self.job.pools.iter().find(|pool| pool.service == req.service) else {
            return Outcome::Transport("no-service".into());
        };
        let deadline = Duration::from_millis(req.deadline_ms.into());
        let mut permit = None;
        if self.job.policy == Policy::FirstCome {
            let left = deadline.saturating_sub(self.since_intended(index));
            match actix_rt::time::timeout(left, pool.queue.acquire()).await {
                Ok(acquired) => permit = acquired.ok(),
                Err(_) => return Outcome::NotRun("queue".into()),
            }
        }
        let path = self.job.path(index);
        let mut end = Outcome::NotRun("no-backend".into());
        for _ in 0..ATTEMPTS {
            let picked = pool.pick(self.job.policy, &req.region, &mut *self.rng.borrow_mut());
            let Some(picked) = picked else { break };
            let answer = self.exchange(index, pool.servers[picked].front, &path, None).await;
            pool.end(picked);
            end = match answer {
                Ok(Outcome::NotRun(reason)) => Outcome::NotRun(reason),
                Ok(outcome) => return outcome,
                // Whether the request ran is not known, so only a repeatable one is sent again.
                Err(kind) if !req.repeatable => return Outcome::Transport(kind),
                Err(kind) => Outcome::Transport(kind),
            };
        }
        drop(permit);
        end
    }

    /// Sends a request and reads its whole answer. An error is a failure of the connection.
    async fn exchange(
        &self,
        index: usize,
        to: SocketAddr,
        path: &str,
        token: Option<&str>,
    ) -> Result<Outcome, Box<str>> {
        let req = &self.job.trace[index];
        let client = self.clients.get(&req.region).ok_or("no-client")?;
        let deadline = Duration::from_millis(req.deadline_ms.into());
        let left = deadline.saturating_sub(self.since_intended(index)).as_millis();
        let url = format!("http://{to}{path}?run_ms={}&bytes={}", req.run_ms, req.bytes);
        let mut out = client
            .post(url)
            .insert_header((headers::RANK, req.rank.to_string()))
            .insert_header((headers::DEADLINE_MS, left.to_string()))
            .insert_header((headers::REPEATABLE, if req.repeatable { "yes" } else { "no" }));
        if let Some(token) = token {
            out = out.insert_header((headers::TOKEN, token));
        }
        let mut res = out.send().await.map_err(|e| failure(&e))?;
        let body = res.body().limit(ANSWER_MAX_BYTES).await.map_err(|_| "body")?;
        let text = |name| res.headers().get(name).and_then(|v| v.to_str().ok());
        Ok(Outcome::of(AnswerParts {
            status: res.status().as_u16(),
            outcome: text(headers::OUTCOME),
            reason: text(headers::REASON),
            whole: body.len() == req.bytes as usize,
            in_time: self.since_intended(index) <= deadline,
        }))
    }

    async fn lookup(&self, req: &TraceRequest) -> Option<Rc<Lookup>> {
        let key = LookupKey {
            region: req.region.clone(),
            customer: req.customer.clone(),
            service: req.service.clone(),
        };
        let cached = self.lookups.borrow().get(&key).cloned();
        if let Some(lookup) = cached.filter(|lookup| lookup.expires > Instant::now()) {
            return Some(lookup);
        }
        self.look_up(key).await
    }

    async fn look_up(&self, key: LookupKey) -> Option<Rc<Lookup>> {
        let client = self.clients.get(&key.region)?;
        let (near, far): (Vec<_>, Vec<_>) =
            self.job.deployment.entries.iter().partition(|e| e.place.region == *key.region);
        let asked = near.iter().chain(&far).map(|e| e.http.front).collect::<Vec<_>>();
        let lookup = Rc::new(look_up(client, &asked, &key.customer, &key.service).await?);
        self.lookups.borrow_mut().insert(key, Rc::clone(&lookup));
        Some(lookup)
    }

    /// Keeps all lookups fresh, so that requests rarely wait for one.
    async fn renew_lookups(self: Rc<Self>) {
        if self.job.policy != Policy::Medlarstair {
            return;
        }
        let deployment = &self.job.deployment;
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
            let soon = Instant::now() + RENEWAL_MARGIN;
            for key in &keys {
                let fresh = self.lookups.borrow().get(key).is_some_and(|lookup| lookup.expires > soon);
                if !fresh {
                    self.look_up(key.clone()).await;
                }
            }
            actix_rt::time::sleep(RENEWAL_PERIOD).await;
        }
    }
}

fn failure(error: &SendRequestError) -> Box<str> {
    match error {
        SendRequestError::Connect(_) => "connect",
        SendRequestError::Send(_) => "send",
        SendRequestError::Response(_) => "response",
        SendRequestError::Timeout => "timeout",
        _ => "other",
    }
    .into()
}
