//! Runs a batch: translates the inputs into events for the policy, and has its decisions carried out.

use rudderspindle_clock::UnixMillis;
use rudderspindle_policy::interface::{Action, Event, Millis, Permit};
use tokio::time::Instant;

use super::Engine;
use super::intake::Intake;
use super::time::to_millis;
use crate::event::{CapacityUpdate, Input, PermitUpdate, TenantQuota};

impl Engine {
    /// Handles these inputs, and all that is due, as one batch.
    pub(super) fn run_batch(&mut self, inputs: Vec<Input>) {
        let now = Instant::now();
        self.last_batch = now;
        let mut events = std::mem::take(&mut self.carried);
        let mut intake = Intake::default();
        for input in inputs {
            self.handle_input(input, now, &mut intake, &mut events);
        }
        events.append(&mut self.carried);
        events.extend(self.take_from_backlog(now, intake.new.len()));
        events.extend(self.due_wakes(now));
        let actions = self.decide(now, &events);
        self.carry_out(now, intake, actions);
    }

    /// Handles an input; what the policy has to know of it goes to `events`.
    fn handle_input(&mut self, input: Input, now: Instant, intake: &mut Intake, events: &mut Vec<Event>) {
        match input {
            Input::Submitted(submission) => {
                events.extend(self.admit(submission, now, intake).map(Event::Message));
            }
            Input::Withdrawn(submission) => events.extend(self.withdraw(submission)),
            Input::Outcome { id, attempt, result } => events.push(self.record_result(id, attempt, result)),
            Input::HealthChecked { route, outcome } => events.push(Event::HealthChecked { route, outcome }),
            Input::List(list) => events.push(Event::List(self.apply_list(&list))),
            Input::NotificationsAcknowledged(message_ids) => {
                failpoint!("acknowledged-before-record");
                for message_id in &message_ids {
                    self.store.acknowledge(message_id);
                }
            }
            Input::SuccessorConnected => self.successor_connected(),
            Input::PeerDisconnected => self.peer_disconnected(),
            Input::RetryAfter { destination, receiver, wait } => {
                events.extend(self.apply_peer_backoff(destination, receiver.as_deref(), wait));
            }
            Input::PeerCallsInFlight(calls) => self.policy.set_slots_used_by_peer(calls),
            Input::CapacityShares { shares, valid_for } => {
                events.extend(shares.into_iter().map(|share| capacity_event(share, valid_for)));
            }
            Input::Permits(updates) => {
                let wall_now = UnixMillis::now();
                events.extend(updates.into_iter().map(|update| permits_event(update, wall_now)));
            }
            Input::EjectedReceivers(routes) => events.push(Event::EjectedReceivers(routes)),
            Input::Quotas(quotas) => events.extend(quotas.into_iter().map(quota_event)),
            // The requester may have ended by now.
            Input::TakeOver(answer) => {
                self.take_over_journal(now);
                let _ = answer.send(self.store.is_owner());
            }
            Input::ReportActivity(answer) => {
                let _ = answer.send(self.report_activity());
            }
            Input::QueryStatus(answer) => {
                let _ = answer.send(self.status());
            }
            Input::Stop => self.stop = self.stop.or(Some(now)),
        }
    }

    /// Removes the timers that are due; returns their events.
    fn due_wakes(&mut self, now: Instant) -> Vec<Event> {
        let due = self.wakes.extract_if(.., |(at, _)| *at <= now);
        due.map(|(_, token)| Event::Wake(token)).collect()
    }

    /// Lets the policy decide.
    fn decide(&mut self, now: Instant, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(to_millis(now - self.origin), events, &mut actions);
        actions
    }
}

fn capacity_event(share: CapacityUpdate, valid_for: Millis) -> Event {
    Event::Capacity {
        destination: share.limit.destination,
        route: share.limit.route,
        calls: share.calls,
        wanted: share.fleet_demand,
        lasts: valid_for,
    }
}

/// The permits with their times relative to now, so that later changes of the wall clock do not matter.
fn permits_event(update: PermitUpdate, wall_now: UnixMillis) -> Event {
    let relative = |time: UnixMillis| time.0 as Millis - wall_now.0 as Millis;
    let permit = |permit: rudderspindle_gossip::Permit| Permit {
        number: permit.number,
        from: relative(permit.from),
        until: relative(permit.until),
    };
    Event::Permits {
        destination: update.limit.destination,
        route: update.limit.route,
        permits: update.permits.into_iter().map(permit).collect(),
    }
}

fn quota_event(quota: TenantQuota) -> Event {
    Event::Quota { tenant: quota.tenant, per_s: quota.messages_per_s }
}
