//! Tables of figures, printed as Markdown and looked up by key for the bounds.

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Figures of a bench, with one row for each policy or scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// The table's title, and the first part of the keys in the file of bounds.
    pub name: String,
    /// Column names, also the last part of the keys in the file of bounds.
    pub columns: Vec<&'static str>,
    /// Each row's name and its figures in the order of the columns.
    pub rows: Vec<(String, Vec<f64>)>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(name: impl Into<String>, columns: &[&'static str]) -> Self {
        Self { name: name.into(), columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Appends a row; `figures` are in the order of the columns.
    pub fn push_row(&mut self, name: impl Into<String>, figures: Vec<f64>) {
        self.rows.push((name.into(), figures));
    }

    /// All figures by key, `table/row/column`.
    pub fn figures(&self) -> BTreeMap<String, f64> {
        let mut figures = BTreeMap::new();
        for (row, values) in &self.rows {
            for (column, value) in self.columns.iter().zip(values) {
                figures.insert(format!("{}/{row}/{column}", self.name), *value);
            }
        }
        figures
    }

    /// Renders the table in Markdown.
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
                let _ = write!(text, " {} |", format_figure(*value));
            });
        }
        text.push('\n');
        text
    }
}

/// Formats whole numbers without decimals, others with one from 100 up and three below.
fn format_figure(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() < 1e15 {
        format!("{value:.0}")
    } else if value.abs() >= 100.0 {
        format!("{value:.1}")
    } else {
        format!("{value:.3}")
    }
}
