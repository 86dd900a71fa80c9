//! Settings, list entries and outcomes as tests and scenes use them.

use rudderspindle_policy::interface::*;

/// A class of worth 1, wanted within 2 s and given up after 10 s.
pub fn class(effect: Effect) -> Class {
    Class {
        value: 1.0,
        latency_objective: 2_000.0,
        latency_objective_stretch: 0.0,
        deadline: 10_000.0,
        late_value: 0.3,
        effect,
        ordered: false,
    }
}

/// Settings for one sender with such classes: kinds 0 with one limit, 1 with routes apart, 2 with calls of eight.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        zone: 0,
        peers_total: 1,
        classes,
        kinds: vec![
            Kind { bundle_max: 1, routes_apart: false },
            Kind { bundle_max: 1, routes_apart: true },
            Kind { bundle_max: 8, routes_apart: false },
        ],
        tenants: vec![],
        over_quota_value: 0.2,
        late_decay: LateDecay::Linear,
        slots: 20,
        max_pending: 100,
        max_attempts: 6,
        max_retry_after: 3_000.0,
        retry_after: true,
        health_checks: false,
        cancelling: false,
        streams_per_connection: 1,
        idle_close: 10_000.0,
        connect_timeout: 1_000.0,
        rate_hint: RateHint::Nominal,
        discovery: Discovery::Pushed,
        cross_zone_price: 0.0,
        zone_fees: vec![],
        recovery_start_share: 0.2,
        recovery_duration: 10_000.0,
        overload_multiple: 2.0,
        overload_duration: 3_000.0,
        ordering_key_pause: 500.0,
        tick: 5.0,
    }
}

/// A line of the list: a route that is ready, of a destination told at 10 calls a second.
pub fn entry(route: u64, destination: u16, kind: u16, zone: u8) -> RouteEntry {
    RouteEntry {
        route: RouteId(route),
        destination: DestinationId(destination),
        zone,
        kind,
        listing: Listing::Ready,
        rate: 10.0,
    }
}

/// A whole list.
pub fn list(entries: Vec<RouteEntry>) -> Event {
    Event::List(ListChange::Full(entries))
}

/// What came of an attempt, with the wait told, ms.
pub fn outcome(id: u32, attempt: u32, outcome: Outcome, retry_after: Millis) -> Event {
    let closed = outcome == Outcome::Ok;
    Event::Outcome { id: MessageHandle(id), attempt, outcome, retry_after, closed }
}
