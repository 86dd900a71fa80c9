//! What the operator sets, checked.

use crate::rounds::ROUND_MS;

/// Panes of a window: what is told is a fifth of a window old at most when its pane closes, and a fifth is forgotten
/// at a time. More panes cost as many more notes.
pub const PANES: u64 = 5;
/// Windows come in steps of this, ms, so that a pane is a whole number of rounds.
const STEP_MS: u64 = PANES * ROUND_MS;
/// In a shorter window panes have too few rounds to tell, answer and tell again, ms.
const SHORTEST_MS: u64 = 6 * STEP_MS;
/// A longer one finds a storm when it is over, ms.
const LONGEST_MS: u64 = 600 * STEP_MS;
/// With fewer entries a part of a tenth cannot be told apart from what the sketch leaves open.
const FEWEST_ENTRIES: usize = 16;
/// More do not fit into notes anyhow: 1,024 take some 60 kB for each pane.
const MOST_ENTRIES: usize = 1_024;
/// Under it more streams may be hot than an answer has room for, and what the sketch leaves open is as wide.
const LEAST_PART: f64 = 0.02;
/// Over a half only one stream can be hot, and half of it says nothing.
const MOST_PART: f64 = 0.5;

/// What the operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the window, ms: a multiple of 1,000 from 6,000 to 600,000.
    pub window_ms: u64,
    /// Entries of a sketch: 16 to 1,024.
    pub entries: usize,
    /// Part of all that a stream must be over to be hot: 0.02 to 0.5.
    pub part: f64,
    /// What one sender is handed at most, messages a second; its door must refuse what is beyond. 1 to 1,000,000.
    pub most_per_second: u64,
}

/// Which setting is wrong, and what would be right.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The window.
    #[error("window_ms = {0}: a multiple of {STEP_MS} from {SHORTEST_MS} to {LONGEST_MS} would be right")]
    Window(u64),
    /// The entries.
    #[error("entries = {0}: a number from {FEWEST_ENTRIES} to {MOST_ENTRIES} would be right")]
    Entries(usize),
    /// The part.
    #[error("part = {0}: a number from {LEAST_PART} to {MOST_PART} would be right")]
    Part(f64),
    /// The most of a sender.
    #[error("most_per_second = {0}: a number from 1 to 1000000 would be right")]
    MostPerSecond(u64),
}

impl Default for Settings {
    fn default() -> Self {
        Self { window_ms: 10_000, entries: 64, part: 0.1, most_per_second: 1_000 }
    }
}

impl Settings {
    /// The same settings, if they are right.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first field that is wrong and what would be right.
    pub fn checked(self) -> Result<Self, SettingsError> {
        let window = SHORTEST_MS..=LONGEST_MS;
        if !window.contains(&self.window_ms) || !self.window_ms.is_multiple_of(STEP_MS) {
            return Err(SettingsError::Window(self.window_ms));
        }
        if !(FEWEST_ENTRIES..=MOST_ENTRIES).contains(&self.entries) {
            return Err(SettingsError::Entries(self.entries));
        }
        // A part that is no number is in no range.
        if !(LEAST_PART..=MOST_PART).contains(&self.part) {
            return Err(SettingsError::Part(self.part));
        }
        if !(1..=1_000_000).contains(&self.most_per_second) {
            return Err(SettingsError::MostPerSecond(self.most_per_second));
        }
        Ok(self)
    }

    /// Length of a pane, ms.
    #[must_use]
    pub fn pane_ms(&self) -> u64 {
        self.window_ms / PANES
    }

    /// What one sender is handed in one pane at most.
    #[must_use]
    pub fn most_per_pane(&self) -> u64 {
        (self.most_per_second * self.pane_ms()).div_ceil(1_000)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_wrong_setting_is_named_with_what_would_be_right() {
        let good = Settings::default();
        assert_eq!(good.checked(), Ok(good));
        let wrong = [
            (
                Settings { window_ms: 10_001, ..good },
                "window_ms = 10001: a multiple of 1000 from 6000 to 600000",
            ),
            (Settings { window_ms: 0, ..good }, "window_ms = 0: a multiple of 1000"),
            (Settings { entries: 15, ..good }, "entries = 15: a number from 16 to 1024"),
            (Settings { part: f64::NAN, ..good }, "part = NaN: a number from 0.02 to 0.5"),
            (Settings { part: 0.6, ..good }, "part = 0.6:"),
            (Settings { most_per_second: 0, ..good }, "most_per_second = 0: a number from 1 to 1000000"),
        ];
        for (settings, says) in wrong {
            let said = settings.checked().expect_err("it is wrong").to_string();
            assert!(said.starts_with(says), "{said:?} instead of {says:?}");
        }
    }
}
