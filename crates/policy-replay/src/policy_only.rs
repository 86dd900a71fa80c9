//! Inputs for which the simulator's wire protocol has no record: restarts, and reports of other senders and
//! processes.

use crate::attempt::{AttemptOutcome, PriorExecution};
use crate::host::Host;
use crate::input::Input;
use crate::instance::{MessageState, SentAttempt};
use crate::limit::{Limit, Outage, PermitInput};
use crate::receivers::TICKS_PER_MS;

/// Zone given for a route that is no longer listed.
const UNKNOWN_ZONE: u8 = 9;

/// Adds the inputs that announce which reports a new instance is going to receive.
pub fn push_modes(host: &mut Host<'_>, inputs: &mut Vec<Input>) {
    if host.random.per_mille(600) {
        inputs.push(Input::ExpectCapacityReports);
    }
    if host.session.requires_permits {
        inputs.push(Input::RequirePermits);
    }
}

/// Adds the messages and outage states that a restarted instance recovers.
pub fn push_recovered_state(
    host: &mut Host<'_>,
    instance_index: usize,
    pending: Vec<MessageState>,
    inputs: &mut Vec<Input>,
) {
    for state in pending.into_iter().filter(|state| !state.streamed) {
        // The receiver may have executed an attempt that was in flight.
        let execution = state.first_possible_execution.or(state.in_flight.map(|_| state.last_attempt));
        let execution = execution.map(|sent| prior_execution(host, sent));
        host.instances[instance_index].add(&state.message, state.attempts);
        inputs.push(Input::Recovered { message: state.message, attempts: state.attempts, execution });
    }
    for _ in 0..host.random.below(4) {
        inputs.push(remembered_outage(host));
    }
}

fn prior_execution(host: &Host<'_>, sent: SentAttempt) -> PriorExecution {
    let entry = host.entries.iter().find(|entry| entry.route == sent.route);
    PriorExecution {
        ago: (host.now - sent.sent_at) as f64 / TICKS_PER_MS as f64,
        route: sent.route,
        zone: entry.map_or(UNKNOWN_ZONE, |entry| entry.zone),
    }
}

/// Adds new inputs of this module's kinds for an instance in this batch.
pub fn push_new_inputs(host: &mut Host<'_>, instance_index: usize, inputs: &mut Vec<Input>) {
    if host.session.requires_permits && host.random.per_mille(400) {
        inputs.push(permits(host));
    }
    match host.random.below(1_000) {
        0..20 => {
            let remaining = host.random.between(50, 3_000) as f64;
            inputs.push(Input::RetryAfter { limit: random_limit(host), remaining });
        }
        20..120 => inputs.push(capacity(host)),
        120..130 => {
            let routes: Vec<u64> = host.entries.iter().map(|entry| entry.route).collect();
            let routes = routes.into_iter().filter(|_| host.random.per_mille(200)).collect();
            inputs.push(Input::EjectedReceivers { routes });
        }
        130..150 => {
            let messages_per_s = host.random.per_mille(700).then(|| host.random.between(0, 40) as f64 / 8.0);
            inputs.push(Input::Quota { tenant: host.random.below(3) as usize, messages_per_s });
        }
        150..165 => inputs.push(Input::SlotsUsedByPeer { used: host.random.below(40) as usize }),
        165..180 => inputs.push(remembered_outage(host)),
        180..190 => inputs.push(recovered_message(host, instance_index)),
        190..200 => inputs.push(permits(host)),
        200..203 => inputs.push(attempts_exhausted(host, instance_index)),
        _ => {}
    }
}

fn random_limit(host: &mut Host<'_>) -> Limit {
    let entry = host.random_entry();
    let (destination, route) = (entry.destination, entry.route);
    Limit { destination, route: host.random.per_mille(850).then_some(route) }
}

fn remembered_outage(host: &mut Host<'_>) -> Input {
    let limit = random_limit(host);
    let duration = host.random.between(0, 4_000) as f64;
    let outage = match host.random.below(3) {
        0 => Outage::Healthy,
        1 => Outage::Down { retry_after_remaining: duration },
        _ => Outage::WarmingUp {
            since_recovery: duration - 500.0,
            ramp_share: host.random.between(0, 8) as f64 / 8.0,
        },
    };
    Input::Remembered { limit, outage }
}

fn capacity(host: &mut Host<'_>) -> Input {
    let limit = random_limit(host);
    let rate_per_demand =
        if host.random.per_mille(300) { f64::INFINITY } else { host.random.between(1, 64) as f64 / 16.0 };
    let fleet_demand = host.random.below(30) as f64;
    let valid_for = host.random.between(200, 2_500) as f64;
    Input::Capacity { limit, rate_per_demand, fleet_demand, valid_for }
}

fn permits(host: &mut Host<'_>) -> Input {
    let limit = random_limit(host);
    let mut from = -100.0;
    let mut permits = Vec::new();
    for _ in 0..host.random.below(12) {
        from += host.random.between(5, 200) as f64;
        let until = from + host.random.between(100, 900) as f64;
        permits.push(PermitInput { number: host.next_permit, from, until });
        // A number is sometimes reported again: the policy may already have used that permit.
        host.next_permit += u64::from(host.random.per_mille(900));
    }
    Input::Permits { limit, permits }
}

fn recovered_message(host: &mut Host<'_>, instance_index: usize) -> Input {
    let message = host.new_message();
    let attempts = host.random.below(4) as u32;
    let entry = host.random_entry();
    let (route, zone) = (entry.route, entry.zone);
    let ago = host.random.between(10, 6_000) as f64;
    let possibly_executed = attempts > 0 && host.random.per_mille(600);
    let execution = possibly_executed.then_some(PriorExecution { ago, route, zone });
    host.instances[instance_index].add(&message, attempts);
    Input::Recovered { message, attempts, execution }
}

/// Returns the input that a message in flight has had its maximum number of attempts.
fn attempts_exhausted(host: &mut Host<'_>, instance_index: usize) -> Input {
    let (id, attempt) = host.instances[instance_index].take_first_in_flight().unwrap_or((0, 0));
    let outcome = AttemptOutcome::AttemptsExhausted;
    Input::Outcome { id, attempt, outcome, retry_after: 0, completed: false }
}
