//! The operator's fleet file, which configures what the senders of a fleet share: TOML, at the path in `RELAY_FLEET`. Without
//! it nothing is shared.

mod error;

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

pub use error::FleetFileError;

/// Default minimum number of senders for gossip; in smaller fleets each sender's own calls are sufficient.
const DEFAULT_MIN_SENDERS: usize = 11;
/// Default maximum rate of messages submitted to one sender, in messages a second.
const DEFAULT_MAX_MESSAGES_PER_S: u32 = 100;
/// Minimum valid value of `share.from`.
const MIN_GOSSIPING_SENDERS: usize = 2;

/// The operator's file, validated.
///
/// ```
/// use rudderspindle_sender::FleetFile;
/// let file = FleetFile::parse("[share]\nfrom = 3\nbound = \"strict\"\n").expect("a valid file");
/// assert!(file.share().is_strict());
/// assert!(FleetFile::parse("[share]\nbond = \"strict\"").is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    #[serde(default)]
    share: SharingConfig,
    /// The numbers of the senders in each zone.
    #[serde(default, rename = "halls")]
    zones: BTreeMap<String, Vec<usize>>,
}

/// The table `[share]`: what the senders share.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SharingConfig {
    #[serde(rename = "from")]
    min_senders: usize,
    bound: LimitBound,
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
    /// The limit is shared by demand; it may be exceeded while gossip is not received.
    #[default]
    #[serde(rename = "use")]
    BestEffort,
    /// No call starts without a permit: the limit is never exceeded.
    Strict,
}

impl Default for SharingConfig {
    fn default() -> Self {
        Self {
            min_senders: DEFAULT_MIN_SENDERS,
            bound: LimitBound::BestEffort,
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

    /// Whether receivers whose calls fail at several senders of a zone are ejected in the whole zone.
    pub fn detects_outliers(&self) -> bool {
        self.outlier_detection
    }

    /// Whether tenants' quotas apply to the whole fleet.
    pub fn shares_quotas(&self) -> bool {
        self.shared_quotas
    }

    /// Maximum rate of messages submitted to one sender, in messages a second; assumed for senders that do not report.
    pub fn max_messages_per_s(&self) -> u32 {
        self.max_messages_per_s
    }

    /// Whether no call may start without a permit.
    pub fn is_strict(&self) -> bool {
        self.bound == LimitBound::Strict
    }
}

impl FleetFile {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// [`FleetFileError`] names the file, the position in it and what is expected.
    pub fn read(path: &Path) -> Result<Self, FleetFileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| FleetFileError::Unreadable { path: path.to_owned(), error })?;
        Self::parse_file(&text, path)
    }

    /// Parses and validates the text of a file.
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
        if self.share.min_senders < MIN_GOSSIPING_SENDERS {
            let value = self.share.min_senders.to_string();
            return invalid("share.from", value, "a number of senders from 2 on");
        }
        if let Some(sender) = self.sender_listed_twice() {
            return invalid("halls", format!("sender {sender} twice"), "each sender in one hall");
        }
        if self.share.outlier_detection && self.zones.is_empty() {
            let expected = "the senders of each hall, for share.judgements,";
            return invalid("halls", "empty".to_owned(), expected);
        }
        if self.share.max_messages_per_s == 0 {
            return invalid("share.most_per_s", "0".to_owned(), "a number of messages from 1 on");
        }
        Ok(())
    }

    /// The first sender that is listed more than once, in the order of zone names.
    fn sender_listed_twice(&self) -> Option<usize> {
        let listed: Vec<usize> = self.zones.values().flatten().copied().collect();
        let times = |sender| listed.iter().filter(|listed| **listed == sender).count();
        listed.iter().copied().find(|sender| times(*sender) > 1)
    }

    /// The number of each sender's zone; senders that are not listed are in zone 0.
    pub fn zones(&self, senders: usize) -> Vec<u16> {
        (0..senders).map(|sender| self.zone_of(sender)).collect()
    }

    fn zone_of(&self, sender: usize) -> u16 {
        let position = self.zones.values().position(|senders| senders.contains(&sender));
        position.map_or(0, |index| index as u16 + 1)
    }

    /// What the senders share.
    pub fn share(&self) -> &SharingConfig {
        &self.share
    }
}
