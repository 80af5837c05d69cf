//! What a command prints: lines for people, or one JSON value for programs.

use serde::Serialize;

/// Where results go.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    /// Whether to print JSON.
    pub json: bool,
}

impl Output {
    /// Prints a result in the form that was asked for.
    pub fn result<T: Serialize>(self, value: &T, lines: impl FnOnce(&T) -> Vec<String>) {
        if self.json {
            print_line(&serde_json::to_string(value).expect("results have only text keys"));
        } else {
            lines(value).iter().for_each(|line| print_line(line));
        }
    }

    /// Says how far a command has come; programs are not told.
    pub fn progress(self, line: &str) {
        if !self.json {
            print_line(line);
        }
    }
}

#[expect(clippy::print_stdout, reason = "this is where a command prints")]
fn print_line(line: &str) {
    println!("{line}");
}

/// Rows in columns as wide as their widest cell.
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
