//! Output of the commands: lines of text for people, or one JSON value for programs.

use serde::Serialize;

/// Prints results in the format that the command line selects.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    /// Whether to print one JSON value instead of lines of text.
    pub json: bool,
}

impl Output {
    /// Prints `value` as JSON, or as the lines that `lines` makes of it.
    pub fn print_result<T: Serialize>(self, value: &T, lines: impl FnOnce(&T) -> Vec<String>) {
        if self.json {
            print_line(&serde_json::to_string(value).expect("results have only text keys"));
        } else {
            lines(value).iter().for_each(|line| print_line(line));
        }
    }

    /// Prints a progress line. Nothing is printed in JSON mode, whose output is a single value.
    pub fn print_progress(self, line: &str) {
        if !self.json {
            print_line(line);
        }
    }
}

#[expect(clippy::print_stdout, reason = "results of commands go to standard output")]
fn print_line(line: &str) {
    println!("{line}");
}

/// Lays out a header and rows as lines, each column as wide as its widest cell.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> Vec<String> {
    let width = |i: usize| {
        let cells = rows.iter().filter_map(|row| row.get(i)).map(String::len);
        cells.chain([header[i].len()]).max().unwrap_or(0)
    };
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().enumerate().map(|(i, cell)| format!("{cell:<0$}", width(i)));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let body = rows.iter().map(|row| line(row.iter().map(String::as_str).collect()));
    [line(header.to_vec())].into_iter().chain(body).collect()
}
