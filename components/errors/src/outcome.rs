use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Response header that carries the [`Outcome`] of a request.
pub const OUTCOME_HEADER: &str = "laburnumtally-outcome";

/// What is known about whether a request ran at a target.
///
/// ```
/// use errors::Outcome;
///
/// assert_eq!(Outcome::NotRun.to_string(), "not-run");
/// assert_eq!("may-have-run".parse(), Ok(Outcome::MayHaveRun));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request reached a target, or the target proves that it did not run the request.
    NotRun,
    /// The target ran the request, and its result is known.
    Ran,
    /// The request was sent, and its result is unknown.
    MayHaveRun,
}

/// Error of parsing a text as an [`Outcome`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("an outcome is one of not-run, ran and may-have-run")]
pub struct ParseOutcomeError;

impl Outcome {
    /// Returns the name used in headers, bodies and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Outcome {
    type Err = ParseOutcomeError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "not-run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "may-have-run" => Ok(Self::MayHaveRun),
            _ => Err(ParseOutcomeError),
        }
    }
}
