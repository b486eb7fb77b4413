//! Decides which requests are sent, queued or refused.
//!
//! A request that cannot be served in time is refused immediately. Only requests that are expected to be served in time
//! are queued, and the most urgent ones leave the queue first.

use std::time::Duration;

use crate::id::{Backend, Service};
use crate::steering::engine::call::{Call, Decision, QueueTicket, Reason, Refusal, SelectedBackend};
use crate::steering::engine::estimates::WorkEstimates;
use crate::steering::engine::{ServiceState, Steering};
use crate::steering::plan::Priority;
use crate::time::Timestamp;

/// Maximum retry delay, as a fraction of the time until the deadline of the request. Clients do not retry after a
/// longer delay.
const MAX_RETRY_DELAY_FRACTION: f64 = 0.33;

/// Safety factor on the expected latency when it is compared with the deadline: the work of a request that misses its
/// deadline is wasted.
const LATENCY_SAFETY_FACTOR: f64 = 1.15;

/// Maximum expected latency of an accepted request, relative to the latency objective of its route. Less than 1,
/// because more responses are later than estimated than earlier, and a late one also delays other requests.
const MAX_LATENCY_FRACTION: f64 = 0.9;

/// Capacity delay of a refusal because no server is usable. Servers are checked several times within it.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum assumed time between two sends of one priority, in seconds, so that sums of it can be converted to
/// durations.
const MAX_DISPATCH_INTERVAL_SECONDS: f64 = 60.0;

/// A queued request.
#[derive(Debug, Clone)]
pub(super) struct QueuedRequest {
    call: Call,
    /// The server that was selected when the request was last checked, and was at capacity.
    awaited_server: Backend,
}

impl ServiceState {
    /// Expected time in seconds between two sends of requests of a priority.
    fn dispatch_interval(&self, now: Timestamp, priority: Priority) -> f64 {
        let rate = self.dispatch_rates.get(&priority).copied().unwrap_or_default().per_second(now);
        (1.0 / rate).min(MAX_DISPATCH_INTERVAL_SECONDS)
    }
}

impl Steering {
    /// Decides about a request: for the first time, or again after a send that did not run it or that may be retried.
    pub fn decide(&mut self, now: Timestamp, call: &Call) -> Decision {
        if self.poison.refuses(now, call.fingerprint) {
            return self.refuse(now, call, Reason::Poison, Duration::ZERO);
        }
        if call.tried_backends.len() >= call.route.max_attempts as usize && !call.tried_backends.is_empty() {
            return self.refuse(now, call, Reason::Attempts, Duration::ZERO);
        }
        if !call.tried_backends.is_empty() {
            let (limits, daemons) = (self.cfg.retries, self.daemons);
            if !self.service_state(&call.service).retry_budget.try_take(now, &limits, daemons) {
                return self.refuse(now, call, Reason::RetryBudget, Duration::ZERO);
            }
        }
        self.shift_limiter.advance(now);
        let ahead = self.queued_ahead(call);
        match self.select_backend(now, call) {
            Some(best) if best.has_capacity && (ahead == 0 || !self.must_reserve_slots(now, call)) => {
                let selected = best.to_selected();
                if !self.is_acceptable(now, call, best.latency, best.wait) {
                    let capacity_delay = Duration::from_secs_f64(best.wait);
                    return self.refuse(now, call, Reason::Overload, capacity_delay);
                }
                self.send(now, call, selected)
            }
            Some(best) => {
                let wait = self.queue_wait(now, call).max(best.wait);
                let latency = best.latency_after(wait);
                if !self.is_acceptable(now, call, latency, wait) {
                    return self.refuse(now, call, Reason::Overload, Duration::from_secs_f64(wait));
                }
                let server = best.server.entry.id.clone();
                self.enqueue(call, server)
            }
            None => self.refuse_without_server(now, call),
        }
    }

