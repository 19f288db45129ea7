//! Metrics in the Prometheus text format.

use parking_lot::Mutex;
use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use std::sync::Arc;

type DecisionLabels = [(&'static str, &'static str); 1];

/// Counters of a component's decisions, one for each value of the label `decision`.
#[derive(Debug, Clone, Default)]
pub struct DecisionCounters {
    family: Family<DecisionLabels, Counter>,
}

impl DecisionCounters {
    /// Counts one decision.
    pub fn count(&self, decision: &'static str) {
        self.family.get_or_create(&[("decision", decision)]).inc();
    }

    /// Returns how often a decision was counted.
    pub fn get(&self, decision: &'static str) -> u64 {
        self.family.get_or_create(&[("decision", decision)]).get()
    }
}

/// All metrics of a process.
#[derive(Debug, Clone)]
pub struct MetricsRegistry {
    registry: Arc<Mutex<Registry>>,
}

impl Default for MetricsRegistry {
    fn default() -> Self {
        Self { registry: Arc::new(Mutex::new(Registry::with_prefix("hawthornhill"))) }
    }
}

impl MetricsRegistry {
    /// Registers the decision counters of a component.
    pub fn decisions(&self, name: &str, help: &str) -> DecisionCounters {
        let counters = DecisionCounters::default();
        self.registry.lock().register(name, help, counters.family.clone());
        counters
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.lock().register(name, help, gauge.clone());
        gauge
    }

    /// Registers a histogram of latencies in seconds, from 1 ms to 16 s.
    pub fn latencies(&self, name: &str, help: &str) -> Histogram {
        let histogram = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        self.registry.lock().register(name, help, histogram.clone());
        histogram
    }

    /// Returns all metrics in the Prometheus text format, or an empty text if encoding fails.
    pub fn page(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry.lock()) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }
}
