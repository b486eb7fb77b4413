//! A request of a caller: a lookup, then the call.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use awc::http::Method;
use medlarstair::protocol::border::{LookupAnswer, LookupEntry};
use medlarstair::protocol::headers;
use medlarstair::state::id::{Customer, Rank, Service};
use serde::Serialize;

use super::api::ApiClient;
use super::{CtlError, Exit, Report, change};

/// Time beyond the deadline after which no answer is awaited.
const GRACE: Duration = Duration::from_secs(2);

/// Largest answer in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// send a request as a caller does: a lookup, then the call
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "call")]
pub struct CallArgs {
    #[argh(positional)]
    customer: Customer,
    #[argh(positional)]
    service: Service,
    /// path and query at the backend server
    #[argh(positional, default = "String::from(\"/\")")]
    path: String,
    /// urgent, standard or bulk; standard by default
    #[argh(option, default = "Rank::Standard")]
    rank: Rank,
    /// time for the whole request in ms, 2000 by default
    #[argh(option, default = "2000")]
    deadline_ms: u32,
    /// the request may run at most once; a token of the lookup names it
    #[argh(switch)]
    once: bool,
    /// HTTP method, POST by default
    #[argh(option, default = "Method::POST")]
    method: Method,
    /// body
    #[argh(option)]
    body: Option<String>,
    /// file with the body
    #[argh(option)]
    body_file: Option<PathBuf>,
}

/// How a request ended.
#[derive(Debug, Serialize)]
struct Called {
    status: u16,
    outcome: String,
    reason: Option<String>,
    entry: u32,
    token: Option<String>,
    body: String,
}

/// Runs `medlarctl call`.
///
/// # Errors
///
/// If no entry VM answers.
pub async fn run(api: &ApiClient, args: &CallArgs) -> Result<Report, CtlError> {
    let path = format!("/v1/lookup?customer={}&service={}", args.customer, args.service);
    let lookup = api.get_from_any(&path).await?.json::<LookupAnswer>()?;
    let body = body(args)?;
    let token = args.once.then(|| format!("{}{}", lookup.token_prefix, change::fresh_id()));
    for entry in &lookup.entries {
        let Some(called) = send(api, args, entry, token.as_deref(), &body).await else {
            continue;
        };
        let reason = called.reason.as_deref().unwrap_or("-");
        let head = format!("status={} outcome={} reason={reason}", called.status, called.outcome);
        let mut report =
            Report::success(format!("{head} entry=n{}\n{}\n", called.entry, called.body), &called)?;
        if !(200..300).contains(&called.status) {
            report.exit = Exit::Failed;
        }
        return Ok(report);
    }
    let message = match token {
        Some(token) => {
            format!("no entry VM answered; the outcome is unknown; resend with medlar-token {token}")
        }
        None => "no entry VM answered; try again".to_owned(),
    };
    Err(CtlError::new(Exit::Unreachable, message))
}

fn body(args: &CallArgs) -> Result<Vec<u8>, CtlError> {
    match &args.body_file {
        Some(path) => std::fs::read(path)
            .map_err(|e| CtlError::invalid(format!("cannot read the body {}: {e}", path.display()))),
        None => Ok(args.body.clone().unwrap_or_default().into_bytes()),
    }
}

/// `None` if the entry VM gave no whole answer.
async fn send(
    api: &ApiClient,
    args: &CallArgs,
    entry: &LookupEntry,
    token: Option<&str>,
    body: &[u8],
) -> Option<Called> {
    let at = entry.address.parse::<SocketAddr>().ok()?;
    let path = args.path.trim_start_matches('/');
    let url = format!("http://{at}/v1/call/{}/{}/{path}", args.customer, args.service);
    let mut req = api
        .client()
        .request(args.method.clone(), url)
        .timeout(Duration::from_millis(args.deadline_ms.into()) + GRACE)
        .insert_header((headers::RANK, args.rank.to_string()))
        .insert_header((headers::DEADLINE_MS, args.deadline_ms.to_string()))
        .insert_header((headers::REPEATABLE, if args.once { "no" } else { "yes" }));
    if let Some(token) = token {
        req = req.insert_header((headers::TOKEN, token));
    }
    let mut res = req.send_body(body.to_vec()).await.ok()?;
    let text = |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    // An answer of the backend server itself has no outcome.
    let outcome = text(headers::OUTCOME).unwrap_or_else(|| "ran".to_owned());
    let reason = text(headers::REASON);
    let body = res.body().limit(MAX_RESPONSE_BYTES).await.ok()?;
    Some(Called {
        status: res.status().as_u16(),
        outcome,
        reason,
        entry: entry.node,
        token: token.map(str::to_owned),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
