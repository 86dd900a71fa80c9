//! Outages: who is down, when a trial goes, how fast it returns.

use super::*;

/// Part of the multiple at which a cold destination falls over that a ramp uses; and how much lower it is,
/// and steps are longer, where told rates are rough (up to half too high or too low).
const RAMP_PART: f64 = 0.66;
const ROUGH: f64 = 1.5;
/// Mean pause between trials of a route in an outage, ms, but no shorter than so many calls take at our part
/// of the told rate: refused calls may count there. More in a fleet, up to the second: its trials alone push.
const TRIAL_PAUSE: Millis = 400.0;
const TRIAL_CALLS: (f64, f64) = (2.0, 4.0);
/// Longest time over which trials are spread once a told wait is over, ms.
const TRIAL_SPREAD: Millis = 2_000.0;
/// Largest part of a partner in an outage that a sender takes for its own, where an equal part is less.
const MOST_PART: f64 = 0.25;

impl Sender {
    /// Takes an outcome into the counts of a route and of all that share its gate; it may tell of a return.
    pub(super) fn note(
        &self,
        d: &mut Destination,
        index: usize,
        sent_at: Millis,
        outcome: Outcome,
        shut: bool,
    ) {
        for scope in d.scopes(index) {
            let health = d.health_mut(scope);
            if outcome != Outcome::Timeout && outcome != Outcome::ConnectFailed {
                health.answered_at = self.now;
            }
            if outcome == Outcome::Ok && health.proves_return(sent_at) {
                // Departure (an outage was seen): from the first answer on the ramp bounds what it gets, but
                // no earlier than the wait that was told is over.
                let (since, part) = (self.now.max(d.gate(index).wait_until), self.part(d, scope));
                d.health_mut(scope).cold(since, part);
                d.gate_mut(index).window.clear();
            } else if !shut && !health.concerns(sent_at) {
                // It was sent before the outage: nothing that it says of any route is new.
                return;
            }
            let health = d.health_mut(scope);
            if shut || outcome != Outcome::Full || health.is_down() {
                health.note(sent_at, outcome);
            }
        }
    }

    /// Whether a failure that was noted makes out an outage of this scope, or one goes on.
    pub(super) fn fails(&mut self, d: &mut Destination, scope: Scope, shut: bool) -> bool {
        let health = d.health(scope);
        // A gate that is not up has shown that it is more than one route.
        let whole = health.state != State::Up || d.most(scope, Health::ails);
        if shut || health.is_down() || (health.failed_often() && whole) {
            self.rest(d, scope, 0.0, false);
        } else if health.errs() && whole {
            // Departure (about half the answers are errors, which count as accepts): it may come back cold.
            let part = self.part(d, scope);
            d.health_mut(scope).cold(self.now, part);
        } else {
            return false;
        }
        if scope == Scope::All {
            d.routes.iter_mut().for_each(|r| r.gate.health.clear());
        }
        true
    }

    /// Our part of a destination in an outage: what waits here against what was told to come since it began.
    fn part(&self, d: &Destination, scope: Scope) -> f64 {
        let all = d.gate_of(scope).told * (self.now - d.health(scope).failing_since) / 1_000.0;
        let equal = 1.0 / self.settings.peers_total as f64;
        (d.waiting.len().max(1) as f64 / all.max(1.0)).clamp(equal, equal.max(MOST_PART))
    }

    /// It is down; the next trial comes after a pause, `least` at the least.
    pub(super) fn rest(&mut self, d: &mut Destination, scope: Scope, least: Millis, silent: bool) {
        let (gate, part) = (d.gate_of(scope), self.part(d, scope));
        let calls = (TRIAL_CALLS.0 * self.sharers()).min(TRIAL_CALLS.1);
        let mean = (calls * 1_000.0 / (gate.told * part)).max(TRIAL_PAUSE);
        // At the end of a told wait there is room, until others have taken it: no better moment for a trial.
        // All who were told come then, and it is cold, or kept full by refused calls: together they ask no
        // faster than the ramp begins.
        let (told, equal) = (gate.wait_until, gate.told / self.settings.peers_total as f64);
        let apart = (1_000.0 / (equal * self.settings.ramp(0.0))).min(TRIAL_SPREAD * self.sharers());
        let trial_at = if told > self.now {
            told + apart * self.chance.unit()
        } else {
            self.now + self.chance.pause(mean).max(least)
        };
        d.health_mut(scope).rest(self.now, trial_at, silent);
    }

    /// Has its host keep what a sender that begins anew must know of outages here, where that has changed.
    pub(super) fn remember(&mut self, to: DestinationId, actions: &mut Vec<Action>) {
        let Some(d) = self.destinations.get_mut(&to) else { return };
        for scope in d.gates() {
            let (route, wait_until) = (d.name(scope), d.gate_of(scope).wait_until);
            if let Some(trouble) = d.health_mut(scope).news(self.now, wait_until) {
                actions.push(Action::Remember { destination: to, route, trouble });
            }
        }
    }

    pub(super) fn recall(&mut self, to: DestinationId, route: Option<RouteId>, trouble: Trouble) {
        let Some(mut d) = self.destinations.get_mut(&to).map(std::mem::take) else { return };
        if let Some(scope) = d.scope(route).filter(|_| d.apart || route.is_none()) {
            if let Trouble::Down { wait } = trouble {
                let (until, gate) = (self.now + wait, d.gate_of_mut(scope));
                gate.wait_until = gate.wait_until.max(until);
                d.health_mut(scope).failing_since = self.now;
                self.rest(&mut d, scope, 0.0, false);
            }
            if let Trouble::Cold { ago, part } = trouble {
                d.health_mut(scope).cold(self.now - ago, part);
            }
        }
        self.destinations.insert(to, d);
    }
}

impl Settings {
    /// The part of its limit that a destination may be sent by all, so long after its return.
    pub fn ramp(&self, since: Millis) -> f64 {
        let warmth = self.cold_from + (1.0 - self.cold_from) * self.warm(since);
        RAMP_PART * self.fall_multiple / self.rough() * warmth
    }

    /// How far a destination is warm so long after its return: 1 when it is.
    pub(super) fn warm(&self, since: Millis) -> f64 {
        (since / self.warm_within.max(1.0)).clamp(0.0, 1.0)
    }

    pub(super) fn rough(&self) -> f64 {
        if self.rate_hint == RateHint::Rough { ROUGH } else { 1.0 }
    }
}
