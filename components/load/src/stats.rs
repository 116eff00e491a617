use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Timing;

/// Largest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 120_000_000;
/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// Latencies of many requests.
#[derive(Debug, Clone)]
pub struct Latencies {
    /// Until the first token or answer.
    pub first: Histogram<u64>,
    /// Between tokens.
    pub between: Histogram<u64>,
    /// Until the end.
    pub whole: Histogram<u64>,
}

/// Quantiles of one kind of latency, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize)]
pub struct Quantiles {
    /// Values that were recorded.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

/// Quantiles of all kinds of latency.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize)]
pub struct LatencySummary {
    /// Until the first token or answer.
    pub first: Quantiles,
    /// Between tokens.
    pub between: Quantiles,
    /// Until the end.
    pub whole: Quantiles,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            first: histogram(),
            between: histogram(),
            whole: histogram(),
        }
    }
}

impl Latencies {
    /// Adds one request.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut latencies = loadgen::Latencies::default();
    /// latencies.add(&loadgen::Timing {
    ///     first: Some(Duration::from_millis(2)),
    ///     between: Vec::new(),
    ///     whole: Duration::from_millis(5),
    /// });
    /// assert_eq!(latencies.summary().first.count, 1);
    /// ```
    pub fn add(&mut self, timing: &Timing) {
        if let Some(first) = timing.first {
            record(&mut self.first, first);
        }
        for between in &timing.between {
            record(&mut self.between, *between);
        }
        record(&mut self.whole, timing.whole);
    }

    /// The quantiles.
    pub fn summary(&self) -> LatencySummary {
        LatencySummary {
            first: quantiles(&self.first),
            between: quantiles(&self.between),
            whole: quantiles(&self.whole),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, value: Duration) {
    histogram.saturating_record(value.as_micros() as u64);
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1_000.0;
    Quantiles {
        count: histogram.len(),
        p50: ms(0.5),
        p95: ms(0.95),
        p99: ms(0.99),
        max: histogram.max() as f64 / 1_000.0,
    }
}
