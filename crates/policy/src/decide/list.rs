//! The list of routes.

use super::*;

/// A route that is gone is remembered for so long, ms: the list may only lag.
const KEEP_GONE: Millis = 60_000.0;
/// Mean pause before discovery is asked again after a failure, ms.
const ASK_PAUSE: Millis = 1_000.0;
/// Where no class has so long a deadline, ms, window and recovery are as much shorter as the longest one is:
/// or one overshoot would be held against all messages that live through it.
const UNHURRIED: Millis = 28_000.0;
/// Pace where no rate is told, calls a second: refusals bring it down soon.
const UNHINTED_RATE: f64 = 20.0;

impl Sender {
    pub(super) fn list(&mut self, change: &ListChange) {
        let (ListChange::Full(entries) | ListChange::Cached(entries) | ListChange::Delta(entries)) = change
        else {
            let pause = self.rng.pause(ASK_PAUSE);
            self.ask_at =
                matches!(self.settings.discovery, Discovery::OnRequest { .. }).then_some(self.now + pause);
            return;
        };
        if !matches!(change, ListChange::Delta(_)) {
            let routes = self.destinations.values_mut().flat_map(|d| d.routes.iter_mut());
            routes.for_each(|r| r.listing = Listing::Gone);
        }
        for entry in entries {
            self.list_route(entry);
        }
        // Routes that have been gone for long are dropped, and destinations left without any.
        let now = self.now;
        for d in self.destinations.values_mut() {
            for r in &mut d.routes {
                r.gone_at = (r.listing == Listing::Gone).then(|| r.gone_at.unwrap_or(now));
            }
            d.routes.retain(|r| r.out > 0 || r.gone_at.is_none_or(|at| now - at <= KEEP_GONE));
        }
        self.destinations.retain(|_, d| !(d.routes.is_empty() && d.waiting.is_empty()));
    }

    fn list_route(&mut self, entry: &RouteEntry) {
        let known = self.destinations.get_mut(&entry.destination).map(|d| &mut d.routes);
        if let Some(route) = known.and_then(|routes| routes.iter_mut().find(|r| r.id == entry.route)) {
            route.listing = entry.listing;
            return;
        }
        if entry.listing == Listing::Gone {
            return;
        }
        let kind = &self.settings.kinds[usize::from(entry.kind).min(self.settings.kinds.len() - 1)];
        let d = self.destinations.entry(entry.destination).or_default();
        (d.room, d.apart) = (kind.bundle_max, kind.routes_apart);
        let known = self.settings.rate_hint != RateHint::None && entry.rate > 0.0;
        let told = if known { entry.rate } else { UNHINTED_RATE };
        let longest = self.settings.classes.iter().fold(1.0, |most: f64, c| most.max(c.deadline));
        let mut throttle =
            Throttle::new(told, self.settings.peers_total, UNHURRIED / longest, self.now - CUT_REST);
        if self.hears_notes {
            throttle.room = CapacityShare::equal(self.now, told, self.settings.peers_total);
        }
        if self.keeps_rights {
            throttle.room = throttle.room.requiring_permits();
        }
        if d.routes.is_empty() {
            d.shared = throttle.clone();
        }
        let (id, zone, listing) = (entry.route, entry.zone, entry.listing);
        d.routes.push(Route { id, zone, listing, throttle, ..Route::default() });
    }
}
