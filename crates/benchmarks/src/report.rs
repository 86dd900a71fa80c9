//! What every measurement ends with.

use std::path::Path;

use serde_json::{Map, Value, json};

/// Figures and broken checks.
#[derive(Debug)]
pub struct Report {
    rig: &'static str,
    seed: u64,
    figures: Map<String, Value>,
    broken: Vec<String>,
}

impl Report {
    /// One without figures yet.
    pub fn new(rig: &'static str, seed: u64) -> Self {
        Self { rig, seed, figures: Map::new(), broken: Vec::new() }
    }

    /// A figure; its name carries its unit, or says `ratio` or `share`.
    pub fn figure(&mut self, name: &str, value: impl Into<Value>) {
        self.figures.insert(name.to_owned(), value.into());
    }

    /// A check that was not kept.
    pub fn broken(&mut self, what: String) {
        self.broken.push(what);
    }

    /// Prints the last line, and writes it to a file if wanted; whether all checks were kept.
    pub fn print(self, to: Option<&Path>) -> std::io::Result<bool> {
        let ok = self.broken.is_empty();
        let line = json!({"rig": self.rig, "seed": self.seed, "ok": ok, "figures": self.figures,
                          "broken": self.broken})
        .to_string();
        if let Some(path) = to {
            std::fs::write(path, format!("{line}\n"))?;
        }
        println!("{line}");
        Ok(ok)
    }
}
