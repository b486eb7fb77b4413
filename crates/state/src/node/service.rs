//! Per-service state of this daemon.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::admission::{AdmissionConfig, AdmissionQueues};
use crate::id::{NodeId, RequestId};
use crate::ledger::{Hold, LimitKey};
use crate::model::{BackendSpec, ServiceSpec};
use crate::node::requests::PendingRequest;
use crate::routing::{BackendSelector, Policy};
use crate::time::Timestamp;

/// Retry credit that each successful request adds, in thousandths of a retry. Under overload, retries then add at most
/// a tenth to the load.
const RETRY_CREDIT_PER_SUCCESS: u32 = 100;

/// Credit that one retry costs, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;

/// Maximum accumulated retry credit, in thousandths of a retry. It is also the initial credit.
const MAX_RETRY_CREDIT: u32 = 10 * RETRY_COST;

/// A backend server with its limit key, which is cached so that the request path builds no keys.
#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) spec: BackendSpec,
    pub(super) key: LimitKey,
    /// Whether it is in the region of this daemon.
    pub(super) is_local: bool,
}

/// A daemon that may lend slots of the service.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Lender {
    pub(super) node: NodeId,
    /// Whether it is in the region of this daemon.
    pub(super) is_local: bool,
    /// Delay of the link to its region; the maximum if there is no such link.
    pub(super) delay: Duration,
}

/// A hold that outlives its attempt until the backend server has had time to stop the request.
#[derive(Debug)]
pub(super) struct DeferredRelease {
    /// Time at which the hold is released.
    pub(super) at: Timestamp,
    pub(super) hold: Hold,
}

/// State of one service at this daemon.
#[derive(Debug)]
pub(super) struct ServiceState<P> {
    pub(super) spec: ServiceSpec,
    pub(super) backends: Vec<BackendState>,
    pub(super) lenders: Vec<Lender>,
    pub(super) admission: AdmissionQueues,
    pub(super) routing: BackendSelector<P>,
    /// Requests that must run alone on a backend server, since they are suspected of crashes.
    pub(super) exclusive_queue: VecDeque<RequestId>,
    pub(super) deferred_releases: Vec<DeferredRelease>,
    /// Time at which each lender last answered that it had nothing to lend.
    pub(super) last_denied: BTreeMap<NodeId, Timestamp>,
    /// Exponential moving average of the response size, in bytes.
    pub(super) mean_response_bytes: u32,
    /// Number of running attempts.
    pub(super) running: u32,
    /// Retry credit in thousandths of a retry.
    retry_credit: u32,
}

impl<P: Policy> ServiceState<P> {
    pub(super) fn new(spec: ServiceSpec, policy: P, now: Timestamp) -> Self {
        let admission = AdmissionQueues::new(AdmissionConfig::for_service(&spec), now);
        Self {
            spec,
            backends: Vec::new(),
            lenders: Vec::new(),
            admission,
            routing: BackendSelector::with_policy(policy),
            exclusive_queue: VecDeque::new(),
            deferred_releases: Vec::new(),
            last_denied: BTreeMap::new(),
            mean_response_bytes: INITIAL_RESPONSE_BYTES,
            running: 0,
            retry_credit: MAX_RETRY_CREDIT,
        }
    }

    /// Applies a changed specification. Queued requests keep their positions.
    pub(super) fn reconfigure(&mut self, spec: ServiceSpec) {
        self.admission.reconfigure(&AdmissionConfig::for_service(&spec));
        self.spec = spec;
    }

    /// Queues a request again that was started but did not run.
    pub(super) fn requeue(&mut self, pending: &PendingRequest, now: Timestamp) {
        if pending.exclusive {
            self.exclusive_queue.push_back(pending.req.id);
        } else {
            self.admission.requeue(pending.ticket(now));
        }
    }

    /// Removes a request from the queues.
    pub(super) fn cancel(&mut self, id: RequestId) {
        self.admission.cancel(id);
        self.exclusive_queue.retain(|waiting| *waiting != id);
    }

    /// Returns the number of requests in the queues.
    pub(super) fn waiting(&self) -> usize {
        let queued = crate::id::Rank::ALL.iter().map(|rank| self.admission.waiting(*rank)).sum::<usize>();
        queued + self.exclusive_queue.len()
    }

    /// Adds the retry credit of one successful request.
    pub(super) fn add_retry_credit(&mut self) {
        self.retry_credit = (self.retry_credit + RETRY_CREDIT_PER_SUCCESS).min(MAX_RETRY_CREDIT);
    }

    /// Deducts the cost of one retry. Returns false if there is not enough credit.
    pub(super) fn try_spend_retry_credit(&mut self) -> bool {
        let Some(rest) = self.retry_credit.checked_sub(RETRY_COST) else {
            return false;
        };
        self.retry_credit = rest;
        true
    }

    /// Updates the moving average of the response size. Link limits are charged with it before a request is
    /// started, when the size of its response is not known.
    pub(super) fn on_response(&mut self, bytes: u32) {
        let mean = u64::from(self.mean_response_bytes) * 7 + u64::from(bytes);
        self.mean_response_bytes = u32::try_from(mean / 8).unwrap_or(u32::MAX);
    }
}

/// Assumed size of a response before the first one, in bytes.
const INITIAL_RESPONSE_BYTES: u32 = 8 * 1024;
