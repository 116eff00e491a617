use std::collections::BTreeMap;

use serde::{Serialize, Serializer};

use crate::{Promise, Violation};

/// Broken cases that a report keeps for each promise.
const KEPT_CASES: usize = 5;

/// What a check found.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// By promise; all nine are there.
    pub promises: BTreeMap<Promise, PromiseReport>,
}

/// What a check found about one promise.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize)]
pub struct PromiseReport {
    /// Facts that were checked.
    pub checked: u64,
    /// Facts that break the promise.
    pub broken: u64,
    /// The first broken cases.
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

    /// Counts a fact that was checked.
    pub(crate) fn note(&mut self, promise: Promise, found: Result<(), Violation>) {
        let report = self.promises.entry(promise).or_default();
        report.checked += 1;
        if let Err(violation) = found {
            report.broken += 1;
            if report.cases.len() < KEPT_CASES {
                report.cases.push(violation);
            }
        }
    }

    /// Facts that break any promise.
    pub fn broken(&self) -> u64 {
        self.promises.values().map(|report| report.broken).sum()
    }

    /// Facts that were checked.
    pub fn checked(&self) -> u64 {
        self.promises.values().map(|report| report.checked).sum()
    }

    /// Promises that are broken.
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
