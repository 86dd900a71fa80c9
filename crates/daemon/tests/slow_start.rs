//! Slow start: two sender processes and a destination of four endpoints with one shared limit that recovers from an
//! outage.

mod scenario;

use std::time::Duration;

/// All traffic is for one destination: the first rejection that each sender gets announces the whole outage, at one
/// endpoint.
const OUTAGE: &str = r#"
seed = 23
seconds = 13
senders = 2
list_late_ms = 50

[traffic]
per_s = 14.0
status_share = 0.5
clumps = 0.1
clump = 6
retries = 0.0
leave = 0.0
bad_per_s = 0.0

[[partners]]
number = 3
name = "shared"
per_s = 16.3
limit = { kind = "span", span_ms = 1000 }
refused_count = true
tells = { share = 1.0 }
work_ms = 120
queue = 8
connections = 32
weight = 1.0
endpoints = [
  { id = "p3-0", hall = "hall-a" },
  { id = "p3-1", hall = "hall-b" },
  { id = "p3-2", hall = "hall-a" },
  { id = "p3-3", hall = "hall-b" },
]

[[happenings]]
what = "outage"
at_ms = 2000
for_ms = 7600
partner = 3
outage = { kind = "shut" }
"#;

/// One of the senders is killed after it has seen the destination recover.
const KILL: &str = r#"
[[happenings]]
what = "kill"
at_ms = 10400
sender = 0
back_ms = 200
"#;

/// Maximum lifetime of a message.
const MAX_MESSAGE_LIFETIME: Duration = Duration::from_secs(12);

#[tokio::test]
async fn a_destination_that_recovers_from_a_full_outage_is_ramped_up_slowly() {
    let (_, verdict) = scenario::run(OUTAGE, MAX_MESSAGE_LIFETIME).await;
    assert!(verdict.is_clean(), "{verdict}");
    let [recovery] = &verdict.recoveries[..] else { panic!("it recovered once:\n{verdict}") };
    assert!(recovery.shared && recovery.kind == "shut" && recovery.peak_calls > 0, "{verdict}");
    assert!(recovery.peak_ratio <= 1.8, "{verdict}");
    assert!(verdict.accounting.delivered * 2 > verdict.accounting.submitted, "{verdict}");
}

#[tokio::test]
async fn a_sender_that_was_killed_still_ramps_a_recovering_destination_up_slowly() {
    let (_, verdict) = scenario::run(&format!("{OUTAGE}{KILL}"), MAX_MESSAGE_LIFETIME).await;
    assert!(verdict.is_clean(), "{verdict}");
    let [recovery] = &verdict.recoveries[..] else { panic!("it recovered once:\n{verdict}") };
    assert!(recovery.peak_ratio > 0.0 && recovery.peak_ratio <= 1.8, "{verdict}");
}
