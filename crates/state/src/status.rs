//! Plain-text status report for the customers' scripts.
//!
//! Scripts read the report to decide whether to send a request, wait, or use another region. The third word of the
//! line for a customer and service is the complete decision; the rest of the line explains it.
//!
//! # Grammar
//!
//! Version 1, in ABNF (RFC 5234, with the case-sensitive strings of RFC 7405). The text is ASCII, each line
//! ends with a line feed, and fields are separated by one space. Lines are sorted by customer and service in
//! byte order, and there is at most one line for each pair. Keys come in the order given here. A later
//! version may add keys at the end of a line under the same version number; any other change raises the
//! version.
//!
//! ```abnf
//! status      = header *line
//! header      = %s"medlarstair-status 1" LF
//! line        = name SP name SP decision SP %s"load=" percent SP %s"reason=" reason *( SP extension ) LF
//!                                            ; customer, service
//! decision    = send / wait / elsewhere
//! send        = %s"send"
//! wait        = %s"wait" SP %s"retry_after_ms=" number
//! elsewhere   = %s"elsewhere" SP %s"region=" name
//! percent     = number                       ; 0 to 100, of the slots of the region
//! reason      = %s"ok" / %s"rate" / %s"load" / %s"no-slots"
//! extension   = key "=" 1*value-char
//! key         = lower *( lower / DIGIT / "_" )
//! value-char  = %x21-7E
//! name        = 1*64( lower / DIGIT / "." / "_" / "-" )
//! lower       = %x61-7A
//! number      = 1*DIGIT                      ; no leading zeros
//! LF          = %x0A
//! ```
//!
//! # Verdicts
//!
//! A line has the verdict
//!
//! - `wait` with reason `rate` if the customer has used 100 % of the rate of its contract. The rate applies to all
//!   regions together, so another region would not help. The verdict lasts until the use falls below 90 %;
//! - otherwise `elsewhere` if the service is full in this region and another region has capacity for this customer.
//!   The reason is `no-slots` if the daemon may use no slot, else `load`. A service becomes full when no slot may be
//!   used or the load reaches 90 %, and stays full until slots may be used and the load is below 80 %;
//! - otherwise `wait`, with the same reasons, if the service is full in this region;
//! - otherwise `send` with reason `ok`.
//!
//! Only the reason of the last decision is remembered: a `wait` because of the rate resets the state "full", and the
//! reverse. The two thresholds of each condition form a hysteresis, which keeps the verdict from alternating when
//! the value stays close to one of them. The region of `elsewhere` does not change while that region has capacity.

use std::time::Duration;

use derive_more::Display;

use crate::id::{Customer, Region, Service};
use crate::model::Percent;

/// Version of the grammar, which is part of the header line.
pub const STATUS_VERSION: u32 = 1;

/// Load from which a service counts as full. Steering keeps the busiest region below this value.
pub const LOAD_FULL_THRESHOLD: Percent = Percent(90);

/// Load below which a full service accepts requests again.
pub const LOAD_CLEAR_THRESHOLD: Percent = Percent(80);

/// Use of the contract's rate from which the customer must wait.
pub const RATE_LIMIT_THRESHOLD: Percent = Percent(100);

/// Use of the contract's rate below which the customer may send again.
pub const RATE_CLEAR_THRESHOLD: Percent = Percent(90);

/// What a customer should do with its next request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to this region.
    Send,
    /// Send it to this region later.
    Wait {
        /// Time to wait before the next attempt.
        retry_after: Duration,
    },
    /// Send it to another region.
    Elsewhere {
        /// The region to use, which has capacity for this customer.
        region: Region,
    },
}

/// Why a verdict was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// Requests are accepted.
    #[display("ok")]
    Ok,
    /// The rate of the contract is exhausted.
    #[display("rate")]
    Rate,
    /// The service is full in this region.
    #[display("load")]
    Load,
    /// The daemon has no usable slot of the service.
    #[display("no-slots")]
    NoSlots,
}

/// A verdict with its reason. Each decision is an input of the next one, because the thresholds have hysteresis.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// What to do with the next request.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
}

/// Input of a decision for one customer and service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerdictInput<'a> {
    /// Load of the service in this region.
    pub load: Percent,
    /// Whether the daemon may use at least one slot of the service.
    pub has_slots: bool,
    /// Used part of the contract's rate.
    pub rate_used: Percent,
    /// Time after which a customer that has to wait should try again.
    pub retry_after: Duration,
    /// Regions with capacity for this customer, in order of preference.
    pub elsewhere: &'a [Region],
}

