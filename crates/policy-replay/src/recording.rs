//! Hashes and counts of a session, which are compared with its golden file.

use std::collections::BTreeMap;
use std::path::Path;

use sha2::{Digest, Sha256};

/// Number of batches between two lines of the running hash; the first line that differs from the golden file
/// shows where the behaviour has changed.
const HASH_INTERVAL: u32 = 100;

/// Running hash of a session's replies, and counts of its inputs and outputs by name.
#[derive(Debug, Default)]
pub struct Recording {
    /// Name of the session and of its golden file, without the extension.
    pub name: &'static str,
    seed: u64,
    batches: u32,
    hash: Sha256,
    hashes: String,
    counts: BTreeMap<&'static str, u64>,
}

impl Recording {
    /// Creates a recording without batches.
    pub fn new(name: &'static str, seed: u64) -> Self {
        Self { name, seed, ..Self::default() }
    }

    /// Counts an input or output; `kind` is its name in the golden file.
    pub fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Returns whether an input or output of this kind was counted.
    pub fn has_counted(&self, kind: &str) -> bool {
        self.counts.get(kind).is_some_and(|&count| count > 0)
    }

    /// Adds the reply to the next batch.
    pub fn add_reply(&mut self, bytes: &[u8]) {
        self.hash.update(bytes);
        self.batches += 1;
        if self.batches.is_multiple_of(HASH_INTERVAL) {
            self.hashes += &format!("sha256 after batch {}: {}\n", self.batches, self.hex());
        }
    }

    fn hex(&self) -> String {
        self.hash.clone().finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the text that the golden file must have.
    pub fn text(&self) -> String {
        let counts: String = self.counts.iter().map(|(kind, count)| format!("{kind}: {count}\n")).collect();
        let head = format!("session {} seed {} batches {}\n", self.name, self.seed, self.batches);
        format!("{head}{}sha256 of all: {}\n{counts}", self.hashes, self.hex())
    }

    /// Compares the recording with its golden file in `folder`.
    ///
    /// # Panics
    ///
    /// Panics at the first line that differs, or if the file cannot be read.
    pub fn assert_matches_golden_file(&self, folder: &Path) {
        let file = folder.join(format!("{}.txt", self.name));
        let text = self.text();
        let golden =
            std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
        for (actual, expected) in text.lines().zip(golden.lines()) {
            assert_eq!(actual, expected, "session {}: left is the replay, right the golden file", self.name);
        }
        assert_eq!(text, golden, "session {}: the replay and the golden file differ in length", self.name);
    }
}

/// Returns those of `kinds`, names of inputs and outputs, that no recording has counted.
pub fn missing_kinds<'a>(recordings: &[Recording], kinds: &[&'a str]) -> Vec<&'a str> {
    let is_missing = |kind: &&str| !recordings.iter().any(|recording| recording.has_counted(kind));
    kinds.iter().copied().filter(is_missing).collect()
}
