//! Regression bounds for the figures of the benches, read from `bounds.toml`. They can be tight,
//! because the figures are reproducible exactly.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::RunLength;
use crate::table::Table;

/// The range that a figure must stay in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Smallest allowed value; `None` if there is no lower bound.
    pub min: Option<f64>,
    /// Largest allowed value; `None` if there is no upper bound.
    pub max: Option<f64>,
}

/// Bounds by the figure's key, `table/row/column`.
pub type Bounds = BTreeMap<String, Bound>;

/// The file of bounds, with one section per run length, because the figures differ.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsFile {
    short: Bounds,
    long: Bounds,
}

impl BoundsFile {
    /// The bounds for runs of this length.
    pub fn for_length(&self, length: RunLength) -> &Bounds {
        match length {
            RunLength::Short => &self.short,
            RunLength::Long => &self.long,
        }
    }
}

/// Describes each violated bound in one line, including bounds whose figure is missing.
pub fn violations(tables: &[Table], bounds: &Bounds) -> Vec<String> {
    let figures: BTreeMap<_, _> = tables.iter().flat_map(Table::figures).collect();
    bounds.iter().filter_map(|(name, bound)| check_bound(name, bound, figures.get(name))).collect()
}

fn check_bound(name: &str, bound: &Bound, figure: Option<&f64>) -> Option<String> {
    let Some(figure) = figure else { return Some(format!("{name}: there is no such figure")) };
    if let Some(min) = bound.min.filter(|min| figure < min) {
        return Some(format!("{name}: {figure} is below {min}"));
    }
    if let Some(max) = bound.max.filter(|max| figure > max) {
        return Some(format!("{name}: {figure} is above {max}"));
    }
    None
}
