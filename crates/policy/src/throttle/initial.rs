//! The initial state of the throttle of a new route.

use rudderspindle_gossip::CapacityShare;

use super::Throttle;
use super::send_rate::SendRate;
use crate::context::Context;
use crate::interface::{Millis, RateHint, RouteEntry};

/// Deadline, in ms, for which the count window and the increase of the send rate are designed. Where the
/// longest deadline of all classes is shorter, the window is shorter and the increase faster by the same
/// factor, because the effect of one rejection must not last longer than the messages.
const REFERENCE_DEADLINE: Millis = 28_000.0;
/// The limit of a route for which the list has none, in calls per second.
const DEFAULT_LIMIT: f64 = 20.0;

/// Which updates about the fleet the host reports to the policy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CapacitySource {
    /// Whether the host reports the demand of other senders.
    pub reports_capacity: bool,
    /// Whether each call needs a permit.
    pub requires_permits: bool,
}

impl CapacitySource {
    /// This sender's share of a limit before the first update of that share.
    fn before_first_update(self, now: Millis, limit: f64, senders: usize) -> CapacityShare {
        let capacity = if self.reports_capacity {
            CapacityShare::equal(now, limit, senders)
        } else {
            CapacityShare::default()
        };
        if self.requires_permits { capacity.requiring_permits() } else { capacity }
    }
}

impl Throttle {
    /// Creates the throttle of a route that was added to the list.
    pub fn for_route(context: &Context, entry: &RouteEntry, source: CapacitySource) -> Self {
        let settings = &context.settings;
        let has_limit = settings.rate_hint != RateHint::None && entry.rate > 0.0;
        let limit = if has_limit { entry.rate } else { DEFAULT_LIMIT };
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.fold(1.0, f64::max);
        Self {
            time_scale: (REFERENCE_DEADLINE / longest_deadline).max(1.0),
            send_rate: SendRate::new(context.now, limit, settings.peers_total),
            capacity: source.before_first_update(context.now, limit, settings.peers_total),
            ..Self::default()
        }
    }
}
