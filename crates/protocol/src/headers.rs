//! HTTP header names and fixed words of the external API.

/// Rank of a request: `urgent`, `standard` or `bulk`.
pub const RANK: &str = "medlar-rank";
/// Remaining time of a request in milliseconds.
pub const DEADLINE_MS: &str = "medlar-deadline-ms";
/// Whether a request may run more than once: `yes` or `no`.
pub const REPEATABLE: &str = "medlar-repeatable";
/// Operation token: the prefix of a lookup and the caller's own suffix.
pub const TOKEN: &str = "medlar-token";
/// The caller's own idempotency key.
pub const KEY: &str = "medlar-key";
/// Whether the caller has sent the request before: `yes` or `no`.
pub const RESEND: &str = "medlar-resend";
/// What is known about a request: `not-run`, `ran` or `unknown`.
pub const OUTCOME: &str = "medlar-outcome";
/// Why a request was refused, as a fixed word.
pub const REASON: &str = "medlar-reason";
/// Identifies a request towards a backend server, which may repeat it in its answer.
pub const REQUEST_ID: &str = "medlar-request-id";
/// Backend server that produced an answer.
pub const BACKEND: &str = "medlar-backend";
