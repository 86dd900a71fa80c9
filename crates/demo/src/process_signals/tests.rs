//! Tests of the scenario's signals.

use std::path::Path;

use rudderspindle_testkit::scenario::Scenario;

use super::{ProcessSignals, Signal};

/// A restart of the sender that the built-in scenario kills after 14 s.
const RESTART: &str = r#"
[[events]]
what = "restart"
at_ms = 2000
sender = 0
restart_after_ms = 100
"#;

#[test]
fn a_stop_is_by_the_signal_that_was_scheduled_last_and_by_sigterm_otherwise() {
    let text = format!("{}{RESTART}", include_str!("../scenario.toml"));
    let scenario = Scenario::parse(&text, Path::new("scenario.toml")).expect("a valid scenario");
    let mut signals = ProcessSignals::new(&scenario);
    assert_eq!(signals.take("n0", 2_010), Signal::Terminate);
    assert_eq!(signals.take("n0", 14_010), Signal::Kill);
    assert_eq!(signals.take("n0", 40_000), Signal::Terminate);
    assert_eq!(signals.take("n1", 14_010), Signal::Terminate);
}