    /// Records that the request is sent to the selected server.
    fn send(&mut self, now: Timestamp, call: &Call, selected: SelectedBackend) -> Decision {
        if let Some(server) = self.fleet.get_mut(&selected.backend) {
            server.record_send(now);
            server.warm.touch(call.object);
            self.shift_limiter.record_send(now, &server.entry.region);
        }
        let state = self.service_state(&call.service);
        state.dispatch_rates.entry(call.route.priority).or_default().add(now);
        Decision::Send(selected)
    }

    /// Queues a request until the server has capacity for it.
    fn enqueue(&mut self, call: &Call, awaited_server: Backend) -> Decision {
        let ticket = QueueTicket { priority: call.route.priority, number: self.next_ticket };
        self.next_ticket += 1;
        let queued = QueuedRequest { call: call.clone(), awaited_server };
        self.service_state(&call.service).queue.insert(ticket, queued);
        Decision::Wait(ticket)
    }

    /// Refuses a request because no server is usable. If that is because of pauses, the delay is that until the first end.
    fn refuse_without_server(&mut self, now: Timestamp, call: &Call) -> Decision {
        let servers = self.fleet.servers_of(&call.service).iter();
        let paused = servers.filter(|s| s.is_paused(now) && self.is_destination(call, s));
        match paused.filter_map(|s| s.paused_until()).min() {
            Some(end) => self.refuse(now, call, Reason::Paused, end.since(now)),
            None => self.refuse(now, call, Reason::NoServer, NO_SERVER_RETRY_DELAY),
        }
    }

    /// Refuses a request for which capacity is expected after `capacity_delay`.
    fn refuse(&mut self, now: Timestamp, call: &Call, reason: Reason, capacity_delay: Duration) -> Decision {
        let max_delay = call.deadline.since(now).mul_f64(MAX_RETRY_DELAY_FRACTION);
        let slots = self.fleet.slots_of(&call.service);
        // All daemons schedule retries on the same slots.
        let daemons = self.daemons as f64;
        let state = self.service_state(&call.service);
        let spacing = Duration::from_secs_f64(state.run_time.value * daemons / slots.max(1.0));
        let retry_after = state.retry_schedule.next_delay(now, capacity_delay, spacing, max_delay);
        Decision::Refuse(Refusal { reason, retry_after })
    }

    /// Number of queued requests that will be sent before this one.
    fn queued_ahead(&self, call: &Call) -> usize {
        let Some(state) = self.services.get(&call.service) else {
            return 0;
        };
        state.queue.keys().filter(|t| t.priority <= call.route.priority).count()
    }

    /// Whether to accept a request whose expected latency is `latency` seconds, of which it would wait `wait` seconds.
    ///
    /// A request that would miss its latency objective is refused if it has to wait, because it would also delay
    /// others. A retry after a refusal is accepted, because it has missed the objective already.
    fn is_acceptable(&self, now: Timestamp, call: &Call, latency: f64, wait: f64) -> bool {
        // An initial estimate that is too high would refuse all requests of a new route and would never be corrected.
        let is_measured = self.work_estimates.get(&call.route.name).is_some_and(WorkEstimates::is_measured);
        if is_measured && !meets_deadline(now, call, latency) {
            return false;
        }
        let elapsed = now.since(call.arrived_at).as_secs_f64();
        let limit = call.route.latency_objective.as_secs_f64() * MAX_LATENCY_FRACTION;
        wait <= 0.0 || call.previously_refused || elapsed + latency <= limit
    }

    /// Expected time in seconds until all queued requests ahead of this one have been sent.
    fn queue_wait(&self, now: Timestamp, call: &Call) -> f64 {
        let Some(state) = self.services.get(&call.service) else {
            return 0.0;
        };
        let ahead = state.queue.keys().take_while(|t| t.priority <= call.route.priority);
        ahead.map(|t| state.dispatch_interval(now, t.priority)).sum()
    }

