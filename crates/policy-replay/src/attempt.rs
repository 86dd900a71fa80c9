//! Messages and their attempts.

/// A message that is submitted.
#[derive(Clone, Debug)]
pub struct MessageInput {
    /// Its id.
    pub id: u32,
    /// Its class.
    pub class: u8,
    /// Its tenant.
    pub tenant: u32,
    /// Its ordering key; 0 for none.
    pub ordering_key: u64,
    /// Time until it expires, in ms.
    pub time_left: f64,
    /// An estimate of its processing time, in ms.
    pub work_estimate: Option<f64>,
    /// Its destination.
    pub destination: u16,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Delivered.
    Ok,
    /// Answered with an error.
    Error,
    /// Rejected.
    Rejected,
    /// Not answered in time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Never sent, as no attempt is left.
    AttemptsExhausted,
}

impl AttemptOutcome {
    /// The outcomes that a health check may have too.
    pub const OF_CALLS: [Self; 8] = [
        Self::Ok,
        Self::Error,
        Self::Rejected,
        Self::Timeout,
        Self::ConnectFailed,
        Self::Reset,
        Self::Cancelled,
        Self::NotSent,
    ];

    /// Whether the attempt may have taken effect.
    pub fn is_possibly_executed(self) -> bool {
        matches!(self, Self::Ok | Self::Error | Self::Timeout | Self::Reset | Self::Cancelled)
    }

    /// Its name in the counts of a golden file.
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

/// An attempt of before a restart that may have taken effect.
#[derive(Clone, Copy, Debug)]
pub struct PriorExecution {
    /// How long ago it was sent, in ms.
    pub ago: f64,
    /// Its route.
    pub route: u64,
    /// The route's zone.
    pub zone: u8,
}
