//! Finds the prompt part that crashes targets, from the requests that were in flight at the crashes of all
//! hosts.

mod evidence;
mod judgement;
mod successes;

pub use evidence::{AnswerStage, CrashEvidence, PartFingerprint, SuspectPart};
pub use judgement::{CrashRecord, Judgement, PartEvidence, judge};
pub use successes::PartSuccesses;
