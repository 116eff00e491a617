use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::account::{MemoryAccount, Shortage};

impl MemoryAccount {
    /// Registers the gauges and counters of the account for callers and targets. They are read only when metrics are
    /// collected.
    pub fn register(self: &Arc<Self>, meter: &Meter) {
        self.register_gauge(meter, "laburnumtally.connections".to_owned(), Self::connections);
        self.register_as(meter, "laburnumtally.memory");
    }

    /// Registers the budget, its use and the refusals of an account under a prefix.
    pub fn register_as(self: &Arc<Self>, meter: &Meter, prefix: &str) {
        self.register_gauge(meter, format!("{prefix}.budget"), Self::capacity);
        self.register_gauge(meter, format!("{prefix}.used"), Self::used);
        let account = self.clone();
        meter
            .u64_observable_counter(format!("{prefix}.refusals"))
            .with_callback(move |observer| {
                for kind in Shortage::ALL {
                    observer.observe(account.count(kind), &[KeyValue::new("kind", kind.as_str())]);
                }
            })
            .build();
    }

    fn register_gauge(self: &Arc<Self>, meter: &Meter, name: String, value: fn(&Self) -> usize) {
        let account = self.clone();
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| observer.observe(value(&account) as u64, &[]))
            .build();
    }
}
