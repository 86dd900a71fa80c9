//! Sessions from fixed seeds at the module's own interface: its actions are those that it had when the golden
//! files were written, to the last bit.
//!
//! The host, its random numbers and its partners are the test's own, and so is the text that is hashed: types,
//! fields and modules of the program may be renamed with no change in the golden files.

mod exchange;
mod golden;
mod host;
mod inputs;
mod module;
mod module_only;
mod partner;
mod random;

use std::path::Path;
use std::sync::LazyLock;

use golden::Recording;
use host::Session;
use module::Module;

const TOGETHER: &str = include_str!("settings/together.json");
const APART: &str = include_str!("settings/apart.json");
const FLEET: &str = include_str!("settings/fleet.json");
const SCARCE: &str = include_str!("settings/scarce.json");
const NARROW: &str = include_str!("settings/narrow.json");

const SESSIONS: [Session; 6] = [
    session("together", 101, &[TOGETHER, TOGETHER]),
    session("apart", 102, &[APART, APART]),
    session("fleet", 103, &[FLEET, FLEET]),
    session("scarce", 104, &[SCARCE, SCARCE]),
    Session { permits: true, ..session("rights", 105, &[TOGETHER, APART, FLEET]) },
    Session { steady: true, batches: 4_000, ..session("narrow", 107, &[NARROW, NARROW]) },
];

const fn session(name: &'static str, seed: u64, settings: &'static [&'static str]) -> Session {
    Session { name, seed, batches: 2_000, settings, module_only: true, permits: false, steady: false }
}

static RECORDINGS: LazyLock<Vec<Recording>> =
    LazyLock::new(|| SESSIONS.iter().map(|session| host::play(session, &mut Module::default())).collect());

#[test]
fn every_session_has_the_actions_and_figures_of_its_golden_file() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    RECORDINGS.iter().for_each(|recording| recording.check(&folder));
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
    assert_eq!(golden::never_met(&RECORDINGS, &kinds), [""; 0]);
    // The interface has probes, but the module asks for none.
    assert_eq!(golden::never_met(&RECORDINGS, &["output probe"]), ["output probe"]);
}

#[test]
fn every_session_sends_refuses_fails_and_asks_to_be_woken() {
    for recording in RECORDINGS.iter() {
        let one = std::slice::from_ref(recording);
        let kinds = ["output send", "output refuse", "output fail", "output wake", "input outcome ok"];
        assert_eq!(golden::never_met(one, &kinds), [""; 0], "session {}", recording.name);
    }
}
