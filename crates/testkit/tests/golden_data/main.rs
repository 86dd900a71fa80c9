//! Golden data: the event log's JSON, the scenarios' TOML, the plans drawn from seeds and the checker's verdicts
//! stay byte for byte what earlier releases wrote.
//!
//! The files under `tests/golden` are never regenerated: logs and scenarios that were kept must stay readable. Names
//! that have changed since are translated back before the comparison.

mod earlier_names;

use std::path::Path;
use std::time::Duration;

use rudderspindle_testkit::checker::check_events;
use rudderspindle_testkit::client::plan;
use rudderspindle_testkit::event_log::{read, write};
use rudderspindle_testkit::scenario::{Scenario, SeededRng};
use serde_json::{Value, json};

const EVENTS: &str = include_str!("../golden/every_event.jsonl");
const EVENTS_VERDICT: &str = include_str!("../golden/every_event.verdict.txt");
const EVENTS_SUMMARY: &str = include_str!("../golden/every_event.summary.txt");
const EVENTS_VERDICT_JSON: &str = include_str!("../golden/every_event.verdict.json");
const SCENARIO: &str = include_str!("../golden/every_fault.toml");
const SCENARIO_WRITTEN: &str = include_str!("../golden/every_fault.written.toml");
const DRAWN: &str = include_str!("../golden/drawn_seed_7.toml");
const HASHES: &str = include_str!("../golden/hashes.txt");

/// Seeds whose drawn scenarios are hashed together.
const DRAWN_SEEDS: u64 = 500;
/// Seeds whose clients' messages are hashed together.
const PLANNED_SEEDS: u64 = 50;
/// Random logs whose verdicts are hashed together.
const RANDOM_LOGS: u64 = 400;

/// 64-bit FNV-1a.
struct Hash(u64);

impl Hash {
    fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    }
}

fn golden_hash(name: &str) -> u64 {
    let line = HASHES.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    u64::from_str_radix(line.expect("the name"), 16).expect("a hash")
}

#[test]
fn every_event_is_read_and_written_as_before() {
    let lines = read(EVENTS.as_bytes()).expect("the golden log can be read");
    let mut written = Vec::new();
    write(&lines, &mut written).expect("a vector takes it");
    assert_eq!(String::from_utf8(written).expect("JSON is UTF-8"), EVENTS);
}

#[test]
fn the_verdict_on_the_log_with_every_event_is_the_same_as_before() {
    let verdict = check_events(&read(EVENTS.as_bytes()).expect("the golden log can be read"));
    assert_eq!(verdict.to_string(), EVENTS_SUMMARY);
    assert_eq!(earlier_names::of_verdict(&verdict.to_string()), EVENTS_VERDICT);
    let json = serde_json::to_string(&verdict).expect("JSON");
    assert_eq!(earlier_names::of_verdict(&json), EVENTS_VERDICT_JSON.trim_end());
}

#[test]
fn a_scenario_with_every_fault_is_read_and_written_as_before() {
    let scenario = Scenario::parse(SCENARIO, Path::new("every_fault.toml")).expect("the golden scenario");
    let written = toml::to_string(&scenario).expect("TOML");
    assert_eq!(earlier_names::of_scenario(&written), SCENARIO_WRITTEN);
    assert_eq!(Scenario::parse(&written, Path::new("written.toml")).expect("current keys"), scenario);
}

#[test]
fn each_earlier_key_of_a_scenario_is_read_like_its_current_one() {
    let scenario = Scenario::parse(SCENARIO, Path::new("every_fault.toml")).expect("the golden scenario");
    let written = toml::to_string(&scenario).expect("TOML");
    for rename in earlier_names::SCENARIO_NAMES {
        let renamed = earlier_names::rename_in_scenario(&written, &[*rename]);
        assert_ne!(renamed, written, "{rename:?} is in no line");
        let read = Scenario::parse(&renamed, Path::new("renamed.toml"));
        assert_eq!(read.expect(rename.earlier), scenario, "{rename:?}");
    }
    let both = written.replacen("seed = 3", "seed = 3\nlist_late_ms = 5", 1);
    let error = Scenario::parse(&both, Path::new("both.toml")).expect_err("a key under both names");
    assert!(error.to_string().contains("duplicate field `list_delay_ms`"), "{error}");
}

#[test]
fn a_seed_draws_the_same_scenario_as_before() {
    let text =
        |seed| earlier_names::of_scenario(&toml::to_string(&Scenario::random(seed, 40)).expect("TOML"));
    assert_eq!(text(7), DRAWN);
    let mut hash = Hash::new();
    for seed in 0..DRAWN_SEEDS {
        hash.add(&text(seed));
    }
    assert_eq!(hash.0, golden_hash("drawn"), "{:016x}", hash.0);
}

