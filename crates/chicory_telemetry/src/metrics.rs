//! Counters, gauges and histograms of a process.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};

use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::ResultExt;

use crate::MetricName;
use crate::metrics_error::{ExporterSnafu, MetricsError, RenderSnafu};

/// Prefix of the name of every metric.
const METRIC_NAMESPACE: &str = "chicory";

/// Upper bounds of the buckets of latency histograms, in seconds. They end at two seconds because
/// callers wait for about that long at most.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0,
];

/// Counters, gauges and latency histograms of a process, shared by all its components.
///
/// # Examples
///
/// ```
/// use chicory_telemetry::{MetricName, Metrics};
///
/// #[derive(Clone, Copy)]
/// enum DoorMetric {
///     Opened,
/// }
///
/// impl MetricName for DoorMetric {
///     fn name(self) -> &'static str {
///         "door_opened"
///     }
///
///     fn help(self) -> &'static str {
///         "Times the door was opened."
///     }
/// }
///
/// let metrics = Metrics::new()?;
/// metrics.increment(DoorMetric::Opened);
/// assert!(metrics.render()?.contains("chicory_door_opened_total 1"));
/// # Ok::<(), chicory_telemetry::MetricsError>(())
/// ```
pub struct Metrics {
    provider: SdkMeterProvider,
    meter: Meter,
    registry: Registry,
    counters: Mutex<BTreeMap<&'static str, CounterWithTotal>>,
    gauges: Mutex<BTreeMap<&'static str, Gauge<u64>>>,
    histograms: Mutex<BTreeMap<&'static str, Histogram<f64>>>,
}

/// A counter with its total, which the OpenTelemetry counter doesn't return.
struct CounterWithTotal {
    counter: Counter<u64>,
    total: u64,
}

impl Metrics {
    /// Creates an empty set of metrics.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Exporter`] if the exporter can't be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(METRIC_NAMESPACE)
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .context(ExporterSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METRIC_NAMESPACE);
        Ok(Self {
            provider,
            meter,
            registry,
            counters: Mutex::default(),
            gauges: Mutex::default(),
            histograms: Mutex::default(),
        })
    }

    /// Adds one to a counter.
    pub fn increment(&self, metric: impl MetricName) {
        self.add(metric, 1);
    }

    /// Adds `count` to a counter.
    pub fn add(&self, metric: impl MetricName, count: u64) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let value = counters
            .entry(metric.name())
            .or_insert_with(|| self.new_counter(metric));
        value.counter.add(count, &[]);
        value.total += count;
    }

    /// Raises a counter to `total` if its value is lower, and never lowers it.
    ///
    /// This is for counts that a reducer keeps itself.
    pub fn raise_to(&self, metric: impl MetricName, total: u64) {
        let current_total = self.total(metric);
        self.add(metric, total.saturating_sub(current_total));
    }

    /// Returns the value of a counter, 0 before the first increment.
    pub fn total(&self, metric: impl MetricName) -> u64 {
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        counters.get(metric.name()).map_or(0, |value| value.total)
    }

    /// Sets a gauge.
    pub fn set(&self, metric: impl MetricName, value: u64) {
        let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        gauges
            .entry(metric.name())
            .or_insert_with(|| self.new_gauge(metric))
            .record(value, &[]);
    }

    /// Records a duration in a latency histogram.
    pub fn record(&self, metric: impl MetricName, duration: Duration) {
        let mut histograms = self
            .histograms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        histograms
            .entry(metric.name())
            .or_insert_with(|| self.new_histogram(metric))
            .record(duration.as_secs_f64(), &[]);
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Render`] if a metric can't be encoded.
    pub fn render(&self) -> Result<String, MetricsError> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .context(RenderSnafu)
    }

    fn new_counter(&self, metric: impl MetricName) -> CounterWithTotal {
        let counter = self
            .meter
            .u64_counter(metric.name())
            .with_description(metric.help())
            .build();
        CounterWithTotal { counter, total: 0 }
    }

    fn new_histogram(&self, metric: impl MetricName) -> Histogram<f64> {
        self.meter
            .f64_histogram(metric.name())
            .with_description(metric.help())
            .with_boundaries(LATENCY_BOUNDS_S.to_vec())
            .build()
    }

    fn new_gauge(&self, metric: impl MetricName) -> Gauge<u64> {
        self.meter
            .u64_gauge(metric.name())
            .with_description(metric.help())
            .build()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics")
            .field("provider", &self.provider)
            .finish_non_exhaustive()
    }
}
