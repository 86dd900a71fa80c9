//! Slow start: two sender processes and a destination of four endpoints with one shared limit that recovers from an
//! outage.

mod scenario;

use std::time::Duration;

use scenario::CheckedRun;

/// All traffic is for one destination: the first rejection by any endpoint announces the whole outage to a sender.
const OUTAGE: &str = r#"
seed = 23
seconds = 13
senders = 2
list_delay_ms = 50

[traffic]
per_s = 14.0
idempotent_share = 0.5
burst_share = 0.1
burst_len = 6
retry_share = 0.0
abandon_share = 0.0
malformed_per_s = 0.0

[[receivers]]
number = 3
name = "shared"
per_s = 16.3
limit = { kind = "window", window_ms = 1000 }
counts_rejected = true
retry_after = { share = 1.0 }
service_time_ms = 120
max_queued = 8
max_connections = 32
weight = 1.0
endpoints = [
  { id = "p3-0", zone = "hall-a" },
  { id = "p3-1", zone = "hall-b" },
  { id = "p3-2", zone = "hall-a" },
  { id = "p3-3", zone = "hall-b" },
]

[[events]]
what = "outage"
at_ms = 2000
duration_ms = 7600
receiver = 3
outage = { kind = "reject_all" }
"#;

/// One of the senders is killed after it has seen the destination recover.
const KILL: &str = r#"
[[events]]
what = "kill"
at_ms = 10400
sender = 0
restart_after_ms = 200
"#;

/// Maximum lifetime of a message.
const MAX_MESSAGE_LIFETIME: Duration = Duration::from_secs(12);

#[tokio::test]
async fn a_destination_that_recovers_from_a_full_outage_is_ramped_up_slowly() {
    let CheckedRun { verdict, .. } = scenario::run(OUTAGE, MAX_MESSAGE_LIFETIME).await;
    assert!(verdict.is_clean(), "{verdict}");
    let [recovery] = &verdict.recoveries[..] else { panic!("it recovered once:\n{verdict}") };
    assert!(recovery.shared && recovery.kind == "shut" && recovery.peak_calls > 0, "{verdict}");
    assert!(recovery.peak_ratio <= 1.8, "{verdict}");
    assert!(verdict.accounting.delivered * 2 > verdict.accounting.submitted, "{verdict}");
}

#[tokio::test]
async fn a_sender_that_was_killed_still_ramps_a_recovering_destination_up_slowly() {
    let CheckedRun { verdict, .. } = scenario::run(&format!("{OUTAGE}{KILL}"), MAX_MESSAGE_LIFETIME).await;
    assert!(verdict.is_clean(), "{verdict}");
    let [recovery] = &verdict.recoveries[..] else { panic!("it recovered once:\n{verdict}") };
    assert!(recovery.peak_ratio > 0.0 && recovery.peak_ratio <= 1.8, "{verdict}");
}
