//! The timer service that parts subscribe to.

use std::time::Duration;

use actix::prelude::*;

/// Tells a subscriber that its period has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerFired;

impl Message for TimerFired {
    type Result = ();
}

/// Asks for a [`TimerFired`] every `period`. The subscription ends when the subscriber stops.
#[derive(Debug)]
pub struct Subscribe {
    /// Who is told.
    pub subscriber: Recipient<TimerFired>,
    /// How often.
    pub period: Duration,
}

impl Message for Subscribe {
    type Result = ();
}

/// One place for periodic work.
#[derive(Debug, Default)]
pub struct TimerService;

impl Actor for TimerService {
    type Context = Context<Self>;
}

impl Handler<Subscribe> for TimerService {
    type Result = ();

    fn handle(&mut self, req: Subscribe, cx: &mut Self::Context) {
        cx.run_interval(req.period, move |_, _| {
            // A full mailbox means that earlier ticks still wait, so this one may be dropped.
            let _ = req.subscriber.try_send(TimerFired);
        });
    }
}
