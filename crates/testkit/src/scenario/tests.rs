//! Tests of reading, validating and generating scenarios.
//!
//! The arguments of `Scenario::random` are the seed and the time in which clients submit messages, in seconds.

use std::path::Path;

use super::{Ms, Scenario, ScheduledEvent};

#[test]
fn a_seed_always_generates_the_same_scenario_and_it_can_be_stored() {
    let generated = Scenario::random(7, 40);
    assert_eq!(generated, Scenario::random(7, 40));
    assert_ne!(generated, Scenario::random(8, 40));
    for seed in 0..200 {
        let scenario = Scenario::random(seed, 40);
        let text = toml::to_string(&scenario).expect("the scenario can be serialized");
        let read = Scenario::parse(&text, Path::new("scenario.toml")).expect("the scenario can be parsed");
        assert_eq!(read.receivers.len(), scenario.receivers.len());
        assert_eq!(read.events, scenario.events);
    }
}

#[test]
fn an_invalid_value_is_reported_with_its_line_and_field() {
    let valid = toml::to_string(&Scenario::random(7, 40)).expect("the scenario can be serialized");
    let invalid_lines = [
        ("idempotent_share", "idempotent_share = 1.5", "share is 1.5: must be from 0 to 1"),
        (
            "list_delay_ms",
            "list_delay_ms = 99999999",
            "time is 99999999 ms: must be at most 3600000 ms (1 hour)",
        ),
        ("list_delay_ms", "list_delay_ms = \"soon\"", "invalid type: string"),
        ("list_delay_ms", "list_dilay_ms = 5", "unknown field `list_dilay_ms`"),
        ("senders", "senders = 0", "senders is 0: must be from 1 to 16"),
    ];
    for (field, invalid_line, expected) in invalid_lines {
        let index =
            valid.lines().position(|line| line.starts_with(field)).expect("the scenario has the field");
        let text: Vec<&str> =
            valid.lines().enumerate().map(|(n, line)| if n == index { invalid_line } else { line }).collect();
        let error =
            Scenario::parse(&text.join("\n"), Path::new("bad.toml")).expect_err(invalid_line).to_string();
        assert!(error.contains("bad.toml") && error.contains(expected), "{error}");
        // Errors of `Scenario::validate`, such as that for `senders`, name the field but no line.
        let names_line_or_needs_none = error.contains(&format!("line {}", index + 1)) || field == "senders";
        assert!(names_line_or_needs_none, "the error does not name the line: {error}");
    }
}

#[test]
fn an_event_whose_target_does_not_exist_is_rejected() {
    let mut scenario = Scenario::random(7, 40);
    scenario.events = vec![ScheduledEvent::Kill { at_ms: Ms(5), sender: 9, restart_after_ms: Ms(5) }];
    let text = toml::to_string(&scenario).expect("the scenario can be serialized");
    let error =
        Scenario::parse(&text, Path::new("bad.toml")).expect_err("the sender does not exist").to_string();
    assert!(error.contains("events[0] names sender 9, which is not in the scenario"), "{error}");
}
