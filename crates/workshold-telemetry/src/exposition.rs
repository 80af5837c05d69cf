//! Metrics for scraping: a `cadence` sink that collects metrics in a Prometheus registry, and
//! returns them in the Prometheus text exposition format.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use cadence::MetricSink;
use parking_lot::Mutex;
use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency histograms' buckets, in milliseconds. They are dense around the
/// latency targets of the callers' routes and end at the longest time that a caller waits.
const BUCKETS_MS: [f64; 14] = [
    5.0, 10.0, 25.0, 50.0, 75.0, 100.0, 150.0, 200.0, 300.0, 400.0, 500.0, 1_000.0, 2_500.0,
    8_000.0,
];

/// The metrics registered so far, by name. A metric is registered when it is first emitted.
#[derive(Default)]
struct RegisteredMetrics {
    counters: BTreeMap<String, IntCounter>,
    gauges: BTreeMap<String, Gauge>,
    histograms: BTreeMap<String, Histogram>,
}

/// A metrics sink for `cadence` that keeps the values in memory until they are scraped.
#[derive(Clone, Default)]
pub struct Exposition {
    registry: Registry,
    metrics: Arc<Mutex<RegisteredMetrics>>,
}

/// A panic while a metric is updated leaves a value that is at worst one update behind, so the
/// registry stays usable after the panic is caught.
impl std::panic::RefUnwindSafe for Exposition {}

impl std::fmt::Debug for Exposition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Exposition").finish_non_exhaustive()
    }
}

impl Exposition {
    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// The encoder's error, such as for an invalid metric name.
    pub fn text(&self) -> io::Result<Vec<u8>> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new().encode(&families, &mut text).map_err(io::Error::other)?;
        Ok(text)
    }

    /// Applies one update: adds to a counter (kind `c`), sets a gauge (`g`), or observes a value in
    /// a histogram (all other kinds, such as timers).
    fn apply_update(&self, name: &str, value: f64, kind: &str) -> Result<(), prometheus::Error> {
        let mut metrics = self.metrics.lock();
        match kind {
            "c" => {
                if !metrics.counters.contains_key(name) {
                    let counter = IntCounter::new(name, name)?;
                    self.registry.register(Box::new(counter.clone()))?;
                    metrics.counters.insert(name.to_owned(), counter);
                }
                metrics.counters[name].inc_by(value.max(0.0) as u64);
            }
            "g" => {
                if !metrics.gauges.contains_key(name) {
                    let gauge = Gauge::new(name, name)?;
                    self.registry.register(Box::new(gauge.clone()))?;
                    metrics.gauges.insert(name.to_owned(), gauge);
                }
                metrics.gauges[name].set(value);
            }
            _ => {
                if !metrics.histograms.contains_key(name) {
                    let options = HistogramOpts::new(name, name).buckets(BUCKETS_MS.to_vec());
                    let histogram = Histogram::with_opts(options)?;
                    self.registry.register(Box::new(histogram.clone()))?;
                    metrics.histograms.insert(name.to_owned(), histogram);
                }
                metrics.histograms[name].observe(value);
            }
        }
        Ok(())
    }
}

impl MetricSink for Exposition {
    /// Parses a StatsD line, `name:value|kind`, and applies it. Dots in names become underscores,
    /// as Prometheus requires.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let bad = || io::Error::other(format!("not a metric: {metric}"));
        let (name, rest) = metric.split_once(':').ok_or_else(bad)?;
        let mut parts = rest.split('|');
        let value = parts.next().and_then(|value| value.parse().ok()).ok_or_else(bad)?;
        let kind = parts.next().ok_or_else(bad)?;
        self.apply_update(&name.replace('.', "_"), value, kind).map_err(io::Error::other)?;
        Ok(metric.len())
    }
}
