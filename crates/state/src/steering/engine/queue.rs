//! Which requests are sent, wait or are refused.
//!
//! A request that cannot be served in time is refused at once. Only requests that are expected to be served wait, and
//! the most urgent ones leave the queue first.

use std::time::Duration;

use crate::id::{Backend, Service};
use crate::steering::engine::call::{Call, Decision, QueueTicket, Reason, Refusal, SelectedBackend};
use crate::steering::engine::times::RouteTimes;
use crate::steering::engine::{ServiceState, Steering};
use crate::steering::plan::Priority;
use crate::time::Timestamp;

/// Part of the remaining time after which a refused caller no longer comes back.
const RETURN_WITHIN: f64 = 0.33;

/// Factor on expected times where a late answer would be of no use: work that is cut off is lost.
const ESTIMATE_MARGIN: f64 = 1.15;

/// Expected time of an accepted answer relative to the objective of its route. Below one, since more answers are late
/// than early relative to the estimate, and an answer that is late delays others too.
const LATENESS_ACCEPTED: f64 = 0.9;

/// Time after which a caller may come back when no server is usable. Servers are checked several times in it.
const NO_SERVER_RETRY: Duration = Duration::from_millis(300);

/// Longest time in seconds that is expected for one turn of the queue, so that sums of turns stay usable as times.
const TURN_MAX: f64 = 60.0;

/// A request in the queue.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    call: Call,
    /// The server that was best when it was last looked at, and had no room.
    server: Backend,
}

impl ServiceState {
    /// Time in seconds until the next request of an priority leaves the queue.
    fn turn_time(&self, now: Timestamp, priority: Priority) -> f64 {
        let rate = self.releases.get(&priority).copied().unwrap_or_default().per_second(now);
        (1.0 / rate).min(TURN_MAX)
    }
}

impl Steering {
    /// Places a request, for the first time or again after a send that did not run it or that may be repeated.
    pub fn place(&mut self, now: Timestamp, call: &Call) -> Decision {
        if self.poison.refuses(now, call.fingerprint) {
            return self.refuse(now, call, Reason::Poison, Duration::ZERO);
        }
        if call.tried_backends.len() >= call.route.max_attempts as usize && !call.tried_backends.is_empty() {
            return self.refuse(now, call, Reason::Attempts, Duration::ZERO);
        }
        if !call.tried_backends.is_empty() {
            let (limits, daemons) = (self.cfg.retries, self.daemons);
            if !self.service_state(&call.service).budget.take(now, &limits, daemons) {
                return self.refuse(now, call, Reason::RetryBudget, Duration::ZERO);
            }
        }
        self.shift.advance(now);
        let ahead = self.ahead(call);
        match self.choose(now, call) {
            Some(best) if best.has_room && (ahead == 0 || !self.yields(now, call)) => {
                let choice = best.choice();
                if !self.is_acceptable(now, call, best.latency, best.wait) {
                    let room = Duration::from_secs_f64(best.wait);
                    return self.refuse(now, call, Reason::Overload, room);
                }
                self.send(now, call, choice)
            }
            Some(best) => {
                let wait = self.queue_wait(now, call).max(best.wait);
                let latency = best.latency_behind(wait);
                if !self.is_acceptable(now, call, latency, wait) {
                    return self.refuse(now, call, Reason::Overload, Duration::from_secs_f64(wait));
                }
                let server = best.server.entry.id.clone();
                self.enqueue(call, server)
            }
            None => self.refuse(now, call, Reason::NoServer, NO_SERVER_RETRY),
        }
    }

    fn send(&mut self, now: Timestamp, call: &Call, choice: SelectedBackend) -> Decision {
        if let Some(server) = self.fleet.get_mut(&choice.backend) {
            server.sent(now);
            server.warm.touch(call.object);
            self.shift.sent(now, &server.entry.region);
        }
        let state = self.service_state(&call.service);
        state.releases.entry(call.route.priority).or_default().add(now);
        Decision::Send(choice)
    }

    fn enqueue(&mut self, call: &Call, server: Backend) -> Decision {
        let ticket = QueueTicket { priority: call.route.priority, number: self.next_ticket };
        self.next_ticket += 1;
        let waiting = Waiting { call: call.clone(), server };
        self.service_state(&call.service).waiting.insert(ticket, waiting);
        Decision::Wait(ticket)
    }

    fn refuse(&mut self, now: Timestamp, call: &Call, reason: Reason, room: Duration) -> Decision {
        let patience = call.deadline.since(now).mul_f64(RETURN_WITHIN);
        let slots: u32 = self.fleet.of(&call.service).iter().map(|s| s.entry.slots).sum();
        // All daemons give turns on the same slots.
        let daemons = self.daemons as f64;
        let state = self.service_state(&call.service);
        let spacing = Duration::from_secs_f64(state.run.value * daemons / f64::from(slots.max(1)));
        let retry_after = state.returns.turn(now, room, spacing, patience);
        Decision::Refuse(Refusal { reason, retry_after })
    }

    /// Requests that leave the queue before this one.
    fn ahead(&self, call: &Call) -> usize {
        let Some(state) = self.services.get(&call.service) else {
            return 0;
        };
        state.waiting.keys().filter(|t| t.priority <= call.route.priority).count()
    }

