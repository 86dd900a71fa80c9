//! Settings, list entries and events for scenarios and tests.

use rudderspindle_policy::interface::{
    AttemptResult, Class, DestinationId, Discovery, Effect, Event, Kind, LateDecay, ListChange, Listing,
    MessageHandle, Millis, Outcome, RateHint, RouteEntry, RouteId, Settings,
};

/// A class of value 1 with a latency objective of 2 s and a deadline of 10 s.
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

/// Settings for a single sender with these classes.
///
/// Destinations of kind 0 have one limit, of kind 1 a limit for each route, of kind 2 up to eight messages a call.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        zone: 0,
        peers_total: 1,
        classes,
        kinds: vec![
            Kind { max_batch: 1, limit_per_route: false },
            Kind { max_batch: 1, limit_per_route: true },
            Kind { max_batch: 8, limit_per_route: false },
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

/// An entry of the endpoint list: a ready route of a destination with a nominal rate of 10 calls a second.
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

/// The event of a complete endpoint list.
pub fn list(entries: Vec<RouteEntry>) -> Event {
    Event::List(ListChange::Full(entries))
}

/// The event of an attempt's outcome, with the Retry-After that came with it, ms; 0 for none.
///
/// [`Outcome::Ok`] completes the message, any other leaves it open.
pub fn outcome(id: u32, attempt: u32, outcome: Outcome, retry_after: Millis) -> Event {
    let completed = outcome == Outcome::Ok;
    Event::Outcome(AttemptResult { id: MessageHandle(id), attempt, outcome, retry_after, completed })
}
