use std::collections::HashMap;
use std::time::Duration;

use utils::Monotonic;

use super::OriginKey;
use crate::ports::{ListedOrigin, OriginPage};

/// Most records without a usable time that are remembered.
const MAX_UNDATED: usize = 10_000;

/// Finds the records that hosts have left in the store.
///
/// Records are dated by the store's clock. One whose date can not be read, or lies ahead because the store was restored
/// and runs on another clock, counts from the time at which this host first saw it.
#[derive(Debug, Default)]
pub struct Leftovers {
    /// Times at which records without a usable date were first seen.
    undated: HashMap<OriginKey, Monotonic>,
}

impl Leftovers {
    /// Returns the keys of the listed records that are older than `age`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gateway::ports::{ListedOrigin, OriginPage};
    /// use gateway::{Leftovers, OriginKey};
    ///
    /// let s = Duration::from_secs;
    /// let key = OriginKey::of("mill", "r1");
    /// let page = |recorded_at| OriginPage {
    ///     origins: vec![ListedOrigin { key, recorded_at }],
    ///     store_time: Some(s(500)),
    ///     next: None,
    /// };
    /// let mut leftovers = Leftovers::default();
    /// assert_eq!(leftovers.find(&page(Some(s(439))), s(60), s(1)), [key]);
    /// assert_eq!(leftovers.find(&page(None), s(60), s(1)), []);
    /// assert_eq!(leftovers.find(&page(Some(s(900))), s(60), s(62)), [key]);
    /// ```
    pub fn find(&mut self, page: &OriginPage, age: Duration, now: Monotonic) -> Vec<OriginKey> {
        if self.undated.len() > MAX_UNDATED {
            self.undated.clear();
        }
        let old = page.origins.iter().filter(|listed| {
            let listed_age = match age_of(listed, page.store_time) {
                Some(listed_age) => listed_age,
                None => now.saturating_sub(*self.undated.entry(listed.key).or_insert(now)),
            };
            listed_age > age
        });
        let keys: Vec<_> = old.map(|listed| listed.key).collect();
        for key in &keys {
            self.undated.remove(key);
        }
        keys
    }
}

/// Returns the age of a record by the store's clock; `None` if it is not known.
fn age_of(listed: &ListedOrigin, store_time: Option<Duration>) -> Option<Duration> {
    store_time?.checked_sub(listed.recorded_at?)
}
