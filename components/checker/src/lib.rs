//! Checks a run against the nine promises of the system, from what callers received and what the stand-ins
//! recorded.

mod promise;
mod record;
mod report;
mod rules;
mod violation;

pub use promise::Promise;
pub use record::{
    CallBody, CallerRequest, DraftBody, Drain, Exchange, Grace, Leave, NoteAccepted, Received, RunRecord,
    Work,
};
pub use report::{PromiseReport, Report};
pub use rules::check;
pub use violation::Violation;
