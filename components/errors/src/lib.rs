//! Types shared by all crates: outcomes of requests, problem documents and numbered log events.

mod event;
mod outcome;
mod problem;

pub use event::{ALL_EVENTS, Event, event_catalogue, events};
pub use outcome::{OUTCOME_HEADER, Outcome, ParseOutcomeError};
pub use problem::{Problem, ProblemKind};
