//! At-most-once execution of calls that must not be repeated. Before a call is sent, an entry host writes a
//! claim to the table service; after the call it writes the result (the settlement).

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
