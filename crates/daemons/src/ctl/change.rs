//! Changes of the configuration by compare-and-swap.
//!
//! Every JSON value contains the id of the change that wrote it. When a response is lost, the value is read back: if it
//! is identical, including the change id, the change took effect. A retry expects the same revision, so a change takes
//! effect at most once.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use medlarstair::protocol::border::{KvEntry, KvWritten};
use serde_json::Value;
use tokio::time::sleep;

use super::api::{ApiClient, ApiResponse, WRITE_TIMEOUT};
use super::{CtlError, Exit};

/// Number of rounds over all given daemons after which a change is abandoned.
const MAX_ROUNDS: u32 = 3;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Field of a value with the id of the change that wrote it.
const CHANGE_ID: &str = "change_id";

/// Returns a random 64-bit id as 16 hexadecimal digits.
pub fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// A change of one key.
#[derive(Debug)]
enum KeyChange<'a> {
    Put { text: &'a str, force: bool },
    Delete,
}

/// Writes `value` with a new change id to `key`, which must have the revision `expect`, or not exist if `expect` is 0.
/// `force` skips the check that a drain leaves enough capacity. Returns the new revision.
///
/// # Errors
///
/// [`Exit::Conflict`] if the key has another revision, [`Exit::Invalid`] if the daemon rejects the value,
/// [`Exit::Failed`] if it refuses the change, and [`Exit::Unreachable`] if the outcome remains unknown.
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
    fields.insert(CHANGE_ID.into(), Value::from(random_id()));
    apply(api, key, expect, &KeyChange::Put { text: &value.to_string(), force }).await
}

/// Writes a text that is not JSON, for example client blocks. Since it has no change id, an identical text written by
/// another operator counts as this change.
///
/// # Errors
///
/// As for [`put`].
pub async fn put_text(api: &ApiClient, key: &str, text: &str, expect: u64) -> Result<u64, CtlError> {
    apply(api, key, expect, &KeyChange::Put { text, force: false }).await
}

/// Deletes `key`, which must have the revision `expect`. Returns the revision from the response, or `expect` if the
/// response was lost.
///
/// # Errors
///
/// As for [`put`].
pub async fn delete(api: &ApiClient, key: &str, expect: u64) -> Result<u64, CtlError> {
    apply(api, key, expect, &KeyChange::Delete).await
}

async fn apply(api: &ApiClient, key: &str, expect: u64, change: &KeyChange<'_>) -> Result<u64, CtlError> {
    let path = format!("/ops/config/{key}?expect={expect}");
    for round in 0..MAX_ROUNDS {
        if round > 0 {
            sleep(ROUND_PAUSE).await;
        }
        for at in api.entry_addresses() {
            let response = match change {
                KeyChange::Put { text, force, .. } => {
                    let path = format!("{path}&force={force}");
                    api.request(*at, Method::PUT, &path, Some(text), WRITE_TIMEOUT).await
                }
                KeyChange::Delete => api.request(*at, Method::DELETE, &path, None, WRITE_TIMEOUT).await,
            };
            if let Some(revision) = resolve(api, key, expect, change, response).await? {
                return Ok(revision);
            }
        }
    }
    Err(unknown_outcome(key))
}

/// Determines the outcome of a change from the response, or from the stored value if the response is missing or
/// ambiguous. Returns the new revision if the change took effect and `None` if it may be retried.
async fn resolve(
    api: &ApiClient,
    key: &str,
    expect: u64,
    change: &KeyChange<'_>,
    response: Option<ApiResponse>,
) -> Result<Option<u64>, CtlError> {
    if let Some(response) = response {
        match response.status {
            // The response to an earlier attempt of this change may have been lost, so the stored value decides.
            StatusCode::PRECONDITION_FAILED | StatusCode::SERVICE_UNAVAILABLE => {}
            StatusCode::BAD_REQUEST => {
                return Err(CtlError::invalid(format!("rejected: {}", response.text())));
            }
            StatusCode::CONFLICT => return Err(CtlError::failed(format!("refused: {}", response.text()))),
            _ => return response.json::<KvWritten>().map(|written| Some(written.revision)),
        }
    }
    let Ok(found) = api.config_entry(key).await else {
        return Ok(None);
    };
    match (change, found) {
        (KeyChange::Put { text, .. }, Some(found)) if found.value.as_deref() == Some(text) => {
            Ok(Some(found.revision))
        }
        (KeyChange::Delete, None) => Ok(Some(expect)),
        (_, Some(found)) if found.revision != expect => Err(conflict(key, expect, &found)),
        (_, None) if expect != 0 => Err(deletion_conflict(key, expect)),
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

fn deletion_conflict(key: &str, expect: u64) -> CtlError {
    let message = format!(
        "conflict: {key} at revision {expect} has been deleted; check whether the change is still needed"
    );
    CtlError::new(Exit::Conflict, message)
}

fn unknown_outcome(key: &str) -> CtlError {
    let message = format!(
        "the outcome of the change of {key} is unknown; it may have taken effect or may still do so: get {key} \
         before you try again"
    );
    CtlError::new(Exit::Unreachable, message)
}
