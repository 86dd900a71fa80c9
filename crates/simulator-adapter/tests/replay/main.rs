//! Sessions from fixed seeds played to the built adapter: its replies are, byte for byte, those that it gave when
//! the golden files were written.
//!
//! The simulated host is that of the decision module's own replay; here it has the wire's events only.

// Some of what the host can tell has no frame on the wire.
#[path = "../../../policy/tests/replay/exchange.rs"]
#[allow(dead_code)]
mod exchange;
#[path = "../../../policy/tests/replay/golden.rs"]
mod golden;
#[path = "../../../policy/tests/replay/host.rs"]
mod host;
#[path = "../../../policy/tests/replay/inputs.rs"]
mod inputs;
#[path = "../../../policy/tests/replay/module_only.rs"]
mod module_only;
#[path = "../../../policy/tests/replay/partner.rs"]
mod partner;
#[path = "../../../policy/tests/replay/random.rs"]
mod random;
mod wire;

use std::path::Path;
use std::sync::LazyLock;

use golden::Recording;
use host::Session;
use wire::Process;

const TOGETHER: &str = include_str!("../../../policy/tests/replay/settings/together.json");
const APART: &str = include_str!("../../../policy/tests/replay/settings/apart.json");
const FLEET: &str = include_str!("../../../policy/tests/replay/settings/fleet.json");
const SCARCE: &str = include_str!("../../../policy/tests/replay/settings/scarce.json");
const NARROW: &str = include_str!("../../../policy/tests/replay/settings/narrow.json");

const SESSIONS: [Session; 6] = [
    session("together", 1, &[TOGETHER, TOGETHER]),
    session("apart", 2, &[APART, APART]),
    session("fleet", 3, &[FLEET, FLEET]),
    session("scarce", 4, &[SCARCE, SCARCE]),
    session("mixed", 5, &[TOGETHER, APART, FLEET, SCARCE]),
    Session { steady: true, batches: 4_000, ..session("narrow", 6, &[NARROW, NARROW]) },
];

const fn session(name: &'static str, seed: u64, settings: &'static [&'static str]) -> Session {
    Session { name, seed, batches: 1_500, settings, module_only: false, permits: false, steady: false }
}

static RECORDINGS: LazyLock<Vec<Recording>> = LazyLock::new(|| SESSIONS.iter().map(play).collect());

fn play(session: &Session) -> Recording {
    let mut process = Process::start();
    let recording = host::play(session, &mut process);
    process.finish();
    recording
}

#[test]
fn every_session_gets_the_replies_of_its_golden_file() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    RECORDINGS.iter().for_each(|recording| recording.check(&folder));
}

#[test]
fn the_sessions_tell_every_event_and_get_every_action_that_the_wire_has() {
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
    assert_eq!(golden::never_met(&RECORDINGS, &kinds), [""; 0]);
    // The wire has a frame for probes, but the module asks for none.
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
