//! Regression bounds: one committed file, strict because the figures are exact.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::Length;
use crate::table::Table;

/// The least and the most that a figure may be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// The least.
    pub min: Option<f64>,
    /// The most.
    pub max: Option<f64>,
}

/// Bounds by `table/row/column`.
pub type Bounds = BTreeMap<String, Bound>;

/// The file of bounds: one part for each length, as the figures differ.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsFile {
    short: Bounds,
    long: Bounds,
}

impl BoundsFile {
    /// The bounds of a length.
    pub fn of(&self, length: Length) -> &Bounds {
        match length {
            Length::Short => &self.short,
            Length::Long => &self.long,
        }
    }
}

/// What is wrong with the figures: one line each.
pub fn broken(tables: &[Table], bounds: &Bounds) -> Vec<String> {
    let figures: BTreeMap<_, _> = tables.iter().flat_map(Table::figures).collect();
    bounds.iter().filter_map(|(name, bound)| check(name, bound, figures.get(name))).collect()
}

fn check(name: &str, bound: &Bound, figure: Option<&f64>) -> Option<String> {
    let Some(figure) = figure else { return Some(format!("{name}: there is no such figure")) };
    if let Some(min) = bound.min.filter(|min| figure < min) {
        return Some(format!("{name}: {figure} is below {min}"));
    }
    if let Some(max) = bound.max.filter(|max| figure > max) {
        return Some(format!("{name}: {figure} is above {max}"));
    }
    None
}
