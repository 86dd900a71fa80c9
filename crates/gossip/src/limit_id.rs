//! Names of gates in notes.

/// A gate's name, the same at every sender: a partner's limit, or that of one receiver where routes are apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LimitId(pub(crate) u32);

impl LimitId {
    /// Of a destination, or of one of its receivers where each has a limit of its own. Two gates of a thousand share
    /// a name by chance once in 30 fleets; their figures are added up then, and both get less than there is.
    pub fn of(destination: u16, receiver: Option<&str>) -> Self {
        let mut hash = crc32fast::Hasher::new();
        hash.update(&destination.to_le_bytes());
        hash.update(receiver.unwrap_or_default().as_bytes());
        Self(hash.finalize() & 0x00ff_ffff)
    }
}
