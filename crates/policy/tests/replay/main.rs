//! Sessions from fixed seeds at the policy's own interface: its actions are those of the golden files, to the
//! last bit.
//!
//! The simulated host and the text that is hashed use no type of the policy: its types, fields and modules
//! may be renamed with no change in the golden files.

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
fn every_session_has_the_actions_and_figures_of_its_golden_file() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    for recording in RECORDINGS.iter() {
        recording.assert_matches_golden_file(&folder);
    }
}

#[test]
fn the_sessions_tell_every_event_and_get_every_action_that_the_module_has() {
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
    // The interface has probes, but the policy asks for none.
    assert_eq!(missing_kinds(&RECORDINGS, &["output probe"]), ["output probe"]);
}

#[test]
fn every_session_sends_refuses_fails_and_asks_to_be_woken() {
    for recording in RECORDINGS.iter() {
        let one = std::slice::from_ref(recording);
        let kinds = ["output send", "output refuse", "output fail", "output wake", "input outcome ok"];
        assert_eq!(missing_kinds(one, &kinds), [""; 0], "session {}", recording.name);
    }
}
