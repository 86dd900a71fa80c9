//! The throttle of the calls that share a limit: drop probability, send rate and backoff.
//!
//! The throttle counts requests and accepts over a sliding window. At `next_draw_at` a call may draw: it is
//! dropped locally with a probability that is calculated from the counts. Each call and each drop schedules
//! the next draw.

mod initial;
mod rejections;
mod send_rate;

pub(crate) use initial::CapacitySource;

use rudderspindle_gossip as gossip;

use crate::context::Context;
use crate::interface::{Millis, Outcome, Permit, Settings};
use crate::latency::Latency;
use crate::window::{COUNT_WINDOW, Window, WindowCounts};
use rejections::ConsecutiveRejections;
use send_rate::SendRate;

/// An idle throttle may send a burst at once: as many calls as the send rate allows in this time, in ms.
const BURST: Millis = 500.0;
/// Mean backoff after the first of consecutive rejections, in ms, at a send rate of one call per second.
const REJECTION_BACKOFF: Millis = 500.0;
/// Number of senders up to which a fleet is small: each sender then increases its send rate and sends probes
/// as if it were the only one.
const SMALL_FLEET: f64 = 3.0;

/// The requests and accepts of the calls that share a limit, and when the next call may start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throttle {
    window: Window,
    /// Factor by which the age of the window's entries is multiplied, 1 or more.
    time_scale: f64,
    send_rate: SendRate,
    /// When the last Retry-After ends; no call starts before that time.
    retry_after_until: Millis,
    next_draw_at: Millis,
    rejections: ConsecutiveRejections,
    latency: Latency,
    /// This sender's share of the limit, from the updates of the fleet.
    capacity: gossip::CapacityShare,
}

/// The result of a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Draw {
    /// The call may start.
    Passed,
    /// The call is dropped locally.
    Dropped,
    /// The next draw is not due yet.
    NotDue,
}

impl Throttle {
    /// The limit on the calls of all senders together, in calls per second.
    pub fn limit(&self) -> f64 {
        self.send_rate.limit()
    }

    /// When the last Retry-After ends.
    pub fn retry_after_until(&self) -> Millis {
        self.retry_after_until
    }

    /// When the next call may draw.
    pub fn next_draw_at(&self) -> Millis {
        self.next_draw_at
    }

    /// Blocks all calls until `until`, unless they are blocked for longer already.
    pub fn extend_retry_after(&mut self, until: Millis) {
        self.retry_after_until = self.retry_after_until.max(until);
    }

    /// Blocks all draws until `until`, unless they are blocked for longer already.
    pub fn delay_next_draw(&mut self, until: Millis) {
        self.next_draw_at = self.next_draw_at.max(until);
    }

    /// The latency of the calls.
    pub fn latency(&self) -> &Latency {
        &self.latency
    }

    /// Records the latency of a successful call.
    pub fn record_latency(&mut self, latency: Millis) {
        self.latency.record(latency);
    }

    /// Removes all counted requests and accepts.
    pub fn clear_counts(&mut self) {
        self.window.clear();
    }

    /// Draws whether a call may start; the `overdue` calls count as requests that were not accepted.
    pub fn draw(&mut self, context: &mut Context, overdue: usize, shared_rate: Option<f64>) -> Draw {
        if self.next_draw_at > context.now {
            return Draw::NotDue;
        }
        // Extension (a shared rate is known): the call passes without a draw, because the shared rate already
        // contains the result of the drop formula for all senders.
        if shared_rate.is_some() {
            return Draw::Passed;
        }
        let draw = context.rng.unit();
        if draw >= self.counts(context.now).drop_probability(overdue) { Draw::Passed } else { Draw::Dropped }
    }

    /// Backs off after a drop, by scheduling the next draw.
    ///
    /// Extension (the message was dropped before): a message counts as one request, however often it draws,
    /// because its repeated draws are not additional load.
    pub fn record_drop(&mut self, context: &mut Context, was_dropped_before: bool) {
        self.window.add(context.now, if was_dropped_before { 0.0 } else { 1.0 }, 0.0);
        self.next_draw_at = context.now + context.rng.pause(1_000.0 / self.send_rate.current());
    }

    /// Records that a call starts, and schedules the next draw. Returns whether less than a full burst was
    /// available, so that the send rate limits the calls.
    pub fn record_call(&mut self, context: &mut Context, shared_rate: Option<f64>) -> bool {
        self.capacity.record_call(context.now, shared_rate);
        let earliest = context.now - BURST;
        let is_rate_limited = self.next_draw_at > earliest;
        let mean_pause = 1_000.0 / shared_rate.unwrap_or(self.send_rate.current());
        self.next_draw_at = self.next_draw_at.max(earliest) + context.rng.pause(mean_pause);
        is_rate_limited
    }

