use std::collections::BTreeMap;

use serde::{Serialize, Serializer};

use crate::{Promise, Violation};

/// Maximum number of violations that a report stores for each promise.
const MAX_CASES: usize = 5;

/// Result of a check.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Result for each of the nine promises.
    pub promises: BTreeMap<Promise, PromiseReport>,
}

/// Result of the checks of one promise.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize)]
pub struct PromiseReport {
    /// Number of checks.
    pub checked: u64,
    /// Number of violations.
    pub broken: u64,
    /// The first violations.
    #[serde(serialize_with = "as_text")]
    pub cases: Vec<Violation>,
}

impl Report {
    pub(crate) fn new() -> Self {
        let promises = Promise::ALL.map(|promise| (promise, PromiseReport::default()));
        Self {
            promises: promises.into(),
        }
    }

    /// Records the result of one check of a promise.
    pub(crate) fn record(&mut self, promise: Promise, found: Result<(), Violation>) {
        let report = self.promises.entry(promise).or_default();
        report.checked += 1;
        if let Err(violation) = found {
            report.broken += 1;
            if report.cases.len() < MAX_CASES {
                report.cases.push(violation);
            }
        }
    }

    /// Returns the number of violations of all promises.
    pub fn broken(&self) -> u64 {
        self.promises.values().map(|report| report.broken).sum()
    }

    /// Returns the number of checks of all promises.
    pub fn checked(&self) -> u64 {
        self.promises.values().map(|report| report.checked).sum()
    }

    /// Returns the promises with at least one violation.
    ///
    /// ```
    /// let report = checker::check(&checker::RunRecord::default(), checker::Grace::default());
    /// assert!(report.broken_promises().is_empty());
    /// ```
    pub fn broken_promises(&self) -> Vec<Promise> {
        let broken = self.promises.iter().filter(|(_, report)| report.broken > 0);
        broken.map(|(promise, _)| *promise).collect()
    }
}

fn as_text<S: Serializer>(cases: &[Violation], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(cases.iter().map(ToString::to_string))
}
