//! Metrics that are asked for: `cadence` counts into a registry, which is told as text
//! in the usual exposition format.

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

/// Upper bounds of the latency buckets, in milliseconds: around the goals of the
/// users' routes, and up to the longest that a caller waits.
const BUCKETS_MS: [f64; 14] = [
    5.0, 10.0, 25.0, 50.0, 75.0, 100.0, 150.0, 200.0, 300.0, 400.0, 500.0, 1_000.0, 2_500.0,
    8_000.0,
];

#[derive(Default)]
struct Known {
    counters: BTreeMap<String, IntCounter>,
    gauges: BTreeMap<String, Gauge>,
    histograms: BTreeMap<String, Histogram>,
}

/// A sink of `cadence` whose figures stay here until they are asked for.
#[derive(Clone, Default)]
pub struct Exposition {
    registry: Registry,
    known: Arc<Mutex<Known>>,
}

/// A figure that was half taken when its taker panicked is still a figure.
impl std::panic::RefUnwindSafe for Exposition {}

impl std::fmt::Debug for Exposition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Exposition").finish_non_exhaustive()
    }
}

impl Exposition {
    /// All figures as text.
    ///
    /// # Errors
    ///
    /// What the encoder says; a name that it does not take.
    pub fn text(&self) -> io::Result<Vec<u8>> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new().encode(&families, &mut text).map_err(io::Error::other)?;
        Ok(text)
    }

    fn take(&self, name: &str, value: f64, kind: &str) -> Result<(), prometheus::Error> {
        let mut known = self.known.lock();
        match kind {
            "c" => {
                if !known.counters.contains_key(name) {
                    let counter = IntCounter::new(name, name)?;
                    self.registry.register(Box::new(counter.clone()))?;
                    known.counters.insert(name.to_owned(), counter);
                }
                known.counters[name].inc_by(value.max(0.0) as u64);
            }
            "g" => {
                if !known.gauges.contains_key(name) {
                    let gauge = Gauge::new(name, name)?;
                    self.registry.register(Box::new(gauge.clone()))?;
                    known.gauges.insert(name.to_owned(), gauge);
                }
                known.gauges[name].set(value);
            }
            _ => {
                if !known.histograms.contains_key(name) {
                    let options = HistogramOpts::new(name, name).buckets(BUCKETS_MS.to_vec());
                    let histogram = Histogram::with_opts(options)?;
                    self.registry.register(Box::new(histogram.clone()))?;
                    known.histograms.insert(name.to_owned(), histogram);
                }
                known.histograms[name].observe(value);
            }
        }
        Ok(())
    }
}

impl MetricSink for Exposition {
    /// Takes a line `name:value|kind`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let bad = || io::Error::other(format!("not a metric: {metric}"));
        let (name, rest) = metric.split_once(':').ok_or_else(bad)?;
        let mut parts = rest.split('|');
        let value = parts.next().and_then(|value| value.parse().ok()).ok_or_else(bad)?;
        let kind = parts.next().ok_or_else(bad)?;
        self.take(&name.replace('.', "_"), value, kind).map_err(io::Error::other)?;
        Ok(metric.len())
    }
}
