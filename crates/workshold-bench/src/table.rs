//! Tables of figures, as they are printed and as they are bounded.

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// One bench's figures: a row for each policy or case.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// Its name, also in the file of bounds.
    pub name: String,
    /// Names of the figures.
    pub columns: Vec<&'static str>,
    /// Names and figures of the rows.
    pub rows: Vec<(String, Vec<f64>)>,
}

impl Table {
    /// An empty table.
    pub fn new(name: impl Into<String>, columns: &[&'static str]) -> Self {
        Self { name: name.into(), columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, name: impl Into<String>, figures: Vec<f64>) {
        self.rows.push((name.into(), figures));
    }

    /// Every figure under `table/row/column`.
    pub fn figures(&self) -> BTreeMap<String, f64> {
        let mut figures = BTreeMap::new();
        for (row, values) in &self.rows {
            for (column, value) in self.columns.iter().zip(values) {
                figures.insert(format!("{}/{row}/{column}", self.name), *value);
            }
        }
        figures
    }

    /// The table in Markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("### {}\n\n| |", self.name);
        self.columns.iter().for_each(|column| {
            let _ = write!(text, " {column} |");
        });
        text.push_str("\n| --- |");
        self.columns.iter().for_each(|_| text.push_str(" ---: |"));
        for (row, values) in &self.rows {
            let _ = write!(text, "\n| {row} |");
            values.iter().for_each(|value| {
                let _ = write!(text, " {} |", shown(*value));
            });
        }
        text.push('\n');
        text
    }
}

fn shown(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e15 {
        format!("{value:.0}")
    } else if value.abs() >= 100.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.3}")
    }
}
