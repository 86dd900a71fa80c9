//! Submitted messages and the outcomes of their attempts.

/// A message as a client submits it.
#[derive(Clone, Debug)]
pub struct MessageInput {
    /// Unique in a session.
    pub id: u32,
    /// Number of the class in the settings; may be unknown to the policy.
    pub class: u8,
    /// Number of the tenant in the settings; may be unknown to the policy.
    pub tenant: u32,
    /// Messages with the same key are sent in order; 0 if the message has no ordering key.
    pub ordering_key: u64,
    /// Time until the message expires, in ms.
    pub time_left: f64,
    /// Estimate of the receiver's processing time, in ms; `None` if the client sent none.
    pub work_estimate: Option<f64>,
    /// Number of the destination; may have no routes.
    pub destination: u16,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The receiver answered with success.
    Ok,
    /// The receiver answered with an error.
    Error,
    /// The receiver rejected the call because it was at its limit.
    Rejected,
    /// No answer arrived before the time-out.
    Timeout,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was closed before the answer arrived.
    Reset,
    /// The sender cancelled the attempt.
    Cancelled,
    /// The host did not send the attempt.
    NotSent,
    /// The host did not send the attempt because the message has had its maximum number of attempts.
    AttemptsExhausted,
}

impl AttemptOutcome {
    /// All outcomes that a health check may have.
    pub const HEALTH_CHECK_OUTCOMES: [Self; 8] = [
        Self::Ok,
        Self::Error,
        Self::Rejected,
        Self::Timeout,
        Self::ConnectFailed,
        Self::Reset,
        Self::Cancelled,
        Self::NotSent,
    ];

    /// Returns whether the receiver may have executed the attempt.
    pub fn is_possibly_executed(self) -> bool {
        matches!(self, Self::Ok | Self::Error | Self::Timeout | Self::Reset | Self::Cancelled)
    }

    /// Returns the name, in the counts of a golden file, of an input with this outcome.
    pub(crate) fn input_name(self, retry_after: u32) -> &'static str {
        match self {
            Self::Ok => "input outcome ok",
            Self::Error => "input outcome error",
            Self::Rejected if retry_after > 0 => "input outcome full with a wait",
            Self::Rejected => "input outcome full without a wait",
            Self::Timeout => "input outcome timeout",
            Self::ConnectFailed => "input outcome connect-failed",
            Self::Reset => "input outcome reset",
            Self::Cancelled => "input outcome cancelled",
            Self::NotSent => "input outcome moot",
            Self::AttemptsExhausted => "input outcome spent",
        }
    }
}

/// An attempt sent before a restart that the receiver may have executed.
#[derive(Clone, Copy, Debug)]
pub struct PriorExecution {
    /// Time since the attempt was sent, in ms.
    pub ago: f64,
    /// The route that the attempt was sent by.
    pub route: u64,
    /// Zone of the route.
    pub zone: u8,
}
