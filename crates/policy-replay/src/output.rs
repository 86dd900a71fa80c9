//! What an instance of the policy asks its host for.

/// An output, with the number of the instance that it is from.
pub type InstanceOutput = (u32, Output);

/// What the host is to do.
#[derive(Clone, Copy, Debug)]
pub enum Output {
    /// Send an attempt.
    Send {
        /// The message.
        id: u32,
        /// The route.
        route: u64,
        /// Time-out of the attempt, in ms.
        timeout: f64,
    },
    /// Complete a message as refused.
    Refuse {
        /// The message.
        id: u32,
    },
    /// Complete a message as failed.
    Fail {
        /// The message.
        id: u32,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: u32,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Report a wake-up later.
    Wake {
        /// The delay, in ms.
        delay: f64,
        /// Its token.
        token: u64,
    },
    /// Check a route's health.
    HealthCheck,
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Remember an outage.
    Remember,
}

impl Output {
    /// Its name in the counts of a golden file.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Send { .. } => "output send",
            Self::Refuse { .. } => "output refuse",
            Self::Fail { .. } => "output fail",
            Self::Cancel { .. } => "output cancel",
            Self::Wake { .. } => "output wake",
            Self::HealthCheck => "output probe",
            Self::Subscribe => "output subscribe",
            Self::Remember => "output remember",
        }
    }
}
