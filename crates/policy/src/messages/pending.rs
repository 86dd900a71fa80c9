//! A pending message: when its final outcome is due, whether it may be refused, and its urgency until then.

use crate::calls::CallId;
use crate::context::Context;
use crate::interface::{
    AttemptHistory, Class, DestinationId, Effect, KeyGroup, Message, Millis, RouteId, Settings,
};
use crate::priority_weight::PriorityWeight;

/// The final outcome is due two ticks and this time, in ms, before the message expires.
const OUTCOME_MARGIN: Millis = 5.0;
/// No attempt starts within this time, in ms, before the end of an idempotency key's window.
const KEY_WINDOW_MARGIN: Millis = 50.0;
/// The urgency of a message is the value that it loses if it waits for this time, in ms.
const URGENCY_HORIZON: Millis = 2_000.0;

/// An accepted message; removed once it is completed and no attempt is in flight.
#[derive(Debug)]
pub(crate) struct PendingMessage {
    /// The message's value over time, and when the message expires.
    pub weight: PriorityWeight,
    pub destination: DestinationId,
    /// The ordering key; 0 for none.
    pub ordering_key: u64,
    /// When the final outcome is due if the message is still waiting: at the latest two ticks and
    /// [`OUTCOME_MARGIN`] before it expires.
    pub outcome_due_at: Millis,
    /// Number of attempts started, including those before a restart.
    pub attempts: u32,
    pub in_flight: Option<InFlightAttempt>,
    /// The first attempt that may have taken effect.
    pub possibly_executed: Option<PossibleExecution>,
    /// Whether a throttle has dropped the message, and counted that as a request, since its last attempt.
    pub counted_as_dropped: bool,
    pub completed: bool,
}

/// The attempt of a message that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InFlightAttempt {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The call that carries the attempt.
    pub call: CallId,
}

/// The attempt with which a message may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PossibleExecution {
    pub sent_at: Millis,
    pub route: RouteId,
    pub zone: u8,
}

impl PendingMessage {
    /// Creates a message that is accepted now; `history` holds its attempts before a restart.
    pub fn new(context: &Context, message: &Message, history: &AttemptHistory, within_quota: bool) -> Self {
        let settings = &context.settings;
        let class_index = message.class.min(settings.classes.len() - 1);
        let class = &settings.classes[class_index];
        let value = if within_quota { class.value } else { class.value * settings.over_quota_value };
        let expires_at = context.now + message.time_left;
        let objective_at = expires_at - class.deadline + latency_objective(class, message.work_estimate);
        let possibly_executed = history.possibly_executed.map(|prior| PossibleExecution {
            sent_at: context.now - prior.ago,
            route: prior.route,
            zone: prior.zone,
        });
        Self {
            weight: PriorityWeight { class: class_index, value, objective_at, expires_at },
            destination: message.destination,
            ordering_key: if class.ordered { message.ordering_key } else { 0 },
            outcome_due_at: 0.0,
            attempts: history.attempts,
            in_flight: None,
            possibly_executed,
            counted_as_dropped: false,
            completed: false,
        }
    }

    /// What a retry does if an earlier attempt has taken effect.
    pub fn effect(&self, settings: &Settings) -> Effect {
        settings.classes[self.weight.class].effect
    }

    /// Sets when the final outcome is due: before the message expires and its idempotency key's window ends,
    /// or now if no further attempt is allowed.
    pub fn schedule_outcome(&mut self, context: &Context) {
        let mut due_at = self.weight.expires_at - 2.0 * context.settings.tick - OUTCOME_MARGIN;
        match (self.possibly_executed, self.effect(&context.settings)) {
            (Some(execution), Effect::IdempotencyKey { window, .. }) => {
                due_at = due_at.min(execution.sent_at + window - KEY_WINDOW_MARGIN);
            }
            (Some(_), Effect::NotIdempotent) => due_at = context.now,
            _ => {}
        }
        if self.attempts >= context.settings.max_attempts {
            due_at = context.now;
        }
        self.outcome_due_at = due_at;
    }

    /// Records that the next attempt starts now.
    pub fn begin_attempt(&mut self, call: CallId) {
        self.in_flight = Some(InFlightAttempt { attempt: self.attempts, call });
        self.attempts += 1;
        self.counted_as_dropped = false;
    }

    /// Records that a throttle has dropped the message. Returns whether the message had already been dropped
    /// since its last attempt.
    pub fn mark_dropped(&mut self) -> bool {
        std::mem::replace(&mut self.counted_as_dropped, true)
    }

    /// Whether the message may be sent by this route without the risk that it takes effect twice.
    pub fn may_be_sent_by(&self, settings: &Settings, route: RouteId, zone: u8) -> bool {
        let Some(execution) = self.possibly_executed else { return true };
        match self.effect(settings) {
            Effect::Idempotent => true,
            Effect::IdempotencyKey { group: KeyGroup::All, .. } => true,
            Effect::IdempotencyKey { group: KeyGroup::Zone, .. } => execution.zone == zone,
            Effect::IdempotencyKey { group: KeyGroup::Route, .. } => execution.route == route,
            Effect::NotIdempotent => false,
        }
    }

    /// Whether a retry is allowed: the message has not expired, and a retry cannot make it take effect twice.
    pub fn may_be_retried(&self, context: &Context) -> bool {
        let effect = self.effect(&context.settings);
        let must_not_be_repeated = self.possibly_executed.is_some() && effect == Effect::NotIdempotent;
        !must_not_be_repeated && self.weight.expires_at > context.now
    }

    /// Whether the client may safely submit the message again.
    pub fn is_refusable(&self, settings: &Settings) -> bool {
        let possibly_executed = self.possibly_executed.is_some() || self.in_flight.is_some();
        match self.effect(settings) {
            Effect::Idempotent => true,
            Effect::IdempotencyKey { group, .. } => group == KeyGroup::All || !possibly_executed,
            Effect::NotIdempotent => !possibly_executed,
        }
    }

    /// The value that the message loses if it waits for [`URGENCY_HORIZON`]; the most urgent message is sent
    /// first.
    pub fn urgency(&self, context: &Context) -> f64 {
        let value_now = context.settings.value_at(&self.weight, context.now);
        let value_later = context.settings.value_at(&self.weight, context.now + URGENCY_HORIZON);
        value_now - value_later
    }
}

/// The latency objective of a message: it increases with the work estimate, up to the deadline.
fn latency_objective(class: &Class, work_estimate: Option<Millis>) -> Millis {
    let stretch = class.latency_objective_stretch * work_estimate.unwrap_or(0.0);
    (class.latency_objective + stretch).min(class.deadline)
}
