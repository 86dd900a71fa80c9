//! Tests of the counts and incidents of a log.

use std::path::Path;

use rudderspindle_testkit::event_log::{Event, Line};
use rudderspindle_testkit::scenario::Scenario;

use super::{Statistics, TimeSpan};
use crate::incident::Incident;

/// Number of the receiver with the outage in the built-in scenario.
const RECEIVER: u16 = 2;

fn statistics() -> Statistics {
    let text = include_str!("../scenario.toml");
    Statistics::new(&Scenario::parse(text, Path::new("scenario.toml")).expect("a valid scenario"))
}

/// Records an event at a time in ms.
fn record(statistics: &mut Statistics, at: u64, event: Event) -> Option<Incident> {
    statistics.record(&Line { t: at * 1_000, event })
}

fn submitted(message_id: &str) -> Event {
    Event::Submitted {
        message_id: message_id.to_owned(),
        first_message_id: message_id.to_owned(),
        sender: "n0".to_owned(),
        class: "clip-drop".to_owned(),
        tenant: "t".to_owned(),
        receiver: RECEIVER,
        time_left_ms: 1,
        ordering_key: None,
    }
}

fn called(call: u64, message_id: &str) -> Event {
    let (sender, endpoint, message_id) = ("n0".to_owned(), "clubs-a".to_owned(), message_id.to_owned());
    Event::CallReceived { call, sender, endpoint, message_id, first_us: 0 }
}

fn outage(endpoint: &str, kind: &str, on: bool) -> Event {
    Event::Outage { endpoint: endpoint.to_owned(), kind: kind.to_owned(), on }
}

#[test]
fn messages_are_in_flight_from_their_acceptance_to_their_final_outcome() {
    let mut statistics = statistics();
    for (n, message_id) in ["m1", "m2"].into_iter().enumerate() {
        record(&mut statistics, n as u64, submitted(message_id));
        record(&mut statistics, 1_500, Event::Responded { message_id: message_id.to_owned(), status: 202 });
    }
    record(&mut statistics, 1_600, called(1, "m1"));
    record(&mut statistics, 2_700, Event::CallAnswered { call: 1, status: 200, retry_after_ms: 0 });
    let receiver = &statistics.receivers[&RECEIVER];
    let total = receiver.total;
    assert_eq!((total.accepted, total.delivered, total.in_flight), (2, 1, 1));
    let in_flight: Vec<u32> = receiver.seconds.iter().map(|counts| counts.in_flight).collect();
    assert_eq!(in_flight, [0, 2, 1]);
}

#[test]
fn a_rejected_call_is_counted_with_its_retry_after() {
    let mut statistics = statistics();
    record(&mut statistics, 100, called(1, "m1"));
    record(&mut statistics, 200, Event::CallAnswered { call: 1, status: 429, retry_after_ms: 300 });
    let receiver = &statistics.receivers[&RECEIVER];
    assert_eq!(receiver.total.rejected_calls, 1);
    assert_eq!(receiver.retry_afters, [TimeSpan { from: 200_000, until: 500_000 }]);
}

#[test]
fn a_receiver_is_down_from_its_first_endpoints_outage_to_its_last_ones_end() {
    let mut statistics = statistics();
    let receiver = || "Narmada Clubs".to_owned();
    let down = Incident::Down { receiver: receiver(), kind: "refuse".to_owned() };
    assert_eq!(record(&mut statistics, 10, outage("clubs-a", "refuse", true)), Some(down));
    assert_eq!(record(&mut statistics, 11, outage("clubs-b", "refuse", true)), None);
    assert_eq!(record(&mut statistics, 20, outage("clubs-a", "refuse", false)), None);
    assert!(statistics.receivers[&RECEIVER].is_down());
    let recovered = Incident::Recovered { receiver: receiver(), warming_up: true };
    assert_eq!(record(&mut statistics, 21, outage("clubs-b", "refuse", false)), Some(recovered));
    assert_eq!(statistics.receivers[&RECEIVER].outages, [TimeSpan { from: 10_000, until: 21_000 }]);
    // The scenario has no outage of this kind after which the receiver warms up.
    record(&mut statistics, 30, outage("clubs-a", "stall", true));
    let recovered = Incident::Recovered { receiver: receiver(), warming_up: false };
    assert_eq!(record(&mut statistics, 31, outage("clubs-a", "stall", false)), Some(recovered));
}
