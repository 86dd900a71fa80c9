//! Runs the built adapter as a process: valid batches, malformed input and the end of input.

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
    // The write fails if the adapter exits early; the tests check its exit status and standard error instead.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn encode_record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let body = fields.concat();
    [&[code][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

fn encode_batch(batch_number: u32, now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let (length, count) = (body.len() as u32, records.len() as u32);
    let header: [&[u8]; 4] =
        [&batch_number.to_be_bytes(), &now.to_be_bytes(), &length.to_be_bytes(), &count.to_be_bytes()];
    [&header.concat()[..], &body].concat()
}

fn encode_start(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    encode_record(24, &[&3u32.to_be_bytes(), &7u64.to_be_bytes(), &length, settings.as_bytes()])
}

/// IPv4 address and port of a receiver.
const RECEIVER: [u8; 6] = [10, 18, 74, 7, 0x2b, 0xc3];

/// An instance starts, receives an endpoint list with one route and then a message.
fn first_batch() -> Vec<u8> {
    let entry: [&[u8]; 7] =
        [&RECEIVER, &[0], &[0, 0], &[0, 57], &[1], &4f32.to_be_bytes(), &0f64.to_be_bytes()];
    let one = 1u32.to_be_bytes();
    let list = encode_record(20, &[&0u32.to_be_bytes(), &one, &entry.concat()]);
    let update = encode_record(22, &[&3u32.to_be_bytes(), &[4], &one, &0u32.to_be_bytes()]);
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
    encode_batch(1, 1000.0, &[encode_start(SETTINGS), list, update, encode_record(17, &message)])
}

/// The settings contain the unknown key `novel`, which is ignored.
#[test]
fn a_message_is_sent_to_the_only_route_of_the_list() {
    let out = run_adapter(&first_batch());
    assert!(out.status.success(), "{out:?}");
    let reply = &out.stdout;
    assert_eq!(
        reply[0..8],
        [0, 0, 0, 1, 0, 0, 0, 1],
        "batch 1 is answered with one action, a send; no wake-up is needed"
    );
    let body = &reply[12..];
    assert_eq!(body[0], 80);
    assert_eq!(body[5..9], 3u32.to_be_bytes());
    assert_eq!(body[9..13], 77u32.to_be_bytes());
    assert_eq!(body[13..19], RECEIVER);
}

/// An outcome and a power-off in one batch return no action, and neither does a wake-up after that.
#[test]
fn a_stopped_instance_returns_no_actions() {
    let outcome: [&[u8]; 9] = [
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
    let second =
        encode_batch(2, 1012.0, &[encode_record(23, &outcome), encode_record(18, &[&3u32.to_be_bytes()])]);
    let third = encode_batch(3, 1020.0, &[encode_record(19, &[&3u32.to_be_bytes(), &1u64.to_be_bytes()])]);
    let out = run_adapter(&[first_batch(), second, third].concat());
    assert!(out.status.success(), "{out:?}");
    let tail = &out.stdout[out.stdout.len() - 24..];
    assert_eq!(tail, [0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn malformed_input_exits_1_with_one_line_on_standard_error() {
    let valid = first_batch();
    let with_extra_byte = [&encode_record(18, &[&3u32.to_be_bytes(), &[0]])[..]].concat();
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("input ends inside the 20 bytes of a header", valid[..7].to_vec()),
        ("input ends before the body has the length in its header", valid[..valid.len() - 1].to_vec()),
        ("record code is 99: must be from 16 to 26", encode_batch(1, 0.0, &[encode_record(99, &[])])),
        ("record has 1 bytes after its last field", encode_batch(1, 0.0, &[with_extra_byte])),
        ("record ends inside a field", encode_batch(1, 0.0, &[encode_record(18, &[&[0]])])),
        ("unreadable settings", encode_batch(1, 0.0, &[encode_start("{")])),
        (
            "settings.lanes is missing: must be a list with at least one class of message",
            encode_batch(1, 0.0, &[encode_start(&SETTINGS.replace("\"lanes\"", "\"lanez\""))]),
        ),
        ("calls_out", encode_batch(1, 0.0, &[encode_start(&SETTINGS.replace("calls_out", "calls"))])),
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
fn end_of_input_exits_0_without_output() {
    let out = run_adapter(&[]);
    assert!(out.status.success() && out.stdout.is_empty() && out.stderr.is_empty(), "{out:?}");
}
