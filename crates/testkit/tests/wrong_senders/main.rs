//! The checker against senders that are wrong on purpose: each breaks one rule, and that one is reported. The same
//! minimal sender without its fault is found to be clean in the same test run.

mod backoffs;
mod call;
mod faulty_sender;
mod test_run;

use std::collections::BTreeSet;
use std::time::Duration;

use rudderspindle_testkit::checker::Rule;
use rudderspindle_testkit::scenario::{Outage, ReceiverPlan, Share};
use tokio::time::{Instant, timeout};

use backoffs::Backoffs;
use faulty_sender::Fault;
use test_run::{Messages, TestRun, TimedOutage, plan, play};

/// Checks that the sender without a fault is clean, and that each fault breaks this rule alone.
async fn breaks(test_run: TestRun, rule: Rule, faults: &[Fault]) {
    // A run in which the fakes lagged proves nothing and is repeated.
    let played = async |fault| {
        for _ in 0..4 {
            let verdict = play(&test_run, fault).await;
            if !verdict.is_inconclusive() {
                return verdict;
            }
        }
        panic!("the fakes lagged four times");
    };
    let verdict = timeout(Duration::from_secs(60), played(Fault::None)).await.expect("in time");
    assert!(verdict.is_clean(), "without a fault:\n{verdict}");
    assert!(verdict.accounting.delivered + verdict.accounting.failed + verdict.accounting.rejected > 0);
    for &fault in faults {
        let verdict = timeout(Duration::from_secs(60), played(fault)).await.expect("in time");
        assert_eq!(verdict.broken_rules(), BTreeSet::from([rule]), "{fault:?}:\n{verdict}");
        let violation = &verdict.violations[0];
        assert!(!violation.lines.is_empty() && !violation.what.is_empty(), "{fault:?}: {violation:?}");
    }
}

/// An outage in which every call fails.
fn errors(duration_ms: u64) -> TimedOutage {
    let outage = Outage::Errors { share: Share::try_from(1.0).expect("in range") };
    TimedOutage { outage, duration_ms }
}

fn messages(class: &'static str, count: usize, interval_ms: u64, lifetime_ms: u64) -> Messages {
    Messages { class, count, interval_ms, lifetime_ms }
}

fn test_run(plan: ReceiverPlan, messages: Messages) -> TestRun {
    TestRun { plan, messages, outage: None, drain_after: None }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forgotten_messages_and_late_outcomes_break_the_rule_of_loss() {
    let test_run =
        TestRun { outage: Some(errors(900)), ..test_run(plan(50.0, 10), messages("safe", 3, 10, 500)) };
    breaks(test_run, Rule::Loss, &[Fault::ForgetsMessages, Fault::CompletesLate]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_attempts_break_the_rule_of_duplication() {
    breaks(
        test_run(plan(50.0, 1_500), messages("safe", 2, 10, 8_000)),
        Rule::Duplication,
        &[Fault::SendsConcurrentAttempts],
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeating_or_rejecting_a_possible_execution_breaks_the_rule_of_duplication() {
    let unsafe_run =
        || TestRun { outage: Some(errors(400)), ..test_run(plan(50.0, 10), messages("unsafe", 2, 10, 900)) };
    breaks(
        unsafe_run(),
        Rule::Duplication,
        &[Fault::RepeatsPossibleExecutions, Fault::RejectsPossibleExecutions],
    )
    .await;
    let keyed =
        TestRun { outage: Some(errors(400)), ..test_run(plan(50.0, 10), messages("keyed", 2, 10, 2_000)) };
    breaks(keyed, Rule::Duplication, &[Fault::CrossesZones]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ignoring_a_drain_or_reacting_late_breaks_the_rule_of_draining() {
    let test_run =
        TestRun { drain_after: Some(100), ..test_run(plan(100.0, 5), messages("safe", 40, 30, 2_000)) };
    breaks(test_run, Rule::Draining, &[Fault::IgnoresDrains, Fault::ReactsToDrainsLate]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overloading_a_recovering_receiver_breaks_the_rule_of_recovery() {
    let test_run =
        || TestRun { outage: Some(errors(500)), ..test_run(plan(10.0, 5), messages("safe", 60, 25, 8_000)) };
    breaks(test_run(), Rule::Recovery, &[Fault::FloodsRecoveringReceivers, Fault::IgnoresRecovery]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reordering_or_skipping_the_pause_breaks_the_rule_of_ordering() {
    let overtaken = test_run(plan(50.0, 60), messages("ordered", 4, 5, 5_000));
    breaks(overtaken, Rule::Ordering, &[Fault::ReordersWithinKey]).await;
    let unresponsive = TestRun {
        outage: Some(TimedOutage { outage: Outage::Unresponsive, duration_ms: 500 }),
        ..test_run(plan(50.0, 10), messages("ordered", 3, 5, 5_000))
    };
    breaks(unresponsive, Rule::Ordering, &[Fault::SkipsOrderingPause]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ignoring_a_retry_after_or_keeping_it_for_one_endpoint_breaks_its_rule() {
    let faults = [Fault::IgnoresRetryAfter, Fault::ScopesRetryAfterToEndpoint];
    breaks(test_run(plan(3.0, 5), messages("safe", 12, 120, 6_000)), Rule::RetryAfter, &faults).await;
}

/// Responses to concurrent calls arrive in any order, and their Retry-Afters end up to a millisecond apart.
#[test]
fn an_earlier_end_of_a_retry_after_replaces_no_later_one() {
    let now = Instant::now();
    let after_ms = |ms| now + Duration::from_millis(ms);
    let mut backoffs = Backoffs::default();
    backoffs.record("", after_ms(2));
    backoffs.record("", after_ms(1));
    assert!(backoffs.is_active("", after_ms(1)), "the earlier end has replaced the later one");
    assert!(!backoffs.is_active("", after_ms(2)));
    backoffs.record("", after_ms(3));
    assert!(backoffs.is_active("", after_ms(2)) && !backoffs.is_active("", after_ms(3)));
    assert!(!backoffs.is_active("e0", now), "another scope");
}
