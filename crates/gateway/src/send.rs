//! The result of a send, and guards that report a send or a wait in the queue that is broken off.

use hyper::http::response;
use medlarstair_state::steering::{Call, Decision, QueueTicket, SelectedBackend, SendOutcome};
use tokio::sync::oneshot;

use crate::adapter::{Adapter, ResponseMetadata};
use crate::body::Segments;
use crate::memory::Holding;
use crate::shared::Shared;

/// A response that was received completely. Its memory is released on drop.
pub(crate) struct HeldResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Segments,
    pub(crate) holding: Option<Holding>,
}

/// Result of sending a request to a backend server once.
pub(crate) enum SendResult {
    /// The server responded.
    Response(Box<HeldResponse>, ResponseMetadata),
    /// The server did not run the request.
    NotRun(SendOutcome),
    /// The server may have run the request, but there is no valid response.
    Unknown(SendOutcome),
}

impl SendResult {
    /// Whether the server has not run the request.
    pub(crate) fn is_certainly_not_run(&self) -> bool {
        match self {
            Self::Response(_, metadata) => metadata.misdirected || metadata.not_run,
            Self::NotRun(_) => true,
            Self::Unknown(_) => false,
        }
    }
}

/// Removes a request from the queue when it is dropped, also if the client disconnects. A decision to send that was not
/// received is reported as a cancelled send.
pub(crate) struct QueueGuard<'a, A: Adapter> {
    pub(crate) shared: &'a Shared<A>,
    pub(crate) call: &'a Call,
    pub(crate) ticket: QueueTicket,
    pub(crate) rx: oneshot::Receiver<Decision>,
}

impl<A: Adapter> Drop for QueueGuard<'_, A> {
    fn drop(&mut self) {
        self.shared.remove_waiter(self.ticket);
        let mut steering = self.shared.steering.borrow_mut();
        steering.cancel_queued(&self.call.service, self.ticket);
        if let Ok(Decision::Send(choice)) = self.rx.try_recv() {
            steering.record_outcome(self.shared.now(), self.call, &choice, SendOutcome::Cancelled);
        }
    }
}

/// Reports the outcome of a send to the steering logic when it is dropped, also if the client disconnects.
pub(crate) struct SendGuard<'a, A: Adapter> {
    pub(crate) shared: &'a Shared<A>,
    pub(crate) call: &'a Call,
    pub(crate) choice: &'a SelectedBackend,
    pub(crate) outcome: SendOutcome,
}

impl<A: Adapter> Drop for SendGuard<'_, A> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.steering.borrow_mut().record_outcome(now, self.call, self.choice, self.outcome);
        self.shared.deliver_decisions();
    }
}
