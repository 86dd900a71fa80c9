//! Whether clients' connections and requests are accepted.

/// Admission state of clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionState {
    /// Clients connect and stay connected.
    #[default]
    Accepting,
    /// An operator drains this sender: a client's request is served and its connection closed. Accepted messages are
    /// delivered.
    Drained,
    /// The process is stopping.
    Stopping,
    /// The process is stopping, and another one accepts clients on the same listening socket without interruption.
    HandingOver,
}

impl AdmissionState {
    /// Whether the process is stopping.
    pub fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping | Self::HandingOver)
    }

    /// The state after an operator has requested another one: a process that is stopping goes on stopping.
    #[must_use]
    pub fn after_request(self, requested: Self) -> Self {
        if self.is_stopping() { self } else { requested }
    }
}
