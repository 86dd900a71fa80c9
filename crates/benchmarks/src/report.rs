//! The report that every benchmark ends with.

use std::path::Path;

use serde::Serialize;
use serde_json::{Map, Value};

/// The metrics and failed checks of a benchmark.
#[derive(Debug)]
pub struct Report {
    benchmark: &'static str,
    seed: u64,
    metrics: Map<String, Value>,
    failed_checks: Vec<String>,
}

/// The report as JSON.
#[derive(Serialize)]
struct ReportLine<'a> {
    benchmark: &'a str,
    seed: u64,
    ok: bool,
    #[serde(rename = "figures")]
    metrics: &'a Map<String, Value>,
    #[serde(rename = "broken")]
    failed_checks: &'a [String],
}

impl Report {
    /// A report without metrics.
    pub fn new(benchmark: &'static str, seed: u64) -> Self {
        Self { benchmark, seed, metrics: Map::new(), failed_checks: Vec::new() }
    }

    /// Adds a metric, whose name carries its unit or says `ratio`, `share` or `count`.
    pub fn metric(&mut self, name: &str, value: impl Into<Value>) {
        self.metrics.insert(name.to_owned(), value.into());
    }

    /// Adds a failed check.
    pub fn failed_check(&mut self, check: String) {
        self.failed_checks.push(check);
    }

    /// Prints the report as one line of JSON, and writes it to a file if one is given; whether all checks passed.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn print(self, file: Option<&Path>) -> std::io::Result<bool> {
        let line = self.to_json()?;
        if let Some(file) = file {
            std::fs::write(file, format!("{line}\n"))?;
        }
        println!("{line}");
        Ok(self.failed_checks.is_empty())
    }

    fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string(&ReportLine {
            benchmark: self.benchmark,
            seed: self.seed,
            ok: self.failed_checks.is_empty(),
            metrics: &self.metrics,
            failed_checks: &self.failed_checks,
        })
    }
}

#[cfg(test)]
mod tests;
