//! Operations that may not be repeated.
//!
//! Each operation has one owner: the incarnation that is named in its [`Token`] or in its [`Claim`] in the key-value
//! service. Only the owner runs the operation, joins resends to the running attempt and replays the recorded answer;
//! every other daemon forwards to it. An [`OperationTable`] is one daemon's memory of the operations that it owns.
//!
//! At most one run per operation follows from these rules:
//!
//! - An entry is kept until the operation is past its retention, and an operation past its retention is never run.
//!   When the table is full, new operations are refused as not run.
//! - Retention is judged by a count of minutes that never goes back, so a wall clock that is set back cannot make a
//!   forgotten operation look fresh.
//! - A table is handed over to one incarnation of one daemon. A second successor, or a later boot of the first, could
//!   run again what the first has run, so both refuse it. The owner runs nothing from then on.
//! - An operation whose end is not known stays in the table as unknown.

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
