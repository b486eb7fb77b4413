//! Timer service for the periodic work of other actors.

use std::time::Duration;

use actix::prelude::*;

/// Sent to a subscriber each time its period has elapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerFired;

impl Message for TimerFired {
    type Result = ();
}

/// Requests a [`TimerFired`] every `period`, until the subscriber stops.
#[derive(Debug)]
pub struct Subscribe {
    /// Receives the messages.
    pub subscriber: Recipient<TimerFired>,
    /// Interval between messages; the first is sent after one period.
    pub period: Duration,
}

impl Message for Subscribe {
    type Result = ();
}

/// Actor that sends [`TimerFired`] to its subscribers.
#[derive(Debug, Default)]
pub struct TimerService;

impl Actor for TimerService {
    type Context = Context<Self>;
}

impl Handler<Subscribe> for TimerService {
    type Result = ();

    fn handle(&mut self, req: Subscribe, cx: &mut Self::Context) {
        cx.run_interval(req.period, move |_, _| {
            // A full mailbox already holds earlier messages, so this one can be dropped.
            let _ = req.subscriber.try_send(TimerFired);
        });
    }
}
