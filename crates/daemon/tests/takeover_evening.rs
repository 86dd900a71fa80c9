//! A scripted evening on which both senders are replaced under load, one of them twice, while a partner is down and
//! one tells waits: judged by the six rules.

mod evening;

use std::time::Duration;

const TRAFFIC: &str = r#"
seed = 9
seconds = 12
senders = 2
list_late_ms = 50

[traffic]
per_s = 30.0
status_share = 0.5
clumps = 0.1
clump = 8
retries = 0.0
leave = 0.02
bad_per_s = 1.0
"#;

const HAPPENINGS: &str = r#"
[[happenings]]
what = "upgrade"
at_ms = 2000
sender = 0

[[happenings]]
what = "outage"
at_ms = 3000
for_ms = 3000
partner = 2
outage = { kind = "shut" }

[[happenings]]
what = "upgrade"
at_ms = 4500
sender = 1

[[happenings]]
what = "upgrade"
at_ms = 7000
sender = 0
"#;

#[tokio::test]
async fn an_evening_with_takeovers_breaks_no_rule_and_loses_nothing() {
    let script = format!("{TRAFFIC}{}{HAPPENINGS}", evening::partners(1.0));
    let (_, verdict) = evening::play(&script, Duration::from_secs(6)).await;
    assert!(verdict.is_clean() && verdict.accounting.pending == 0, "{verdict}");
    let (taken, failed_at_the_door) = (verdict.accounting.accepted, verdict.accounting.failed_on_submission);
    assert!(taken > 200, "{verdict}");
    // A request that a process left unread would be tried again, and one that it closed on not be heard.
    assert!(verdict.accounting.unanswered * 50 < taken && failed_at_the_door == 0, "{verdict}");
}
