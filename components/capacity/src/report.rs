use std::fmt;

use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Style;

use crate::size::{CORE_BUDGET, MEMORY_BUDGET, Scale, TRAFFIC_BUDGET};
use crate::{Fit, Meter, Sample, measure_directory, measure_membership, measure_notes, measure_view};

/// The limit that applies to a row.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Budget {
    /// Share of a core that control functions may use on a host.
    Core,
    /// Memory that control functions may use on a host.
    Memory,
    /// Bytes per second that control functions may send and receive on a host.
    Traffic,
    /// Maximum time, in seconds.
    Seconds(f64),
    /// No limit; the value is for information only.
    None,
}

/// Growth of a quantity with size, and its value at the planned size.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Role of the host that has the cost.
    pub role: &'static str,
    /// Measured quantity, with its unit.
    pub quantity: &'static str,
    /// Unit of the size, such as targets.
    pub of: &'static str,
    /// Planned size.
    pub size: f64,
    /// Measured samples.
    pub samples: Vec<Sample>,
    /// Line fitted to the samples.
    pub fit: Fit,
    /// Value of the line at the planned size.
    pub value: f64,
    /// Limit that applies to the value.
    pub budget: Budget,
    /// Mechanism that keeps the value low.
    pub mechanism: &'static str,
}

/// Result of a measurement.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Rows, grouped by role.
    pub rows: Vec<Row>,
}

/// Measures all quantities.
pub fn run(scale: Scale, meter: &Meter<'_>) -> Report {
    let mut rows = measure_view::measure(scale, meter);
    rows.extend(measure_directory::measure(scale, meter));
    rows.extend(measure_membership::measure(scale, meter));
    rows.extend(measure_notes::measure(scale, meter));
    Report { rows }
}

impl Budget {
    /// Returns the limit, or `None` if there is none.
    pub fn limit(self) -> Option<f64> {
        match self {
            Self::Core => Some(CORE_BUDGET),
            Self::Memory => Some(MEMORY_BUDGET),
            Self::Traffic => Some(TRAFFIC_BUDGET),
            Self::Seconds(limit) => Some(limit),
            Self::None => None,
        }
    }
}

impl Row {
    pub(crate) fn new(
        role: &'static str,
        quantity: &'static str,
        of: &'static str,
        size: f64,
        samples: Vec<Sample>,
    ) -> Self {
        let fit = Fit::new(&samples);
        let value = fit.value_at(size);
        Self {
            role,
            quantity,
            of,
            size,
            samples,
            fit,
            value,
            budget: Budget::None,
            mechanism: "",
        }
    }

    pub(crate) fn with_budget(mut self, budget: Budget) -> Self {
        self.budget = budget;
        self
    }

    pub(crate) fn with_mechanism(mut self, mechanism: &'static str) -> Self {
        self.mechanism = mechanism;
        self
    }

    /// Returns the value as a share of the budget, or `None` if there is no limit.
    pub fn share(&self) -> Option<f64> {
        self.budget.limit().map(|limit| self.value / limit)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Builder::default();
        table.push_record([
            "Role",
            "Quantity",
            "Size",
            "Measured at",
            "Slope",
            "Worst error",
            "At size",
            "Share of budget",
            "Mechanism",
        ]);
        for row in &self.rows {
            let measured = row
                .samples
                .iter()
                .map(|s| format!("{}: {}", format_short(s.size), format_short(s.value)));
            table.push_record([
                row.role.to_owned(),
                row.quantity.to_owned(),
                format!("{} {}", format_short(row.size), row.of),
                measured.collect::<Vec<_>>().join("; "),
                format_short(row.fit.slope),
                format!("{:.0}%", row.fit.worst_error * 100.0),
                format_short(row.value),
                row.share()
                    .map_or_else(String::new, |share| format!("{:.1}%", share * 100.0)),
                row.mechanism.to_owned(),
            ]);
        }
        write!(f, "{}", table.build().with(Style::markdown()))
    }
}

/// Formats a value with two or three decimals, and with the suffix k or M if it is large.
fn format_short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        v if v >= 1e6 => format!("{:.3}M", value / 1e6),
        v if v >= 1e3 => format!("{:.2}k", value / 1e3),
        v if v >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.2e}"),
    }
}
