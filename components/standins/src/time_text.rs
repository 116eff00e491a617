//! Serialization of durations in settings, as text such as `10us`, `2ms` or `1s`.

use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

/// Units with their length in nanoseconds; `s` is last because the other names also end with it.
const UNITS: [(&str, f64); 4] = [("ns", 1.0), ("us", 1e3), ("ms", 1e6), ("s", 1e9)];

pub(crate) fn serialize<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{}ns", time.as_nanos()))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse(&text)
        .ok_or_else(|| D::Error::custom(format_args!("{text:?} is not a duration such as 10us, 2ms or 1s")))
}

fn parse(text: &str) -> Option<Duration> {
    let (number, nanos) = UNITS
        .iter()
        .find_map(|(unit, nanos)| Some((text.strip_suffix(unit)?, nanos)))?;
    let number: f64 = number.trim().parse().ok()?;
    let nanos = number * nanos;
    (0.0..=u64::MAX as f64)
        .contains(&nanos)
        .then(|| Duration::from_nanos(nanos as u64))
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::parse;

    #[test]
    fn parses_durations_with_units() {
        assert_eq!(parse("10us"), Some(Duration::from_micros(10)));
        assert_eq!(parse("1.5 ms"), Some(Duration::from_micros(1_500)));
        assert_eq!(parse("2s"), Some(Duration::from_secs(2)));
        assert_eq!(parse("0ns"), Some(Duration::ZERO));
        for bad in ["", "5", "-1s", "NaNs", "1e300s", "ms"] {
            assert_eq!(parse(bad), None, "{bad}");
        }
    }
}
