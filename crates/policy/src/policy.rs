//! The policy of one sender: its state, and the order of the steps of a batch. No decision.
//!
//! Each step decides in a module of its own. The ordinary path: for each throttle (of a destination, or of a
//! route where routes have limits of their own) requests and accepts are counted over a window
//! ([`throttle`]); a new call or a retry is dropped locally with probability `max(0, (requests - K * accepts)
//! / (requests + 1))`, goes first to another route whose own draw passes ([`route_choice`]), else backs off
//! for a random pause and draws again while time remains, else is refused or failed ([`completion`]). A
//! comment that begins with "Departure" marks where the code departs from this path, and names the condition.

mod admission;
mod availability;
mod bookkeeping;
mod completion;
mod demand;
mod dispatch;
mod events;
mod metrics;
mod outage_detection;
mod outage_memory;
mod outcomes;
mod queue_order;
mod route_choice;
mod route_defaults;
mod route_list;
mod routes;
mod scope;
mod send;
mod settlement;
mod slow_start;
mod state;
mod subscription;
mod throttle;

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{
    Action, DestinationId, Discovery, Event, MessageHandle, Millis, Settings, SettingsError,
};
use crate::key_ordering::KeyOrdering;
use crate::quota::Quotas;
use crate::rng::Rng;
use crate::wake_timer::WakeTimer;
use state::{Destination, PendingMessage};

/// The decisions of one sender.
#[derive(Debug)]
pub struct Policy {
    settings: Settings,
    /// Whether the host reports what other senders want.
    expects_capacity: bool,
    /// Whether no call starts without a permit.
    needs_permits: bool,
    rng: Rng,
    /// The host's clock at the first batch: all times kept here count from it.
    started_at: Option<Millis>,
    now: Millis,
    destinations: BTreeMap<DestinationId, Destination>,
    /// Destinations with waiting messages: only these are looked at.
    busy: BTreeSet<DestinationId>,
    messages: BTreeMap<MessageHandle, PendingMessage>,
    calls_in_flight: usize,
    /// Slots that another process of this sender uses.
    slots_used_by_peer: usize,
    next_call: u64,
    key_ordering: KeyOrdering,
    quotas: Quotas,
    wake_timer: WakeTimer,
    /// When to subscribe to the endpoint list.
    subscribe_at: Option<Millis>,
}

impl Policy {
    /// A policy without any state; draws are the same for the same seed.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings cannot work.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let on_request = matches!(settings.discovery, Discovery::OnRequest { .. });
        Ok(Self {
            expects_capacity: false,
            needs_permits: false,
            rng: Rng::new(seed),
            started_at: None,
            now: 0.0,
            destinations: BTreeMap::new(),
            busy: BTreeSet::new(),
            messages: BTreeMap::new(),
            calls_in_flight: 0,
            slots_used_by_peer: 0,
            next_call: 0,
            key_ordering: KeyOrdering::default(),
            quotas: Quotas::new(settings.tenants.len()),
            wake_timer: WakeTimer::default(),
            subscribe_at: on_request.then_some(0.0),
            settings,
        })
    }

    /// Takes in all events of a batch, then decides once; what is to be done is appended to `actions`.
    pub fn handle(&mut self, now: Millis, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now - *self.started_at.get_or_insert(now);
        for event in events {
            self.apply(event, actions);
        }
        self.subscribe_if_due(actions);
        self.key_ordering.forget_idle(self.now);
        let busy: Vec<DestinationId> = self.busy.iter().copied().collect();
        self.complete_due_messages(&busy, actions);
        self.shed_load(actions);
        self.dispatch(&busy, actions);
        self.set_wake_timer(actions);
    }

    /// Asks to be woken when the next thing is due, if no wake-up comes before.
    fn set_wake_timer(&mut self, actions: &mut Vec<Action>) {
        let destinations = &self.destinations;
        self.busy
            .retain(|id| destinations.get(id).is_some_and(|destination| !destination.waiting.is_empty()));
        let busy = self.busy.iter().filter_map(|id| self.destinations.get(id));
        let next_at = busy
            .map(|destination| self.next_due_at(destination))
            .chain(self.key_ordering.pause_ends(self.now))
            .chain(self.subscribe_at)
            .fold(f64::INFINITY, f64::min);
        actions.extend(self.wake_timer.set(self.now, next_at, self.settings.tick));
    }

    /// When something is due at a destination with waiting messages: a final outcome, or a draw.
    fn next_due_at(&self, destination: &Destination) -> Millis {
        let outcomes = destination.waiting.iter().filter_map(|id| self.messages.get(id));
        let opens = (0..destination.routes.len()).map(|index| destination.opens_at(index, self.now));
        outcomes
            .map(|message| message.outcome_due_at)
            .chain(opens.filter(|&opens_at| opens_at > self.now))
            .fold(f64::INFINITY, f64::min)
    }
}
