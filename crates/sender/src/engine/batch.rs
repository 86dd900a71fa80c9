//! Runs a batch: translates the inputs into events, passes them to the policy, and commits the policy's actions.

use rudderspindle_clock::UnixMillis;
use rudderspindle_policy::interface::{self, Action, Event, Millis, Permit};
use tokio::time::Instant;

use super::Engine;
use super::intake::Intake;
use super::time::to_millis;
use crate::event::{Input, PermitUpdate, TenantQuota};

impl Engine {
    /// Runs one batch with these inputs, the due timers, and as much of the backlog as the policy has capacity for.
    pub(super) fn run_batch(&mut self, inputs: Vec<Input>) {
        let now = Instant::now();
        self.last_batch_at = now;
        let mut events = std::mem::take(&mut self.next_batch_events);
        let mut intake = Intake::default();
        self.completed_messages.remove_expired(now);
        for input in inputs {
            self.handle_input(input, now, &mut intake, &mut events);
        }
        self.refuse_overdue_claims(now, &mut intake);
        events.append(&mut self.next_batch_events);
        events.extend(self.take_from_backlog(now, intake.new_submissions.len()));
        events.extend(self.timers.take_due(now).into_iter().map(Event::Wake));
        let actions = self.decide(now, &events);
        self.commit_batch(now, intake, actions);
    }

    /// Handles an input: adds a submission to `intake`, and the events for the policy to `events`.
    fn handle_input(&mut self, input: Input, now: Instant, intake: &mut Intake, events: &mut Vec<Event>) {
        match input {
            Input::Submitted(submission) => {
                events.extend(self.admit(submission, now, intake).map(Event::Message));
            }
            Input::Withdrawn(submission) => events.extend(self.withdraw(submission, now)),
            Input::AttemptFinished { id, attempt, outcome } => {
                events.push(self.record_attempt_outcome(now, id, attempt, outcome));
            }
            Input::HealthChecked { route, outcome } => events.push(Event::HealthChecked { route, outcome }),
            Input::List(list) => events.push(Event::List(self.apply_list(&list))),
            Input::NotificationsAcknowledged(message_ids) => {
                failpoint!("acknowledged-before-record");
                for message_id in &message_ids {
                    self.store.acknowledge(message_id);
                }
            }
            Input::SuccessorConnected => self.successor_connected(),
            Input::PeerProcessDisconnected => self.peer_process_disconnected(),
            Input::PeerProcessBackoff { destination, receiver, wait } => {
                events.extend(self.apply_peer_process_backoff(destination, receiver.as_deref(), wait));
            }
            Input::SuccessorAcceptsMessages => self.id_claims.peer_accepts_messages(),
            Input::PeerProcessClaim(claim) => self.answer_claim(&claim),
            Input::ClaimAnswered { number, answer } => {
                events.extend(self.claim_answered(number, answer, now, intake).map(Event::Message));
            }
            // Each call in flight uses one of the connection slots that both processes share.
            Input::PeerProcessCallsInFlight(calls) => self.policy.set_slots_used_by_peer(calls),
            Input::PeerProcessDiskSpace(bytes) => self.store.set_successor_part(bytes),
            Input::CapacityUpdates(updates) => events.extend(updates.into_iter().map(Event::Capacity)),
            Input::Permits(updates) => {
                let wall_now = UnixMillis::now();
                events.extend(updates.into_iter().map(|update| permits_event(update, wall_now)));
            }
            Input::EjectedReceivers(routes) => events.push(Event::EjectedRoutes(routes)),
            Input::Quotas(quotas) => events.extend(quotas.into_iter().map(quota_event)),
            // Sending a response fails only if the task that requested it has ended and no longer needs the response.
            Input::TakeOver(response_sender) => {
                self.take_over_journal(now);
                let _ = response_sender.send(self.store.is_owner());
            }
            Input::ReportActivity(response_sender) => {
                let _ = response_sender.send(self.report_activity());
            }
            Input::QueryStatus(response_sender) => {
                let _ = response_sender.send(self.status());
            }
            Input::Stop => self.shutdown.request(now),
        }
    }

    /// Passes the events to the policy; returns its actions. While no attempt may start, the policy must
    /// not start any: a message with an attempt in flight gets no final outcome before the outcome of that attempt.
    fn decide(&mut self, now: Instant, events: &[Event]) -> Vec<Action> {
        self.policy.set_may_send(self.shutdown.allows_attempts(now) && now >= self.send_not_before);
        let mut actions = Vec::new();
        self.policy.handle(to_millis(now - self.policy_epoch), events, &mut actions);
        actions
    }
}

/// Converts permits to the policy's event. The permits' times become relative to `wall_now`, the current wall clock
/// time, because the wall clock may be changed later.
fn permits_event(update: PermitUpdate, wall_now: UnixMillis) -> Event {
    let millis_from_now = |time: UnixMillis| time.0 as Millis - wall_now.0 as Millis;
    let permit = |permit: rudderspindle_gossip::Permit| Permit {
        number: permit.number,
        from: millis_from_now(permit.from),
        until: millis_from_now(permit.until),
    };
    let permits = update.permits.into_iter().map(permit).collect();
    Event::Permits(interface::PermitUpdate { scope: update.scope, permits })
}

fn quota_event(quota: TenantQuota) -> Event {
    Event::Quota { tenant: quota.tenant, messages_per_s: quota.messages_per_s }
}
