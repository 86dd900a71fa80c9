//! What came of attempts.

use super::*;

/// Growth of the pace for an accepted call while messages wait, as a share of the whole rate. More senders
/// than a few share it at a new gate and after a refusal, or all of them grow into the same room.
const PACE_GAIN: f64 = 0.007;
/// The pace never falls below this share of the gate's fair part.
const PACE_FLOOR: f64 = 0.8;

impl Sender {
    pub(super) fn outcome(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let &Event::Outcome { id, attempt, outcome, retry_after, closed } = event else { return };
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some((_, call)) = m.out.take_if(|out| out.0 == attempt) else { return };
        let to = m.destination;
        let ran = self.settle(to, call, outcome, retry_after);
        self.remember(to, actions);
        let Some(m) = self.messages.get_mut(&id) else { return };
        if outcome == Outcome::AttemptsExhausted {
            m.attempts = self.settings.max_attempts;
        }
        if outcome.possibly_executed() && outcome != Outcome::Ok {
            m.possibly_executed = m.possibly_executed.or(ran);
            // Its key rests while the attempt may still be running.
            let running = outcome != Outcome::Error;
            if running {
                self.turns.rest(m.key, id, self.now + self.settings.ordering_key_pause);
            }
        }
        let unsafe_ran = m.possibly_executed.is_some()
            && self.settings.classes[m.value.class].effect == Effect::NotIdempotent;
        if closed || m.over || outcome == Outcome::Ok {
            self.finish(id);
        } else if unsafe_ran || m.value.ends_at <= self.now {
            self.end(id, 0.0, actions);
        } else {
            self.park(id);
        }
    }

    /// The call's share in an outcome: its slot, the wait told, and what its first outcome tells.
    fn settle(
        &mut self,
        to: DestinationId,
        call: u64,
        outcome: Outcome,
        wait: Millis,
    ) -> Option<ExecutionMark> {
        let mut d = std::mem::take(self.destinations.get_mut(&to)?);
        let mut ran = None;
        let of = d.calls.get(call).map(|call| (call.route, call.sent_at, call.limited));
        if let Some((id, sent_at, limited)) = of
            && let Some(route) = d.routes.iter().position(|r| r.id == id)
        {
            ran = Some((sent_at, id, d.routes[route].zone));
            if outcome == Outcome::Rejected && wait > 0.0 {
                // Each message of a call may bring the wait in a batch of its own: the last one counts. What
                // was saved up is not sent at its end: others wait for the same moment.
                let (again, shared) = (self.now + wait, d.shared_pace(Scope::Route(route), self.now));
                let throttle = d.throttle_mut(route);
                let times = f64::from(throttle.turned.0 + 1).min(self.sharers());
                let mean = 500.0 * times / throttle.pace.max(throttle.start);
                let pause = self.rng.pause(shared.map_or(mean, |pace| throttle.room.schedule_call(pace)));
                throttle.wait_until = throttle.wait_until.max(again);
                throttle.draw_at = throttle.draw_at.max(again + pause);
            }
            if outcome == Outcome::Ok {
                d.calls.pass(id, sent_at);
            }
            let (first, last) = d.calls.settle(call);
            d.routes[route].out -= usize::from(last);
            self.calls_out -= usize::from(last);
            if first && !matches!(outcome, Outcome::NotSent | Outcome::AttemptsExhausted | Outcome::Cancelled)
            {
                if outcome == Outcome::Ok && (limited || !d.waiting.is_empty()) {
                    let throttle = d.throttle_mut(route);
                    let alone = ((self.now - throttle.cut_at) / REACH.long).min(1.0);
                    let gain = PACE_GAIN
                        * throttle.time_scale
                        * self.settings.rough()
                        * self.sharers().powf(alone - 1.0);
                    throttle.pace = (throttle.pace + gain * throttle.told).min(throttle.told);
                }
                self.judge(&mut d, route, sent_at, outcome, wait);
            }
        }
        self.destinations.insert(to, d);
        ran
    }

    /// What a call's outcome tells of its gate and its route.
    fn judge(&mut self, d: &mut Destination, index: usize, sent_at: Millis, outcome: Outcome, wait: Millis) {
        let (now, fair) = (self.now, d.throttle(index).told / self.settings.peers_total as f64);
        let accept = matches!(outcome, Outcome::Ok | Outcome::Error);
        let throttle = d.throttle_mut(index);
        throttle.window.count(now, 1.0, f64::from(u8::from(accept)));
        if outcome == Outcome::Rejected {
            throttle.room.record_rejection();
            throttle.cut(now, fair * PACE_FLOOR);
        }
        throttle.room.failed += u64::from(!matches!(outcome, Outcome::Ok | Outcome::Rejected));
        let shut = throttle.tells_of_outage(now, outcome, wait);
        self.note(d, index, sent_at, outcome, shut);
        for scope in d.scopes(index) {
            let health = d.health(scope);
            let tells = match outcome {
                // Good answers among errors do not warm it.
                Outcome::Ok => health.is_cold() && health.errs(),
                Outcome::Rejected => shut || health.is_down(),
                _ => true,
            };
            if !shut && !health.concerns(sent_at) {
                break;
            }
            if tells && self.fails(d, scope, shut) {
                // What concerns all routes of a gate is not laid to each of them.
                break;
            }
        }
        if outcome == Outcome::Ok {
            let throttle = d.throttle_mut(index);
            throttle.latency.took(now - sent_at);
        }
    }
}
