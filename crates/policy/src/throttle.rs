//! The throttle of the calls that share a limit: its drop probability, its send rate and its backoff.
//!
//! Requests and accepts are counted over a sliding window. A call draws at `next_draw_at`: it is dropped
//! locally with the probability that the counts give. Each call and each drop schedules the next draw.

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

/// Calls that an idle throttle saves up and may send at once, in ms of its send rate.
const BURST: Millis = 500.0;
/// Mean backoff after a rejection, in ms at a send rate of one call per second.
const REJECTION_BACKOFF: Millis = 500.0;
/// Number of senders up to which a fleet is small: each sender increases its rate and probes as if alone.
const SMALL_FLEET: f64 = 3.0;

/// The requests and accepts of the calls that share a limit, and when the next call may start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throttle {
    window: Window,
    /// Factor on the age of the window's entries, 1 or more.
    time_scale: f64,
    send_rate: SendRate,
    /// No call starts before the last Retry-After is over.
    retry_after_until: Millis,
    /// When the next call may draw.
    next_draw_at: Millis,
    rejections: ConsecutiveRejections,
    latency: Latency,
    capacity: gossip::CapacityShare,
}

/// The result of a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Draw {
    /// The call passes.
    Passed,
    /// The call is dropped locally.
    Dropped,
    /// The throttle still backs off.
    NotDue,
}

impl Throttle {
    /// The limit, in calls per second of all senders together.
    pub fn limit(&self) -> f64 {
        self.send_rate.limit()
    }

    /// When the last Retry-After is over.
    pub fn retry_after_until(&self) -> Millis {
        self.retry_after_until
    }

    /// When the next call may draw.
    pub fn next_draw_at(&self) -> Millis {
        self.next_draw_at
    }

    /// Lets no call start before `until`.
    pub fn extend_retry_after(&mut self, until: Millis) {
        self.retry_after_until = self.retry_after_until.max(until);
    }

    /// Lets no call draw before `until`.
    pub fn delay_next_draw(&mut self, until: Millis) {
        self.next_draw_at = self.next_draw_at.max(until);
    }

    /// The latency of the calls.
    pub fn latency(&self) -> &Latency {
        &self.latency
    }

    /// Records the latency of an answered call.
    pub fn record_latency(&mut self, latency: Millis) {
        self.latency.record(latency);
    }

    /// Removes all requests and accepts.
    pub fn clear_counts(&mut self) {
        self.window.clear();
    }

    /// Draws whether a call passes; overdue calls count as requests that were not accepted.
    pub fn draw(&mut self, context: &mut Context, overdue: usize, shared_rate: Option<f64>) -> Draw {
        if self.next_draw_at > context.now {
            return Draw::NotDue;
        }
        // Departure (a shared rate is known): the formula's result for all senders is in it already.
        if shared_rate.is_some() {
            return Draw::Passed;
        }
        let draw = context.rng.unit();
        if draw >= self.counts(context.now).drop_probability(overdue) { Draw::Passed } else { Draw::Dropped }
    }

    /// Backs off after a drop: the next draw is scheduled.
    ///
    /// Departure (the message was dropped before): it counts as one request, however often it draws.
    pub fn record_drop(&mut self, context: &mut Context, was_dropped_before: bool) {
        self.window.count(context.now, if was_dropped_before { 0.0 } else { 1.0 }, 0.0);
        self.next_draw_at = context.now + context.rng.pause(1_000.0 / self.send_rate.current());
    }

    /// Records a call that starts, and schedules the next draw. Returns whether less than a burst was saved
    /// up, so that the send rate limits the calls.
    pub fn record_call(&mut self, context: &mut Context, shared_rate: Option<f64>) -> bool {
        self.capacity.record_call(context.now, shared_rate);
        let earliest = context.now - BURST;
        let is_rate_limited = self.next_draw_at > earliest;
        let mean_pause = 1_000.0 / shared_rate.unwrap_or(self.send_rate.current());
        self.next_draw_at = self.next_draw_at.max(earliest) + context.rng.pause(mean_pause);
        is_rate_limited
    }

    /// Backs off until a Retry-After is over, and for a random pause after it, as other senders wait for the
    /// same moment.
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

    /// Counts the result of a call. Returns whether it shows an outage by itself.
    pub fn record_result(&mut self, context: &Context, outcome: Outcome, retry_after: Millis) -> bool {
        let accepted = matches!(outcome, Outcome::Ok | Outcome::Error);
        self.window.count(context.now, 1.0, if accepted { 1.0 } else { 0.0 });
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

    /// Departure (a call was rejected): the send rate exceeded what the limit leaves to this sender.
    fn reduce_send_rate(&mut self, context: &Context) {
        let now = context.now;
        if !self.send_rate.may_be_reduced(now) {
            return;
        }
        let counts = self.counts(now);
        let span = self.window.span(now).max(COUNT_WINDOW.min_span / self.time_scale);
        self.send_rate.reduce(now, counts, span, context.settings.peers_total);
    }

    /// Requests and accepts of the window; while it is empty the send rate is the initial one.
    fn counts(&mut self, now: Millis) -> WindowCounts {
        let counts = self.window.counts(now, self.time_scale, COUNT_WINDOW);
        if counts.is_none() {
            self.send_rate.reset();
        }
        counts.unwrap_or_default()
    }
}

/// The part of the limit that the fleet leaves to this sender.
impl Throttle {
    /// The call rate that the fleet leaves to this sender with so much demand, in calls per second, while its
    /// reports are fresh.
    pub fn shared_rate(&self, now: Millis, demand: f64) -> Option<f64> {
        self.capacity.rate(now, demand, self.limit())
    }

    /// This sender's fraction of the fleet's demand, while the fleet reports it.
    pub fn demand_fraction(&self, now: Millis, demand: f64) -> Option<f64> {
        self.capacity.demand_fraction(now, demand)
    }

    /// When the next permit becomes valid; negative infinite if calls need none.
    pub fn next_permit_at(&self, now: Millis) -> Millis {
        self.capacity.next_lease_at(now)
    }

    /// Calls so far, with those that were rejected and that failed.
    pub fn capacity(&self) -> &gossip::CapacityShare {
        &self.capacity
    }

    /// Applies the fleet's report; the next draw is scheduled by its rate.
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

    /// Schedules the draw of the first waiting message among the calls of all senders.
    pub fn schedule_first_call(&mut self, context: &mut Context, shared_rate: f64) {
        let draw = context.rng.unit();
        if let Some(draw_at) = self.capacity.schedule_first_call(context.now, shared_rate, draw) {
            self.next_draw_at = draw_at;
        }
    }
}

impl Settings {
    /// The size of the fleet as a multiple of a small one, 1 or more.
    pub(crate) fn fleet_scale(&self) -> f64 {
        (self.peers_total as f64 / SMALL_FLEET).max(1.0)
    }
}
