//! Decides what the outcome of an attempt means for its message, for the call's throttle and for its route.

use super::Policy;
use super::scope::Scope;
use super::state::{Destination, PossibleExecution};
use crate::interface::{Action, AttemptResult, Effect, Millis, Outcome};

impl Policy {
    /// Records at the message what an attempt may have done; its ordering key pauses while the attempt may
    /// run.
    pub(super) fn record_at_message(&mut self, result: &AttemptResult, execution: Option<PossibleExecution>) {
        let Some(message) = self.messages.get_mut(&result.id) else { return };
        if result.outcome == Outcome::AttemptsExhausted {
            message.attempts = self.settings.max_attempts;
        }
        if !result.outcome.possibly_executed() || result.outcome == Outcome::Ok {
            return;
        }
        message.possibly_executed = message.possibly_executed.or(execution);
        let may_still_run = result.outcome != Outcome::Error;
        if may_still_run {
            let until = self.now + self.settings.ordering_key_pause;
            self.key_ordering.pause(message.ordering_key, result.id, until);
        }
    }

    /// Decides whether the message of a result waits for a retry, or is completed.
    pub(super) fn retry_or_complete(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&result.id) else { return };
        let effect = self.settings.classes[message.weight.class].effect;
        let must_not_retry = message.possibly_executed.is_some() && effect == Effect::NotIdempotent;
        if result.completed || message.completed || result.outcome == Outcome::Ok {
            self.complete(result.id);
        } else if must_not_retry || message.weight.expires_at <= self.now {
            self.refuse_or_fail(result.id, 0.0, actions);
        } else {
            self.park(result.id);
        }
    }

    /// Backs off until a Retry-After is over and then for a random pause, as others wait for the same moment.
    /// Each message of a call may bring it in a batch of its own: the last one counts.
    pub(super) fn back_off(&mut self, destination: &mut Destination, index: usize, retry_after: Millis) {
        let until = self.now + retry_after;
        let fleet_pace = destination.fleet_pace(Scope::Route(index), self.now);
        let fleet_scale = self.fleet_scale();
        let throttle = destination.throttle_mut(index);
        let rejections = f64::from(throttle.rejections.count + 1).min(fleet_scale);
        let mean_pause = match fleet_pace {
            Some(pace) => throttle.capacity.schedule_call(pace),
            None => 500.0 * rejections / throttle.pace.max(throttle.initial_pace),
        };
        let pause = self.rng.pause(mean_pause);
        throttle.retry_after_until = throttle.retry_after_until.max(until);
        throttle.next_draw_at = throttle.next_draw_at.max(until + pause);
    }

    /// Counts a result at its throttle; whether it shows an outage by itself.
    pub(super) fn record_at_throttle(
        &mut self,
        destination: &mut Destination,
        index: usize,
        result: &AttemptResult,
    ) -> bool {
        let throttle = destination.throttle_mut(index);
        let accepted = matches!(result.outcome, Outcome::Ok | Outcome::Error);
        throttle.window.count(self.now, 1.0, if accepted { 1.0 } else { 0.0 });
        match result.outcome {
            Outcome::Ok => {}
            Outcome::Rejected => {
                throttle.capacity.record_rejection();
                self.cut_pace(throttle);
            }
            _ => throttle.capacity.failed += 1,
        }
        throttle.shows_outage(self.now, result.outcome, result.retry_after)
    }
}

/// Whether an outcome says anything about the limit or the receiver.
pub(super) fn counts_at_throttle(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::NotSent | Outcome::AttemptsExhausted | Outcome::Cancelled)
}
