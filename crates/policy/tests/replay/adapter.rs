//! Converts the inputs of a replay to events of the policy, and its actions to outputs and to text.

use std::collections::BTreeMap;

use rudderspindle_policy::Policy;
use rudderspindle_policy::interface::{
    Action, AttemptHistory, AttemptResult, CapacityUpdate, DestinationId, Event, LimitScope, ListChange,
    Listing, Message, MessageHandle, OutageState, Outcome, Permit, PermitUpdate, PersistedOutage,
    PriorExecution, RetryAfterUpdate, RouteEntry, RouteId,
};
use rudderspindle_policy::settings;
use rudderspindle_policy_replay as replay;
use rudderspindle_policy_replay::{
    Adapter, AttemptOutcome, Input, InstanceInput, Limit, ListEntry, ListUpdate, MessageInput, Outage,
    Output, PermitInput, Reply,
};

use crate::text::{action_text, metrics_text};

/// Number of batches between two lines of metrics.
const METRICS_INTERVAL: u32 = 10;

/// The policies under test, by instance number.
#[derive(Default)]
pub struct PolicyAdapter(BTreeMap<u32, Policy>);

impl Adapter for PolicyAdapter {
    fn handle(&mut self, batch: u32, now: f64, inputs: &[InstanceInput]) -> Reply {
        let mut events: BTreeMap<u32, Vec<Event>> = BTreeMap::new();
        for (instance, input) in inputs {
            if !self.apply_without_event(*instance, input) {
                events.entry(*instance).or_default().extend(policy_event(input));
            }
        }
        let mut text = format!("batch {batch}\n");
        let mut outputs = Vec::new();
        let mut actions = Vec::new();
        for (instance, events) in events {
            let Some(policy) = self.0.get_mut(&instance) else { continue };
            policy.handle(now, &events, &mut actions);
            for action in actions.drain(..) {
                text += &format!("{instance} {}\n", action_text(&action));
                outputs.push((instance, output(&action)));
            }
        }
        if batch.is_multiple_of(METRICS_INTERVAL) {
            for policy in self.0.values() {
                text += &metrics_text(policy);
            }
        }
        Reply { bytes: text.into_bytes(), outputs }
    }
}

impl PolicyAdapter {
    /// Applies an input that creates or removes a policy, or that corresponds to one of its methods. Returns
    /// false if the input must be passed on as an event. Inputs of an instance without a policy are ignored.
    fn apply_without_event(&mut self, instance: u32, input: &Input) -> bool {
        if let Input::Start { seed, settings } = input {
            let settings = settings::parse(settings.as_bytes()).expect("settings in valid JSON");
            self.0.insert(instance, Policy::new(settings, *seed).expect("valid settings"));
            return true;
        }
        if let Input::PowerOff = input {
            self.0.remove(&instance);
            return true;
        }
        let Some(policy) = self.0.get_mut(&instance) else { return true };
        match input {
            Input::ExpectCapacityReports => policy.expect_capacity_reports(),
            Input::RequirePermits => policy.require_permits(),
            Input::SlotsUsedByPeer { used } => policy.set_slots_used_by_peer(*used),
            _ => return false,
        }
        true
    }
}

fn policy_event(input: &Input) -> Option<Event> {
    Some(match input.clone() {
        Input::List { update, entries } => Event::List(list_change(update, &entries)),
        Input::Message(message) => Event::Message(policy_message(&message)),
        Input::Started { id, attempt } => Event::ResponseStarted { id: MessageHandle(id), attempt },
        Input::Outcome { id, attempt, outcome, retry_after, completed } => Event::Outcome(AttemptResult {
            id: MessageHandle(id),
            attempt,
            outcome: attempt_outcome(outcome),
            retry_after: f64::from(retry_after),
            completed,
        }),
        Input::Dropped { id } => Event::ClientDisconnected(MessageHandle(id)),
        Input::Wake { token } => Event::Wake(token),
        Input::HealthChecked { route, outcome } => {
            Event::HealthChecked { route: RouteId(route), outcome: attempt_outcome(outcome) }
        }
        Input::Recovered { message, attempts, execution } => {
            let possibly_executed = execution.map(prior_execution);
            Event::Recovered(policy_message(&message), AttemptHistory { attempts, possibly_executed })
        }
        Input::Remembered { limit, outage } => Event::PersistedOutage(PersistedOutage {
            scope: limit_scope(limit),
            outage: outage_state(outage),
        }),
        Input::RetryAfter { limit, remaining } => {
            Event::RetryAfter(RetryAfterUpdate { scope: limit_scope(limit), remaining })
        }
        Input::Capacity { limit, rate_per_demand, fleet_demand, valid_for } => {
            let scope = limit_scope(limit);
            Event::Capacity(CapacityUpdate { scope, rate_per_demand, fleet_demand, valid_for })
        }
        Input::Permits { limit, permits } => {
            let permits = permits.into_iter().map(permit).collect();
            Event::Permits(PermitUpdate { scope: limit_scope(limit), permits })
        }
        Input::EjectedReceivers { routes } => Event::EjectedRoutes(routes.into_iter().map(RouteId).collect()),
        Input::Quota { tenant, messages_per_s } => Event::Quota { tenant, messages_per_s },
        Input::Start { .. } | Input::PowerOff | Input::Peer => return None,
        Input::ExpectCapacityReports | Input::RequirePermits | Input::SlotsUsedByPeer { .. } => return None,
    })
}

