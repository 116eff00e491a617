use std::time::Duration;

use data_encoding::{HEXLOWER, HEXLOWER_PERMISSIVE};
use serde::{Deserialize, Serialize};
use utils::TargetId;

use crate::PromptShape;
use crate::quarantine::digest_fields;

/// Identifies a part of a prompt by the model and the part's content, independent of who sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PartFingerprint([u8; 16]);

impl PartFingerprint {
    /// Computes the fingerprint of a part.
    ///
    /// ```
    /// use gateway::PartFingerprint;
    ///
    /// let part = PartFingerprint::of("m", "5c1e07a2");
    /// assert_ne!(part, PartFingerprint::of("n", "5c1e07a2"));
    /// assert_eq!(PartFingerprint::parse(&part.text()), Some(part));
    /// ```
    pub fn of(model: &str, part: &str) -> Self {
        Self(digest_fields([model.as_bytes(), part.as_bytes()]))
    }

    /// Returns the parts of a prompt that can be suspects: all but the last, which no other prompt shares.
    pub(crate) fn shared_parts(prompt: &PromptShape) -> Vec<Self> {
        let shared = prompt.parts.len().saturating_sub(1);
        let parts = prompt.parts.iter().take(shared);
        parts.map(|part| Self::of(&prompt.model, &part.id)).collect()
    }

    /// Returns the fingerprint as hexadecimal digits.
    pub fn text(&self) -> String {
        HEXLOWER.encode(&self.0)
    }

    /// Parses the output of [`PartFingerprint::text`].
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = HEXLOWER_PERMISSIVE.decode(text.as_bytes()).ok()?;
        Some(Self(bytes.try_into().ok()?))
    }
}

impl From<PartFingerprint> for String {
    fn from(part: PartFingerprint) -> Self {
        part.text()
    }
}

impl TryFrom<String> for PartFingerprint {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text).ok_or("not a fingerprint")
    }
}

/// How far an answer had come when its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerStage {
    /// A whole event had arrived: the target could run the request.
    Events,
    /// Nothing had arrived: the request may have waited in the target's queue.
    NoHead,
    /// The head had arrived, but no whole event: the target had just begun to run the request.
    Head,
}

impl AnswerStage {
    /// Returns the name in the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Events => "events",
            Self::NoHead => "no-head",
            Self::Head => "head",
        }
    }
}

/// A part of a request that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectPart {
    /// The part.
    pub part: PartFingerprint,
    /// Whether the reporting host has seen a target answer a request with the part before.
    pub has_succeeded: bool,
}

/// What a host knows of a request that was in flight at a crash; the value of the crash's row.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Run of the target that crashed.
    pub run: TargetId,
    /// How far the answer had come.
    pub stage: AnswerStage,
    /// Time of the crash on the store's clock, if the reporting host knew it.
    pub at: Option<Duration>,
    /// Parts of the prompt that may have caused the crash.
    pub parts: Vec<SuspectPart>,
}
