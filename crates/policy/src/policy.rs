//! The policy of one sender: its state, and the steps in which it handles a batch of events.
//!
//! The decisions are made by the types that own the state: [`Destination`] with its throttles and circuit
//! breakers, [`PendingMessages`], [`CallSlots`] and [`Quotas`]. The base algorithm is adaptive throttling
//! (client-side throttling), as [`Policy::handle`] describes it. The implementation extends the algorithm
//! under the conditions below; a comment at each place says why:
//!
//! | condition | extension | file |
//! | --- | --- | --- |
//! | a shared rate is known | a call passes without a draw | `throttle.rs` |
//! | the message was dropped before | the message counts as one request | `throttle.rs` |
//! | a call was rejected | the send rate is reduced | `throttle.rs` |
//! | rejections last longer than at an exceeded limit | an outage has begun | `throttle/rejections.rs` |
//! | an outage was detected | the recovery ramp limits the calls | `destination/outage_detection.rs` |
//! | calls are overdue, without a later answer | the circuit breaker opens | `destination/outage_detection.rs` |
//! | about half of the answers are errors | slow start begins | `destination/outage_detection.rs` |
//! | this sender's share of the overload is small | fewer failures open the breaker | `destination/outage_detection.rs` |
//! | the circuit breaker is open | a half-open probe does not draw | `destination/route_choice.rs` |
//! | other senders have ejected the route | other routes draw first | `destination/route_choice.rs` |
//! | permits are required | no call starts without one | `destination/availability.rs` |
//! | few slots are free | a destination leaves some slots to others | `destination/dispatch.rs` |
//! | no slot is free | lost calls are cancelled | `destination/dispatch.rs` |
//! | an equal share of a quota is few messages | a tenant's share of the arrivals is used | `quota.rs` |
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

/// The load balancing, admission and retry policy of one sender.
#[derive(Debug)]
pub struct Policy {
    context: Context,
    /// Time of the first batch on the host's clock; internal times are relative to it. `None` before that
    /// batch.
    started_at: Option<Millis>,
    messages: PendingMessages,
    destinations: Destinations,
    slots: CallSlots,
    quotas: Quotas,
    capacity_source: CapacitySource,
    subscription: Subscription,
    wake_timer: WakeTimer,
    /// Whether attempts may start, see [`Policy::set_may_send`].
    may_send: bool,
}

impl Policy {
    /// Creates a policy without routes and messages; the same seed gives the same random draws.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if a setting is missing or out of range.
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
            may_send: true,
            context: Context { now: 0.0, settings, rng: Rng::new(seed) },
        })
    }

    /// Applies all events of a batch, then makes the decisions once, and appends the actions to `actions`.
    ///
    /// Each throttle counts requests and accepts over a sliding window. There is one throttle for each
    /// destination, or one for each route where routes have limits of their own. A new call or a retry is
    /// dropped locally with probability `max(0, (requests - K * accepts) / (requests + 1))`. A dropped call
    /// is sent by another route if the draw of that route passes. Otherwise the throttle backs off for a
    /// random pause and the call draws again. If no time remains for another draw, the message is refused or
    /// failed.
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
        if self.may_send {
            self.draw_and_send(actions);
        }
        self.request_wake_up(actions);
    }

    /// Draws for the waiting messages and sends those that pass, the destination with the most urgent call
    /// first.
    fn draw_and_send(&mut self, actions: &mut Vec<Action>) {
        let queue = |destination: &Destination| destination.queue(&self.context, &self.messages);
        let mut queues: Vec<DestinationQueue> =
            self.destinations.with_waiting_messages().map(queue).collect();
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

    /// Requests a wake-up for the earliest of these times, unless an earlier wake-up is pending: the next
    /// draw, final outcome or subscription, and the end of the pause of an ordering key.
    fn request_wake_up(&mut self, actions: &mut Vec<Action>) {
        self.destinations.update_with_waiting_messages();
        let now = self.context.now;
        let next_at = self
            .destinations
            .with_waiting_messages()
            .map(|destination| destination.next_due_at(&self.messages, now))
            .chain(self.messages.key_pause_ends(now))
            .chain(self.subscription.due_at())
            .fold(f64::INFINITY, f64::min);
        actions.extend(self.wake_timer.set(now, next_at, self.context.settings.tick));
    }
}
