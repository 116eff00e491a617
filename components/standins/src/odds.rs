use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// How often a fault is injected: into the next calls for certain, and into a share of the later ones.
///
/// ```
/// let odds: standins::Odds = serde_json::from_str(r#"{"next": 2}"#)?;
/// assert_eq!(odds, standins::Odds::next(2));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Odds {
    /// Number of next calls that the fault certainly affects.
    pub next: u32,
    /// Share of the calls after those that the fault affects at random, from 0 to 1.
    pub share: f64,
}

impl Odds {
    /// Creates odds that affect the next `calls` calls and none after them.
    pub fn next(calls: u32) -> Self {
        Self {
            next: calls,
            share: 0.0,
        }
    }

    /// Creates odds that affect a random share of all calls.
    pub fn share(share: f64) -> Self {
        Self { next: 0, share }
    }

    /// Whether the fault affects this call. Decrements `next` if it is above 0.
    pub(crate) fn applies(&mut self, rng: &mut ChaCha8Rng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.share > 0.0 && rng.random_bool(self.share.min(1.0))
    }
}
