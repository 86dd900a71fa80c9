//! What a session came to: hashes and counts, compared with the golden file of its name.

use std::collections::BTreeMap;
use std::path::Path;

use sha2::{Digest, Sha256};

/// Batches between two lines of the running hash: they tell where a session first differs.
const HASH_EVERY: u32 = 100;

/// Hashes and counts of a session that is played.
#[derive(Default)]
pub struct Recording {
    pub name: &'static str,
    pub seed: u64,
    batches: u32,
    hash: Sha256,
    hashes: String,
    pub counts: BTreeMap<&'static str, u64>,
}

impl Recording {
    pub fn new(name: &'static str, seed: u64) -> Self {
        Self { name, seed, ..Self::default() }
    }

    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Takes in what a batch was answered with.
    pub fn answered(&mut self, bytes: &[u8]) {
        self.hash.update(bytes);
        self.batches += 1;
        if self.batches.is_multiple_of(HASH_EVERY) {
            self.hashes += &format!("sha256 after batch {}: {}\n", self.batches, self.hex());
        }
    }

    fn hex(&self) -> String {
        self.hash.clone().finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// The text of the golden file.
    pub fn text(&self) -> String {
        let counts: String = self.counts.iter().map(|(what, n)| format!("{what}: {n}\n")).collect();
        let head = format!("session {} seed {} batches {}\n", self.name, self.seed, self.batches);
        format!("{head}{}sha256 of all: {}\n{counts}", self.hashes, self.hex())
    }

    /// Fails at the first line that differs from the golden file in that folder.
    pub fn check(&self, folder: &Path) {
        let file = folder.join(format!("{}.txt", self.name));
        let text = self.text();
        let golden = std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
        for (ours, theirs) in text.lines().zip(golden.lines()) {
            assert_eq!(ours, theirs, "session {}: left is this program, right the golden file", self.name);
        }
        assert_eq!(text, golden, "session {}", self.name);
    }
}

/// The kinds that no session met.
pub fn never_met<'a>(recordings: &[Recording], kinds: &[&'a str]) -> Vec<&'a str> {
    let met = |kind: &str| recordings.iter().any(|p| p.counts.get(kind).is_some_and(|&n| n > 0));
    kinds.iter().copied().filter(|kind| !met(kind)).collect()
}
