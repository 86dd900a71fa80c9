//! The throttle: the drop probability of the calls that share a limit, and their pace.

use rudderspindle_gossip::CapacityShare;

use super::Policy;
use super::state::{ConsecutiveRejections, Destination, Throttle};
use crate::calls::Call;
use crate::interface::{Millis, Outcome};
use crate::window::{WindowBounds, WindowCounts};

/// K of the drop formula (no unit): the design's default.
const ACCEPTS_MULTIPLIER: f64 = 1.5;
/// The count window: one sender of hundreds sees a receiver rarely. The source keeps two minutes.
pub(super) const COUNT_WINDOW: WindowBounds =
    WindowBounds { min_span: 6_000.0, max_span: 20_000.0, min_samples: 12.0 };
/// What a throttle saves up while it is idle and may then send at once, in ms of its pace.
pub(super) const BURST: Millis = 500.0;
/// The pace after a rejection is what the drop formula lets through, but no smaller share of the pace before
/// it,
const MIN_PACE_CUT: f64 = 0.5;
/// and no greater one.
const MAX_PACE_CUT: f64 = 0.85;
/// The pace never falls below this share of the limit's fair part.
const MIN_PACE_SHARE: f64 = 0.8;
/// Least initial pace, calls per second: most of hundreds of senders have nothing for a small receiver.
const MIN_INITIAL_PACE: f64 = 0.25;
/// Rejections within this time of a cut belong to the same overshoot, ms.
pub(super) const PACE_CUT_INTERVAL: Millis = 400.0;
/// Growth of the pace for an accepted call while messages wait, as a share of the whole limit. In a fleet it
/// is less at a new throttle and after a rejection, or all senders would grow into the same capacity.
const PACE_GAIN: f64 = 0.007;
/// A Retry-After longer than this comes from a receiver in an outage, ms.
const OUTAGE_RETRY_AFTER: Millis = 2_500.0;
/// This many rejections in a row mean the same where no Retry-After comes,
const OUTAGE_REJECTIONS: u32 = 4;
/// if they last for longer than a limit's span, ms.
const OUTAGE_REJECTIONS_SPAN: Millis = 2_000.0;
/// A fleet of this many senders or fewer is small: each grows as if it were alone, and probes as often.
const SMALL_FLEET: f64 = 3.0;

impl Policy {
    /// The size of the fleet as a multiple of a small one, 1 or more.
    pub(super) fn fleet_scale(&self) -> f64 {
        (self.settings.peers_total as f64 / SMALL_FLEET).max(1.0)
    }

    /// A call was accepted: the pace grows if it limits the calls.
    pub(super) fn grow_pace(&self, destination: &mut Destination, index: usize, call: &Call) {
        if !call.used_up_pace && destination.waiting.is_empty() {
            return;
        }
        let throttle = destination.throttle_mut(index);
        let since_cut = ((self.now - throttle.pace_cut_at) / COUNT_WINDOW.max_span).min(1.0);
        let gain = PACE_GAIN
            * throttle.time_scale
            * self.settings.rate_uncertainty()
            * self.fleet_scale().powf(since_cut - 1.0);
        throttle.pace = (throttle.pace + gain * throttle.limit).min(throttle.limit);
    }

    /// A call was rejected: the pace is cut, but not below our fair part.
    pub(super) fn cut_pace(&self, throttle: &mut Throttle) {
        let fair_pace = throttle.limit / self.settings.peers_total as f64;
        throttle.cut_pace(self.now, fair_pace * MIN_PACE_SHARE);
    }
}

impl Throttle {
    /// A throttle of which nothing is known but its limit, in calls per second of all senders together.
    pub(super) fn new(
        limit: f64,
        peers: usize,
        time_scale: f64,
        now: Millis,
        capacity: CapacityShare,
    ) -> Self {
        let initial_pace = (limit / peers as f64).max(MIN_INITIAL_PACE).min(limit);
        Self {
            limit,
            initial_pace,
            pace: initial_pace,
            time_scale: time_scale.max(1.0),
            pace_cut_at: now - PACE_CUT_INTERVAL,
            capacity,
            ..Self::default()
        }
    }

    /// Requests and accepts of the window; with nothing in it the pace is the initial one again.
    fn counts(&mut self, now: Millis) -> WindowCounts {
        let counts = self.window.counts(now, self.time_scale, COUNT_WINDOW);
        if counts.is_none() {
            self.pace = self.initial_pace;
        }
        counts.unwrap_or_default()
    }

    /// The drop probability; overdue calls count as requests that were not accepted until they have an
    /// outcome.
    pub(super) fn drop_probability(&mut self, now: Millis, overdue: usize) -> f64 {
        let counts = self.counts(now);
        let requests = counts.requests + overdue as f64;
        ((requests - ACCEPTS_MULTIPLIER * counts.accepts) / (requests + 1.0)).max(0.0)
    }

    /// Whether an outcome shows an outage by itself.
    pub(super) fn shows_outage(&mut self, now: Millis, outcome: Outcome, retry_after: Millis) -> bool {
        if outcome != Outcome::Rejected {
            self.rejections.count = 0;
            return false;
        }
        if self.rejections.count == 0 {
            self.rejections.first_at = now;
        }
        self.rejections.count += 1;
        let ConsecutiveRejections { count, first_at } = self.rejections;
        // Departure (all calls were rejected for longer than a limit lasts): it is an outage without
        // Retry-After.
        let is_repeated = count >= OUTAGE_REJECTIONS && now - first_at > OUTAGE_REJECTIONS_SPAN;
        retry_after > OUTAGE_RETRY_AFTER || is_repeated
    }

    /// Departure (a rejection above the limit): what was sent did not fit, whatever the pace allowed.
    fn cut_pace(&mut self, now: Millis, min_pace: f64) {
        if now - self.pace_cut_at <= PACE_CUT_INTERVAL {
            return;
        }
        self.pace_cut_at = now;
        let counts = self.counts(now);
        let span = self.window.span(now).max(COUNT_WINDOW.min_span / self.time_scale);
        let sent_pace = (counts.requests * 1_000.0 / span).max(self.initial_pace);
        let accepted_share = ACCEPTS_MULTIPLIER * counts.accepts / counts.requests.max(1.0);
        let share = accepted_share.clamp(MIN_PACE_CUT, MAX_PACE_CUT);
        self.pace = (self.pace.min(sent_pace) * share).max(min_pace);
    }
}
