//! Outages: who is down, when a trial goes, how fast it returns.

use super::*;

/// Part of the multiple at which a cold destination falls over that a ramp uses; and how much lower it is,
/// and steps are longer, where told rates are rough (up to half too high or too low).
const RAMP_PART: f64 = 0.66;
const ROUGH: f64 = 1.5;
/// Mean pause between trials of a route in an outage, ms, but no shorter than so many calls take at our part
/// of the told rate: refused calls may count there. More in a fleet, up to the second: its trials alone push.
const TRIAL_PAUSE: Millis = 400.0;
const TRIAL_CALLS: f64 = 2.0;
/// Longest time over which trials are spread once a told wait is over, ms.
const TRIAL_SPREAD: Millis = 2_000.0;
/// Failures in a row, none answered well between, after which a route counts as down.
const DOWN_RUN: f64 = 4.0;

impl Sender {
    /// Takes an outcome into the counts of a route and of all that share its gate; it may tell of a return.
    pub(super) fn note(
        &mut self,
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
                let since = self.now.max(d.throttle(index).wait_until);
                self.begin_cold(d, scope, since, sent_at);
                d.throttle_mut(index).window.clear();
            } else if !shut && !health.concerns(sent_at) {
                // It was sent before the outage: nothing that it says of any route is new.
                return;
            }
            let health = d.health_mut(scope);
            if shut || outcome != Outcome::Rejected || health.is_down() {
                health.note(sent_at, outcome);
            }
        }
    }

    /// Whether a failure that was noted makes out an outage of this scope, or one goes on.
    pub(super) fn fails(&mut self, d: &mut Destination, scope: Scope, shut: bool) -> bool {
        let health = d.health(scope);
        // A gate that is not up has shown that it is more than one route; after a failure another is next.
        let run = self.down_run(d, scope);
        let twice = run < DOWN_RUN && health.failed_often(2.0);
        let whole = health.state != State::Up || twice || d.most(scope, Health::ails);
        if shut || health.is_down() || (health.failed_often(run) && whole) {
            self.rest(d, scope, 0.0, false);
        } else if health.errs() && whole {
            // Departure (about half the answers are errors, which count as accepts): it may come back cold.
            self.begin_cold(d, scope, self.now, self.now);
        } else {
            if run < DOWN_RUN {
                // Departure (as for `run`): until more is known it is tried no faster than our part allows.
                let pause = self.rng.pause(1_000.0 / (d.throttle_of(scope).told * self.part(d, scope)));
                let throttle = d.throttle_of_mut(scope);
                throttle.draw_at = throttle.draw_at.max(self.now + pause);
            }
            return false;
        }
        if scope == Scope::All {
            d.routes.iter_mut().for_each(|r| r.throttle.health.clear());
        }
        true
    }

    /// Our part of a destination in an outage: the parts of all senders add up to one. It is our share of
    /// what all want, where notes tell of that, and an equal one else.
    fn part(&self, d: &Destination, scope: Scope) -> f64 {
        let told = d.throttle_of(scope).room.demand_fraction(self.now, d.need(scope, self.now).0);
        told.unwrap_or(1.0 / self.settings.peers_total as f64)
    }

    /// So many failures in a row make an outage out. Departure (no notes tell of all senders, and fewer calls
    /// are our part of those that push a partner over): it would be over before we had seen so many.
    fn down_run(&self, d: &Destination, scope: Scope) -> f64 {
        let pushes = d.throttle_of(scope).told * self.settings.overload_duration / 1_000.0
            * self.settings.overload_multiple;
        let ours = (pushes * self.part(d, scope)).clamp(1.0, DOWN_RUN);
        if d.shared_pace(scope, self.now).is_some() { DOWN_RUN } else { ours }
    }

    /// It is cold. The call that told of it was the first one of slow start: the next comes a pause after it.
    fn begin_cold(&mut self, d: &mut Destination, scope: Scope, since: Millis, sent_at: Millis) {
        let (part, draw) = (self.part(d, scope), self.rng.pause(1.0));
        let first = self.next_in_slow_start(d, scope, since, sent_at, draw);
        d.health_mut(scope).cold(since, part, first);
    }

    /// When our next call may go in slow start: once there was room for so many since `from`, or it is warm.
    pub(super) fn next_in_slow_start(
        &self,
        d: &Destination,
        scope: Scope,
        since: Millis,
        from: Millis,
        draw: f64,
    ) -> Millis {
        // A destination has at least this share of its capacity then.
        let ready = d.routes.iter().filter(|r| r.listing == Listing::Ready).count();
        let sisters = if d.apart || scope == Scope::All { 1 } else { ready.max(1) };
        let ours = self.part(d, scope) * d.throttle_of(scope).told / sisters as f64 / 1_000.0;
        let (of, warm) = (|after| ours * self.settings.ramp(after), self.settings.recovery_duration);
        // The first pause is long, and the room grows meanwhile; that it grows later is margin.
        let growth = if from > since { 0.0 } else { (of(warm) - of(0.0)) / warm.max(1.0) };
        let rate = of(from - since);
        let after = 2.0 * draw / (rate + (rate * rate + 2.0 * growth * draw).sqrt());
        (from + after).min(since + warm)
    }

    /// It is down; the next trial comes after a pause, `least` at the least.
    pub(super) fn rest(&mut self, d: &mut Destination, scope: Scope, least: Millis, silent: bool) {
        let (throttle, equal) = (d.throttle_of(scope), d.throttle_of(scope).told * self.part(d, scope));
        let begin = 1_000.0 / (equal * self.settings.ramp(0.0));
        // Together no more than what it bears when it is cold.
        let mean = (TRIAL_CALLS * self.sharers() * 1_000.0 / equal).min(begin * RAMP_PART).max(TRIAL_PAUSE);
        // At the end of a told wait there is room, until others have taken it: no better moment for a trial.
        // All who were told come then, and it is cold, or kept full by refused calls: together they ask no
        // faster than the ramp begins.
        let (told, apart) = (throttle.wait_until, begin.min(TRIAL_SPREAD * self.sharers()));
        let trial_at = if told > self.now {
            told + apart * self.rng.unit()
        } else {
            self.now + self.rng.pause(mean).max(least)
        };
        d.health_mut(scope).rest(self.now, trial_at, silent);
    }

    /// Has its host keep what a sender that begins anew must know of outages here, where that has changed.
    pub(super) fn remember(&mut self, to: DestinationId, actions: &mut Vec<Action>) {
        let Some(d) = self.destinations.get_mut(&to) else { return };
        for scope in d.throttles() {
            let (route, wait_until) = (d.name(scope), d.throttle_of(scope).wait_until);
            if let Some(outage) = d.health_mut(scope).news(self.now, wait_until) {
                actions.push(Action::Remember { destination: to, route, outage });
            }
        }
    }

    pub(super) fn recall(&mut self, to: DestinationId, route: Option<RouteId>, outage: OutageState) {
        let Some(mut d) = self.destinations.get_mut(&to).map(std::mem::take) else { return };
        if let Some(scope) = d.scope(route).filter(|_| d.apart || route.is_none()) {
            if let OutageState::Down { wait } = outage {
                let (until, throttle) = (self.now + wait, d.throttle_of_mut(scope));
                throttle.wait_until = throttle.wait_until.max(until);
                d.health_mut(scope).failing_since = self.now;
                self.rest(&mut d, scope, 0.0, false);
            }
            if let OutageState::WarmingUp { ago, part } = outage {
                // Somewhere between two calls.
                let (since, draw) = (self.now - ago, self.rng.unit());
                let first = self.next_in_slow_start(&d, scope, since, self.now, draw);
                d.health_mut(scope).cold(since, part, first);
            }
        }
        self.destinations.insert(to, d);
    }
}

impl Settings {
    /// The part of its limit that a destination may be sent by all, so long after its return.
    pub fn ramp(&self, since: Millis) -> f64 {
        let warmth = self.recovery_start_share + (1.0 - self.recovery_start_share) * self.warm(since);
        RAMP_PART * self.overload_multiple / self.rough() * warmth
    }

    /// How far a destination is warm so long after its return: 1 when it is.
    pub(super) fn warm(&self, since: Millis) -> f64 {
        (since / self.recovery_duration.max(1.0)).clamp(0.0, 1.0)
    }

    pub(super) fn rough(&self) -> f64 {
        if self.rate_hint == RateHint::Rough { ROUGH } else { 1.0 }
    }
}