/// Decides for one customer and service.
///
/// `previous` is the last decision for the same pair; `None` if there was none.
///
/// ```
/// use std::time::Duration;
/// use medlarstair_state::model::Percent;
/// use medlarstair_state::status::{Verdict, VerdictInput, verdict};
///
/// let busy = VerdictInput {
///     load: Percent(92),
///     has_slots: true,
///     rate_used: Percent(40),
///     retry_after: Duration::from_millis(300),
///     elsewhere: &[],
/// };
/// let first = verdict(&busy, None);
/// assert_eq!(first.verdict, Verdict::Wait { retry_after: Duration::from_millis(300) });
/// let less = VerdictInput { load: Percent(85), ..busy };
/// assert_eq!(verdict(&less, Some(&first)), first);
/// assert_eq!(verdict(&less, None).verdict, Verdict::Send);
/// ```
pub fn verdict(input: &VerdictInput<'_>, previous: Option<&Decision>) -> Decision {
    let wait = Verdict::Wait { retry_after: input.retry_after };
    let previous_reason = previous.map_or(Reason::Ok, |decision| decision.reason);
    let rate_threshold =
        if previous_reason == Reason::Rate { RATE_CLEAR_THRESHOLD } else { RATE_LIMIT_THRESHOLD };
    if input.rate_used >= rate_threshold {
        return Decision { verdict: wait, reason: Reason::Rate };
    }
    let was_full = matches!(previous_reason, Reason::Load | Reason::NoSlots);
    let load_threshold = if was_full { LOAD_CLEAR_THRESHOLD } else { LOAD_FULL_THRESHOLD };
    let reason = if !input.has_slots {
        Reason::NoSlots
    } else if input.load >= load_threshold {
        Reason::Load
    } else {
        return Decision { verdict: Verdict::Send, reason: Reason::Ok };
    };
    let previous_region = match previous.map(|decision| &decision.verdict) {
        Some(Verdict::Elsewhere { region }) => input.elsewhere.iter().find(|r| *r == region),
        _ => None,
    };
    match previous_region.or(input.elsewhere.first()) {
        Some(region) => Decision { verdict: Verdict::Elsewhere { region: region.clone() }, reason },
        None => Decision { verdict: wait, reason },
    }
}

/// One line of the status text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusLine {
    /// The customer to which the line applies.
    pub customer: Customer,
    /// The service to which it applies.
    pub service: Service,
    /// Decision for this customer and service.
    pub decision: Decision,
    /// Load of the service in this region.
    pub load: Percent,
}

/// Contents of the status text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatusView {
    /// Lines in any order. If there are several for a customer and service, only the first is rendered.
    pub lines: Vec<StatusLine>,
}

/// Renders the status text.
///
/// ```
/// use medlarstair_state::model::Percent;
/// use medlarstair_state::status::{Decision, Reason, StatusLine, StatusView, Verdict, render};
///
/// let view = StatusView {
///     lines: vec![StatusLine {
///         customer: "nizwa-tools".parse().unwrap(),
///         service: "trade-counter".parse().unwrap(),
///         decision: Decision { verdict: Verdict::Send, reason: Reason::Ok },
///         load: Percent(41),
///     }],
/// };
/// assert_eq!(render(&view), "medlarstair-status 1\nnizwa-tools trade-counter send load=41 reason=ok\n");
/// ```
pub fn render(view: &StatusView) -> String {
    /// Typical length of a line, used to allocate the text once.
    const LINE_BYTES: usize = 64;

    let mut lines: Vec<&StatusLine> = view.lines.iter().collect();
    lines.sort_by_key(|line| (&line.customer, &line.service));
    lines.dedup_by_key(|line| (&line.customer, &line.service));
    let mut text = String::with_capacity(LINE_BYTES * (lines.len() + 1));
    text.push_str(&format!("medlarstair-status {STATUS_VERSION}\n"));
    for line in lines {
        let decision = match &line.decision.verdict {
            Verdict::Send => "send".to_owned(),
            Verdict::Wait { retry_after } => {
                format!("wait retry_after_ms={}", millis_rounded_up(*retry_after))
            }
            Verdict::Elsewhere { region } => format!("elsewhere region={region}"),
        };
        let StatusLine { customer, service, load, .. } = line;
        let load = load.0.min(100);
        let reason = line.decision.reason;
        text.push_str(&format!("{customer} {service} {decision} load={load} reason={reason}\n"));
    }
    text
}

/// Milliseconds rounded up, so that callers do not retry too early.
fn millis_rounded_up(duration: Duration) -> u128 {
    duration.as_micros().div_ceil(1000)
}
