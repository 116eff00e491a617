use std::time::Duration;

/// Returns `span` varied randomly by up to the fraction `part` of it in either direction, which spreads the
/// actions of hosts and callers over time.
pub(crate) fn jittered(span: Duration, part: f64) -> Duration {
    span.mul_f64(1.0 - part + 2.0 * part * rand::random::<f64>())
}
