//! Decides which requests are sent, queued or refused.
//!
//! A request that cannot be served in time is refused immediately. Only requests that are expected to be served in time
//! are queued, and the most urgent ones leave the queue first.

use std::time::Duration;

use crate::id::{Backend, Service};
use crate::steering::admission::{Estimate, Offer, Verdict};
use crate::steering::engine::call::{Call, Decision, QueueTicket, Reason, Refusal, SelectedBackend};
use crate::steering::engine::estimates::WorkEstimates;
use crate::steering::engine::selection::Candidate;
use crate::steering::engine::{ServiceState, Steering};
use crate::steering::plan::Priority;
use crate::time::Timestamp;

/// Maximum retry delay, as a fraction of the time until the deadline of the request. Clients do not retry after a
/// longer delay.
const MAX_RETRY_DELAY_FRACTION: f64 = 0.33;

/// Capacity delay of a refusal because no server is usable. Servers are checked several times within it.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum assumed time between two sends of one priority, in seconds, so that sums of it can be converted to
/// durations.
const MAX_DISPATCH_INTERVAL_SECONDS: f64 = 60.0;

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
        let Some(best) = self.select_backend(now, call) else {
            return self.refuse_without_server(now, call);
        };
        let has_precedence = !self.has_queued_ahead(call) || !self.must_reserve_slots(now, call);
        let has_capacity = best.has_capacity && has_precedence;
        let wait = if has_capacity { best.wait } else { self.queue_wait(now, call).max(best.wait) };
        let estimate = self.estimate(call, &best, wait, has_capacity);
        let selected = best.to_selected();
        let value = offer(now, call).value_per_slot_second(&estimate);
        self.service_state(&call.service).value_threshold.record_offer(value);
        match offer(now, call).decide(&estimate, self.value_threshold(now, call)) {
            Verdict::Start => self.send(now, call, selected),
            Verdict::Queue => self.enqueue(now, call, selected.backend),
            verdict => self.reject(now, call, &estimate, verdict),
        }
    }

    /// The estimates for a request on a server if it first waits `wait` seconds.
    fn estimate(&self, call: &Call, best: &Candidate<'_>, wait: f64, has_capacity: bool) -> Estimate {
        let is_measured = self.work_estimates.get(&call.route.name).is_some_and(WorkEstimates::is_measured);
        Estimate { latency: best.latency_after(wait), wait, work: best.work, has_capacity, is_measured }
    }

    /// The threshold on the value per second of slot time for a request.
    fn value_threshold(&self, now: Timestamp, call: &Call) -> f64 {
        let Some(state) = self.services.get(&call.service) else {
            return 0.0;
        };
        state.value_threshold.get() * state.answered_shares.threshold_factor(now, call.route.priority)
    }

    /// Refuses a request that admission control has rejected.
    fn reject(&mut self, now: Timestamp, call: &Call, estimate: &Estimate, verdict: Verdict) -> Decision {
        let mut capacity_delay = Duration::from_secs_f64(estimate.wait);
        if verdict == Verdict::RejectLowValue {
            let value = offer(now, call).value_per_slot_second(estimate);
            capacity_delay = self.service_state(&call.service).value_threshold.time_until(value);
        }
        self.refuse(now, call, Reason::Overload, capacity_delay)
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
    fn enqueue(&mut self, now: Timestamp, call: &Call, awaited_server: Backend) -> Decision {
        let ticket = QueueTicket { priority: call.route.priority, number: self.next_ticket };
        self.next_ticket += 1;
        let hold_until = now + offer(now, call).remaining_hold();
        let queue = &mut self.service_state(&call.service).queue;
        queue.insert(ticket, call.clone(), awaited_server, hold_until);
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
        let retry_after = state.retry_schedule.delay_for(
            now,
            call.fingerprint,
            call.previously_refused,
            capacity_delay,
            spacing,
            max_delay,
        );
        Decision::Refuse(Refusal { reason, retry_after })
    }

    /// Whether queued requests will be sent before this one.
    fn has_queued_ahead(&self, call: &Call) -> bool {
        self.services
            .get(&call.service)
            .is_some_and(|state| state.queue.ahead(call.route.priority).next().is_some())
    }

    /// Expected time in seconds until all queued requests ahead of this one have been sent.
    fn queue_wait(&self, now: Timestamp, call: &Call) -> f64 {
        let Some(state) = self.services.get(&call.service) else {
            return 0.0;
        };
        let ahead = state.queue.ahead(call.route.priority);
        ahead.map(|(priority, count)| count as f64 * state.dispatch_interval(now, priority)).sum()
    }

    /// Deadline until which a queued request is held. At this time [`poll_queue`](Self::poll_queue) returns it. `None` if it
    /// is not queued.
    pub fn hold_until(&self, service: &Service, ticket: QueueTicket) -> Option<Timestamp> {
        self.services.get(service)?.queue.hold_until(ticket)
    }

    /// Removes the requests from the queue that can be sent now or must be refused, with the decisions about them. Call
    /// after each send that has ended and periodically.
    ///
    /// After the end of a send, only the requests that wait for its server are checked. After each [`tick`](Self::tick)
    /// the first request for each server is checked, because the load from other daemons changes without an event.
    pub fn poll_queue(&mut self, now: Timestamp) -> Vec<(QueueTicket, Decision)> {
        let mut out = Vec::new();
        let services: Vec<Service> =
            self.services.iter().filter(|(_, s)| !s.queue.is_empty()).map(|(n, _)| n.clone()).collect();
        for service in services {
            self.shift_limiter.advance(now);
            self.end_holds(now, &service, &mut out);
            for server in self.servers_to_check(&service) {
                self.poll_server(now, &service, &server, &mut out);
            }
        }
        self.changed_servers.clear();
        self.recheck_all = false;
        out
    }

    /// Decides about the requests that have been held for as long as they may be.
    fn end_holds(&mut self, now: Timestamp, service: &Service, out: &mut Vec<(QueueTicket, Decision)>) {
        while let Some(ticket) = self.services.get(service).and_then(|s| s.queue.first_expired(now)) {
            let Some(call) = self.take_queued(service, ticket) else {
                return;
            };
            let decision = match self.decide_queued(now, &call) {
                Ok(decision) => decision,
                Err(_) => self.refuse(now, &call, Reason::Overload, Duration::ZERO),
            };
            out.push((ticket, decision));
        }
    }

    /// Servers that may have capacity for a queued request.
    fn servers_to_check(&self, service: &Service) -> Vec<Backend> {
        let Some(state) = self.services.get(service) else {
            return Vec::new();
        };
        let awaited = state.queue.awaited_servers();
        awaited.filter(|s| self.recheck_all || self.changed_servers.contains(*s)).cloned().collect()
    }

    /// Decides about the requests that wait for one server, the most urgent ones first, until one finds no capacity.
    fn poll_server(
        &mut self,
        now: Timestamp,
        service: &Service,
        server: &Backend,
        out: &mut Vec<(QueueTicket, Decision)>,
    ) {
        while let Some(ticket) = self.services.get(service).and_then(|s| s.queue.first_for(server)) {
            let Some(call) = self.services.get(service).and_then(|s| s.queue.get(ticket)).cloned() else {
                return;
            };
            match self.decide_queued(now, &call) {
                Ok(decision) => {
                    self.take_queued(service, ticket);
                    out.push((ticket, decision));
                }
                Err(awaited) => {
                    let queue = &mut self.service_state(service).queue;
                    if !queue.set_awaited_server(ticket, awaited) {
                        return;
                    }
                }
            }
        }
    }

    /// Decides about a queued request. Returns the server that it still has to wait for if there is no decision.
    fn decide_queued(&mut self, now: Timestamp, call: &Call) -> Result<Decision, Backend> {
        let Some(best) = self.select_backend(now, call) else {
            return Ok(self.refuse_without_server(now, call));
        };
        let estimate = self.estimate(call, &best, best.wait, best.has_capacity);
        let selected = best.to_selected();
        match offer(now, call).decide(&estimate, self.value_threshold(now, call)) {
            Verdict::Start => Ok(self.send(now, call, selected)),
            Verdict::Queue => Err(selected.backend),
            verdict => Ok(self.reject(now, call, &estimate, verdict)),
        }
    }

    fn take_queued(&mut self, service: &Service, ticket: QueueTicket) -> Option<Call> {
        self.services.get_mut(service)?.queue.remove(ticket)
    }

    /// Removes a queued request whose client has disconnected.
    pub fn cancel_queued(&mut self, service: &Service, ticket: QueueTicket) {
        self.take_queued(service, ticket);
    }
}

/// What is known about a request at a time.
fn offer(now: Timestamp, call: &Call) -> Offer {
    Offer {
        priority: call.route.priority,
        objective: call.route.latency_objective,
        elapsed: call.elapsed_before + now.since(call.arrived_at),
        held: now.since(call.arrived_at),
        remaining: call.deadline.since(now),
    }
}
