//! The events that the wire has no frame for: a restart's past, and what other senders and processes tell.

use crate::exchange::*;
use crate::host::{Host, MessageState};
use crate::partner::PER_MS;

/// What a new instance's host will tell it.
pub fn modes(host: &mut Host<'_>, inputs: &mut Vec<Input>) {
    if host.random.per_mille(600) {
        inputs.push(Input::HearNotes);
    }
    if host.session.permits {
        inputs.push(Input::KeepRights);
    }
}

/// Messages of before the restart come again with their past, and what was remembered with them.
pub fn owed(host: &mut Host<'_>, index: usize, owed: Vec<MessageState>, inputs: &mut Vec<Input>) {
    for kept in owed.into_iter().filter(|kept| !kept.streamed) {
        // One that was out may have run.
        let ran = kept.ran.or(kept.out.map(|_| kept.last));
        let zone = |route| host.lines.iter().find(|line| line.route == route).map_or(9, |line| line.zone);
        let ago = |at: u64| (host.now - at) as f64 / PER_MS as f64;
        let past = ran.map(|(at, route)| (ago(at), route, zone(route)));
        host.keep(index, &kept.message, kept.attempts);
        inputs.push(Input::Recovered { message: kept.message, attempts: kept.attempts, ran: past });
    }
    for _ in 0..host.random.below(4) {
        inputs.push(remembered(host));
    }
}

/// Everything of the kind for an instance in this batch.
pub fn new_inputs(host: &mut Host<'_>, index: usize, inputs: &mut Vec<Input>) {
    if host.session.permits && host.random.per_mille(400) {
        inputs.push(turns(host));
    }
    match host.random.below(1_000) {
        0..20 => {
            let wait = host.random.between(50, 3_000) as f64;
            inputs.push(Input::Waits { limit: limit(host), wait });
        }
        20..120 => inputs.push(room(host)),
        120..130 => {
            let routes: Vec<u64> = host.lines.iter().map(|line| line.route).collect();
            let routes = routes.into_iter().filter(|_| host.random.per_mille(200)).collect();
            inputs.push(Input::Avoid { routes });
        }
        130..150 => {
            let per_s = host.random.per_mille(700).then(|| host.random.between(0, 40) as f64 / 8.0);
            inputs.push(Input::Quota { tenant: host.random.below(3) as usize, per_s });
        }
        150..165 => inputs.push(Input::ShareSlots { used: host.random.below(40) as usize }),
        165..180 => inputs.push(remembered(host)),
        180..190 => inputs.push(recovered(host, index)),
        190..200 => inputs.push(turns(host)),
        200..203 => inputs.push(spent(host, index)),
        _ => {}
    }
}

fn limit(host: &mut Host<'_>) -> Limit {
    let at = host.random.below(host.lines.len() as u64) as usize;
    let (destination, route) = (host.lines[at].destination, host.lines[at].route);
    Limit { destination, route: host.random.per_mille(850).then_some(route) }
}

fn remembered(host: &mut Host<'_>) -> Input {
    let limit = limit(host);
    let span = host.random.between(0, 4_000) as f64;
    let belief = match host.random.below(3) {
        0 => Belief::Nothing,
        1 => Belief::Down { wait: span },
        _ => Belief::Cold { ago: span - 500.0, part: host.random.between(0, 8) as f64 / 8.0 },
    };
    Input::Remembered { limit, belief }
}

fn room(host: &mut Host<'_>) -> Input {
    let limit = limit(host);
    let calls =
        if host.random.per_mille(300) { f64::INFINITY } else { host.random.between(1, 64) as f64 / 16.0 };
    let wanted = host.random.below(30) as f64;
    Input::CapacityShare { limit, calls, wanted, lasts: host.random.between(200, 2_500) as f64 }
}

fn turns(host: &mut Host<'_>) -> Input {
    let limit = limit(host);
    let mut from = -100.0;
    let mut turns = Vec::new();
    for _ in 0..host.random.below(12) {
        from += host.random.between(5, 200) as f64;
        turns.push((host.next_turn, from, from + host.random.between(100, 900) as f64));
        // A number that is told again names a turn that may have been used.
        host.next_turn += u64::from(host.random.per_mille(900));
    }
    Input::Turns { limit, turns }
}

fn recovered(host: &mut Host<'_>, index: usize) -> Input {
    let message = host.message();
    let attempts = host.random.below(4) as u32;
    let at = host.random.below(host.lines.len() as u64) as usize;
    let (route, zone) = (host.lines[at].route, host.lines[at].zone);
    let ago = host.random.between(10, 6_000) as f64;
    let ran = (attempts > 0 && host.random.per_mille(600)).then_some((ago, route, zone));
    host.keep(index, &message, attempts);
    Input::Recovered { message, attempts, ran }
}

/// A message that is out turns out to have had all its attempts.
fn spent(host: &mut Host<'_>, index: usize) -> Input {
    let out = host.instances[index].messages.iter_mut().find(|(_, kept)| kept.out.is_some());
    let found = out.map(|(id, kept)| (*id, kept.out.take().unwrap_or_default()));
    let (id, attempt) = found.unwrap_or((0, 0));
    Input::Outcome { id, attempt, end: AttemptEnd::AttemptsExhausted, wait: 0, closed: false }
}
