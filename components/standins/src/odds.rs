use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// How often a fault happens.
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
    /// For this many of the next calls, for certain.
    pub next: u32,
    /// For this share of the calls after those, 0 to 1.
    pub share: f64,
}

impl Odds {
    /// Hits the next calls and none after them.
    pub fn next(calls: u32) -> Self {
        Self {
            next: calls,
            share: 0.0,
        }
    }

    /// Hits a share of all calls.
    pub fn share(share: f64) -> Self {
        Self { next: 0, share }
    }

    /// Whether the fault hits this call.
    pub(crate) fn hits(&mut self, rng: &mut ChaCha8Rng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.share > 0.0 && rng.random_bool(self.share.min(1.0))
    }
}
