//! A scripted evening on which both senders are replaced under load, one of them twice, while a partner is down and
//! one tells waits: judged by the six rules.

mod evening;

use std::time::Duration;

const SCRIPT: &str = r#"
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

[[partners]]
number = 1
name = "well"
apart = true
per_s = 20.0
limit = { kind = "rate" }
tells = { share = 1.0 }
work_ms = 80
queue = 8
connections = 32
weight = 1.0
endpoints = [{ id = "p1-0", hall = "hall-a" }, { id = "p1-1", hall = "hall-b" }]

[[partners]]
number = 2
name = "down"
per_s = 10.0
limit = { kind = "span", span_ms = 1000 }
tells = { share = 1.0 }
work_ms = 80
queue = 8
connections = 32
weight = 0.5
endpoints = [{ id = "p2-0", hall = "hall-a" }]

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
    let (_, verdict) = evening::play(SCRIPT, Duration::from_secs(6)).await;
    assert!(verdict.clean() && verdict.accounting.open == 0, "{verdict}");
    let (taken, failed_at_the_door) = (verdict.accounting.taken_on, verdict.accounting.failed_at_the_door);
    assert!(taken > 200, "{verdict}");
    // A request that a process left unread would be tried again, and one that it closed on not be heard.
    assert!(verdict.accounting.unheard * 50 < taken && failed_at_the_door == 0, "{verdict}");
}
