//! What the throttle of a new route starts with.

use rudderspindle_gossip::CapacityShare;

use super::Throttle;
use super::send_rate::SendRate;
use crate::context::Context;
use crate::interface::{Millis, RateHint, RouteEntry};

/// Where no class has a deadline this long, in ms, the count window and the recovery of the send rate are
/// shorter by as much: one rejection must not outlast the messages.
const REFERENCE_DEADLINE: Millis = 28_000.0;
/// The limit where the list gives none, in calls per second.
const DEFAULT_LIMIT: f64 = 20.0;

/// Which reports of the fleet the host passes on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CapacitySource {
    /// Whether the demand of other senders is reported.
    pub reports_capacity: bool,
    /// Whether no call starts without a permit.
    pub requires_permits: bool,
}

impl CapacitySource {
    /// The capacity of a limit that no report has named yet.
    fn unreported(self, now: Millis, limit: f64, senders: usize) -> CapacityShare {
        let capacity = if self.reports_capacity {
            CapacityShare::equal(now, limit, senders)
        } else {
            CapacityShare::default()
        };
        if self.requires_permits { capacity.requiring_permits() } else { capacity }
    }
}

impl Throttle {
    /// The throttle of a route that the list has added.
    pub fn for_route(context: &Context, entry: &RouteEntry, source: CapacitySource) -> Self {
        let settings = &context.settings;
        let has_limit = settings.rate_hint != RateHint::None && entry.rate > 0.0;
        let limit = if has_limit { entry.rate } else { DEFAULT_LIMIT };
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.fold(1.0, f64::max);
        Self {
            time_scale: (REFERENCE_DEADLINE / longest_deadline).max(1.0),
            send_rate: SendRate::new(context.now, limit, settings.peers_total),
            capacity: source.unreported(context.now, limit, settings.peers_total),
            ..Self::default()
        }
    }
}
