//! Decides what the throttle of a new route starts with.

use super::Policy;
use super::state::Throttle;
use crate::interface::{Millis, RateHint, RouteEntry};

/// Where no class has a deadline this long, ms, the count window and recovery are shorter by as much: or one
/// overshoot would be held against all messages that live through it.
const REFERENCE_DEADLINE: Millis = 28_000.0;
/// The limit where the list gives none, calls per second: rejections bring the pace down soon.
const DEFAULT_LIMIT: f64 = 20.0;

impl Policy {
    /// The throttle of a route that the list has added.
    pub(super) fn new_throttle(&self, entry: &RouteEntry) -> Throttle {
        let has_limit = self.settings.rate_hint != RateHint::None && entry.rate > 0.0;
        let limit = if has_limit { entry.rate } else { DEFAULT_LIMIT };
        let deadlines = self.settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.fold(1.0, f64::max);
        let time_scale = REFERENCE_DEADLINE / longest_deadline;
        let capacity = self.unreported_capacity(limit);
        Throttle::new(limit, self.settings.peers_total, time_scale, self.now, capacity)
    }
}
