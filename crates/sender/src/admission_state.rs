//! The admission state: whether connections and requests of clients are accepted.

/// Whether connections and requests of clients are accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionState {
    /// Connections and requests are accepted.
    #[default]
    Accepting,
    /// An operator drains this sender: each connection is closed after its next response. Accepted messages are still
    /// delivered.
    Drained,
    /// The process is stopping.
    Stopping,
    /// The process is stopping, and its successor accepts clients on the same listening socket.
    HandingOver,
}

impl AdmissionState {
    /// Whether the process is stopping.
    pub fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping | Self::HandingOver)
    }

    /// The state after an operator has requested the state `requested`. The state of a stopping process does not
    /// change.
    #[must_use]
    pub fn after_request(self, requested: Self) -> Self {
        if self.is_stopping() { self } else { requested }
    }
}
