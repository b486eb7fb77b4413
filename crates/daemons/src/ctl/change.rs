//! Changes of the configuration by compare-and-swap.
//!
//! Every JSON value names the change that wrote it. When an answer is lost, the value is read back: if it is the same,
//! change id included, the change took effect. A write that is repeated expects the same revision, so it takes effect
//! at most once.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use medlarstair::protocol::border::{KvEntry, KvWritten};
use serde_json::Value;
use tokio::time::sleep;

use super::api::{ApiClient, ApiResponse, WRITE_TIMEOUT};
use super::{CtlError, Exit};

/// Rounds over all given daemons until a change is given up.
const ROUNDS: u32 = 3;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Field of a value that names its change.
const CHANGE_ID: &str = "change_id";

/// A fresh change id.
pub fn fresh_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// What is to be written.
#[derive(Debug)]
enum Write<'a> {
    Put { text: &'a str, force: bool },
    Delete,
}

/// Writes `value` with a fresh change id to `key`, which must have the revision `expect`, 0 if it must not exist.
/// Returns the new revision.
///
/// # Errors
///
/// Conflict if the key has another revision; invalid if the daemon does not accept the value; unreachable if the
/// outcome could not be settled.
pub async fn put(
    api: &ApiClient,
    key: &str,
    value: &mut Value,
    expect: u64,
    force: bool,
) -> Result<u64, CtlError> {
    let Some(fields) = value.as_object_mut() else {
        return Err(CtlError::invalid(format!("{key}: the value must be a JSON object")));
    };
    fields.insert(CHANGE_ID.into(), Value::from(fresh_id()));
    write(api, key, expect, &Write::Put { text: &value.to_string(), force }).await
}

/// Writes a text that is not JSON, for example client blocks. It has no change id; the same text written by somebody
/// else counts as this change.
///
/// # Errors
///
/// As for [`put`].
pub async fn put_text(api: &ApiClient, key: &str, text: &str, expect: u64) -> Result<u64, CtlError> {
    write(api, key, expect, &Write::Put { text, force: false }).await
}

/// Deletes `key`, which must have the revision `expect`. Returns the last revision that is known.
///
/// # Errors
///
/// As for [`put`].
pub async fn delete(api: &ApiClient, key: &str, expect: u64) -> Result<u64, CtlError> {
    write(api, key, expect, &Write::Delete).await
}

async fn write(api: &ApiClient, key: &str, expect: u64, write: &Write<'_>) -> Result<u64, CtlError> {
    let path = format!("/ops/config/{key}?expect={expect}");
    for round in 0..ROUNDS {
        if round > 0 {
            sleep(ROUND_PAUSE).await;
        }
        for at in api.entry_addresses() {
            let answer = match write {
                Write::Put { text, force, .. } => {
                    let path = format!("{path}&force={force}");
                    api.request(*at, Method::PUT, &path, Some(text), WRITE_TIMEOUT).await
                }
                Write::Delete => api.request(*at, Method::DELETE, &path, None, WRITE_TIMEOUT).await,
            };
            if let Some(revision) = settle(api, key, expect, write, answer).await? {
                return Ok(revision);
            }
        }
    }
    Err(unsettled(key))
}

/// The new revision if the write took effect; `None` if it may be tried again.
async fn settle(
    api: &ApiClient,
    key: &str,
    expect: u64,
    write: &Write<'_>,
    answer: Option<ApiResponse>,
) -> Result<Option<u64>, CtlError> {
    if let Some(answer) = answer {
        match answer.status {
            // The answer to an earlier try of this change may have been lost, so the value decides.
            StatusCode::PRECONDITION_FAILED | StatusCode::SERVICE_UNAVAILABLE => {}
            StatusCode::BAD_REQUEST => {
                return Err(CtlError::invalid(format!("not accepted: {}", answer.text())));
            }
            StatusCode::CONFLICT => return Err(CtlError::failed(format!("refused: {}", answer.text()))),
            _ => return answer.json::<KvWritten>().map(|written| Some(written.revision)),
        }
    }
    let Ok(found) = api.config_entry(key).await else {
        return Ok(None);
    };
    match (write, found) {
        (Write::Put { text, .. }, Some(found)) if found.value.as_deref() == Some(text) => {
            Ok(Some(found.revision))
        }
        (Write::Delete, None) => Ok(Some(expect)),
        (_, Some(found)) if found.revision != expect => Err(conflict(key, expect, &found)),
        (_, None) if expect != 0 => Err(deleted(key, expect)),
        _ => Ok(None),
    }
}

fn change_id_of(entry: &KvEntry) -> Option<String> {
    let value = serde_json::from_str::<Value>(entry.value.as_deref()?).ok()?;
    value.get(CHANGE_ID)?.as_str().map(str::to_owned)
}

fn conflict(key: &str, expect: u64, found: &KvEntry) -> CtlError {
    let by = change_id_of(found).map_or_else(String::new, |id| format!(" by change {id}"));
    let message = format!(
        "conflict: {key} has revision {}{by}, not {expect}; get it, apply your change to it and try again",
        found.revision
    );
    CtlError::new(Exit::Conflict, message)
}

fn deleted(key: &str, expect: u64) -> CtlError {
    let message =
        format!("conflict: {key} at revision {expect} has been deleted; check whether it is still needed");
    CtlError::new(Exit::Conflict, message)
}

fn unsettled(key: &str) -> CtlError {
    let message = format!(
        "no answer that settles the change of {key}; it may have taken effect or still do so: get {key} before you \
         try again"
    );
    CtlError::new(Exit::Unreachable, message)
}
