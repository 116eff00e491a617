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
pub use handle::{Begun, CallEnd, Ended, HeldClaim, LedgerHandle, NewCall, Question, SentCall};
pub use job::{Job, JobStep};
pub use protocol::{Effect, Input, Protocol, Step, Try};
pub use row::{
    AttemptId, CallKey, ClaimRow, ClaimState, Found, Holder, ParseAttemptIdError, RecordedBody,
    RecordedReply, RowWrite,
};
pub use settings::LedgerSettings;
pub use verdict::{RefusedReason, Verdict};
pub use writer::{LedgerStats, LedgerWriter};
