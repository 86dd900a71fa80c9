//! Versions of the protocol between two processes of a sender.

/// A version of the protocol. The successor names it in its handshake; a connection with any other version is closed without
/// a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProtocolVersion {
    /// The processes do not claim ids from each other.
    WithoutClaims,
    /// The processes claim the ids of new messages from each other.
    WithClaims,
}

impl ProtocolVersion {
    /// The version's number in the handshake.
    pub(super) fn number(self) -> u32 {
        match self {
            Self::WithoutClaims => 1,
            Self::WithClaims => 2,
        }
    }

    /// The version with this number; `None` if this program does not support it.
    pub(super) fn from_number(number: u32) -> Option<Self> {
        [Self::WithoutClaims, Self::WithClaims].into_iter().find(|version| version.number() == number)
    }
}
