//! The report that every benchmark ends with.

use std::path::Path;

use serde_json::{Map, Value, json};

/// The figures and failed checks of a benchmark.
#[derive(Debug)]
pub struct Report {
    benchmark: &'static str,
    seed: u64,
    figures: Map<String, Value>,
    broken: Vec<String>,
}

impl Report {
    /// A report without figures.
    pub fn new(benchmark: &'static str, seed: u64) -> Self {
        Self { benchmark, seed, figures: Map::new(), broken: Vec::new() }
    }

    /// Adds a figure, whose name carries its unit or says `ratio`, `share` or `count`.
    pub fn figure(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_owned(), value.into());
    }

    /// Adds a failed check.
    pub fn broken(&mut self, check: String) {
        self.broken.push(check);
    }

    /// Prints the report as one line of JSON, and writes it to a file if one is given; whether all checks passed.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn print(self, file: Option<&Path>) -> std::io::Result<bool> {
        let ok = self.broken.is_empty();
        let line = json!({"rig": self.benchmark, "seed": self.seed, "ok": ok, "figures": self.figures,
                          "broken": self.broken})
        .to_string();
        if let Some(file) = file {
            std::fs::write(file, format!("{line}\n"))?;
        }
        println!("{line}");
        Ok(ok)
    }
}
