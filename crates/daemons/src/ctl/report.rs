//! `medlarctl report`: prints the queues, operations and limits of daemons.

use std::fmt::Write as _;

use argh::FromArgs;
use futures_util::future::join_all;
use medlarstair::protocol::border::OpsReport;
use serde_json::json;

use super::api::ApiClient;
use super::{CtlError, Exit, Report};

/// print queues, operations and limits of the daemons
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// node number of the only daemon to report; all daemons by default
    #[argh(option)]
    node: Option<u32>,
    /// also print each limit
    #[argh(switch)]
    limits: bool,
}

/// Runs `medlarctl report`.
///
/// # Errors
///
/// If no daemon responds or the given one does not.
pub async fn run(api: &ApiClient, args: &ReportArgs) -> Result<Report, CtlError> {
    let mut daemons = api.daemons().await?;
    daemons.retain(|node, _| args.node.is_none_or(|only| only == *node));
    let reports = join_all(daemons.values().map(|at| api.get_json::<OpsReport>(*at, "/ops/report"))).await;
    if let (Some(node), None) = (args.node, reports.iter().flatten().next()) {
        return Err(CtlError::new(
            Exit::Unreachable,
            format!("daemon n{node} does not respond or does not exist"),
        ));
    }
    let mut text = String::new();
    for (node, report) in daemons.keys().zip(&reports) {
        match report {
            Some(report) => write_report(&mut text, report, args.limits),
            None => drop(writeln!(text, "n{node} no answer")),
        }
    }
    let reports = reports.into_iter().flatten().collect::<Vec<_>>();
    Report::success(text, &json!({ "reports": reports }))
}

fn write_report(text: &mut String, report: &OpsReport, limits: bool) {
    let OpsReport { node, boot, leaving, waiting, running, operations, .. } = report;
    let _ = write!(text, "n{node} boot={boot} leaving={leaving} waiting={waiting} running={running} ");
    let _ = writeln!(text, "operations={operations} limits={}", report.limits.len());
    for limit in report.limits.iter().filter(|_| limits) {
        let (key, share, usable, in_use) = (&limit.key, limit.share, limit.usable, limit.in_use);
        let _ = writeln!(text, "  {key} share={share} usable={usable} in_use={in_use}");
    }
}
