//! `medlarctl timeline`: prints the events of all daemons in causal order.

use std::fmt::Write as _;

use argh::FromArgs;
use futures_util::future::join_all;
use medlarstair::protocol::border::{Timeline, TimelineEvent};
use serde_json::json;

use super::api::ApiClient;
use super::{CtlError, Report};

/// print the recent events of all daemons in causal order
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineArgs {
    /// only events at or after this time, in ms since 1970; all by default
    #[argh(option, default = "0")]
    since_ms: u64,
    /// only events with this number; all by default
    #[argh(option)]
    code: Option<u32>,
}

/// Merges events by hybrid logical clock. An event that caused another comes before it.
///
/// ```
/// use medlarstair::protocol::border::TimelineEvent;
/// use medlarstair_daemons::ctl::timeline::merge;
/// let event = |node, wall_ms, logical| TimelineEvent {
///     node, wall_ms, logical, boot: 1, code: 100, name: "config-applied".into(), detail: String::new(),
/// };
/// let merged = merge(vec![vec![event(1, 5, 1), event(1, 9, 0)], vec![event(2, 5, 0)]]);
/// assert_eq!(merged.iter().map(|e| e.node).collect::<Vec<_>>(), [2, 1, 1]);
/// ```
pub fn merge(timelines: Vec<Vec<TimelineEvent>>) -> Vec<TimelineEvent> {
    let mut events = timelines.into_iter().flatten().collect::<Vec<_>>();
    // The sort is stable, so events of one daemon with equal timestamps keep their order.
    events.sort_by_key(|e| (e.wall_ms, e.logical, e.node));
    events
}

/// Runs `medlarctl timeline`.
///
/// # Errors
///
/// If no daemon responds. Daemons that do not are listed at the end.
pub async fn run(api: &ApiClient, args: &TimelineArgs) -> Result<Report, CtlError> {
    let daemons = api.daemons().await?;
    let path = format!("/ops/timeline?since_ms={}", args.since_ms);
    let timelines = join_all(daemons.values().map(|at| api.get_json::<Timeline>(*at, &path))).await;
    let unreachable = daemons.keys().zip(&timelines).filter(|(_, t)| t.is_none());
    let unreachable = unreachable.map(|(node, _)| format!("n{node}")).collect::<Vec<_>>();
    let mut events = merge(timelines.into_iter().flatten().map(|t| t.events).collect());
    events.retain(|e| args.code.is_none_or(|code| code == e.code));
    let mut text = String::new();
    for e in &events {
        let _ = write!(text, "{}.{} n{} {} {}", e.wall_ms, e.logical, e.node, e.code, e.name);
        let _ = writeln!(text, "{}{}", if e.detail.is_empty() { "" } else { " " }, e.detail);
    }
    if !unreachable.is_empty() {
        let _ = writeln!(text, "no answer from: {}", unreachable.join(", "));
    }
    Report::success(text, &json!({ "events": events, "no_answer": unreachable }))
}
