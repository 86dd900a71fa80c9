//! Limits of receivers, and the outage states and permits that belong to a limit.

/// State of an outage that is stored over a restart.
#[derive(Clone, Copy, Debug)]
pub enum Outage {
    /// No outage is known.
    Healthy,
    /// The outage lasts.
    Down {
        /// Time until the Retry-After ends, in ms; 0 if there is none.
        retry_after_remaining: f64,
    },
    /// The receiver has recovered, and calls to it are limited by a recovery ramp.
    WarmingUp {
        /// Time since the recovery, in ms; negative if it is still to come.
        since_recovery: f64,
        /// This sender's fraction of the recovery ramp, from 0 to 1.
        ramp_share: f64,
    },
}

/// Identifies the limit of a destination or of one of its routes.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Number of the destination.
    pub destination: u16,
    /// The route; `None` if all routes of the destination share the limit.
    pub route: Option<u64>,
}

/// A permit to start one call.
#[derive(Clone, Copy, Debug)]
pub struct PermitInput {
    /// Identifies the permit when it is reported again.
    pub number: u64,
    /// Time until the permit becomes valid, in ms; negative if it already is.
    pub from: f64,
    /// Time until the permit expires, in ms.
    pub until: f64,
}
