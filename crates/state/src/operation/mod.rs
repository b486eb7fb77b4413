//! At-most-once execution of operations, by deduplication of resent requests.
//!
//! Each operation has one owner: the incarnation named in its [`Token`] or in its [`Claim`] in the key-value service.
//! Only the owner runs the operation, attaches resends to the running attempt and replays the recorded answer. Every
//! other daemon forwards requests to the owner. An [`OperationTable`] records the operations that one daemon owns.
//!
//! An operation is run at most once because of these rules:
//!
//! - An entry is kept until the retention of its operation has passed, and an operation past its retention is never
//!   run. When the table is full, new operations are refused as not run.
//! - Retention is measured by a monotonic count of minutes. A wall clock that is set back cannot make an operation
//!   whose entry was dropped appear new.
//! - A table is handed over to a single incarnation of a single daemon. A second successor, or a later boot of the
//!   first, could repeat operations that the first has run, so both reject the table. The owner runs no operation after
//!   the handover.
//! - An operation whose outcome is not known stays in the table as unknown.

mod clock;
mod handover;
mod outcome;
mod owners;
mod table;
mod token;

pub use handover::{HandoverEntry, HandoverPart, HandoverTable, ImportError, ImportProgress, OwnerCoverage};
pub use outcome::{
    AttemptOutcome, BeginOutcome, OperationRefusal, OperationRequest, RecordedAnswer, UnknownReason,
};
pub use table::{OperationConfig, OperationTable, RETENTION_MINUTES};
pub use token::{
    CallerKey, Claim, Issuer, Minute, OperationKey, ParseCallerKeyError, ParseIssuerError, ParseTokenError,
    SUFFIX_MAX_BYTES, Token,
};
