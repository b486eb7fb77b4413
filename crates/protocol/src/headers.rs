//! HTTP header names of the external API.

/// Request: scheduling rank, `urgent`, `standard` or `bulk`.
pub const RANK: &str = "medlar-rank";
/// Request: time until the deadline in milliseconds. Set by the caller; the daemon sends the time that remains.
pub const DEADLINE_MS: &str = "medlar-deadline-ms";
/// Request: whether it may run more than once, `yes` or `no`. If absent, the HTTP method decides.
pub const REPEATABLE: &str = "medlar-repeatable";
/// Request: operation token, the prefix from a lookup followed by a suffix that the caller chooses.
pub const TOKEN: &str = "medlar-token";
/// Request: idempotency key that the caller chooses.
pub const KEY: &str = "medlar-key";
/// Request: whether the caller has sent it before, `yes` or `no`. `no` if absent.
pub const RESEND: &str = "medlar-resend";
/// Response: whether the request has run, `not-run`, `ran` or `unknown`.
pub const OUTCOME: &str = "medlar-outcome";
/// Response: reason why the response is not the backend server's own, as a fixed word.
pub const REASON: &str = "medlar-reason";
/// Request to a backend server: request ID, set by the daemon. The server may return it in its response.
pub const REQUEST_ID: &str = "medlar-request-id";
/// Response: backend server that produced it.
pub const BACKEND: &str = "medlar-backend";
