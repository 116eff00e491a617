use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Timing;

/// Upper bound of the histograms, in microseconds; longer latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
/// Significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histograms of the latencies of many requests, in microseconds.
#[derive(Debug, Clone)]
pub struct Latencies {
    /// Time from when a request is due until the first token of a draft or the answer to a call.
    pub first: Histogram<u64>,
    /// Time between two successive tokens of a draft.
    pub between: Histogram<u64>,
    /// Time from when a request is due until it ends.
    pub whole: Histogram<u64>,
}

/// Quantiles of one kind of latency, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize)]
pub struct Quantiles {
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Quantiles of every kind of latency in [`Latencies`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize)]
pub struct LatencySummary {
    /// Time until the first token of a draft or the answer to a call.
    pub first: Quantiles,
    /// Time between two successive tokens of a draft.
    pub between: Quantiles,
    /// Time until the request ends.
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
    /// Records the latencies of a request.
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

    /// Returns the quantiles of the recorded latencies.
    pub fn summary(&self) -> LatencySummary {
        LatencySummary {
            first: quantiles(&self.first),
            between: quantiles(&self.between),
            whole: quantiles(&self.whole),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
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
