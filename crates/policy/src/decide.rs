//! All decisions of a sender. Its types, events and actions stand in `interface.rs`.
//!
//! The ordinary path: per gate (a destination, or a route where routes are apart) requests and accepts are
//! counted over a window; a new call or a further try is dropped locally with probability
//! `max(0, (requests - K * accepts) / (requests + 1))`, goes first to another route whose own draw passes,
//! else waits a random pause and draws again while time remains, else is refused (or failed).
//! What departs from it says "Departure" and the condition under which it acts.

mod admission;
mod choice;
mod demand;
mod destination;
mod dispatch;
mod ends;
mod figures;
mod list;
mod outages;
mod outcomes;
mod scope;
mod state;
mod throttle;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rudderspindle_gossip::{ArrivalRate, CapacityShare, CapacityUpdate, PermitLease, ScheduledCall};

use crate::calls::{Call, Calls};
use crate::health::{Health, State};
use crate::interface::*;
use crate::key_ordering::KeyOrdering;
use crate::latency::Latency;
use crate::priority_weight::PriorityWeight;
use crate::quota::Quotas;
use crate::rng::Rng;
use crate::wake_timer::WakeTimer;
use crate::window::{Window, WindowBounds};
use scope::Scope;
use state::{Destination, ExecutionMark, PendingMessage, Route, Throttle};
use throttle::{BURST, CUT_REST, REACH};

/// So many senders each grow as if they were alone, and try what is down as often.
const SHARERS: f64 = 3.0;

/// The decisions of one sender.
#[derive(Debug)]
pub struct Sender {
    settings: Settings,
    hears_notes: bool,
    keeps_rights: bool,
    rng: Rng,
    /// The host's clock at the first batch: all times kept here count from it.
    started_at: Option<Millis>,
    now: Millis,
    destinations: BTreeMap<DestinationId, Destination>,
    /// Destinations with messages that wait: only these are looked at.
    busy: BTreeSet<DestinationId>,
    messages: BTreeMap<MessageHandle, PendingMessage>,
    calls_out: usize,
    /// Slots that another process of this sender uses.
    lent: usize,
    next_call: u64,
    turns: KeyOrdering,
    quotas: Quotas,
    wake_timer: WakeTimer,
    ask_at: Option<Millis>,
}

impl Sender {
    /// A sender with an empty memory; an error if the settings cannot work.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            hears_notes: false,
            keeps_rights: false,
            rng: Rng::new(seed),
            started_at: None,
            now: 0.0,
            destinations: BTreeMap::new(),
            busy: BTreeSet::new(),
            messages: BTreeMap::new(),
            calls_out: 0,
            lent: 0,
            next_call: 0,
            turns: KeyOrdering::default(),
            quotas: Quotas::new(settings.tenants.len()),
            wake_timer: WakeTimer::default(),
            ask_at: matches!(settings.discovery, Discovery::OnRequest { .. }).then_some(0.0),
            settings,
        })
    }

    /// Takes in all events of a batch, then decides once; what is to be done is appended to `actions`.
    pub fn handle(&mut self, now: Millis, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now - *self.started_at.get_or_insert(now);
        for event in events {
            self.take(event, actions);
        }
        // Where the list comes on request only: subscribe at once, and again after each failure.
        if self.ask_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.turns.forget_idle(self.now);
        let busy: Vec<DestinationId> = self.busy.iter().copied().collect();
        self.end_what_is_due(&busy, actions);
        self.shed(actions);
        self.dispatch(&busy, actions);
        self.sleep(actions);
    }

    /// Another process of this sender uses so many of its slots now. One at the least stays ours.
    pub fn share_slots(&mut self, used: usize) {
        self.lent = used.min(self.settings.slots.saturating_sub(1));
    }

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::List(change) => self.list(change),
            Event::Message(message) => self.admit(message, &AttemptHistory::default()),
            Event::Recovered(message, past) => self.admit(message, past),
            Event::Remembered { destination, route, outage } => self.recall(*destination, *route, *outage),
            Event::RetryAfter { destination, route, wait } => {
                let Some(d) = self.destinations.get_mut(destination) else { return };
                let throttle = d.scope(*route).map(|scope| d.throttle_of_mut(scope));
                throttle
                    .into_iter()
                    .for_each(|throttle| throttle.wait_until = throttle.wait_until.max(self.now + wait));
            }
            Event::Capacity { destination, route, calls, wanted, lasts } => {
                let Some(d) = self.destinations.get_mut(destination) else { return };
                let Some(scope) = d.scope(*route) else { return };
                let (own_demand, limit) = d.need(scope, self.now);
                let throttle = d.throttle_of_mut(scope);
                let update = CapacityUpdate {
                    rate_per_demand: *calls,
                    fleet_demand: *wanted,
                    valid_for: *lasts,
                    own_demand,
                    limit,
                };
                let scheduled = ScheduledCall { due_at: throttle.draw_at, not_before: throttle.wait_until };
                throttle.draw_at = throttle.room.apply(self.now, &update, scheduled);
            }
            Event::Permits { destination, route, turns } => {
                let Some(d) = self.destinations.get_mut(destination) else { return };
                let throttle = d.scope(*route).map(|scope| d.throttle_of_mut(scope));
                let turn = |t: &Permit| PermitLease {
                    number: t.number,
                    from: self.now + t.from,
                    until: self.now + t.until,
                };
                let turns: Vec<_> = turns.iter().map(turn).collect();
                throttle.into_iter().for_each(|throttle| throttle.room.set_leases(self.now, &turns));
            }
            Event::EjectedReceivers(judged) => {
                let routes = self.destinations.values_mut().flat_map(|d| &mut d.routes);
                routes.for_each(|r| r.judged = judged.contains(&r.id));
            }
            Event::Quota { tenant, per_s } => self.quotas.tell(*tenant, *per_s),
            Event::Started { id, attempt } => {
                let out = self.messages.get_mut(id).filter(|m| m.out.is_some_and(|out| out.0 == *attempt));
                out.into_iter().for_each(|m| m.value.ends_at = f64::INFINITY);
            }
            Event::Outcome { .. } => self.outcome(event, actions),
            Event::Dropped(id) => self.finish(*id),
            Event::Wake(token) => self.wake_timer.rang(*token),
            Event::HealthChecked { .. } => {}
        }
    }

    /// A fleet's senders to each one of a small fleet.
    fn sharers(&self) -> f64 {
        (self.settings.peers_total as f64 / SHARERS).max(1.0)
    }

    /// Asks to be woken when the next thing is due, if no wake-up comes before.
    fn sleep(&mut self, actions: &mut Vec<Action>) {
        self.busy.retain(|id| self.destinations.get(id).is_some_and(|d| !d.waiting.is_empty()));
        let looks = self.busy.iter().filter_map(|id| self.destinations.get(id)).map(|d| self.next_look(d));
        let at = looks.chain(self.turns.rests(self.now)).chain(self.ask_at).fold(f64::INFINITY, f64::min);
        actions.extend(self.wake_timer.set(self.now, at, self.settings.tick));
    }
}