fn limit_scope(limit: Limit) -> LimitScope {
    LimitScope { destination: DestinationId(limit.destination), route: limit.route.map(RouteId) }
}

fn permit(permit: PermitInput) -> Permit {
    let PermitInput { number, from, until } = permit;
    Permit { number, from, until }
}

fn prior_execution(execution: replay::PriorExecution) -> PriorExecution {
    let replay::PriorExecution { ago, route, zone } = execution;
    PriorExecution { ago, route: RouteId(route), zone }
}

fn list_change(update: ListUpdate, entries: &[ListEntry]) -> ListChange {
    let route_entry = |entry: &ListEntry| RouteEntry {
        route: RouteId(entry.route),
        destination: DestinationId(entry.destination),
        zone: entry.zone,
        kind: entry.kind,
        listing: [Listing::Removed, Listing::Ready, Listing::Draining][usize::from(entry.listing)],
        rate: f64::from(entry.rate),
    };
    let entries = entries.iter().map(route_entry).collect();
    match update {
        ListUpdate::Full => ListChange::Full(entries),
        ListUpdate::Cached => ListChange::Cached(entries),
        ListUpdate::Delta => ListChange::Delta(entries),
        ListUpdate::Failed => ListChange::Failed,
    }
}

fn policy_message(message: &MessageInput) -> Message {
    Message {
        id: MessageHandle(message.id),
        class: usize::from(message.class),
        tenant: message.tenant as usize,
        ordering_key: message.ordering_key,
        time_left: message.time_left,
        work_estimate: message.work_estimate,
        destination: DestinationId(message.destination),
    }
}

fn attempt_outcome(outcome: AttemptOutcome) -> Outcome {
    match outcome {
        AttemptOutcome::Ok => Outcome::Ok,
        AttemptOutcome::Error => Outcome::Error,
        AttemptOutcome::Rejected => Outcome::Rejected,
        AttemptOutcome::Timeout => Outcome::Timeout,
        AttemptOutcome::ConnectFailed => Outcome::ConnectFailed,
        AttemptOutcome::Reset => Outcome::Reset,
        AttemptOutcome::Cancelled => Outcome::Cancelled,
        AttemptOutcome::NotSent => Outcome::NotSent,
        AttemptOutcome::AttemptsExhausted => Outcome::AttemptsExhausted,
    }
}

fn outage_state(outage: Outage) -> OutageState {
    match outage {
        Outage::Healthy => OutageState::Healthy,
        Outage::Down { retry_after_remaining } => OutageState::Down { retry_after_remaining },
        Outage::WarmingUp { since_recovery, ramp_share } => {
            OutageState::WarmingUp { since_recovery, ramp_share }
        }
    }
}

fn output(action: &Action) -> Output {
    match *action {
        Action::Send { id, route, timeout, .. } => Output::Send { id: id.0, route: route.0, timeout },
        Action::Refuse { id, .. } => Output::Refuse { id: id.0 },
        Action::Fail { id } => Output::Fail { id: id.0 },
        Action::Wake { delay, token } => Output::Wake { delay, token },
        Action::Cancel { id, attempt } => Output::Cancel { id: id.0, attempt },
        Action::HealthCheck { .. } => Output::HealthCheck,
        Action::Subscribe => Output::Subscribe,
        Action::PersistOutage { .. } => Output::Remember,
    }
}
