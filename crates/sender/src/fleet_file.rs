//! The operator's file on how senders act together: TOML, named by the variable `RELAY_FLEET`. Without one every part
//! is off, and nothing differs.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// From so many senders on notes are sent, if nothing else is said: fewer learn all they need from their own calls.
const FROM: usize = 11;
/// Messages a second that one sender is handed at the most, if nothing else is said.
const MOST_PER_S: u32 = 100;

/// The operator's file, checked.
///
/// ```
/// use rudderspindle_sender::FleetFile;
/// let file = FleetFile::parse("[share]\nfrom = 3\nbound = \"strict\"\n").expect("a file that can be used");
/// assert!(file.share().is_strict());
/// assert!(FleetFile::parse("[share]\nbond = \"strict\"").is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    #[serde(default)]
    share: Share,
    /// The numbers of the senders in each hall.
    #[serde(default)]
    halls: BTreeMap<String, Vec<usize>>,
}

/// How partners' limits are shared.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Notes are sent from so many senders on: 2 or more.
    #[serde(default = "from")]
    from: usize,
    #[serde(default)]
    bound: Bound,
    /// Whether receivers that several senders of a hall see fail are avoided by all of it.
    #[serde(default)]
    judgements: bool,
    /// Whether tenants' quotas are reckoned over the whole fleet.
    #[serde(default)]
    counts: bool,
    /// Messages a second that one sender is handed at the most: what one that is not heard may have been handed.
    #[serde(default = "most_per_s")]
    most_per_s: u32,
}

/// What holds of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Bound {
    /// It is used as well as notes allow; where they do not arrive it may be overrun.
    #[default]
    Use,
    /// No call starts without a right to it: the limit holds, whoever hears nothing.
    Strict,
}

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FleetFileError {
    /// It cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        error: std::io::Error,
    },
    /// It is no TOML, or names what there is not.
    #[error("{path}, line {line}: {what}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where, from 1 on.
        line: usize,
        /// What went wrong.
        what: String,
    },
    /// A figure that cannot be.
    #[error("{path}: {field} is {told}; {right} is wanted")]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// Which one.
        field: &'static str,
        /// What stands there.
        told: String,
        /// What would be right.
        right: &'static str,
    },
}

fn from() -> usize {
    FROM
}

fn most_per_s() -> u32 {
    MOST_PER_S
}

impl Default for Share {
    fn default() -> Self {
        Self { from: FROM, bound: Bound::Use, judgements: false, counts: false, most_per_s: MOST_PER_S }
    }
}

impl Share {
    /// From how many senders on notes are sent.
    pub fn from(&self) -> usize {
        self.from
    }

    /// Whether receivers that several senders of a hall see fail are avoided by all of it.
    pub fn judges(&self) -> bool {
        self.judgements
    }

    /// Whether tenants' quotas are reckoned over the whole fleet.
    pub fn counts(&self) -> bool {
        self.counts
    }

    /// Messages a second that one sender is handed at the most.
    pub fn most_per_s(&self) -> u32 {
        self.most_per_s
    }

    /// Whether no call may start without a right to it.
    pub fn is_strict(&self) -> bool {
        self.bound == Bound::Strict
    }
}

impl FleetFile {
    /// Reads the file, whole or not at all.
    ///
    /// # Errors
    ///
    /// [`FleetFileError`] names the file, the place and what would be right.
    pub fn read(path: &Path) -> Result<Self, FleetFileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| FleetFileError::Unreadable { path: path.to_owned(), error })?;
        Self::checked(&text, path)
    }

    /// The same of a text.
    ///
    /// # Errors
    ///
    /// As [`FleetFile::read`].
    pub fn parse(text: &str) -> Result<Self, FleetFileError> {
        Self::checked(text, Path::new("fleet.toml"))
    }

    fn checked(text: &str, path: &Path) -> Result<Self, FleetFileError> {
        let path = || path.to_owned();
        let malformed = |error: toml::de::Error| {
            let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
            let (line, what) = (before.matches('\n').count() + 1, error.message().replace('\n', " "));
            FleetFileError::Malformed { path: path(), line, what }
        };
        let file: Self = toml::from_str(text).map_err(malformed)?;
        if file.share.from < 2 {
            let told = file.share.from.to_string();
            let (field, right) = ("share.from", "a number of senders from 2 on");
            return Err(FleetFileError::OutOfRange { path: path(), field, told, right });
        }
        let given: Vec<usize> = file.halls.values().flatten().copied().collect();
        let twice = given.iter().find(|n| given.iter().filter(|other| other == n).count() > 1);
        if let Some(twice) = twice {
            let (told, right) = (format!("sender {twice} twice"), "each sender in one hall");
            return Err(FleetFileError::OutOfRange { path: path(), field: "halls", told, right });
        }
        if file.share.judgements && file.halls.is_empty() {
            let (field, told, right) =
                ("halls", "empty".to_owned(), "the senders of each hall, for share.judgements,");
            return Err(FleetFileError::OutOfRange { path: path(), field, told, right });
        }
        if file.share.most_per_s == 0 {
            let (field, told, right) = ("share.most_per_s", "0".to_owned(), "a number of messages from 1 on");
            return Err(FleetFileError::OutOfRange { path: path(), field, told, right });
        }
        Ok(file)
    }

    /// The hall of each of so many senders, as a number; those that are in none share one.
    pub fn halls(&self, senders: usize) -> Vec<u16> {
        let hall =
            |n: usize| self.halls.values().position(|of| of.contains(&n)).map_or(0, |at| at as u16 + 1);
        (0..senders).map(hall).collect()
    }

    /// How partners' limits are shared.
    pub fn share(&self) -> &Share {
        &self.share
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
