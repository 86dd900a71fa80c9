//! Plays sessions with fixed seeds to the built adapter and compares its replies with golden files, byte for byte.
//!
//! The simulated host is that of the policy's replay test, limited to the inputs for which the protocol has records.

mod wire;

use std::path::Path;
use std::sync::LazyLock;

use rudderspindle_policy_replay::settings::{APART, FLEET, NARROW, SCARCE, TOGETHER};
use rudderspindle_policy_replay::{Recording, Session, missing_kinds, play};
use wire::AdapterProcess;

const SESSIONS: [Session; 6] = [
    session("together", 1, &[TOGETHER, TOGETHER]),
    session("apart", 2, &[APART, APART]),
    session("fleet", 3, &[FLEET, FLEET]),
    session("scarce", 4, &[SCARCE, SCARCE]),
    session("mixed", 5, &[TOGETHER, APART, FLEET, SCARCE]),
    Session { steady: true, batches: 4_000, ..session("narrow", 6, &[NARROW, NARROW]) },
];

const fn session(name: &'static str, seed: u64, settings: &'static [&'static str]) -> Session {
    Session {
        name,
        seed,
        batches: 1_500,
        settings,
        policy_only_inputs: false,
        requires_permits: false,
        steady: false,
    }
}

static RECORDINGS: LazyLock<Vec<Recording>> = LazyLock::new(|| SESSIONS.iter().map(record_session).collect());

fn record_session(session: &Session) -> Recording {
    let mut process = AdapterProcess::start();
    let recording = play(session, &mut process);
    process.finish();
    recording
}

#[test]
fn every_session_gets_the_replies_of_its_golden_file() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    for recording in RECORDINGS.iter() {
        recording.assert_matches_golden_file(&folder);
    }
}

#[test]
fn the_sessions_cover_every_input_and_output_of_the_protocol() {
    let kinds = [
        "input up",
        "input power-off",
        "input peer",
        "input list full",
        "input list cached",
        "input list delta",
        "input list failed",
        "input message",
        "input started",
        "input outcome ok",
        "input outcome error",
        "input outcome full with a wait",
        "input outcome full without a wait",
        "input outcome timeout",
        "input outcome connect-failed",
        "input outcome reset",
        "input outcome cancelled",
        "input outcome moot",
        "input dropped",
        "input wake",
        "input probed",
        "output send",
        "output refuse",
        "output fail",
        "output cancel",
        "output wake",
        "output subscribe",
    ];
    assert_eq!(missing_kinds(&RECORDINGS, &kinds), [""; 0]);
    // The protocol has an action for health checks, but the policy never returns it.
    assert_eq!(missing_kinds(&RECORDINGS, &["output probe"]), ["output probe"]);
}

#[test]
fn each_session_contains_send_refuse_fail_and_wake() {
    for recording in RECORDINGS.iter() {
        let single_recording = std::slice::from_ref(recording);
        let kinds = ["output send", "output refuse", "output fail", "output wake", "input outcome ok"];
        assert_eq!(missing_kinds(single_recording, &kinds), [""; 0], "session {}", recording.name);
    }
}
