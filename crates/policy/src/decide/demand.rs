//! What a sender needs of each limit, and what the fleet's notes leave of it.

use super::*;

/// What comes within this time is wanted, too, ms: until the next notes it has to do with what these leave.
const UNTOLD: Millis = 500.0;

impl Destination {
    /// Calls wanted of a limit now, what waits and what will come dealt out by the limits; and the limit.
    pub(super) fn need(&self, scope: Scope, now: Millis) -> (f64, f64) {
        let ready = self.routes.iter().filter(|r| r.listing == Listing::Ready);
        let limit = self.throttle_of(scope).told;
        let all = if self.apart { ready.map(|r| r.throttle.told).sum() } else { limit };
        (
            (self.waiting.len() as f64 + self.arrival_rate.expected_within(now, UNTOLD)) * limit
                / f64::max(all, limit),
            limit,
        )
    }

    /// The pace that the fleet's notes leave to this sender, while they are fresh.
    pub(super) fn shared_pace(&self, scope: Scope, now: Millis) -> Option<f64> {
        let (wanted, limit) = self.need(scope, now);
        self.throttle_of(scope).room.rate(now, wanted, limit)
    }
}

impl Sender {
    /// Its host will tell it what other senders want.
    pub fn hear_notes(&mut self) {
        self.hears_notes = true;
    }

    /// Its host will tell it turns: no call starts without one.
    pub fn keep_rights(&mut self) {
        self.keeps_rights = true;
    }

    /// A message has come: the first one at a destination takes its turn among all senders'.
    pub(super) fn queue_up(&mut self, to: DestinationId) {
        let Some(mut d) = self.destinations.get_mut(&to).map(std::mem::take) else { return };
        d.arrival_rate.record(self.now);
        let first = d.waiting.len() == 1;
        for scope in d.throttles().filter(|_| first) {
            let Some(pace) = d.shared_pace(scope, self.now) else { continue };
            let (draw, throttle) = (self.rng.unit(), d.throttle_of_mut(scope));
            throttle.draw_at =
                throttle.room.schedule_first_call(self.now, pace, draw).unwrap_or(throttle.draw_at);
        }
        self.destinations.insert(to, d);
    }
}
