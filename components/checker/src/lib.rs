//! Judges a run by the nine promises, from what callers saw and what the stand-ins did.

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
