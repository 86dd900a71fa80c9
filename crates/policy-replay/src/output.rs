//! Outputs of a policy instance, which its host executes.

/// An output and the number of the policy instance that returned it.
pub type InstanceOutput = (u32, Output);

/// An action that the policy requests of its host.
#[derive(Clone, Copy, Debug)]
pub enum Output {
    /// Send an attempt.
    Send {
        /// Id of the message.
        id: u32,
        /// The route that the attempt is sent by.
        route: u64,
        /// Time-out of the attempt, in ms; may be infinite if the response is streamed.
        timeout: f64,
    },
    /// Complete a message as refused.
    Refuse {
        /// Id of the message.
        id: u32,
    },
    /// Complete a message as failed.
    Fail {
        /// Id of the message.
        id: u32,
    },
    /// Cancel an attempt.
    Cancel {
        /// Id of the message.
        id: u32,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Send [`Input::Wake`](crate::Input::Wake) after a delay.
    Wake {
        /// Delay, in ms.
        delay: f64,
        /// Token that the wake-up returns.
        token: u64,
    },
    /// Check the health of a route.
    HealthCheck,
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Store an outage state so that it survives a restart.
    Remember,
}

impl Output {
    /// Returns the output's name in the counts of a golden file.
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
