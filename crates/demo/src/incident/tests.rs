//! Tests of the incidents' texts.

use super::Incident;
use crate::process_signals::Signal;

#[test]
fn a_recovery_is_shown_with_its_warm_up() {
    let text = |warming_up| Incident::Recovered { receiver: "Clubs".to_owned(), warming_up }.to_string();
    assert_eq!(text(true), "Clubs: recovered, warming up");
    assert_eq!(text(false), "Clubs: recovered");
}

#[test]
fn a_stopped_process_is_shown_with_its_signal() {
    let text = |signal| Incident::Signalled { sender: "n0".to_owned(), signal }.to_string();
    assert_eq!(text(Signal::Kill), "n0: SIGKILL");
    assert_eq!(text(Signal::Terminate), "n0: SIGTERM");
}

#[test]
fn a_change_of_the_list_is_shown_with_the_endpoints_phase() {
    for (phase, text) in [
        ("DRAINING", "n1: endpoint a draining"),
        ("DELETED", "n1: endpoint a removed"),
        ("SERVING", "n1: endpoint a serving"),
    ] {
        let (sender, endpoint, phase) = ("n1".to_owned(), "a".to_owned(), phase.to_owned());
        assert_eq!(Incident::EndpointChanged { sender, endpoint, phase }.to_string(), text);
    }
}
