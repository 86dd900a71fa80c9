//! Runs a batch: translates the inputs into events for the policy, and carries out its decisions.

use rudderspindle_clock::UnixMillis;
use rudderspindle_policy::interface::{self, Action, Event, Millis, Permit};
use tokio::time::Instant;

use super::Engine;
use super::intake::Intake;
use super::time::to_millis;
use crate::event::{Input, PermitUpdate, TenantQuota};

impl Engine {
    /// Handles these inputs, the due timers and the backlog as one batch.
    pub(super) fn run_batch(&mut self, inputs: Vec<Input>) {
        let now = Instant::now();
        self.last_batch = now;
        let mut events = std::mem::take(&mut self.next_batch_events);
        let mut intake = Intake::default();
        for input in inputs {
            self.handle_input(input, now, &mut intake, &mut events);
        }
        events.append(&mut self.next_batch_events);
        events.extend(self.take_from_backlog(now, intake.new.len()));
        events.extend(self.timers.take_due(now).into_iter().map(Event::Wake));
        let actions = self.decide(now, &events);
        self.carry_out(now, intake, actions);
    }

    /// Handles an input, and adds its events for the policy to `events`.
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
            Input::CapacityUpdates(updates) => events.extend(updates.into_iter().map(Event::Capacity)),
            Input::Permits(updates) => {
                let wall_now = UnixMillis::now();
                events.extend(updates.into_iter().map(|update| permits_event(update, wall_now)));
            }
            Input::EjectedReceivers(routes) => events.push(Event::EjectedRoutes(routes)),
            Input::Quotas(quotas) => events.extend(quotas.into_iter().map(quota_event)),
            // The receivers of these responses may have ended.
            Input::TakeOver(response) => {
                self.take_over_journal(now);
                let _ = response.send(self.store.is_owner());
            }
            Input::ReportActivity(response) => {
                let _ = response.send(self.report_activity());
            }
            Input::QueryStatus(response) => {
                let _ = response.send(self.status());
            }
            Input::Stop => self.shutdown.request(now),
        }
    }

    /// Passes the events to the policy; returns its actions.
    fn decide(&mut self, now: Instant, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(to_millis(now - self.policy_epoch), events, &mut actions);
        actions
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
    let permits = update.permits.into_iter().map(permit).collect();
    Event::Permits(interface::PermitUpdate { scope: update.scope, permits })
}

fn quota_event(quota: TenantQuota) -> Event {
    Event::Quota { tenant: quota.tenant, messages_per_s: quota.messages_per_s }
}