/// Draws one event that may follow; ids are few, so that events meet.
fn random_event(draw: &mut SeededRng, t: u64, calls: &mut u64) -> Value {
    let sender = format!("n{}", draw.integer(0, 2));
    let endpoint = ["a", "b", "r1", "r2"][draw.integer(0, 4) as usize];
    let message_id = format!("m{}", draw.integer(0, 12));
    let class = ["safe", "keyed_all", "keyed_hall", "keyed_endpoint", "unsafe", "ordered"];
    let class = class[draw.integer(0, 6) as usize];
    let status = [200, 200, 202, 429, 503, 500, 504, 410][draw.integer(0, 8) as usize];
    let call = draw.integer(1, (*calls).max(1) + 1);
    let on = draw.chance(0.5);
    match draw.integer(0, 24) {
        0..=3 => {
            json!({"t": t, "ev": "handed_in", "txn": message_id, "first": message_id, "sender": sender, "class": class,
            "tenant": "t", "partner": 1, "left_ms": draw.integer(0, 4_000),
            "order": if class == "ordered" { Some("key") } else { None }})
        }
        4..=6 => json!({"t": t, "ev": "heard", "txn": message_id, "status": status}),
        7 => json!({"t": t, "ev": "unheard", "txn": message_id}),
        8..=11 => {
            *calls += 1;
            let first_us = t - draw.integer(0, 5_000).min(t);
            json!({"t": t, "ev": "called", "call": *calls, "sender": sender, "endpoint": endpoint, "txn": message_id,
                "first_us": first_us})
        }
        12 => json!({"t": t, "ev": "effect", "call": call, "repeat": on}),
        13..=14 => {
            let wait_ms = if on { draw.integer(0, 1_500) } else { 0 };
            json!({"t": t, "ev": "answered", "call": call, "status": status, "wait_ms": wait_ms})
        }
        15 => json!({"t": t, "ev": "cut", "call": call}),
        16 => json!({"t": t, "ev": "probed", "sender": sender, "endpoint": endpoint, "ok": on}),
        17 => json!({"t": t, "ev": "turned", "sender": sender, "endpoint": endpoint}),
        18 => {
            let phase = ["SERVING", "DRAINING", "DELETED"][draw.integer(0, 3) as usize];
            json!({"t": t, "ev": "told", "sender": sender, "endpoint": endpoint, "phase": phase})
        }
        19 => {
            let status = if on { "undeliverable" } else { "deferred" };
            json!({"t": t, "ev": "noticed", "sender": sender, "txn": message_id, "status": status,
                "taken": draw.chance(0.8)})
        }
        20 => json!({"t": t, "ev": "outage", "endpoint": endpoint, "kind": "shut", "on": on}),
        21 => {
            let kind = ["silent", "refuses_notices", "ignores_notices"][draw.integer(0, 3) as usize];
            json!({"t": t, "ev": "agent", "sender": sender, "kind": kind, "on": on})
        }
        22 => json!({"t": t, "ev": "link", "sender": sender, "endpoint": endpoint, "kind": "lose_back",
            "hides": draw.chance(0.5), "on": on}),
        _ => {
            let state = ["ready", "term", "ended"][draw.integer(0, 3) as usize];
            json!({"t": t, "ev": "sender", "sender": sender, "life": state})
        }
    }
}

fn random_log(seed: u64) -> String {
    let mut draw = SeededRng::new(seed);
    let class = |name: &str, effect: &str, group: &str, ordered: bool| {
        json!({"name": name, "effect": effect, "group": group, "window_ms": 900, "aim_ms": 300,
            "deadline_ms": 2_000, "ordered": ordered})
    };
    let endpoint = |id: &str, receiver: u16, zone: &str, independent: bool| json!({"id": id, "partner": receiver, "hall": zone, "apart": independent, "per_s": 0.5});
    let header = json!({"t": 0, "ev": "world", "v": 1,
        "classes": [class("safe", "safe", "all", false), class("keyed_all", "keyed", "all", false),
            class("keyed_hall", "keyed", "hall", false), class("keyed_endpoint", "keyed", "endpoint", false),
            class("unsafe", "unsafe", "all", false), class("ordered", "safe", "all", true)],
        "endpoints": [endpoint("a", 1, "hall-a", false), endpoint("b", 1, "hall-b", false),
            endpoint("r1", 2, "hall-a", true), endpoint("r2", 2, "hall-a", true)],
        "rules": {"drain_grace_ms": 200, "fall_multiple": 1.5, "fall_ms": 3_000, "cold_from": 0.17,
            "warm_ms": 9_300, "wait_grace_ms": 100, "slack_ms": 50, "end_ms": 300, "restart_ms": 1_500,
            "order_rest_ms": 1_000}});
    let mut text = format!("{header}\n");
    let (mut t, mut calls) = (0, 0);
    for _ in 0..300 {
        t += draw.integer(0, 60_000);
        let event = random_event(&mut draw, t, &mut calls);
        text.push_str(&format!("{event}\n"));
    }
    text
}

#[test]
fn the_verdicts_on_random_logs_are_the_same_as_before() {
    let mut hash = Hash::new();
    let mut broken = std::collections::BTreeSet::new();
    for seed in 0..RANDOM_LOGS {
        let verdict = check_events(&read(random_log(seed).as_bytes()).expect("a log"));
        broken.extend(verdict.broken_rules());
        hash.add(&earlier_names::of_verdict(&verdict.to_string()));
        hash.add(&earlier_names::of_verdict(&serde_json::to_string(&verdict).expect("JSON")));
    }
    assert_eq!(broken.len(), 6, "the logs break every rule: {broken:?}");
    assert_eq!(hash.0, golden_hash("verdicts"), "{:016x}", hash.0);
}

#[test]
fn a_scenario_brings_the_same_messages_as_before() {
    let mut hash = Hash::new();
    for seed in 0..PLANNED_SEEDS {
        for message in plan(&Scenario::random(seed, 40), Duration::from_secs(12)) {
            hash.add(&format!(
                "{} {} {} {} {} {} {} {:?} {} {}\n",
                message.at.as_nanos(),
                message.message_id,
                message.class,
                message.tenant,
                message.receiver,
                message.sender,
                message.lifetime.as_nanos(),
                message.retry_pause.map(|pause| pause.as_nanos()),
                message.disconnects,
                message.body_len,
            ));
        }
    }
    assert_eq!(hash.0, golden_hash("planned"), "{:016x}", hash.0);
}
