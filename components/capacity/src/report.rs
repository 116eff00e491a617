use std::fmt;

use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Style;

use crate::size::{CORE_BUDGET, MEMORY_BUDGET, Scale, TRAFFIC_BUDGET};
use crate::{Fit, Meter, Sample, measure_directory, measure_membership, measure_notes, measure_view};

/// What a row counts against.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Budget {
    /// Share of a core that control may take on a host.
    Core,
    /// Memory that control may take on a host.
    Memory,
    /// Bytes a second that control may send and receive on a host.
    Traffic,
    /// A longest time, in seconds.
    Seconds(f64),
    /// Nothing; the figure is for information.
    None,
}

/// One slope and what it comes to.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Row {
    /// Role of a host that carries it.
    pub role: &'static str,
    /// What was measured, with its unit.
    pub quantity: &'static str,
    /// What the size counts.
    pub of: &'static str,
    /// Size to build towards.
    pub size: f64,
    /// The measured samples.
    pub samples: Vec<Sample>,
    /// The line through them.
    pub fit: Fit,
    /// Value at the size to build towards.
    pub value: f64,
    /// What it counts against.
    pub budget: Budget,
    /// What carries it.
    pub mechanism: &'static str,
}

/// All rows.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// The rows, by role.
    pub rows: Vec<Row>,
}

/// Measures every slope.
pub fn run(scale: Scale, meter: &Meter<'_>) -> Report {
    let mut rows = measure_view::measure(scale, meter);
    rows.extend(measure_directory::measure(scale, meter));
    rows.extend(measure_membership::measure(scale, meter));
    rows.extend(measure_notes::measure(scale, meter));
    Report { rows }
}

impl Budget {
    /// The limit, or `None` for a figure that has none.
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
        let value = fit.at(size);
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

    /// Share of the budget that the row takes.
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
                .map(|s| format!("{}: {}", short(s.size), short(s.value)));
            table.push_record([
                row.role.to_owned(),
                row.quantity.to_owned(),
                format!("{} {}", short(row.size), row.of),
                measured.collect::<Vec<_>>().join("; "),
                short(row.fit.slope),
                format!("{:.0}%", row.fit.worst_error * 100.0),
                short(row.value),
                row.share()
                    .map_or_else(String::new, |share| format!("{:.1}%", share * 100.0)),
                row.mechanism.to_owned(),
            ]);
        }
        write!(f, "{}", table.build().with(Style::markdown()))
    }
}

/// A figure with three significant digits.
fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        v if v >= 1e6 => format!("{:.3}M", value / 1e6),
        v if v >= 1e3 => format!("{:.2}k", value / 1e3),
        v if v >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.2e}"),
    }
}
