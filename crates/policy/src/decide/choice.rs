//! By which route a message goes, if by any.

use std::cmp::Reverse;

use super::*;

/// Time-out of an attempt, in multiples of when it is overdue.
const TIMEOUT_STRETCH: f64 = 3.0;

impl Sender {
    /// No effect happens twice: whether the message's class and past allow another attempt there.
    pub(super) fn allowed(&self, id: MessageHandle, route: &Route) -> bool {
        let Some(m) = self.messages.get(&id) else { return false };
        let Some((_, ran, zone)) = m.possibly_executed else { return true };
        match self.settings.classes[m.value.class].effect {
            Effect::Idempotent => true,
            Effect::IdempotencyKey { group: KeyGroup::All, .. } => true,
            Effect::IdempotencyKey { group: KeyGroup::Zone, .. } => zone == route.zone,
            Effect::IdempotencyKey { group: KeyGroup::Route, .. } => ran == route.id,
            Effect::NotIdempotent => false,
        }
    }

    /// The first route, in order of preference, whose own draw lets the message through.
    pub(super) fn choose(&mut self, d: &mut Destination, id: MessageHandle, open: &[usize]) -> Option<usize> {
        let unsafe_class =
            self.settings.classes[self.messages.get(&id)?.value.class].effect == Effect::NotIdempotent;
        let mut order: Vec<usize> = open.to_vec();
        order.retain(|&r| self.allowed(id, &d.routes[r]));
        // Healthy, near, idle, and last used: an open connection is likely there.
        order.sort_by_key(|&index| {
            let (r, now) = (&d.routes[index], self.now);
            // A failure of late sends the next call to a sister: one of hundreds rarely sees four in a row.
            let ill = d.down(index) || (r.throttle.health.failing() && now - r.used_at < REACH.short);
            let far = r.zone != self.settings.zone;
            // Where all are down, each is asked in turn.
            let asked = if d.shared.health.is_down() { r.used_at as u64 } else { 0 };
            // Departure (several others of our hall judge it to be down): sound ones go first.
            let ill = r.judged || ill;
            let worse = (d.down(index), ill, r.throttle.health.state != State::Up);
            (worse, asked, far, r.out, Reverse(r.used_at as u64), r.id)
        });
        for index in order {
            if d.down(index) {
                // Departure (an outage is seen): one trial asks, with no draw, and nothing unsafe.
                if !unsafe_class {
                    return Some(index);
                }
                continue;
            }
            let overdue = d.overdue(index, self.now).count();
            let shared = d.shared_pace(Scope::Route(index), self.now).is_some();
            let throttle = d.throttle_mut(index);
            if throttle.draw_at > self.now {
                continue;
            }
            // Departure (notes tell of all senders): their pace is what the formula lets through of all.
            if shared || self.rng.unit() >= throttle.drop_probability(self.now, overdue) {
                return Some(index);
            }
            // Departure (a message draws again): it is one request, or random losses would close the gate.
            let again = self.messages.get_mut(&id).is_some_and(|m| std::mem::replace(&mut m.dropped, true));
            throttle.window.count(self.now, if again { 0.0 } else { 1.0 }, 0.0);
            throttle.draw_at = self.now + self.rng.pause(1_000.0 / throttle.pace);
        }
        None
    }

    pub(super) fn send(
        &mut self,
        d: &mut Destination,
        bundle: Vec<MessageHandle>,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let shared = d.shared_pace(Scope::Route(index), now);
        let throttle = d.throttle_mut(index);
        throttle.room.record_call(now, shared);
        let limited = throttle.draw_at > now - BURST;
        throttle.draw_at =
            throttle.draw_at.max(now - BURST) + self.rng.pause(1_000.0 / shared.unwrap_or(throttle.pace));
        d.waiting.retain(|id| !bundle.contains(id));
        for scope in d.scopes(index) {
            match d.health(scope).state {
                State::Up => {}
                // One trial at a time: one that is overdue no longer counts.
                State::Down { .. } => self.rest(d, scope, d.overdue_after(index), false),
                State::Cold { since, .. } => {
                    let draw = self.rng.pause(1.0);
                    let ramp_at = self.next_in_slow_start(d, scope, since, now, draw);
                    let health = d.health_mut(scope);
                    health.ramp_at = ramp_at;
                    if self.settings.warm(now - since) >= 1.0 {
                        health.state = State::Up;
                    }
                }
            }
        }
        let route = &mut d.routes[index];
        (route.out, route.used_at) = (route.out + 1, now);
        let (id, route, left) = (self.next_call, route.id, bundle.len());
        (self.next_call, self.calls_out) = (id + 1, self.calls_out + 1);
        d.calls.begin(Call { id, route, sent_at: now, left, known: false, passed: 0, limited });
        for message in bundle {
            let timeout = self.timeout(d, message, index);
            let Some(m) = self.messages.get_mut(&message) else { continue };
            m.out = Some((m.attempts, id));
            m.attempts += 1;
            m.dropped = false;
            actions.push(Action::Send { id: message, route, timeout, within: m.answer_at - now });
        }
    }

    /// An unsafe message gains nothing by an early time-out; others move on in time for another try.
    fn timeout(&self, d: &Destination, id: MessageHandle, index: usize) -> Millis {
        let Some(m) = self.messages.get(&id) else { return 0.0 };
        let left = m.value.ends_at - self.now;
        let patient = d.overdue_after(index) * TIMEOUT_STRETCH;
        let timeout = match self.settings.classes[m.value.class].effect {
            Effect::NotIdempotent => left,
            Effect::Idempotent => patient,
            Effect::IdempotencyKey { window, .. } => patient.min(window / 2.0),
        };
        timeout.min(left)
    }
}
