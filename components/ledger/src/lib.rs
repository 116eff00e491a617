//! At-most-once records for calls that must not be repeated: a claim before anything is sent, a settlement after.

mod batch;
mod breaker;
mod error;
mod handle;
mod job;
mod protocol;
mod row;
mod settings;
mod verdict;
mod writer;

pub use batch::{Batch, Batcher, WriteResult};
pub use breaker::Breaker;
pub use error::LedgerError;
pub use handle::{BeginResult, CallEnd, EndResult, HeldClaim, LedgerHandle, NewCall, OutcomeQuery, SentCall};
pub use job::{Job, JobStep};
pub use protocol::{Attempt, Effect, Input, Protocol, Step};
pub use row::{
    AttemptId, CallKey, ClaimRow, ClaimState, Holder, ParseAttemptIdError, RecordedBody, RecordedReply,
    RowWrite, StoredClaim,
};
pub use settings::LedgerSettings;
pub use verdict::{RefusedReason, Verdict};
pub use writer::{LedgerStats, LedgerWriter};
