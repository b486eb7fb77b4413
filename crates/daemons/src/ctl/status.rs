//! `medlarctl status`: prints the status text of a daemon.

use argh::FromArgs;
use awc::http::StatusCode;
use serde_json::json;

use super::api::ApiClient;
use super::{CtlError, Report};

/// print the status text of the first responding daemon
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Runs `medlarctl status`.
///
/// # Errors
///
/// If no daemon responds, or its response is not 200.
pub async fn run(api: &ApiClient) -> Result<Report, CtlError> {
    let response = api.get_from_any("/status").await?;
    if response.status != StatusCode::OK {
        return Err(CtlError::failed(format!("the daemon returned {}", response.status)));
    }
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines().collect::<Vec<_>>();
    Report::success(text.clone(), &json!({ "lines": lines }))
}
