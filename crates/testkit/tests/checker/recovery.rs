//! Overload during the recovery from an outage.

use std::collections::BTreeSet;

use rudderspindle_testkit::checker::Rule;
use rudderspindle_testkit::event_log::{Event, ProcessState};

use crate::log_builder::{Log, only};

#[test]
fn only_senders_that_saw_the_outage_and_did_not_restart_are_blamed_for_an_overload() {
    let flooded = |sees: bool, restarts: bool| {
        let outage = |on| Event::Outage { endpoint: "r1".to_owned(), kind: "shut".to_owned(), on };
        let mut log = Log::new();
        log.process(0, ProcessState::Ready).accept(1, "m", "safe").at(10, outage(true));
        if sees {
            log.call(20, 1, "m", "r1").answer(21, 1, 503, 0);
        }
        log.at(1_000, outage(false));
        if restarts {
            log.process(1_010, ProcessState::Exited).process(1_500, ProcessState::Ready);
        }
        for n in 0..40 {
            let (at, message_id) = (2_000 + n * 20, format!("m{n}"));
            log.accept(at, &message_id, "safe").call(at + 5, 10 + n, &message_id, "r1").answer(
                at + 10,
                10 + n,
                200,
                0,
            );
        }
        log.notify(5_000, "m", "deferred").broken_rules()
    };
    assert_eq!(flooded(true, false), only(Rule::Recovery));
    assert_eq!(flooded(false, false), BTreeSet::new());
    assert_eq!(flooded(true, true), BTreeSet::new());
}

#[test]
fn the_load_of_each_recovery_is_reported() {
    // Ten calls a second when warm, 17 % of that at first: 5.1 in 3 s.
    let mut log = Log::new();
    log.outage(0, &["a", "b"], true).outage(9_000, &["a", "b"], false);
    for n in 0..4u64 {
        let message_id = format!("m{n}");
        log.accept(9_000 + n, &message_id, "safe").call(
            9_010 + n,
            n,
            &message_id,
            if n % 2 == 0 { "a" } else { "b" },
        );
        log.answer(9_020 + n, n, 200, 0);
    }
    let verdict = log.verdict();
    let [recovery] = &verdict.recoveries[..] else { panic!("{verdict}") };
    assert!(
        verdict.is_clean() && recovery.shared && recovery.kind == "shut" && recovery.peak_calls == 4,
        "{verdict}"
    );
    assert!((recovery.peak_ratio - 4.0 / 5.1).abs() < 0.01, "{verdict}");
    assert_eq!(verdict.peak_recovery_ratio(), recovery.peak_ratio);
    // The recovery of one of two endpoints is not that of their shared limit.
    let mut log = Log::new();
    log.outage(0, &["a"], true).outage(9_000, &["a"], false);
    assert_eq!(log.verdict().recoveries, []);
    // An independent endpoint recovers alone.
    let mut log = Log::new();
    log.outage(0, &["r1"], true).outage(9_000, &["r1"], false);
    let verdict = log.verdict();
    assert!(
        matches!(&verdict.recoveries[..], [recovery] if !recovery.shared && recovery.limit == "r1"),
        "{verdict}"
    );
}
