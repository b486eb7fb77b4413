//! The plain status text.
//!
//! Scripts read it to decide whether to send work, wait or go elsewhere. A script that reads only the third
//! word of the line of its customer and service gets the complete decision; the rest of the line explains it.
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
//! - `wait` with reason `rate` when the customer has used 100 % of the rate of its contract. The rate covers
//!   all regions, so another one would not help. The verdict lasts until the use falls below 90 %;
//! - otherwise `elsewhere` when the service is full here and another region has room for this customer. The
//!   reason is `no-slots` if the daemon may use no slot, else `load`. Full means that no slot may be used or
//!   that the load has reached 90 %, and lasts until slots may be used and the load is below 80 %;
//! - otherwise `wait`, with the same reasons, when the service is full here;
//! - otherwise `send` with reason `ok`.
//!
//! A wait for the rate forgets that the service was full, and the reverse: only the reason of the last
//! decision counts. The distance between the two thresholds keeps a verdict from alternating when a load
//! stays close to one of them. The region of `elsewhere` stays the same while that region has room.

use std::time::Duration;

use derive_more::Display;

use crate::id::{Customer, Region, Service};
use crate::model::Percent;

/// Version of the grammar.
pub const STATUS_VERSION: u32 = 1;

/// Load at which a service counts as full. Steering keeps the busiest region below this value.
pub const LOAD_FULL_THRESHOLD: Percent = Percent(90);

/// Load below which a full service has room again.
pub const LOAD_CLEAR_THRESHOLD: Percent = Percent(80);

/// Use of the contract's rate at which the customer must wait.
pub const RATE_LIMIT_THRESHOLD: Percent = Percent(100);

/// Use of the contract's rate below which the customer may send again.
pub const RATE_CLEAR_THRESHOLD: Percent = Percent(90);

/// What a customer should do with its next request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Send it here.
    Send,
    /// Send it here after a while.
    Wait {
        /// When to try again.
        retry_after: Duration,
    },
    /// Send it to another region.
    Elsewhere {
        /// A region with room.
        region: Region,
    },
}

/// Why a verdict was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// There is room.
    #[display("ok")]
    Ok,
    /// The rate of the contract is used up.
    #[display("rate")]
    Rate,
    /// The service is loaded in this region.
    #[display("load")]
    Load,
    /// The daemon may use no slot of the service.
    #[display("no-slots")]
    NoSlots,
}

/// A verdict and its reason; the previous decision is an input to the next one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The verdict.
    pub verdict: Verdict,
    /// The reason.
    pub reason: Reason,
}

/// What a decision for one customer and service depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerdictInput<'a> {
    /// Load of the service in this region.
    pub load: Percent,
    /// The daemon may use at least one slot of the service.
    pub has_slots: bool,
    /// Use of the rate of the contract.
    pub rate_used: Percent,
    /// When a customer that has to wait should try again.
    pub retry_after: Duration,
    /// Regions with room for this customer, the preferred one first.
    pub elsewhere: &'a [Region],
}

/// Decides for one customer and service. `previous` is the last decision for them.
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
    let before = previous.map_or(Reason::Ok, |decision| decision.reason);
    let rate_limit = if before == Reason::Rate { RATE_CLEAR_THRESHOLD } else { RATE_LIMIT_THRESHOLD };
    if input.rate_used >= rate_limit {
        return Decision { verdict: wait, reason: Reason::Rate };
    }
    let was_full = matches!(before, Reason::Load | Reason::NoSlots);
    let load_limit = if was_full { LOAD_CLEAR_THRESHOLD } else { LOAD_FULL_THRESHOLD };
    let reason = if !input.has_slots {
        Reason::NoSlots
    } else if input.load >= load_limit {
        Reason::Load
    } else {
        return Decision { verdict: Verdict::Send, reason: Reason::Ok };
    };
    let kept = match previous.map(|decision| &decision.verdict) {
        Some(Verdict::Elsewhere { region }) => input.elsewhere.iter().find(|r| *r == region),
        _ => None,
    };
    match kept.or(input.elsewhere.first()) {
        Some(region) => Decision { verdict: Verdict::Elsewhere { region: region.clone() }, reason },
        None => Decision { verdict: wait, reason },
    }
}

/// One line of the status text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusLine {
    /// The customer.
    pub customer: Customer,
    /// The service.
    pub service: Service,
    /// The decision.
    pub decision: Decision,
    /// Load of the service in this region.
    pub load: Percent,
}

/// Input of the status text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StatusView {
    /// Lines in any order. Of several for one customer and service, the first is shown.
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
    /// Typical length of a line, to reserve memory once.
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

/// Rounded up, so that a caller never returns too early.
fn millis_rounded_up(span: Duration) -> u128 {
    span.as_micros().div_ceil(1000)
}
