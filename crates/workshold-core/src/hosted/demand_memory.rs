//! Remembers the demand of the last peaks, by model, so that groups that are lost while demand is
//! low are replaced before it is high again.
//!
//! Every node records the fleet's workload, as its peers' heartbeats report it. The state is
//! bounded: [`BUCKET`]s over the retention, for each model that was recorded within it. Two nodes
//! that started at different times remember differently; what is planned for a remembered demand
//! closes no group, so this only delays the forming of one.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;

use super::capacity::Workload;

/// Length of a bucket: nodes that hold no partition of the lease record once a second, so the
/// buckets of [`MEAN_TIME`] together hold at least one sample.
const BUCKET: Millis = Millis(500);
/// Time over which demand is averaged, so that a burst of single requests is not taken for a peak.
const MEAN_TIME: Millis = Millis(2_000);
/// Number of buckets in [`MEAN_TIME`].
const MEAN_BUCKETS: u64 = MEAN_TIME.0 / BUCKET.0;

/// Samples that fall into the same bucket.
#[derive(Debug, Clone, PartialEq)]
struct Bucket {
    /// Time of its start, in units of [`BUCKET`].
    index: u64,
    samples: u32,
    /// Sum of the samples.
    sum: Workload,
}

/// The demand of the recent past, by model.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DemandMemory {
    /// How long demand is remembered, and its half-life; zero: not at all.
    retention: Millis,
    by_model: BTreeMap<ModelName, VecDeque<Bucket>>,
}

impl DemandMemory {
    /// Creates a memory without any demand, which remembers for `retention`.
    pub fn new(retention: Millis) -> Self {
        Self { retention, by_model: BTreeMap::new() }
    }

    /// Changes how long demand is remembered. With zero, everything is forgotten.
    pub fn set_retention(&mut self, retention: Millis) {
        self.retention = retention;
        if retention == Millis::ZERO {
            self.by_model.clear();
        }
    }

    /// Records the present demand for each model, and forgets what is older than the retention.
    pub fn record<'a>(
        &mut self,
        workloads: impl IntoIterator<Item = (&'a ModelName, &'a Workload)>,
        now: Millis,
    ) {
        if self.retention == Millis::ZERO {
            return;
        }
        let index = now.0 / BUCKET.0;
        for (model, workload) in workloads {
            let buckets = self.by_model.entry(model.clone()).or_default();
            match buckets.back_mut().filter(|last| last.index >= index) {
                Some(last) => {
                    last.samples += 1;
                    last.sum = last.sum.plus(*workload);
                }
                None => buckets.push_back(Bucket { index, samples: 1, sum: *workload }),
            }
        }
        let first_kept = index.saturating_sub(self.retention.0.div_ceil(BUCKET.0) + MEAN_BUCKETS);
        self.by_model.retain(|_, buckets| {
            while buckets.front().is_some_and(|first| first.index < first_kept) {
                buckets.pop_front();
            }
            !buckets.is_empty()
        });
    }

    /// The remembered demand for a model: of its means over [`MEAN_TIME`], each weighted with its
    /// age, the one with the highest `need`. `None` if there is no such mean.
    pub fn remembered(
        &self,
        model: &ModelName,
        need: impl Fn(Workload) -> f64,
        now: Millis,
    ) -> Option<Workload> {
        let buckets = self.by_model.get(model)?;
        let first = buckets.front()?.index;
        let is_covered = |end: &&Bucket| end.index + 1 >= first + MEAN_BUCKETS;
        let ends = buckets.iter().filter(is_covered).map(|end| end.index);
        let weighted = ends.filter_map(|end| {
            let age = now.since(Millis((end + 1) * BUCKET.0));
            (age <= self.retention).then(|| mean(buckets, end).scaled(self.weight(age)))
        });
        let needed = weighted.map(|workload| (need(workload), workload));
        needed.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, workload)| workload)
    }

    /// Number of buckets that are held, over all models.
    pub fn bucket_count(&self) -> usize {
        self.by_model.values().map(VecDeque::len).sum()
    }

    /// Weight of a demand of this age: half at the end of the retention.
    fn weight(&self, age: Millis) -> f64 {
        0.5_f64.powf(age.as_secs_f64() / self.retention.as_secs_f64())
    }
}

/// Mean of the samples in the buckets of [`MEAN_TIME`] up to the bucket `end`.
fn mean(buckets: &VecDeque<Bucket>, end: u64) -> Workload {
    let to = buckets.partition_point(|bucket| bucket.index <= end);
    let from = buckets.partition_point(|bucket| bucket.index + MEAN_BUCKETS <= end);
    let window = || buckets.range(from..to);
    let samples: u32 = window().map(|bucket| bucket.samples).sum();
    let sum = window().fold(Workload::default(), |sum, bucket| sum.plus(bucket.sum));
    sum.scaled(1.0 / f64::from(samples.max(1)))
}
