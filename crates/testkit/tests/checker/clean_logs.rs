//! Long logs without violations, drawn at random.

use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;
use rudderspindle_testkit::checker::Rule;
use rudderspindle_testkit::event_log::{Event, ProcessState};
use rudderspindle_testkit::scenario::SeededRng;

use crate::log_builder::Log;

/// A long log of a sender that keeps every rule, drawn from a seed: with rejections, Retry-Afters, failures, kills and
/// drains.
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn clean_log(seed: u64, messages: u64) -> Log {
    let mut draw = SeededRng::new(seed);
    let mut log = Log::new();
    log.process(0, ProcessState::Ready);
    let (mut now, mut call) = (1, 0);
    let mut backoff_until = 0;
    let mut drained = false;
    for n in 0..messages {
        let class = ["safe", "keyed", "unsafe", "ordered"][draw.integer(0, 4) as usize];
        let message_id = format!("m{n}");
        now += draw.integer(1, 400);
        if draw.chance(0.02) {
            log.process(now, ProcessState::Terminating)
                .process(now + 5, ProcessState::Exited)
                .process(now + 700, ProcessState::Ready);
            (now, backoff_until) = (now + 710, 0);
        }
        if !drained && draw.chance(0.02) {
            let (sender, endpoint, phase) = ("n0".to_owned(), "b".to_owned(), "DRAINING".to_owned());
            log.at(now, Event::EndpointChanged { sender, endpoint, phase });
            drained = true;
        }
        if draw.chance(0.05) {
            log.submit(now, &message_id, class).respond(now + 2, &message_id, 503);
            continue;
        }
        log.accept(now, &message_id, class);
        let started = now;
        let mut zone: Option<&str> = None;
        loop {
            now = (now + draw.integer(1, 200)).max(backoff_until);
            let over = now - started > 9_000;
            let may_repeat = match class {
                "unsafe" => zone.is_none(),
                _ => true,
            };
            if over || !may_repeat || draw.chance(0.05) {
                let is_repeatable = zone.is_none() || matches!(class, "safe" | "ordered");
                log.notify(
                    now.min(started + 10_200),
                    &message_id,
                    if is_repeatable { "deferred" } else { "undeliverable" },
                );
                // The ordering key is paused after an attempt that may still be executing.
                now += 1_100;
                break;
            }
            let endpoint = match zone.filter(|_| class == "keyed") {
                Some(endpoint) if endpoint == "a" || !drained => endpoint,
                Some(_) => {
                    log.notify(now, &message_id, "undeliverable");
                    now += 1_100;
                    break;
                }
                None if drained || draw.chance(0.5) => "a",
                None => "b",
            };
            call += 1;
            log.call(now, call, &message_id, endpoint);
            now += draw.integer(1, 300);
            match draw.integer(0, 10) {
                0 => {
                    let wait = draw.integer(0, 800);
                    log.answer(now, call, 429, wait);
                    backoff_until = now + wait;
                }
                1 => {
                    log.answer(now, call, 500, 0);
                    zone = zone.or(Some(endpoint));
                }
                2 => {
                    log.abort(now, call);
                    zone = zone.or(Some(endpoint));
                    now += if class == "ordered" { 1_100 } else { 0 };
                }
                _ => {
                    log.answer(now, call, 200, 0);
                    break;
                }
            }
        }
    }
    log.process(now + 20_000, ProcessState::Ready);
    log
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn long_clean_logs_have_no_violations(seed in any::<u64>()) {
        let log = clean_log(seed, 400);
        let verdict = log.verdict();
        prop_assert!(verdict.is_clean(), "seed {seed}:\n{verdict}");
        let a = verdict.accounting;
        prop_assert_eq!(a.accepted, a.delivered + a.rejected + a.failed);
        prop_assert_eq!(a.submitted, 400);
    }

    /// A message whose final outcome is removed from a clean log is lost.
    #[test]
    fn an_outcome_removed_from_a_clean_log_is_reported_as_lost(seed in any::<u64>()) {
        let mut log = clean_log(seed, 50);
        let last = log.0.iter().rposition(|line| matches!(line.event, Event::Notified { .. }));
        if let Some(last) = last {
            log.0.remove(last);
            prop_assert!(log.broken_rules().contains(&Rule::Loss));
        }
    }
}
