//! Authentication of client requests by API key.
//!
//! Keys are looked up in the configuration in effect, at the arrival of a request and again before each send, so that a key
//! that a version removed is not used by requests that wait. Keys are never logged.

use std::rc::Rc;

use derive_more::Display;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue, WWW_AUTHENTICATE};
use medlarstair_state::steering::accounts::{Account, Accounts};
use medlarstair_state::steering::engine::Reason;
use medlarstair_state::steering::plan::{Plan, Route};

use crate::adapter::{Adapter, ClientKey};
use crate::control::empty_response;
use crate::eventlog::EventCode;
use crate::forward::ClientResponse;
use crate::shared::Shared;

/// Reason why a request was not authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum KeyFault {
    /// The request has no key.
    #[display("missing-key")]
    Missing,
    /// The request has more than one key.
    #[display("repeated-key")]
    Repeated,
    /// The header of the key has another form.
    #[display("malformed-key")]
    Malformed,
    /// No account has the key.
    #[display("unknown-key")]
    Unknown,
}

/// Determines the account of a request. A request of a public route has none if its key is missing or not usable, and no
/// request has one if the configuration lists no accounts.
///
/// # Errors
///
/// [`KeyFault`] if the route is not public and the request has no usable key.
pub fn authenticate<A: Adapter>(
    adapter: &A,
    plan: &Plan,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Rc<Account>>, KeyFault> {
    if !plan.accounts().is_configured() {
        return Ok(None);
    }
    let found = match adapter.client_key(headers) {
        ClientKey::Missing => Err(KeyFault::Missing),
        ClientKey::Repeated => Err(KeyFault::Repeated),
        ClientKey::Malformed => Err(KeyFault::Malformed),
        ClientKey::Key(key) => plan.account_of_key(key).ok_or(KeyFault::Unknown),
    };
    match found {
        Ok(id) => Ok(Some(Rc::clone(plan.account(id)))),
        Err(_) if route.public => Ok(None),
        Err(fault) => Err(fault),
    }
}

/// Checks that the key of a request still belongs to its account in the configuration in effect.
///
/// # Errors
///
/// The [`Reason`] for which the request must be refused.
pub fn check_still_valid<A: Adapter>(
    shared: &Shared<A>,
    account: &Account,
    headers: &HeaderMap,
) -> Result<(), Reason> {
    let ClientKey::Key(key) = shared.adapter.client_key(headers) else {
        return Err(Reason::Revoked);
    };
    let steering = shared.steering.borrow();
    let plan = steering.plan().ok_or(Reason::NoPlan)?;
    match plan.account_of_key(key) {
        Some(id) if plan.account(id).name == account.name => Ok(()),
        Some(_) => Err(Reason::KeyMoved),
        None => Err(Reason::Revoked),
    }
}

/// Creates the response to a request that was not authenticated.
pub fn unauthorized_response() -> ClientResponse {
    let mut res = empty_response(StatusCode::UNAUTHORIZED);
    res.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    res
}

/// Counts and logs a request that was rejected because of its account. `account` is `None` if it is not known.
pub fn record_rejection<A: Adapter>(
    shared: &Shared<A>,
    route: &Route,
    account: Option<&Account>,
    reason: &str,
    request: &str,
) {
    shared.metrics.account_rejections.with_label_values(&[reason]).inc();
    if let Some(log) = shared.events.admit(shared.now(), EventCode(544)) {
        slog::info!(log, "request of an account rejected"; "code" => 544, "request" => request,
            "route" => &*route.name, "account" => account.map_or("-", |a| a.name.as_str()), "reason" => reason);
    }
}

/// Counts and logs the faults in the accounts of a configuration version that came into effect.
pub fn record_faults<A: Adapter>(shared: &Shared<A>, accounts: &Accounts) {
    for fault in accounts.faults() {
        let kind = fault.kind.to_string();
        shared.metrics.account_faults.with_label_values(&[&kind]).inc();
        if let Some(log) = shared.events.admit(shared.now(), EventCode(512)) {
            slog::warn!(log, "client account is faulty"; "code" => 512, "position" => fault.account.0,
                "fault" => kind);
        }
    }
}
