//! Versions of the protocol between two processes of a sender.

/// A version of the protocol. The successor names it in its handshake; a connection with any other version is closed without
/// a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ProtocolVersion {
    /// Outages, backoffs, calls in flight and disk space.
    #[default]
    V1,
    /// Also the owner's endpoint list, and claims of the ids of new messages in both directions.
    V2,
}

impl ProtocolVersion {
    /// The version's number in the handshake.
    pub(super) fn number(self) -> u32 {
        match self {
            Self::V1 => 1,
            Self::V2 => 2,
        }
    }

    /// The version with this number; `None` if this program does not support it.
    pub(super) fn from_number(number: u32) -> Option<Self> {
        [Self::V1, Self::V2].into_iter().find(|version| version.number() == number)
    }
}
