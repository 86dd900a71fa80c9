//! The operator's file on how senders act together: TOML, named by the variable `RELAY_FLEET`. Without one every part
//! is off, and nothing differs.

use std::path::{Path, PathBuf};

use serde::Deserialize;

/// From so many senders on notes are sent, if nothing else is said: fewer learn all they need from their own calls.
const FROM: usize = 11;

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

impl Default for Share {
    fn default() -> Self {
        Self { from: FROM, bound: Bound::Use }
    }
}

impl Share {
    /// From how many senders on notes are sent.
    pub fn from(&self) -> usize {
        self.from
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
        Ok(file)
    }

    /// How partners' limits are shared.
    pub fn share(&self) -> &Share {
        &self.share
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_that_says_nothing_changes_nothing() {
        assert_eq!(FleetFile::parse("").expect("a file"), FleetFile::default());
        assert_eq!(FleetFile::default().share().from(), 11);
        assert!(!FleetFile::default().share().is_strict());
    }

    #[test]
    fn what_cannot_be_used_is_one_error_that_names_the_place() {
        for (text, says) in [
            ("[share]\nbond = \"strict\"", "line 2: unknown field `bond`"),
            ("[shares]", "unknown field `shares`"),
            ("[share]\nbound = \"tight\"", "unknown variant `tight`, expected `use` or `strict`"),
            ("[share]\nfrom = 1", "share.from is 1; a number of senders from 2 on is wanted"),
            ("[share]\nfrom = -3", "invalid value: integer `-3`"),
            ("share", "fleet.toml, line 1: "),
        ] {
            let error = FleetFile::parse(text).expect_err(text).to_string();
            assert!(error.contains(says) && error.starts_with("fleet.toml"), "{text:?}: {error}");
            assert!(!error.contains('\n'), "{error:?}");
        }
        let missing = FleetFile::read(Path::new("/nowhere/fleet.toml")).expect_err("no file").to_string();
        assert!(missing.starts_with("/nowhere/fleet.toml: "), "{missing}");
    }
}
