//! The status text.

use argh::FromArgs;
use awc::http::StatusCode;
use serde_json::json;

use super::api::ApiClient;
use super::{CtlError, Report};

/// print the status text of a daemon
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Runs `medlarctl status`.
///
/// # Errors
///
/// If no daemon answers.
pub async fn run(api: &ApiClient) -> Result<Report, CtlError> {
    let answer = api.get_from_any("/status").await?;
    if answer.status != StatusCode::OK {
        return Err(CtlError::failed(format!("the daemon answered {}", answer.status)));
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = text.lines().collect::<Vec<_>>();
    Report::success(text.clone(), &json!({ "lines": lines }))
}
