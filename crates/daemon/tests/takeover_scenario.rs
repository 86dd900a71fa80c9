//! A scenario in which both senders are replaced under load, one of them twice, while a destination is down and another
//! sends Retry-After: checked against the six rules.

mod scenario;

use std::time::Duration;

use scenario::CheckedRun;

const TRAFFIC: &str = r"
seed = 9
seconds = 12
senders = 2
list_delay_ms = 50

[traffic]
per_s = 30.0
idempotent_share = 0.5
burst_share = 0.1
burst_len = 8
retry_share = 0.0
abandon_share = 0.02
malformed_per_s = 1.0
";

const EVENTS: &str = r#"
[[events]]
what = "upgrade"
at_ms = 2000
sender = 0

[[events]]
what = "outage"
at_ms = 3000
duration_ms = 3000
receiver = 2
outage = { kind = "reject_all" }

[[events]]
what = "upgrade"
at_ms = 4500
sender = 1

[[events]]
what = "upgrade"
at_ms = 7000
sender = 0
"#;

#[tokio::test]
async fn a_scenario_with_takeovers_violates_no_rule_and_loses_nothing() {
    let script = format!("{TRAFFIC}{}{EVENTS}", scenario::destinations(1.0));
    let CheckedRun { verdict, .. } = scenario::run(&script, Duration::from_secs(6)).await;
    assert!(verdict.is_clean() && verdict.accounting.pending == 0, "{verdict}");
    let (accepted, failed_on_submission) =
        (verdict.accounting.accepted, verdict.accounting.failed_on_submission);
    assert!(accepted > 200, "{verdict}");
    // A request left unread by a process would be submitted again; one on a connection that it closed would stay
    // unanswered.
    assert!(verdict.accounting.unanswered * 50 < accepted && failed_on_submission == 0, "{verdict}");
}
