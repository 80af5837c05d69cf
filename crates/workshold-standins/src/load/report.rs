//! Results of a load.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::caller::CallerEnd;

/// Number of requests with each result, and latencies.
#[derive(Debug)]
pub struct Report {
    /// Requests that were sent and returned a result.
    pub sent: u64,
    /// Complete answers that match the expected answer byte for byte.
    pub answered: u64,
    /// Requests answered with a problem that says that they were not run.
    pub not_run: u64,
    /// Requests answered with a problem that says that it is unknown whether they ran.
    pub unknown: u64,
    /// Answers that were incomplete or did not match the expected answer.
    pub wrong: u64,
    /// Requests without a result, because their task panicked.
    pub lost: u64,
    /// Number of times that a stream was resumed.
    pub resumed: u64,
    /// Time to the first token, in hundredths of a millisecond.
    pub first_token: Histogram<u64>,
    /// Time between tokens, in hundredths of a millisecond.
    pub between_tokens: Histogram<u64>,
    /// Number of problems with each code.
    pub codes: std::collections::BTreeMap<String, u64>,
}

impl Default for Report {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            sent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            lost: 0,
            resumed: 0,
            first_token: histogram(),
            between_tokens: histogram(),
            codes: std::collections::BTreeMap::new(),
        }
    }
}

/// A report as it is printed.
#[derive(Debug, Serialize)]
struct PrintedReport<'a> {
    sent: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    lost: u64,
    resumed: u64,
    codes: &'a std::collections::BTreeMap<String, u64>,
    first_token_ms: [f64; 3],
    between_tokens_ms: [f64; 3],
}

/// Histograms count hundredths of a millisecond.
const HUNDREDTHS_PER_MS: f64 = 100.0;

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|q| histogram.value_at_quantile(q) as f64 / HUNDREDTHS_PER_MS)
}

impl Report {
    /// Adds the result of one request.
    pub fn add(&mut self, end: &CallerEnd) {
        self.sent += 1;
        self.resumed += u64::from(end.resumed);
        match &end.problem {
            None if end.is_right => self.answered += 1,
            None => self.wrong += 1,
            Some(problem) => {
                match problem.ran {
                    workshold_protocol::problem::ExecutionStatus::No => self.not_run += 1,
                    workshold_protocol::problem::ExecutionStatus::Unknown => self.unknown += 1,
                }
                *self.codes.entry(format!("{:?}", problem.code)).or_default() += 1;
            }
        }
        let hundredths =
            |time: std::time::Duration| (time.as_secs_f64() * 1000.0 * HUNDREDTHS_PER_MS) as u64;
        if let Some(first) = end.first_token {
            let _ = self.first_token.record(hundredths(first));
        }
        for gap in &end.gaps {
            let _ = self.between_tokens.record(hundredths(*gap));
        }
    }

    /// Whether every request got its complete answer or a problem that says whether it ran.
    pub fn is_clean(&self) -> bool {
        self.wrong == 0 && self.lost == 0
    }

    /// Formats the report as JSON, with times as p50, p95 and p99 in milliseconds.
    pub fn to_json(&self) -> String {
        let printed = PrintedReport {
            sent: self.sent,
            answered: self.answered,
            not_run: self.not_run,
            unknown: self.unknown,
            wrong: self.wrong,
            lost: self.lost,
            resumed: self.resumed,
            codes: &self.codes,
            first_token_ms: percentiles(&self.first_token),
            between_tokens_ms: percentiles(&self.between_tokens),
        };
        serde_json::to_string(&printed).expect("a report has only text keys")
    }
}
