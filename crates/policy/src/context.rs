//! The inputs that all decisions share: the time, the settings and the random generator.

use crate::interface::{Millis, Settings};
use crate::rng::Rng;

/// The time, settings and random generator of a policy, passed to each type that makes decisions.
#[derive(Debug)]
pub(crate) struct Context {
    /// Time of the current batch; the first batch is at 0.
    pub now: Millis,
    pub settings: Settings,
    pub rng: Rng,
}
