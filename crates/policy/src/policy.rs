//! The policy of one sender: its state, and the steps of a batch.
//!
//! Each type that owns state decides about it: [`Destination`] with its throttles and circuit breakers,
//! [`PendingMessages`], [`CallSlots`], [`Quotas`]. [`Policy::handle`] describes the ordinary path. A comment
//! that begins with "Departure" marks where the code departs from it, under one of these conditions:
//!
//! | condition | departure | file |
//! | --- | --- | --- |
//! | a shared rate is known | a call passes without a draw | `throttle.rs` |
//! | the message was dropped before | it counts as one request | `throttle.rs` |
//! | a call was rejected | the send rate is reduced | `throttle.rs` |
//! | all calls were rejected for longer than a limit lasts | an outage has begun | `throttle/rejections.rs` |
//! | an outage was seen | the recovery ramp limits the calls | `destination/outage_detection.rs` |
//! | calls are overdue, without an answer since | the circuit breaker opens | `destination/outage_detection.rs` |
//! | about half of the answers are errors | slow start begins | `destination/outage_detection.rs` |
//! | this sender's share of the overload is small | fewer failures count | `destination/outage_detection.rs` |
//! | the circuit breaker is open | a half-open probe does not draw | `destination/route_choice.rs` |
//! | other senders have ejected the route | other routes draw first | `destination/route_choice.rs` |
//! | permits are required | no call starts without one | `destination/availability.rs` |
//! | few slots are free | a destination leaves some to others | `destination/dispatch.rs` |
//! | no slot is free | lost calls are cancelled | `destination/dispatch.rs` |
//! | an equal part of a quota is few messages | a tenant's share of the arrivals is used | `quota.rs` |
//! | the list arrives on request only | the policy subscribes to it | `subscription.rs` |

mod completion;
mod events;
mod metrics;

use crate::context::Context;
use crate::destination::{Destination, DestinationQueue, Dispatch};
use crate::destinations::Destinations;
use crate::interface::{Action, Event, Millis, Settings, SettingsError};
use crate::messages::PendingMessages;
use crate::quota::Quotas;
use crate::rng::Rng;
use crate::slots::CallSlots;
use crate::subscription::Subscription;
use crate::throttle::CapacitySource;
use crate::wake_timer::WakeTimer;

/// The decisions of one sender.
#[derive(Debug)]
pub struct Policy {
    context: Context,
    /// The host's clock at the first batch: all times count from it.
    started_at: Option<Millis>,
    messages: PendingMessages,
    destinations: Destinations,
    slots: CallSlots,
    quotas: Quotas,
    capacity_source: CapacitySource,
    subscription: Subscription,
    wake_timer: WakeTimer,
}

impl Policy {
    /// A policy without any state; its draws are the same for the same seed.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings cannot work.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            started_at: None,
            messages: PendingMessages::default(),
            destinations: Destinations::default(),
            slots: CallSlots::new(settings.slots),
            quotas: Quotas::new(settings.tenants.len()),
            capacity_source: CapacitySource::default(),
            subscription: Subscription::new(settings.discovery),
            wake_timer: WakeTimer::default(),
            context: Context { now: 0.0, settings, rng: Rng::new(seed) },
        })
    }

    /// Applies all events of a batch, then decides once. The actions are appended to `actions`.
    ///
    /// Requests and accepts are counted over a window, for each throttle: that of a destination, or of a
    /// route where routes have limits of their own. A new call or a retry is dropped locally with probability
    /// `max(0, (requests - K * accepts) / (requests + 1))`. It is sent by another route if that one's draw
    /// passes, else it backs off for a random pause and draws again while time remains, else its message is
    /// refused or failed.
    pub fn handle(&mut self, now: Millis, events: &[Event], actions: &mut Vec<Action>) {
        self.context.now = now - *self.started_at.get_or_insert(now);
        for event in events {
            self.apply(event, actions);
        }
        if self.subscription.take_due(self.context.now) {
            actions.push(Action::Subscribe);
        }
        self.messages.remove_idle_keys(self.context.now);
        self.refuse_or_fail_due_messages(actions);
        self.shed_load(actions);
        self.draw_and_send(actions);
        self.wake_for_next_draw(actions);
    }

    /// Serves the destinations in the order of their most urgent calls: each draws for its messages.
    fn draw_and_send(&mut self, actions: &mut Vec<Action>) {
        let queue = |destination: &Destination| destination.queue(&self.context, &self.messages);
        let mut queues: Vec<DestinationQueue> = self.destinations.busy().map(queue).collect();
        queues.sort_by(DestinationQueue::order);
        let mut dispatch = Dispatch {
            context: &mut self.context,
            messages: &mut self.messages,
            slots: &mut self.slots,
            actions,
        };
        for queue in queues {
            if let Some(destination) = self.destinations.get_mut(queue.destination) {
                destination.serve(&mut dispatch, queue.messages);
                destination.report_outages(dispatch.context.now, dispatch.actions);
            }
        }
    }

    /// Requests a wake-up for the next draw or final outcome, if no earlier one is pending.
    fn wake_for_next_draw(&mut self, actions: &mut Vec<Action>) {
        self.destinations.remove_idle_from_busy();
        let now = self.context.now;
        let next_at = self
            .destinations
            .busy()
            .map(|destination| destination.next_due_at(&self.messages, now))
            .chain(self.messages.key_pause_ends(now))
            .chain(self.subscription.due_at())
            .fold(f64::INFINITY, f64::min);
        actions.extend(self.wake_timer.set(now, next_at, self.context.settings.tick));
    }
}
