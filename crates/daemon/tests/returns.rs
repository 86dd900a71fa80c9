//! A partner of four endpoints with one shared limit is shut and comes back cold, between two sender processes.

mod evening;

use std::time::Duration;

/// All that comes is for one partner: the first refusal of each sender tells it of the whole wait, at one endpoint.
const SHUT: &str = r#"
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

/// One of the senders is killed when it has seen the partner open again.
const KILLED: &str = r#"
[[happenings]]
what = "kill"
at_ms = 10400
sender = 0
back_ms = 200
"#;

const LONGEST: Duration = Duration::from_secs(12);

#[tokio::test]
async fn a_partner_shut_as_a_whole_is_asked_gently_when_it_opens() {
    let (_, verdict) = evening::play(SHUT, LONGEST).await;
    assert!(verdict.is_clean(), "{verdict}");
    let [back] = &verdict.recoveries[..] else { panic!("it came back once:\n{verdict}") };
    assert!(back.shared && back.kind == "shut" && back.peak_calls > 0, "{verdict}");
    assert!(back.peak_ratio <= 1.8, "{verdict}");
    assert!(verdict.accounting.delivered * 2 > verdict.accounting.submitted, "{verdict}");
}

#[tokio::test]
async fn nor_does_a_sender_that_was_killed_forget_that_it_is_cold() {
    let (_, verdict) = evening::play(&format!("{SHUT}{KILLED}"), LONGEST).await;
    assert!(verdict.is_clean(), "{verdict}");
    let [back] = &verdict.recoveries[..] else { panic!("it came back once:\n{verdict}") };
    assert!(back.peak_ratio > 0.0 && back.peak_ratio <= 1.8, "{verdict}");
}
