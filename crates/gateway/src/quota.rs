//! Exchange of quota messages with other daemons in UDP datagrams, and the units that requests take from a quota.
//!
//! Datagrams are encoded with `postcard`. One that is lost is repaired by the next, so none is acknowledged or sent again.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use medlarstair_state::steering::accounts::Account;
use medlarstair_state::steering::plan::Route;
use medlarstair_state::steering::quota::{Datagram, Exceeded, Ignored, Outgoing};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::accounts;
use crate::adapter::Adapter;
use crate::eventlog::EventCode;
use crate::shared::Shared;

/// Maximum size of a datagram in bytes. It fits into one packet on any link.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Backoff after an error of the socket.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(20);

/// A datagram was not sent.
#[derive(Debug, Display, Error, From)]
enum SendError {
    /// The receiver is no longer listed.
    #[display("the daemon is not listed with an address")]
    NoAddress,
    /// The message could not be encoded.
    #[display("encoding failed: {_0}")]
    Encoding(postcard::Error),
    /// The socket reported an error.
    #[display("{_0}")]
    Socket(io::Error),
}

/// A received datagram was not used.
#[derive(Debug, Display, Error, From)]
enum ReceiveError {
    /// The datagram is longer than allowed.
    #[display("the datagram is too long")]
    TooLong,
    /// The datagram is no valid message.
    #[display("invalid message: {_0}")]
    Invalid(postcard::Error),
    /// The message was ignored.
    #[display("{_0}")]
    Ignored(Ignored),
}

/// Receives and answers datagrams until the daemon exits.
pub async fn receive<A: Adapter>(shared: Rc<Shared<A>>) {
    let Some(socket) = shared.peer_socket.get() else {
        return;
    };
    // One more byte than a valid datagram has, to recognize longer ones.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => handle(&shared, &buf[..length], from),
            Err(e) => {
                log_unsent(&shared, &SendError::Socket(e));
                sleep(RECEIVE_BACKOFF).await;
            }
        }
    }
}

fn handle<A: Adapter>(shared: &Shared<A>, datagram: &[u8], from: SocketAddr) {
    shared.metrics.quota_bytes.with_label_values(&["received"]).inc_by(datagram.len() as u64);
    match decode_and_apply(shared, datagram) {
        Ok(answer) => {
            shared.metrics.quota_messages.with_label_values(&["received"]).inc();
            if let Some(answer) = answer {
                send(shared, &answer);
            }
        }
        Err(cause) => {
            let kind = if matches!(cause, ReceiveError::Ignored(_)) { "ignored" } else { "invalid" };
            shared.metrics.quota_messages.with_label_values(&[kind]).inc();
            if let Some(log) = shared.events.admit(shared.now(), EventCode(565)) {
                slog::warn!(log, "quota message not used"; "code" => 565, "from" => %from, "cause" => %cause);
            }
        }
    }
}

fn decode_and_apply<A: Adapter>(shared: &Shared<A>, bytes: &[u8]) -> Result<Option<Outgoing>, ReceiveError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(ReceiveError::TooLong);
    }
    let datagram: Datagram = postcard::from_bytes(bytes)?;
    Ok(shared.quotas.borrow_mut().receive(shared.now(), &datagram)?)
}

/// Sends the reports that are due. Call periodically.
pub fn send_reports<A: Adapter>(shared: &Shared<A>) {
    let due = shared.quotas.borrow_mut().tick(shared.now());
    for message in due {
        send(shared, &message);
    }
}

fn send<A: Adapter>(shared: &Shared<A>, message: &Outgoing) {
    match try_send(shared, message) {
        Ok(length) => {
            shared.metrics.quota_messages.with_label_values(&["sent"]).inc();
            shared.metrics.quota_bytes.with_label_values(&["sent"]).inc_by(length as u64);
        }
        Err(cause) => log_unsent(shared, &cause),
    }
}

/// Sends a message without waiting. Returns its length.
fn try_send<A: Adapter>(shared: &Shared<A>, message: &Outgoing) -> Result<usize, SendError> {
    let address = shared.members.borrow().peer_address(message.to).ok_or(SendError::NoAddress)?;
    let socket = shared.peer_socket.get().ok_or(SendError::NoAddress)?;
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    let bytes = postcard::to_slice(&message.datagram, &mut buf)?;
    Ok(socket.try_send_to(bytes, address)?)
}

fn log_unsent<A: Adapter>(shared: &Shared<A>, cause: &SendError) {
    shared.metrics.quota_messages.with_label_values(&["unsent"]).inc();
    if let Some(log) = shared.events.admit(shared.now(), EventCode(566)) {
        slog::warn!(log, "quota message not sent"; "code" => 566, "cause" => %cause);
    }
}

/// Binds the socket for messages of other daemons, if the settings have an address.
///
/// # Errors
///
/// Any I/O error, for example if the address is in use.
pub async fn bind<A: Adapter>(shared: &Rc<Shared<A>>) -> io::Result<()> {
    let Some(address) = shared.cfg.peer_address else {
        return Ok(());
    };
    let socket = UdpSocket::bind(address).await?;
    if shared.peer_socket.set(socket).is_ok() {
        actix_rt::spawn(receive(Rc::clone(shared)));
    }
    Ok(())
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
        "account" => %account.name, "rate_per_s" => account.quota.map_or(0.0, |quota| quota.rate.0),
        "share" => share.unwrap_or_default(), "retry_after_ms" => exceeded.retry_after.as_millis());
}
