use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::account::{MemoryAccount, Shortage};

impl MemoryAccount {
    /// Registers the gauges and counters of the account. They are read only when metrics are collected.
    pub fn register(self: &Arc<Self>, meter: &Meter) {
        self.register_gauge(meter, "laburnumtally.memory.budget", Self::capacity);
        self.register_gauge(meter, "laburnumtally.memory.used", Self::used);
        self.register_gauge(meter, "laburnumtally.connections", Self::connections);
        let account = self.clone();
        meter
            .u64_observable_counter("laburnumtally.memory.refusals")
            .with_callback(move |observer| {
                for kind in Shortage::ALL {
                    observer.observe(account.count(kind), &[KeyValue::new("kind", kind.as_str())]);
                }
            })
            .build();
    }

    fn register_gauge(self: &Arc<Self>, meter: &Meter, name: &'static str, value: fn(&Self) -> usize) {
        let account = self.clone();
        meter
            .u64_observable_gauge(name)
            .with_callback(move |observer| observer.observe(value(&account) as u64, &[]))
            .build();
    }
}
