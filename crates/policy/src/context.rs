//! What a decision may use besides the state of its owner: the time, the settings and random draws.

use crate::interface::{Millis, Settings};
use crate::rng::Rng;

/// The time, settings and random draws of a policy, passed to each type that decides.
#[derive(Debug)]
pub(crate) struct Context {
    /// The time of the current batch; the first batch is at 0.
    pub now: Millis,
    pub settings: Settings,
    pub rng: Rng,
}
