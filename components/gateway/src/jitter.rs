use std::time::Duration;

/// A span that is longer or shorter by up to `part` of it, so that hosts or callers don't do the same at the same moment.
pub(crate) fn jittered(span: Duration, part: f64) -> Duration {
    span.mul_f64(1.0 - part + 2.0 * part * rand::random::<f64>())
}
