//! Golden-file tests: seeded sessions are replayed against the policy, and its actions must be those of the
//! golden files, bit for bit.
//!
//! The simulated host and the hashed text contain no names of the policy's code, so types, fields and modules
//! of the policy can be renamed without a change in the golden files.

mod adapter;
mod text;

use std::path::Path;
use std::sync::LazyLock;

use adapter::PolicyAdapter;
use rudderspindle_policy_replay::settings::{APART, FLEET, NARROW, SCARCE, TOGETHER};
use rudderspindle_policy_replay::{Recording, Session, missing_kinds, play};

const SESSIONS: [Session; 6] = [
    session("together", 101, &[TOGETHER, TOGETHER]),
    session("apart", 102, &[APART, APART]),
    session("fleet", 103, &[FLEET, FLEET]),
    session("scarce", 104, &[SCARCE, SCARCE]),
    Session { requires_permits: true, ..session("rights", 105, &[TOGETHER, APART, FLEET]) },
    Session { steady: true, batches: 4_000, ..session("narrow", 107, &[NARROW, NARROW]) },
];

const fn session(name: &'static str, seed: u64, settings: &'static [&'static str]) -> Session {
    Session {
        name,
        seed,
        batches: 2_000,
        settings,
        policy_only_inputs: true,
        requires_permits: false,
        steady: false,
    }
}

static RECORDINGS: LazyLock<Vec<Recording>> =
    LazyLock::new(|| SESSIONS.iter().map(|session| play(session, &mut PolicyAdapter::default())).collect());

#[test]
fn every_session_matches_its_golden_file() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    for recording in RECORDINGS.iter() {
        recording.assert_matches_golden_file(&folder);
    }
}

#[test]
fn the_sessions_cover_every_input_and_output() {
    let kinds = [
        "input up",
        "input power-off",
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
        "input outcome spent",
        "input dropped",
        "input wake",
        "input probed",
        "input recovered",
        "input recovered that may have run",
        "input remembered nothing",
        "input remembered down",
        "input remembered cold",
        "input waits",
        "input room",
        "input turns",
        "input avoid",
        "input quota",
        "input hear-notes",
        "input keep-rights",
        "input share-slots",
        "output send",
        "output refuse",
        "output fail",
        "output cancel",
        "output wake",
        "output subscribe",
        "output remember",
    ];
    assert_eq!(missing_kinds(&RECORDINGS, &kinds), [""; 0]);
    // The interface has health checks ("output probe"), but the policy requests none.
    assert_eq!(missing_kinds(&RECORDINGS, &["output probe"]), ["output probe"]);
}

#[test]
fn every_session_sends_refuses_fails_and_requests_wake_ups() {
    for recording in RECORDINGS.iter() {
        let single_recording = std::slice::from_ref(recording);
        let kinds = ["output send", "output refuse", "output fail", "output wake", "input outcome ok"];
        assert_eq!(missing_kinds(single_recording, &kinds), [""; 0], "session {}", recording.name);
    }
}
