//! Limits, and what is reported of them.

/// An outage that is remembered over a restart.
#[derive(Clone, Copy, Debug)]
pub enum Outage {
    /// None.
    Healthy,
    /// Down.
    Down {
        /// What is left of the Retry-After, in ms.
        retry_after: f64,
    },
    /// Recovered, and warming up.
    WarmingUp {
        /// Time since the recovery, in ms.
        since: f64,
        /// This sender's share of the ramp.
        share: f64,
    },
}

/// A limit: that of a destination, or of one route.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// The destination.
    pub destination: u16,
    /// The route, if it has a limit of its own.
    pub route: Option<u64>,
}

/// A permit to start one call, with times from now, in ms.
#[derive(Clone, Copy, Debug)]
pub struct PermitInput {
    /// Its number.
    pub number: u64,
    /// When it becomes valid.
    pub from: f64,
    /// When it expires.
    pub until: f64,
}
