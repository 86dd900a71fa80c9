//! What calls out and health tell of a partner's routes: overdue, silent, down, open.

use super::*;

/// A call is overdue after its route's mean latency and so many deviations, but not before the floor, ms:
/// short stand-stills are no outage.
const OVERDUE_DEVIATIONS: f64 = 4.0;
const OVERDUE_FLOOR: Millis = 1_000.0;
/// Calls overdue with no answer since before a route counts as silent.
const SILENT_CALLS: usize = 2;

impl Destination {
    /// Whether this holds for a route, or for most of the routes that are ready.
    pub(super) fn most(&self, scope: Scope, holds: impl Fn(&Health) -> bool) -> bool {
        let Scope::All = scope else { return holds(self.health(scope)) };
        let ready = || self.routes.iter().filter(|r| r.listing == Listing::Ready);
        ready().filter(|r| holds(&r.throttle.health)).count() * 2 > ready().count()
    }

    /// A call out for longer than is usual there.
    pub(super) fn overdue_after(&self, route: usize) -> Millis {
        self.throttle(route).latency.within(OVERDUE_DEVIATIONS).max(OVERDUE_FLOOR)
    }

    /// Out, and not for longer than usual.
    fn fresh(&self, call: &Call, now: Millis) -> bool {
        let route = self.routes.iter().position(|r| r.id == call.route);
        !call.known && route.is_some_and(|r| now - call.sent_at <= self.overdue_after(r))
    }

    /// Calls out through the route's gate for longer than usual.
    pub(super) fn overdue(&self, route: usize, now: Millis) -> impl Iterator<Item = &Call> {
        let id = self.routes[route].id;
        self.calls.iter().filter(move |c| !c.known && !self.fresh(c, now) && (!self.apart || c.route == id))
    }

    pub(super) fn down(&self, route: usize) -> bool {
        self.scopes(route).any(|scope| self.health(scope).is_down())
    }

    /// Calls overdue with nothing heard of the route since they were sent.
    pub(super) fn unheard(&self, route: usize, now: Millis) -> usize {
        let r = &self.routes[route];
        self.overdue(route, now)
            .filter(|c| c.route == r.id && c.sent_at >= r.throttle.health.answered_at)
            .count()
    }

    /// Whether so many calls are unheard that a route, or most routes of a shared gate, must be down.
    pub(super) fn silent(&self, scope: Scope, now: Millis) -> bool {
        match scope {
            Scope::Route(route) => !self.down(route) && self.unheard(route, now) >= SILENT_CALLS,
            Scope::All if self.shared.health.is_down() => false,
            Scope::All => {
                let ready = |r: &usize| self.routes[*r].listing == Listing::Ready;
                let ready: Vec<usize> = (0..self.routes.len()).filter(ready).collect();
                let unheard = |&r: &usize| self.unheard(r, now);
                let quiet = |r: &&usize| unheard(r) > 0 || self.routes[**r].throttle.health.is_down();
                ready.iter().map(unheard).sum::<usize>() >= SILENT_CALLS
                    && ready.iter().filter(quiet).count() * 2 > ready.len()
            }
        }
    }

    /// From when on a route could take a call, as far as its gate and health are concerned.
    pub(super) fn opens_at(&self, index: usize, now: Millis) -> Millis {
        let (route, throttle) = (&self.routes[index], self.throttle(index));
        let mut at = if self.down(index) { f64::NEG_INFINITY } else { throttle.draw_at };
        for scope in self.scopes(index) {
            let health = self.health(scope);
            at = at.max(match health.state {
                State::Up => f64::NEG_INFINITY,
                State::Down { trial_at, .. } => trial_at,
                State::Cold { .. } => health.ramp_at,
            });
        }
        // Departure (rights are kept): whatever else holds, a call needs a turn.
        at = at.max(throttle.room.next_lease_at(now));
        if route.listing == Listing::Ready { at.max(throttle.wait_until) } else { f64::INFINITY }
    }
}
