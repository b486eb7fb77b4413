//! State of one service at this daemon.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::admission::{AdmissionConfig, AdmissionQueues};
use crate::id::{NodeId, RequestId};
use crate::ledger::{Hold, LimitKey};
use crate::model::{BackendSpec, ServiceSpec};
use crate::node::requests::Pending;
use crate::routing::{BackendSelector, Policy};
use crate::time::Timestamp;

/// Retries that each success pays for, in thousandths. Retries then add at most a tenth to the load in a flood.
const RETRY_CREDIT_PER_SUCCESS: u32 = 100;

/// Price of one retry, in thousandths.
const RETRY_PRICE: u32 = 1_000;

/// Most credit that is kept, in thousandths.
const RETRY_CREDIT_MAX: u32 = 10 * RETRY_PRICE;

/// One backend server with its limit key, so that the request path builds no keys.
#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) spec: BackendSpec,
    pub(super) key: LimitKey,
    pub(super) is_local: bool,
}

/// A daemon that may lend slots of the service.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Lender {
    pub(super) node: NodeId,
    pub(super) is_local: bool,
    pub(super) delay: Duration,
}

/// A hold that is released after its attempt ended, when the backend server has had time to stop the run.
#[derive(Debug)]
pub(super) struct LateHold {
    pub(super) at: Timestamp,
    pub(super) hold: Hold,
}

#[derive(Debug)]
pub(super) struct ServiceState<P> {
    pub(super) spec: ServiceSpec,
    pub(super) backends: Vec<BackendState>,
    pub(super) lenders: Vec<Lender>,
    pub(super) admission: AdmissionQueues,
    pub(super) routing: BackendSelector<P>,
    /// Requests that must run alone on a backend server.
    pub(super) alone: VecDeque<RequestId>,
    pub(super) late: Vec<LateHold>,
    /// When each lender was last asked in vain.
    pub(super) denied: BTreeMap<NodeId, Timestamp>,
    pub(super) response_bytes: u32,
    pub(super) running: u32,
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
            alone: VecDeque::new(),
            late: Vec::new(),
            denied: BTreeMap::new(),
            response_bytes: INITIAL_RESPONSE_BYTES,
            running: 0,
            retry_credit: RETRY_CREDIT_MAX,
        }
    }

    /// Takes a changed value over. Requests in the queues keep their places.
    pub(super) fn reconfigure(&mut self, spec: ServiceSpec) {
        self.admission.reconfigure(&AdmissionConfig::for_service(&spec));
        self.spec = spec;
    }

    /// Queues a request again that was started and did not run.
    pub(super) fn put_back(&mut self, pending: &Pending, now: Timestamp) {
        if pending.alone {
            self.alone.push_back(pending.req.id);
        } else {
            self.admission.requeue(pending.ticket(now));
        }
    }

    /// Takes a request out of the queues.
    pub(super) fn cancel(&mut self, id: RequestId) {
        self.admission.cancel(id);
        self.alone.retain(|waiting| *waiting != id);
    }

    pub(super) fn waiting(&self) -> usize {
        let queued = crate::id::Rank::ALL.iter().map(|rank| self.admission.waiting(*rank)).sum::<usize>();
        queued + self.alone.len()
    }

    pub(super) fn earn_retry(&mut self) {
        self.retry_credit = (self.retry_credit + RETRY_CREDIT_PER_SUCCESS).min(RETRY_CREDIT_MAX);
    }

    pub(super) fn pay_retry(&mut self) -> bool {
        let Some(rest) = self.retry_credit.checked_sub(RETRY_PRICE) else {
            return false;
        };
        self.retry_credit = rest;
        true
    }

    /// Keeps an exponentially weighted mean of answer sizes, which link shares are charged with in advance.
    pub(super) fn on_response(&mut self, bytes: u32) {
        let mean = u64::from(self.response_bytes) * 7 + u64::from(bytes);
        self.response_bytes = u32::try_from(mean / 8).unwrap_or(u32::MAX);
    }
}

/// Assumed size of an answer before any was seen, in bytes.
const INITIAL_RESPONSE_BYTES: u32 = 8 * 1024;
