//! Tests of reading, validating and drawing scenarios.

use std::path::Path;

use super::{Ms, Scenario, ScheduledEvent};

#[test]
fn a_drawn_scenario_is_the_same_for_the_same_seed_and_survives_its_file() {
    let drawn = Scenario::random(7, 40);
    assert_eq!(drawn, Scenario::random(7, 40));
    assert_ne!(drawn, Scenario::random(8, 40));
    for seed in 0..200 {
        let scenario = Scenario::random(seed, 40);
        let text = toml::to_string(&scenario).expect("it can be written");
        let read = Scenario::parse(&text, Path::new("scenario.toml")).expect("it can be read");
        assert_eq!(read.receivers.len(), scenario.receivers.len());
        assert_eq!(read.events, scenario.events);
    }
}

#[test]
fn an_invalid_figure_is_reported_with_its_line_and_field() {
    let good = toml::to_string(&Scenario::random(7, 40)).expect("it can be written");
    let bad = [
        ("idempotent_share", "idempotent_share = 1.5", "1.5 is not a share from 0 to 1"),
        ("list_delay_ms", "list_delay_ms = 99999999", "99999999 ms are more than an hour"),
        ("list_delay_ms", "list_delay_ms = \"soon\"", "invalid type: string"),
        ("list_delay_ms", "list_dilay_ms = 5", "unknown field `list_dilay_ms`"),
        ("senders", "senders = 0", "senders: 0 is not from 1 to 16"),
    ];
    for (field, line, expected) in bad {
        let at = good.lines().position(|l| l.starts_with(field)).expect("the field");
        let text: Vec<&str> = good.lines().enumerate().map(|(n, l)| if n == at { line } else { l }).collect();
        let error = Scenario::parse(&text.join("\n"), Path::new("bad.toml")).expect_err(line).to_string();
        assert!(error.contains("bad.toml") && error.contains(expected), "{error}");
        let names_line = error.contains(&format!("line {}", at + 1)) || field == "senders";
        assert!(names_line, "no line in {error}");
    }
}

#[test]
fn an_event_whose_target_does_not_exist_is_rejected() {
    let mut scenario = Scenario::random(7, 40);
    scenario.events = vec![ScheduledEvent::Kill { at_ms: Ms(5), sender: 9, restart_after_ms: Ms(5) }];
    let text = toml::to_string(&scenario).expect("it can be written");
    let error = Scenario::parse(&text, Path::new("bad.toml")).expect_err("no such sender").to_string();
    assert!(error.contains("events[0]: there is no sender 9"), "{error}");
}
