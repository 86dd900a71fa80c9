//! The operator's fleet file, in TOML at the path in `RELAY_FLEET`. It configures which state the senders of a fleet
//! share; without the file they share none.

mod error;

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

pub use error::FleetFileError;

/// Default minimum number of senders for gossip. In smaller fleets the calls of each sender alone are sufficient,
/// without gossip.
const DEFAULT_MIN_SENDERS: usize = 11;
/// Default maximum rate of messages submitted to one sender, in messages a second.
const DEFAULT_MAX_MESSAGES_PER_S: u32 = 100;
/// Minimum valid value of `share.from`.
const MIN_GOSSIPING_SENDERS: usize = 2;

/// The operator's fleet file, validated.
///
/// ```
/// use rudderspindle_sender::FleetFile;
/// let file = FleetFile::parse("[share]\nfrom = 3\nbound = \"strict\"\n").expect("a valid file");
/// assert!(file.sharing().is_strict());
/// assert!(FleetFile::parse("[share]\nbond = \"strict\"").is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    #[serde(default, rename = "share")]
    sharing: SharingConfig,
    /// The numbers of the senders in each zone, by zone name.
    #[serde(default, rename = "halls")]
    zones: BTreeMap<String, Vec<usize>>,
}

/// The table `[share]`: which state the senders share.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SharingConfig {
    #[serde(rename = "from")]
    min_senders: usize,
    #[serde(rename = "bound")]
    limit_bound: LimitBound,
    #[serde(rename = "judgements")]
    outlier_detection: bool,
    #[serde(rename = "counts")]
    shared_quotas: bool,
    #[serde(rename = "most_per_s")]
    max_messages_per_s: u32,
}

/// How strictly a destination's limit is enforced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LimitBound {
    /// Each sender uses a part of the limit in proportion to its demand; the limit may be exceeded while gossip is not
    /// received.
    #[default]
    #[serde(rename = "use")]
    BestEffort,
    /// No call starts without a permit, so the limit is never exceeded.
    Strict,
}

impl Default for SharingConfig {
    fn default() -> Self {
        Self {
            min_senders: DEFAULT_MIN_SENDERS,
            limit_bound: LimitBound::BestEffort,
            outlier_detection: false,
            shared_quotas: false,
            max_messages_per_s: DEFAULT_MAX_MESSAGES_PER_S,
        }
    }
}

impl SharingConfig {
    /// Minimum number of senders for gossip, at least 2.
    pub fn min_senders(&self) -> usize {
        self.min_senders
    }

    /// Whether a receiver whose calls from several senders of a zone fail is ejected by all senders of that zone.
    pub fn detects_outliers(&self) -> bool {
        self.outlier_detection
    }

    /// Whether each tenant's quota is enforced over the whole fleet.
    pub fn shares_quotas(&self) -> bool {
        self.shared_quotas
    }

    /// Maximum rate of messages submitted to one sender, in messages a second. This rate is assumed for a sender whose
    /// reports are not received.
    pub fn max_messages_per_s(&self) -> u32 {
        self.max_messages_per_s
    }

    /// Whether the limit of a destination is enforced strictly: a call to it may start only with a permit.
    pub fn is_strict(&self) -> bool {
        self.limit_bound == LimitBound::Strict
    }
}

impl FleetFile {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// [`FleetFileError`] contains the path of the file, the line or key, and the valid values.
    pub fn read(path: &Path) -> Result<Self, FleetFileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| FleetFileError::Unreadable { path: path.to_owned(), error })?;
        Self::parse_file(&text, path)
    }

    /// Parses and validates the text of a file; errors name the file `fleet.toml`.
    ///
    /// # Errors
    ///
    /// As [`FleetFile::read`].
    pub fn parse(text: &str) -> Result<Self, FleetFileError> {
        Self::parse_file(text, Path::new("fleet.toml"))
    }

    fn parse_file(text: &str, path: &Path) -> Result<Self, FleetFileError> {
        let file: Self =
            toml::from_str(text).map_err(|error| FleetFileError::malformed(path, text, error))?;
        file.validate(path)?;
        Ok(file)
    }

    fn validate(&self, path: &Path) -> Result<(), FleetFileError> {
        let invalid = |key, value: String, expected| {
            Err(FleetFileError::OutOfRange { path: path.to_owned(), key, value, expected })
        };
        if self.sharing.min_senders < MIN_GOSSIPING_SENDERS {
            let value = self.sharing.min_senders.to_string();
            return invalid("share.from", value, "a whole number of senders, 2 or more");
        }
        if let Some(sender) = self.duplicate_sender() {
            return invalid(
                "halls",
                format!("a table that lists sender {sender} twice"),
                "a table that lists each sender at most once",
            );
        }
        if self.sharing.outlier_detection && self.zones.is_empty() {
            let expected = "a table with the senders of each hall, because share.judgements is true";
            return invalid("halls", "empty".to_owned(), expected);
        }
        if self.sharing.max_messages_per_s == 0 {
            return invalid(
                "share.most_per_s",
                "0".to_owned(),
                "a whole number of messages per second, 1 or more",
            );
        }
        Ok(())
    }

    /// The first sender that is listed more than once, in the order of zone names.
    fn duplicate_sender(&self) -> Option<usize> {
        let senders: Vec<usize> = self.zones.values().flatten().copied().collect();
        let occurrences = |sender| senders.iter().filter(|other| **other == sender).count();
        senders.iter().copied().find(|sender| occurrences(*sender) > 1)
    }

    /// The zone number of each sender, indexed by sender number. Listed zones are numbered from 1 in the order of their
    /// names; senders that are not listed are in zone 0.
    pub fn zones(&self, senders: usize) -> Vec<u16> {
        (0..senders).map(|sender| self.zone_of(sender)).collect()
    }

    fn zone_of(&self, sender: usize) -> u16 {
        let position = self.zones.values().position(|senders| senders.contains(&sender));
        position.map_or(0, |index| index as u16 + 1)
    }

    /// Which state the senders share.
    pub fn sharing(&self) -> &SharingConfig {
        &self.sharing
    }
}
