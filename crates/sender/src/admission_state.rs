//! Whether clients are let in.

/// The state of the clients' door.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionState {
    /// Clients come and stay.
    #[default]
    Accepting,
    /// An operator drains this sender: who comes is served and then goes. What was taken on is delivered.
    Drained,
    /// The process is about to end.
    Stopping,
    /// It is, and another one takes clients by the same listener: they miss nothing.
    HandingOver,
}

impl AdmissionState {
    /// Whether the process is about to end.
    pub fn ends(self) -> bool {
        matches!(self, Self::Stopping | Self::HandingOver)
    }

    /// The state that an operator asks for; a process that stops goes on stopping.
    pub fn turned(self, to: Self) -> Self {
        if matches!(self, Self::Accepting | Self::Drained) { to } else { self }
    }
}
