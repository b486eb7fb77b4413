//! Exchange of quota messages with other daemons in UDP datagrams, and the units that requests take from a quota.
//!
//! A datagram that is lost is repaired by the next, so none is acknowledged or sent again.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use medlarstair_state::steering::accounts::Account;
use medlarstair_state::steering::plan::Route;
use medlarstair_state::steering::quota::{Datagram, Exceeded, Outgoing};

use crate::accounts;
use crate::adapter::Adapter;
use crate::eventlog::EventCode;
use crate::peers::{PeerMessage, log_ignored};
use crate::shared::Shared;

/// Handles a message of another daemon.
pub fn handle<A: Adapter>(shared: &Shared<A>, from: SocketAddr, datagram: &Datagram) {
    if shared.members.borrow().peer_address(datagram.sender()) != Some(from) {
        return log_ignored(shared, from, "the address is not that of a listed sender");
    }
    let received = shared.quotas.borrow_mut().receive(shared.now(), datagram);
    match received {
        Ok(Some(answer)) => send(shared, answer),
        Ok(None) => {}
        Err(cause) => log_ignored(shared, from, &cause.to_string()),
    }
}

/// Sends the reports that are due. Call periodically.
pub fn send_reports<A: Adapter>(shared: &Shared<A>) {
    let due = shared.quotas.borrow_mut().tick(shared.now());
    for message in due {
        send(shared, message);
    }
}

/// Sends a message without waiting. One to a daemon that is no longer listed is dropped.
fn send<A: Adapter>(shared: &Shared<A>, message: Outgoing) {
    let address = shared.members.borrow().peer_address(message.to);
    if let (Some(socket), Some(address)) = (shared.peer_socket.get(), address) {
        socket.send(shared, &[address], &PeerMessage::Quota(message.datagram));
    }
}

/// Unit that a request took from the quota of its account. It is returned when it is dropped, unless the request may have
/// run.
pub struct QuotaUnit<A: Adapter> {
    shared: Rc<Shared<A>>,
    account: Rc<Account>,
    may_have_run: Cell<bool>,
}

impl<A: Adapter> QuotaUnit<A> {
    /// Takes a unit for a request that arrives.
    ///
    /// # Errors
    ///
    /// [`Exceeded`] if the quota is used up.
    pub fn take(shared: &Rc<Shared<A>>, account: &Rc<Account>) -> Result<Self, Exceeded> {
        shared.quotas.borrow_mut().admit(shared.now(), account)?;
        Ok(Self { shared: Rc::clone(shared), account: Rc::clone(account), may_have_run: Cell::new(false) })
    }

    /// Account of the request.
    pub fn account(&self) -> &Rc<Account> {
        &self.account
    }

    /// Counts a send to a server.
    ///
    /// # Errors
    ///
    /// [`Exceeded`] if the quota is used up.
    pub fn send(&self) -> Result<SentUnit<'_, A>, Exceeded> {
        self.shared.quotas.borrow_mut().send(self.shared.now(), &self.account)?;
        Ok(SentUnit { unit: self, may_have_run_before: self.may_have_run.replace(true) })
    }
}

impl<A: Adapter> Drop for QuotaUnit<A> {
    fn drop(&mut self) {
        if !self.may_have_run.get() {
            self.shared.quotas.borrow_mut().refund_arrival(self.shared.now(), &self.account);
        }
    }
}

/// Unit of a send.
pub struct SentUnit<'a, A: Adapter> {
    unit: &'a QuotaUnit<A>,
    may_have_run_before: bool,
}

impl<A: Adapter> SentUnit<'_, A> {
    /// Returns the unit, since the server has not run the request.
    pub fn refund(self) {
        let QuotaUnit { shared, account, may_have_run } = self.unit;
        shared.quotas.borrow_mut().refund_send(shared.now(), account);
        may_have_run.set(self.may_have_run_before);
    }
}

/// Counts and logs a request over the quota of its account.
pub fn record_exceeded<A: Adapter>(
    shared: &Shared<A>,
    route: &Route,
    account: &Account,
    exceeded: Exceeded,
    request: &str,
) {
    accounts::record_rejection(shared, route, Some(account), "quota", request);
    let Some(log) = shared.events.admit(shared.now(), EventCode(545)) else {
        return;
    };
    let share = shared.quotas.borrow().share(shared.now(), account);
    slog::info!(log, "quota of account exceeded"; "code" => 545, "request" => request,
        "account" => %account.name, "rate" => account.quota.map_or(0.0, |quota| quota.rate.0),
        "share" => share.unwrap_or_default(), "retry_after_ms" => exceeded.retry_after.as_millis());
}