    /// Backs off until a Retry-After ends and for a random pause after it, because other senders may have
    /// received the same Retry-After.
    pub fn back_off(&mut self, context: &mut Context, retry_after: Millis, shared_rate: Option<f64>) {
        let until = context.now + retry_after;
        let rejections = f64::from(self.rejections.count() + 1).min(context.settings.fleet_scale());
        let mean_pause = match shared_rate {
            Some(rate) => self.capacity.schedule_call(rate),
            None => REJECTION_BACKOFF * rejections / self.send_rate.current_or_initial(),
        };
        let pause = context.rng.pause(mean_pause);
        self.extend_retry_after(until);
        self.delay_next_draw(until + pause);
    }

    /// Counts the result of a call. Returns whether this result alone indicates an outage.
    pub fn record_result(&mut self, context: &Context, outcome: Outcome, retry_after: Millis) -> bool {
        let accepted = matches!(outcome, Outcome::Ok | Outcome::Error);
        self.window.add(context.now, 1.0, if accepted { 1.0 } else { 0.0 });
        match outcome {
            Outcome::Ok => {}
            Outcome::Rejected => {
                self.capacity.record_rejection();
                self.reduce_send_rate(context);
            }
            _ => self.capacity.failed += 1,
        }
        self.rejections.record(context.now, outcome, retry_after)
    }

    /// Increases the send rate after an accepted call.
    pub fn increase_send_rate(&mut self, context: &Context) {
        self.send_rate.increase(context, self.time_scale);
    }

    /// Reduces the send rate after a rejection, unless it was reduced a short time ago.
    ///
    /// Extension (a call was rejected): adaptive throttling alone only drops calls. The rejection indicates
    /// that the send rate was above this sender's share of the limit.
    fn reduce_send_rate(&mut self, context: &Context) {
        let now = context.now;
        if !self.send_rate.may_be_reduced(now) {
            return;
        }
        let counts = self.counts(now);
        let span = self.window.span(now).max(COUNT_WINDOW.min_span / self.time_scale);
        self.send_rate.reduce(now, counts, span, context.settings.peers_total);
    }

    /// The requests and accepts in the window. An empty window resets the send rate to the initial rate.
    fn counts(&mut self, now: Millis) -> WindowCounts {
        let counts = self.window.counts(now, self.time_scale, COUNT_WINDOW);
        if counts.is_none() {
            self.send_rate.reset();
        }
        counts.unwrap_or_default()
    }
}

/// This sender's share of the limit, from the updates of the fleet.
impl Throttle {
    /// The call rate that the last capacity update allows this sender, in calls per second, for a demand in
    /// calls; `None` without a valid update.
    pub fn shared_rate(&self, now: Millis, demand: f64) -> Option<f64> {
        self.capacity.rate(now, demand, self.limit())
    }

    /// This sender's fraction of the fleet's demand, from 0 to 1; `None` without a valid
    /// capacity update.
    pub fn demand_fraction(&self, now: Millis, demand: f64) -> Option<f64> {
        self.capacity.demand_fraction(now, demand)
    }

    /// When the next permit becomes valid; negative infinity if calls need no permit.
    pub fn next_permit_at(&self, now: Millis) -> Millis {
        self.capacity.next_lease_at(now)
    }

    /// This sender's share of the limit, with the numbers of calls, rejections and failures since the start.
    pub fn capacity(&self) -> &gossip::CapacityShare {
        &self.capacity
    }

    /// Applies a capacity update, and schedules the next draw at the rate of the update.
    pub fn apply_capacity(&mut self, now: Millis, update: &gossip::CapacityUpdate) {
        let scheduled =
            gossip::ScheduledCall { due_at: self.next_draw_at, not_before: self.retry_after_until };
        self.next_draw_at = self.capacity.apply(now, update, scheduled);
    }

    /// Replaces the permits that calls may use.
    pub fn set_permits(&mut self, now: Millis, permits: &[Permit]) {
        let lease = |permit: &Permit| gossip::PermitLease {
            number: permit.number,
            from: now + permit.from,
            until: now + permit.until,
        };
        let leases: Vec<gossip::PermitLease> = permits.iter().map(lease).collect();
        self.capacity.set_leases(now, &leases);
    }

    /// Schedules the draw of the first waiting message after a random delay, which is shorter at a higher
    /// shared rate. Without the delay, many senders that were idle could start calls at the same time.
    pub fn schedule_first_call(&mut self, context: &mut Context, shared_rate: f64) {
        let draw = context.rng.unit();
        if let Some(draw_at) = self.capacity.schedule_first_call(context.now, shared_rate, draw) {
            self.next_draw_at = draw_at;
        }
    }
}

impl Settings {
    /// Number of senders in the fleet as a multiple of [`SMALL_FLEET`], 1 or more.
    pub(crate) fn fleet_scale(&self) -> f64 {
        (self.peers_total as f64 / SMALL_FLEET).max(1.0)
    }
}
