//! Finds the prompt part that crashes targets, from the requests that were in flight at the crashes of all
//! hosts.

mod detection;
mod evidence;
mod successes;
mod trials;

pub use detection::{CrashRecord, PartEvidence, PartSet, SoundRecord, SuspectParts, find_suspect_parts};
pub use evidence::{AnswerStage, CrashEvidence, PartFingerprint, SuspectPart};
pub use successes::PartSuccesses;
pub use trials::PartTrials;
