//! Scripted outages of discovery services and links: each is in the event log, and no rule is violated.

mod scenario;

use std::time::Duration;

use rudderspindle_testkit::event_log::{Event, Line};

use scenario::CheckedRun;

const TRAFFIC: &str = r"
seed = 8
seconds = 12
senders = 2
list_delay_ms = 50

[traffic]
per_s = 16.0
idempotent_share = 0.5
burst_share = 0.0
burst_len = 1
retry_share = 0.0
abandon_share = 0.0
malformed_per_s = 1.0
";

const EVENTS: &str = r#"
# Its messages end with notifications from about 5 s on.
[[events]]
what = "outage"
at_ms = 500
duration_ms = 14000
receiver = 2
outage = { kind = "refuse_connections" }

[[events]]
what = "discovery"
at_ms = 5000
duration_ms = 2000
sender = 1
fault = "rejects_notifications"

# Sender 0 is not notified of the drain until its discovery service recovers.
[[events]]
what = "discovery"
at_ms = 2000
duration_ms = 2500
sender = 0
fault = "silent"

[[events]]
what = "list"
at_ms = 2500
endpoint = "p1-1"
phase = "DRAINING"

[[events]]
what = "move_discovery"
at_ms = 8000
sender = 0

[[events]]
what = "list"
at_ms = 9800
endpoint = "p1-1"
phase = "DELETED"

[[events]]
what = "link"
at_ms = 6000
duration_ms = 2000
sender = 1
receiver = 1
fault = { kind = "lose_responses" }
"#;

fn announced_at_ms(lines: &[Line], who: &str, what: &str) -> Option<u64> {
    lines.iter().find_map(|line| match &line.event {
        Event::EndpointChanged { sender, phase, .. } if sender == who && phase == what => {
            Some(line.t / 1_000)
        }
        _ => None,
    })
}

#[tokio::test]
async fn discovery_services_and_links_fail_as_scripted_and_no_rule_is_violated() {
    let script = format!("{TRAFFIC}{}{EVENTS}", scenario::destinations(0.0));
    let CheckedRun { lines, verdict } = scenario::run(&script, Duration::from_secs(5)).await;
    assert!(verdict.is_clean() && verdict.accounting.pending == 0, "{verdict}");
    assert!(verdict.accounting.failed + verdict.accounting.rejected > 0, "no notifications:\n{verdict}");
    // The silent discovery service announces the drain late, the other one at once.
    let (delayed, immediate) =
        (announced_at_ms(&lines, "n0", "DRAINING"), announced_at_ms(&lines, "n1", "DRAINING"));
    assert!(delayed.is_some_and(|t| (4_500..8_000).contains(&t)), "{delayed:?}");
    assert!(immediate.is_some_and(|t| (2_500..3_500).contains(&t)), "{immediate:?}");
    // The sender uses the new address of its discovery service.
    let moved = announced_at_ms(&lines, "n0", "DELETED");
    assert!(moved.is_some_and(|t| t >= 9_800), "{moved:?}");
    let unacknowledged = |line: &&Line| matches!(&line.event, Event::Notified { acknowledged: false, sender, .. } if sender == "n1");
    assert!(lines.iter().filter(unacknowledged).count() > 0, "every notification was acknowledged");
    let cut_off = lines
        .iter()
        .filter(|line| matches!(&line.event, Event::LinkFault { hides_responses: true, .. }))
        .count();
    assert_eq!(cut_off, 4, "each of two links fails and recovers");
}