    /// Whether a request that would wait `wait` of `latency` seconds is taken. A fresh request that cannot be answered
    /// within its objective is refused if it would also delay others; one that returns has missed the objective already.
    fn is_acceptable(&self, now: Timestamp, call: &Call, latency: f64, wait: f64) -> bool {
        // A guess that is too high would refuse all requests of a new route, so that it would never be corrected.
        let is_measured = self.times.get(&call.route.name).is_some_and(RouteTimes::is_measured);
        if is_measured && !is_servable(now, call, latency) {
            return false;
        }
        let elapsed = now.since(call.arrived_at).as_secs_f64();
        let limit = call.route.latency_objective.as_secs_f64() * LATENESS_ACCEPTED;
        wait <= 0.0 || call.previously_refused || elapsed + latency <= limit
    }

    /// Expected wait in seconds of a request behind those that leave the queue before it.
    fn queue_wait(&self, now: Timestamp, call: &Call) -> f64 {
        let Some(state) = self.services.get(&call.service) else {
            return 0.0;
        };
        let ahead = state.waiting.keys().take_while(|t| t.priority <= call.route.priority);
        ahead.map(|t| state.turn_time(now, t.priority)).sum()
    }

    /// Requests of the queue that can be sent now or must be refused. Call after each end of a send and regularly.
    ///
    /// After an end only the requests that wait for its server are looked at; all of them are after each
    /// [`tick`](Self::tick), since the loads that other daemons cause change without an event.
    pub fn poll_queue(&mut self, now: Timestamp) -> Vec<(QueueTicket, Decision)> {
        let mut out = Vec::new();
        let services: Vec<Service> =
            self.services.iter().filter(|(_, s)| !s.waiting.is_empty()).map(|(n, _)| n.clone()).collect();
        for service in services {
            self.ready_of(now, &service, &mut out);
        }
        self.changed.clear();
        self.recheck_all = false;
        out
    }

    fn ready_of(&mut self, now: Timestamp, service: &Service, out: &mut Vec<(QueueTicket, Decision)>) {
        self.shift.advance(now);
        let tickets: Vec<QueueTicket> =
            self.services.get(service).map(|s| s.waiting.keys().copied().collect()).unwrap_or_default();
        let mut blocked = None;
        let mut wait = 0.0;
        for ticket in tickets {
            let turn = self.services.get(service).map_or(0.0, |s| s.turn_time(now, ticket.priority));
            // A request that finds no room keeps the room from less urgent ones.
            if blocked.is_some_and(|priority| ticket.priority > priority) {
                if !self.recheck_all {
                    break;
                }
                out.extend(self.refuse_hopeless(now, service, ticket, wait).map(|refusal| (ticket, refusal)));
                wait += turn;
                continue;
            }
            let Some(call) = self.due_call(service, ticket) else {
                blocked = Some(ticket.priority);
                wait += turn;
                continue;
            };
            let decision = match self.choose(now, &call) {
                Some(best) if best.has_room && is_servable(now, &call, best.latency) => {
                    let choice = best.choice();
                    self.send(now, &call, choice)
                }
                Some(best) if !best.has_room && is_servable(now, &call, best.latency_behind(wait)) => {
                    let server = best.server.entry.id.clone();
                    self.wait_for(service, ticket, server);
                    blocked = Some(ticket.priority);
                    wait += turn;
                    continue;
                }
                Some(_) => self.refuse(now, &call, Reason::Overload, Duration::ZERO),
                None => self.refuse(now, &call, Reason::NoServer, NO_SERVER_RETRY),
            };
            if let Some(state) = self.services.get_mut(service) {
                state.waiting.remove(&ticket);
            }
            out.push((ticket, decision));
        }
    }

    /// Refuses a request that waits behind more urgent ones, if it would be answered too late after another `wait` seconds.
    fn refuse_hopeless(
        &mut self,
        now: Timestamp,
        service: &Service,
        ticket: QueueTicket,
        wait: f64,
    ) -> Option<Decision> {
        let call = self.due_call(service, ticket)?;
        if is_servable(now, &call, wait + self.work(&call, 1.0)) {
            return None;
        }
        self.cancel_queued(service, ticket);
        Some(self.refuse(now, &call, Reason::Overload, Duration::from_secs_f64(wait)))
    }

    /// The request with this ticket, if it must be looked at.
    fn due_call(&self, service: &Service, ticket: QueueTicket) -> Option<Call> {
        let waiting = self.services.get(service)?.waiting.get(&ticket)?;
        let is_due = self.recheck_all || self.changed.contains(&waiting.server);
        is_due.then(|| waiting.call.clone())
    }

    fn wait_for(&mut self, service: &Service, ticket: QueueTicket, server: Backend) {
        if let Some(waiting) = self.services.get_mut(service).and_then(|s| s.waiting.get_mut(&ticket)) {
            waiting.server = server;
        }
    }

    /// A waiting request is withdrawn, since its caller has left.
    pub fn cancel_queued(&mut self, service: &Service, ticket: QueueTicket) {
        if let Some(state) = self.services.get_mut(service) {
            state.waiting.remove(&ticket);
        }
    }
}

/// Whether an answer after `latency` seconds still reaches the caller.
fn is_servable(now: Timestamp, call: &Call, latency: f64) -> bool {
    latency * ESTIMATE_MARGIN < call.deadline.since(now).as_secs_f64()
}
