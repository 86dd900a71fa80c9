//! The built adapter on its wire: frames in, replies out, malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"az": 0, "peers_total": 1, "novel": {"a": [1]},
 "extra": {"bundle_max": [1], "calls_out": 8, "kind_apart": [false], "loses_worth": "linear"},
 "kinds": ["k"], "lanes": [{"credit": 1.0, "deadline": 9000.0, "effect": "free", "group": "all",
 "late_worth": 0.3, "name": "c", "target": 2000.0}], "limits": {"max_attempts": 4, "most_held": 50},
 "rules": {"cold_from": 0.2, "fall_multiple": 2.0, "tip_after": 3000.0, "warm_within": 9000.0},
 "tick": 5.0, "weights": "nominal"}"#;

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_rudderspindle-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // A failed adapter closes its input early: its exit status and standard error are what the tests check.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

fn batch(number: u32, now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let (length, count) = (body.len() as u32, records.len() as u32);
    let header: [&[u8]; 4] =
        [&number.to_be_bytes(), &now.to_be_bytes(), &length.to_be_bytes(), &count.to_be_bytes()];
    [&header.concat()[..], &body].concat()
}

fn start(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    record(24, &[&3u32.to_be_bytes(), &7u64.to_be_bytes(), &length, settings.as_bytes()])
}

const RECEIVER: [u8; 6] = [10, 18, 74, 7, 0x2b, 0xc3];

/// A sender that starts, gets its list and then a message.
fn first_batch() -> Vec<u8> {
    let entry: [&[u8]; 7] =
        [&RECEIVER, &[0], &[0, 0], &[0, 57], &[1], &4f32.to_be_bytes(), &0f64.to_be_bytes()];
    let one = 1u32.to_be_bytes();
    let list = record(20, &[&0u32.to_be_bytes(), &one, &entry.concat()]);
    let update = record(22, &[&3u32.to_be_bytes(), &[4], &one, &0u32.to_be_bytes()]);
    let message: [&[u8]; 9] = [
        &3u32.to_be_bytes(),
        &77u32.to_be_bytes(),
        &[0],
        &0u32.to_be_bytes(),
        &0u64.to_be_bytes(),
        &9000f64.to_be_bytes(),
        &0f64.to_be_bytes(),
        &57f32.to_be_bytes(),
        &[0],
    ];
    batch(1, 1000.0, &[start(SETTINGS), list, update, record(17, &message)])
}

#[test]
fn a_message_is_sent_to_the_route_on_the_list_and_unknown_settings_are_skipped() {
    let out = run_adapter(&first_batch());
    assert!(out.status.success(), "{out:?}");
    let reply = &out.stdout;
    assert_eq!(reply[0..8], [0, 0, 0, 1, 0, 0, 0, 1], "a send, and nothing due that needs a wake-up");
    let body = &reply[12..];
    assert_eq!(body[0], 80);
    assert_eq!(body[5..9], 3u32.to_be_bytes());
    assert_eq!(body[9..13], 77u32.to_be_bytes());
    assert_eq!(body[13..19], RECEIVER);
}

#[test]
fn an_outcome_round_trips_and_a_dead_instance_is_silent() {
    let response: [&[u8]; 9] = [
        &3u32.to_be_bytes(),
        &77u32.to_be_bytes(),
        &12f64.to_be_bytes(),
        &[0],
        &0u32.to_be_bytes(),
        &[1],
        &200u16.to_be_bytes(),
        &RECEIVER,
        &[0],
    ];
    let second = batch(2, 1012.0, &[record(23, &response), record(18, &[&3u32.to_be_bytes()])]);
    let third = batch(3, 1020.0, &[record(19, &[&3u32.to_be_bytes(), &1u64.to_be_bytes()])]);
    let out = run_adapter(&[first_batch(), second, third].concat());
    assert!(out.status.success(), "{out:?}");
    let tail = &out.stdout[out.stdout.len() - 24..];
    assert_eq!(tail, [0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn malformed_input_ends_in_one_line_and_a_failure() {
    let good = first_batch();
    let oversized = [&record(18, &[&3u32.to_be_bytes(), &[0]])[..]].concat();
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("input ends inside a header", good[..7].to_vec()),
        ("input ends inside a batch", good[..good.len() - 1].to_vec()),
        ("unknown record code 99", batch(1, 0.0, &[record(99, &[])])),
        ("bytes too many", batch(1, 0.0, &[oversized])),
        ("cut short", batch(1, 0.0, &[record(18, &[&[0]])])),
        ("unreadable settings", batch(1, 0.0, &[start("{")])),
        (
            "settings.lanes is missing: must be a list with at least one class of message",
            batch(1, 0.0, &[start(&SETTINGS.replace("\"lanes\"", "\"lanez\""))]),
        ),
        ("calls_out", batch(1, 0.0, &[start(&SETTINGS.replace("calls_out", "calls"))])),
    ];
    for (expected, input) in cases {
        let out = run_adapter(&input);
        let error = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{expected}: {error}");
        assert_eq!(error.lines().count(), 1, "{expected}: {error}");
        assert!(error.contains(expected), "{expected}: {error}");
    }
}

#[test]
fn the_end_of_input_is_success() {
    let out = run_adapter(&[]);
    assert!(out.status.success() && out.stdout.is_empty() && out.stderr.is_empty(), "{out:?}");
}