    /// Removes the requests from the queue that can be sent now or must be refused, with the decisions about them. Call
    /// after each send that has ended and periodically.
    ///
    /// After the end of a send, only the requests that wait for its server are checked. After each [`tick`](Self::tick)
    /// all requests are checked, because the load from other daemons changes without an event.
    pub fn poll_queue(&mut self, now: Timestamp) -> Vec<(QueueTicket, Decision)> {
        let mut out = Vec::new();
        let services: Vec<Service> =
            self.services.iter().filter(|(_, s)| !s.queue.is_empty()).map(|(n, _)| n.clone()).collect();
        for service in services {
            self.poll_service(now, &service, &mut out);
        }
        self.changed_servers.clear();
        self.recheck_all = false;
        out
    }

    /// Checks the queue of one service, the most urgent requests first.
    fn poll_service(&mut self, now: Timestamp, service: &Service, out: &mut Vec<(QueueTicket, Decision)>) {
        self.shift_limiter.advance(now);
        let tickets: Vec<QueueTicket> =
            self.services.get(service).map(|s| s.queue.keys().copied().collect()).unwrap_or_default();
        let mut blocked_priority = None;
        let mut wait = 0.0;
        for ticket in tickets {
            let interval =
                self.services.get(service).map_or(0.0, |s| s.dispatch_interval(now, ticket.priority));
            // No request overtakes a more urgent one that finds no capacity.
            if blocked_priority.is_some_and(|priority| ticket.priority > priority) {
                if !self.recheck_all {
                    break;
                }
                out.extend(
                    self.refuse_if_too_late(now, service, ticket, wait).map(|refusal| (ticket, refusal)),
                );
                wait += interval;
                continue;
            }
            let Some(call) = self.call_to_check(service, ticket) else {
                blocked_priority = Some(ticket.priority);
                wait += interval;
                continue;
            };
            let decision = match self.select_backend(now, &call) {
                Some(best) if best.has_capacity && meets_deadline(now, &call, best.latency) => {
                    let selected = best.to_selected();
                    self.send(now, &call, selected)
                }
                Some(best) if !best.has_capacity && meets_deadline(now, &call, best.latency_after(wait)) => {
                    let server = best.server.entry.id.clone();
                    self.set_awaited_server(service, ticket, server);
                    blocked_priority = Some(ticket.priority);
                    wait += interval;
                    continue;
                }
                Some(_) => self.refuse(now, &call, Reason::Overload, Duration::ZERO),
                None => self.refuse_without_server(now, &call),
            };
            if let Some(state) = self.services.get_mut(service) {
                state.queue.remove(&ticket);
            }
            out.push((ticket, decision));
        }
    }

    /// Refuses a request behind more urgent ones if it would miss its deadline after waiting another `wait` seconds.
    fn refuse_if_too_late(
        &mut self,
        now: Timestamp,
        service: &Service,
        ticket: QueueTicket,
        wait: f64,
    ) -> Option<Decision> {
        let call = self.call_to_check(service, ticket)?;
        if meets_deadline(now, &call, wait + self.expected_work(&call, 1.0)) {
            return None;
        }
        self.cancel_queued(service, ticket);
        Some(self.refuse(now, &call, Reason::Overload, Duration::from_secs_f64(wait)))
    }

    /// The request with this ticket, if it must be checked now.
    fn call_to_check(&self, service: &Service, ticket: QueueTicket) -> Option<Call> {
        let queued = self.services.get(service)?.queue.get(&ticket)?;
        let is_due = self.recheck_all || self.changed_servers.contains(&queued.awaited_server);
        is_due.then(|| queued.call.clone())
    }

    fn set_awaited_server(&mut self, service: &Service, ticket: QueueTicket, server: Backend) {
        if let Some(queued) = self.services.get_mut(service).and_then(|s| s.queue.get_mut(&ticket)) {
            queued.awaited_server = server;
        }
    }

    /// Removes a queued request whose client has disconnected.
    pub fn cancel_queued(&mut self, service: &Service, ticket: QueueTicket) {
        if let Some(state) = self.services.get_mut(service) {
            state.queue.remove(&ticket);
        }
    }
}

/// Whether a response after `latency` seconds would be in time for the deadline.
fn meets_deadline(now: Timestamp, call: &Call, latency: f64) -> bool {
    latency * LATENCY_SAFETY_FACTOR < call.deadline.since(now).as_secs_f64()
}
