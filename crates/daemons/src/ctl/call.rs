//! `medlarctl call`: sends a request as a client does, with a lookup and then the call.

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

/// Time beyond the deadline for which a response is awaited.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// send a request as a client does: a lookup, then the call
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "call")]
pub struct CallArgs {
    #[argh(positional)]
    customer: Customer,
    #[argh(positional)]
    service: Service,
    /// path and query at the backend server, / by default
    #[argh(positional, default = "String::from(\"/\")")]
    path: String,
    /// rank: urgent, standard or bulk; standard by default
    #[argh(option, default = "Rank::Standard")]
    rank: Rank,
    /// deadline for the whole request in ms, 2000 by default
    #[argh(option, default = "2000")]
    deadline_ms: u32,
    /// the request must run at most once; it gets a token with the prefix from the lookup
    #[argh(switch)]
    once: bool,
    /// HTTP method, POST by default
    #[argh(option, default = "Method::POST")]
    method: Method,
    /// request body, empty by default
    #[argh(option)]
    body: Option<String>,
    /// file with the request body; takes precedence over --body
    #[argh(option)]
    body_file: Option<PathBuf>,
}

/// The outcome of a request.
#[derive(Debug, Serialize)]
struct CallResult {
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
/// If no entry VM responds or the body file cannot be read.
pub async fn run(api: &ApiClient, args: &CallArgs) -> Result<Report, CtlError> {
    let path = format!("/v1/lookup?customer={}&service={}", args.customer, args.service);
    let lookup = api.get_from_any(&path).await?.json::<LookupAnswer>()?;
    let body = body(args)?;
    let token = args.once.then(|| format!("{}{}", lookup.token_prefix, change::random_id()));
    for entry in &lookup.entries {
        let Some(result) = send(api, args, entry, token.as_deref(), &body).await else {
            continue;
        };
        let reason = result.reason.as_deref().unwrap_or("-");
        let head = format!("status={} outcome={} reason={reason}", result.status, result.outcome);
        let mut report =
            Report::success(format!("{head} entry=n{}\n{}\n", result.entry, result.body), &result)?;
        if !(200..300).contains(&result.status) {
            report.exit = Exit::Failed;
        }
        return Ok(report);
    }
    let message = match token {
        Some(token) => {
            format!("no entry VM responded; the outcome is unknown; resend with medlar-token {token}")
        }
        None => "no entry VM responded; try again".to_owned(),
    };
    Err(CtlError::new(Exit::Unreachable, message))
}

fn body(args: &CallArgs) -> Result<Vec<u8>, CtlError> {
    match &args.body_file {
        Some(path) => std::fs::read(path)
            .map_err(|e| CtlError::invalid(format!("cannot read the body file {}: {e}", path.display()))),
        None => Ok(args.body.clone().unwrap_or_default().into_bytes()),
    }
}

/// Sends the request to an entry VM. Returns `None` if there is no complete response.
async fn send(
    api: &ApiClient,
    args: &CallArgs,
    entry: &LookupEntry,
    token: Option<&str>,
    body: &[u8],
) -> Option<CallResult> {
    let at = entry.address.parse::<SocketAddr>().ok()?;
    let path = args.path.trim_start_matches('/');
    let url = format!("http://{at}/v1/call/{}/{}/{path}", args.customer, args.service);
    let mut req = api
        .client()
        .request(args.method.clone(), url)
        .timeout(Duration::from_millis(args.deadline_ms.into()) + RESPONSE_GRACE)
        .insert_header((headers::RANK, args.rank.to_string()))
        .insert_header((headers::DEADLINE_MS, args.deadline_ms.to_string()))
        .insert_header((headers::REPEATABLE, if args.once { "no" } else { "yes" }));
    if let Some(token) = token {
        req = req.insert_header((headers::TOKEN, token));
    }
    let mut response = req.send_body(body.to_vec()).await.ok()?;
    let text = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    // A response of the backend server itself has no outcome header.
    let outcome = text(headers::OUTCOME).unwrap_or_else(|| "ran".to_owned());
    let reason = text(headers::REASON);
    let body = response.body().limit(MAX_RESPONSE_BYTES).await.ok()?;
    Some(CallResult {
        status: response.status().as_u16(),
        outcome,
        reason,
        entry: entry.node,
        token: token.map(str::to_owned),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
