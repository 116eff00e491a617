use serde::Serialize;

/// A value that was measured at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct Sample {
    /// Size at which the value was measured.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// A straight line fitted to samples by least squares of the relative error.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct Fit {
    /// Value at size 0.
    pub at_zero: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Maximum distance of a sample from the line, as a share of the sample's value.
    pub worst_error: f64,
}

impl Fit {
    /// Fits a line to samples. Each sample is weighted by the inverse square of its value; otherwise the
    /// largest sizes would dominate the fit.
    ///
    /// ```
    /// use capacity::{Fit, Sample};
    ///
    /// let samples = [(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)].map(|(size, value)| Sample { size, value });
    /// let fit = Fit::new(&samples);
    /// assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.value_at(10.0) - 23.0).abs() < 1e-9);
    /// ```
    pub fn new(samples: &[Sample]) -> Self {
        let (mut w, mut wx, mut wy, mut wxx, mut wxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for Sample { size, value } in samples {
            let weight = 1.0 / value.abs().max(f64::MIN_POSITIVE.sqrt()).powi(2);
            w += weight;
            wx += weight * size;
            wy += weight * value;
            wxx += weight * size * size;
            wxy += weight * size * value;
        }
        let slope = (w * wxy - wx * wy) / (w * wxx - wx * wx);
        let at_zero = (wy - slope * wx) / w;
        let mut fit = Self {
            at_zero,
            slope,
            worst_error: 0.0,
        };
        let errors = samples
            .iter()
            .map(|s| ((fit.value_at(s.size) - s.value) / s.value).abs());
        fit.worst_error = errors.fold(0.0, f64::max);
        fit
    }

    /// Returns the value of the line at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.at_zero + self.slope * size
    }
}
