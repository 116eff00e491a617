use std::num::NonZeroU64;

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

/// Rate of a host's network link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LinkRate {
    bits_per_second: NonZeroU64,
}

impl LinkRate {
    /// Creates a rate from bits per second; `None` for 0.
    ///
    /// ```
    /// assert!(gateway::LinkRate::from_bits_per_second(200_000_000).is_some());
    /// assert_eq!(gateway::LinkRate::from_bits_per_second(0), None);
    /// ```
    pub fn from_bits_per_second(bits_per_second: u64) -> Option<Self> {
        NonZeroU64::new(bits_per_second).map(|bits_per_second| Self { bits_per_second })
    }

    /// Returns the class of the rate. Each class begins at twice the rate of the class below.
    pub(crate) fn class(self) -> u32 {
        self.bits_per_second.ilog2()
    }
}

/// Decodes a rate; one of an unknown form is unknown, so that the row that holds it stays usable.
pub(crate) fn deserialize_known<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<LinkRate>, D::Error> {
    Value::deserialize(deserializer).map(|value| LinkRate::deserialize(value).ok())
}
