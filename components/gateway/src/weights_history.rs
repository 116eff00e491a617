//! The versions declared for a model and how long ago each was declared.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use utils::Monotonic;

/// Age of a declaration, as known at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeclaredAge {
    /// Time at which the age was determined.
    at: Monotonic,
    /// Age of the declaration at that time. A declaration can be older than this process, so its time may lie
    /// before the start of the process's clock.
    age: Duration,
}

impl DeclaredAge {
    /// Creates the age of a declaration that was `age` old at time `at`.
    pub fn new(age: Duration, at: Monotonic) -> Self {
        Self { at, age }
    }

    /// Returns the age at time `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gateway::DeclaredAge;
    ///
    /// let age = DeclaredAge::new(Duration::from_secs(30), Duration::from_secs(2));
    /// assert_eq!(age.at(Duration::from_secs(5)), Duration::from_secs(33));
    /// ```
    pub fn at(&self, now: Monotonic) -> Duration {
        self.age + now.saturating_sub(self.at)
    }
}

/// Whether a version has been replaced by a newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Replacement {
    /// No newer version is declared.
    Current,
    /// The first newer version was declared this long ago.
    Since(Duration),
    /// A newer version was declared at an unknown time.
    SinceUnknown,
}

/// The weight versions declared for a model. The deadline of each version runs from its own declaration, also
/// when a newer version follows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightsHistory {
    /// Age of each version's declaration; `None` for a version that was declared at an unknown time before
    /// the host started.
    versions: BTreeMap<u64, Option<DeclaredAge>>,
}

impl WeightsHistory {
    /// Most versions kept; engines are rarely that far behind.
    const MAX_VERSIONS: usize = 16;

    /// Creates a history with one version.
    pub fn new(version: u64, age: Option<DeclaredAge>) -> Self {
        Self {
            versions: BTreeMap::from([(version, age)]),
        }
    }

    /// Returns the newest version; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.versions.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Records a declared version. A known age replaces an unknown or a lower one.
    pub fn add(&mut self, version: u64, age: Option<DeclaredAge>) {
        let known = self.versions.entry(version).or_default();
        let is_older = |age: &DeclaredAge| known.is_none_or(|known| age.at(age.at) > known.at(age.at));
        if let Some(age) = age.filter(is_older) {
            *known = Some(age);
        }
        while self.versions.len() > Self::MAX_VERSIONS {
            self.versions.pop_first();
        }
    }

    /// Returns whether and since when a version is replaced.
    pub fn replacement(&self, version: u64, now: Monotonic) -> Replacement {
        let mut newer = self.versions.range(version.saturating_add(1)..);
        match newer.next() {
            None => Replacement::Current,
            Some((_, None)) => Replacement::SinceUnknown,
            Some((_, Some(age))) => Replacement::Since(age.at(now)),
        }
    }

    /// Returns the age of the newest version's declaration, if it is known.
    pub fn newest_age(&self, now: Monotonic) -> Option<Duration> {
        let (_, age) = self.versions.last_key_value()?;
        Some((*age)?.at(now))
    }

    /// Returns the versions whose age is known, oldest first.
    pub(crate) fn known(&self) -> impl Iterator<Item = (u64, DeclaredAge)> {
        self.versions
            .iter()
            .filter_map(|(version, age)| Some((*version, (*age)?)))
    }
}

/// The content of the row in the shared table that preserves the ages of a model's versions over restarts of
/// hosts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct DeclaredTimes {
    /// Declared versions with the time at which a host received each, on the store's clock.
    pub versions: BTreeMap<u64, Duration>,
}
