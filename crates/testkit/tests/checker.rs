//! The judge on written logs: the hard cases one by one, and long clean logs drawn at random.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rudderspindle_testkit::checker::{Rule, Verdict, check_events};
use rudderspindle_testkit::event_log::{
    Class, Effect, Endpoint, Event, KeyGroup, Line, ProcessState, Rules, VERSION, read, write,
};
use rudderspindle_testkit::scenario::SeededRng;

/// A log that is written by hand: times in milliseconds.
struct Log(Vec<Line>);

impl Log {
    fn new() -> Self {
        let class = |name: &str, effect, group, ordered| Class {
            name: name.to_owned(),
            effect,
            group,
            window_ms: 15_000,
            target_ms: 2_000,
            deadline_ms: 10_000,
            ordered,
        };
        let classes = vec![
            class("safe", Effect::Idempotent, KeyGroup::All, false),
            class("keyed", Effect::IdempotencyKey, KeyGroup::Zone, false),
            class("unsafe", Effect::AtMostOnce, KeyGroup::All, false),
            class("ordered", Effect::Idempotent, KeyGroup::All, true),
        ];
        let endpoint = |id: &str, partner, hall: &str, apart| Endpoint {
            id: id.to_owned(),
            receiver: partner,
            zone: hall.to_owned(),
            independent: apart,
            per_s: 10.0,
        };
        let endpoints = vec![
            endpoint("a", 1, "hall-a", false),
            endpoint("b", 1, "hall-b", false),
            endpoint("r1", 2, "hall-a", true),
            endpoint("r2", 2, "hall-a", true),
        ];
        let world = Event::Header { v: VERSION, classes, endpoints, rules: Rules::default() };
        Self(vec![Line { t: 0, event: world }])
    }

    fn at(&mut self, ms: u64, event: Event) -> &mut Self {
        self.0.push(Line { t: ms * 1_000, event });
        self
    }

    fn hand_in(&mut self, ms: u64, message_id: &str, class: &str) -> &mut Self {
        let order = (class == "ordered").then(|| "key".to_owned());
        let (message_id, sender, class) = (message_id.to_owned(), "n0".to_owned(), class.to_owned());
        let (first_message_id, tenant) = (message_id.clone(), "t".to_owned());
        let submitted = Event::Submitted {
            message_id,
            first_message_id,
            sender,
            class,
            tenant,
            receiver: 1,
            time_left_ms: 10_000,
            ordering_key: order,
        };
        self.at(ms, submitted)
    }

    fn heard(&mut self, ms: u64, message_id: &str, status: u16) -> &mut Self {
        self.at(ms, Event::Responded { message_id: message_id.to_owned(), status })
    }

    fn take(&mut self, ms: u64, message_id: &str, class: &str) -> &mut Self {
        self.hand_in(ms, message_id, class).heard(ms, message_id, 202)
    }

    fn call(&mut self, ms: u64, call: u64, message_id: &str, endpoint: &str) -> &mut Self {
        let (sender, endpoint, message_id) = ("n0".to_owned(), endpoint.to_owned(), message_id.to_owned());
        self.at(ms, Event::CallReceived { call, sender, endpoint, message_id, first_us: ms * 1_000 })
    }

    fn answer(&mut self, ms: u64, call: u64, status: u16, wait_ms: u64) -> &mut Self {
        self.at(ms, Event::CallAnswered { call, status, retry_after_ms: wait_ms })
    }

    fn cut(&mut self, ms: u64, call: u64) -> &mut Self {
        self.at(ms, Event::CallAborted { call })
    }

    fn life(&mut self, ms: u64, state: ProcessState) -> &mut Self {
        self.at(ms, Event::ProcessChanged { sender: "n0".to_owned(), state })
    }

    fn notice(&mut self, ms: u64, message_id: &str, status: &str) -> &mut Self {
        let (sender, message_id, status) = ("n0".to_owned(), message_id.to_owned(), status.to_owned());
        self.at(ms, Event::Notified { sender, message_id, status, acknowledged: true })
    }

    fn verdict(&self) -> Verdict {
        check_events(&self.0)
    }

    fn broken(&self) -> BTreeSet<Rule> {
        self.verdict().broken_rules()
    }
}

fn only(rule: Rule) -> BTreeSet<Rule> {
    BTreeSet::from([rule])
}

#[test]
fn a_second_copy_is_seen_while_the_first_is_out_on_an_open_connection() {
    // Answered later: it was out.
    let mut log = Log::new();
    log.take(0, "m", "safe").call(10, 1, "m", "a").call(200, 2, "m", "b").answer(300, 1, 200, 0);
    log.answer(310, 2, 200, 0);
    assert_eq!(log.broken(), only(Rule::Duplication));
    assert_eq!(log.verdict().violations[0].lines, [4, 5]);
    // Its connection had ended, and the stand-in saw that a little later.
    let mut log = Log::new();
    log.take(0, "m", "safe").call(10, 1, "m", "a").call(200, 2, "m", "b").cut(203, 1).answer(300, 2, 200, 0);
    assert!(log.verdict().is_clean(), "{}", log.verdict());
    // Much later.
    let mut log = Log::new();
    log.take(0, "m", "safe").call(10, 1, "m", "a").call(200, 2, "m", "b").cut(900, 1).answer(950, 2, 200, 0);
    assert_eq!(log.broken(), only(Rule::Duplication));
    // Never.
    let mut log = Log::new();
    log.take(0, "m", "safe").call(10, 1, "m", "a").call(200, 2, "m", "b").answer(300, 2, 200, 0);
    assert_eq!(log.broken(), only(Rule::Duplication));
}

#[test]
fn a_send_inside_a_wait_is_let_through_for_a_moment_and_then_not() {
    let with = |second: u64, endpoint: &str| {
        let mut log = Log::new();
        log.take(0, "m", "safe").take(0, "n", "safe").call(10, 1, "m", "a").answer(20, 1, 429, 1_000);
        // On another connection, to another endpoint of the same partner.
        log.call(second, 2, "n", endpoint).answer(second + 5, 2, 200, 0).notice(5_000, "m", "deferred");
        log.broken()
    };
    assert_eq!(with(119, "b"), BTreeSet::new());
    assert_eq!(with(130, "b"), only(Rule::RetryAfter));
    assert_eq!(with(1_019, "b"), only(Rule::RetryAfter));
    assert_eq!(with(1_020, "b"), BTreeSet::new());
    // Routes that are apart have waits of their own, and a restart ends them.
    let mut log = Log::new();
    log.take(0, "m", "safe").take(0, "n", "safe").call(10, 1, "m", "r1").answer(20, 1, 503, 1_000);
    log.call(500, 2, "n", "r2").answer(505, 2, 200, 0);
    assert_eq!(log.broken(), BTreeSet::new());
    log.life(600, ProcessState::Exited)
        .life(700, ProcessState::Ready)
        .call(800, 3, "m", "r1")
        .answer(805, 3, 200, 0);
    assert_eq!(log.broken(), BTreeSet::new());
}

#[test]
fn a_message_whose_client_never_heard_is_not_owed_an_end_and_may_not_be_made_up() {
    let mut log = Log::new();
    log.hand_in(0, "m", "safe")
        .at(400, Event::Unanswered { message_id: "m".to_owned() })
        .life(60_000, ProcessState::Ready);
    let verdict = log.verdict();
    assert!(verdict.is_clean() && verdict.accounting.unanswered == 1 && verdict.accounting.accepted == 0);
    let mut log = Log::new();
    log.take(0, "m", "safe").life(60_000, ProcessState::Ready);
    assert_eq!((log.broken(), log.verdict().accounting.lost), (only(Rule::Loss), 1));
    let mut log = Log::new();
    log.call(5, 1, "nobody's", "a").answer(6, 1, 200, 0);
    assert_eq!(log.broken(), only(Rule::Loss));
}

#[test]
fn a_restart_between_a_calls_last_byte_and_its_answer_leaves_it_as_one_that_may_have_run() {
    let restarted = |class: &str, endpoint: &str| {
        let mut log = Log::new();
        log.life(0, ProcessState::Ready)
            .take(1, "m", class)
            .call(10, 1, "m", "a")
            .life(20, ProcessState::Terminating);
        log.cut(20, 1).life(21, ProcessState::Exited).life(700, ProcessState::Ready);
        log.call(800, 2, "m", endpoint).answer(900, 2, 200, 0);
        log.broken()
    };
    assert_eq!(restarted("safe", "b"), BTreeSet::new());
    assert_eq!(restarted("keyed", "a"), BTreeSet::new());
    assert_eq!(restarted("keyed", "b"), only(Rule::Duplication));
    assert_eq!(restarted("unsafe", "a"), only(Rule::Duplication));
}

#[test]
fn a_restart_puts_ends_off_until_it_is_over_and_no_longer() {
    let ended = |at: u64| {
        let mut log = Log::new();
        log.life(0, ProcessState::Ready)
            .take(1, "m", "safe")
            .life(9_900, ProcessState::Terminating)
            .life(9_950, ProcessState::Exited);
        log.life(10_600, ProcessState::Ready).notice(at, "m", "undeliverable");
        log.broken()
    };
    assert_eq!(ended(12_100), BTreeSet::new());
    assert_eq!(ended(12_200), only(Rule::Loss));
    // A sender that is still down owes nothing yet.
    let mut log = Log::new();
    log.life(0, ProcessState::Ready)
        .take(1, "m", "safe")
        .life(9_900, ProcessState::Exited)
        .life(20_000, ProcessState::Exited);
    assert!(log.verdict().is_clean() && log.verdict().accounting.pending == 1);
}

#[test]
fn refusals_and_keys_hold_to_what_may_have_run() {
    let refused = |class: &str, status: u16| {
        let mut log = Log::new();
        log.take(0, "m", class).call(10, 1, "m", "a").answer(20, 1, status, 0).notice(500, "m", "deferred");
        log.broken()
    };
    for class in ["keyed", "unsafe"] {
        assert_eq!(refused(class, 500), only(Rule::Duplication), "{class}");
        assert_eq!(refused(class, 503), BTreeSet::new(), "{class}");
    }
    assert_eq!(refused("safe", 500), BTreeSet::new());
    // Sent again after its key is forgotten; the hand-in after a failure is another message.
    let again = |at: u64| {
        let mut log = Log::new();
        log.take(0, "m", "keyed").call(10, 1, "m", "a").answer(20, 1, 500, 0);
        log.call(at, 2, "m", "a").answer(at + 5, 2, 200, 0);
        log.verdict().violations.iter().any(|b| b.rule == Rule::Duplication)
    };
    assert!(!again(15_010) && again(15_100));
}

#[test]
fn an_end_is_final() {
    let mut log = Log::new();
    log.take(0, "m", "safe").notice(500, "m", "deferred").call(600, 1, "m", "a").answer(610, 1, 200, 0);
    assert_eq!(log.broken(), only(Rule::Loss));
    let mut log = Log::new();
    log.take(0, "m", "safe").notice(500, "m", "deferred").notice(600, "m", "undeliverable");
    assert_eq!(log.broken(), only(Rule::Loss));
    // The same notice again, or one for what was delivered, does no harm.
    let mut log = Log::new();
    log.take(0, "m", "safe").call(5, 1, "m", "a").answer(9, 1, 200, 0).notice(500, "m", "undeliverable");
    log.notice(600, "m", "undeliverable");
    assert!(log.verdict().is_clean());
}

#[test]
fn only_who_saw_the_outage_and_has_not_begun_anew_pushes_anybody_over() {
    let flooded = |sees: bool, restarts: bool| {
        let outage = |on| Event::Outage { endpoint: "r1".to_owned(), kind: "shut".to_owned(), on };
        let mut log = Log::new();
        log.life(0, ProcessState::Ready).take(1, "m", "safe").at(10, outage(true));
        if sees {
            log.call(20, 1, "m", "r1").answer(21, 1, 503, 0);
        }
        log.at(1_000, outage(false));
        if restarts {
            log.life(1_010, ProcessState::Exited).life(1_500, ProcessState::Ready);
        }
        for n in 0..40 {
            let (at, message_id) = (2_000 + n * 20, format!("m{n}"));
            log.take(at, &message_id, "safe").call(at + 5, 10 + n, &message_id, "r1").answer(
                at + 10,
                10 + n,
                200,
                0,
            );
        }
        log.notice(5_000, "m", "deferred").broken()
    };
    assert_eq!(flooded(true, false), only(Rule::Recovery));
    assert_eq!(flooded(false, false), BTreeSet::new());
    assert_eq!(flooded(true, true), BTreeSet::new());
}

#[test]
fn stand_ins_that_lag_put_a_run_in_doubt() {
    let mut log = Log::new();
    log.at(5, Event::Lagged { who: "clients".to_owned(), lag_us: 60_000 });
    assert!(log.verdict().is_inconclusive() && log.verdict().is_clean());
}

#[test]
fn a_log_that_cannot_be_read_is_named_by_its_line() {
    let mut log = Log::new();
    log.take(0, "m", "safe");
    let mut bytes = Vec::new();
    write(&log.0, &mut bytes).expect("written");
    assert_eq!(read(&bytes[..]).expect("readable"), log.0);
    let text = String::from_utf8(bytes).expect("text");
    let torn = text.replace("\"ev\":\"heard\"", "\"ev\":\"herd\"");
    let error = read(torn.as_bytes()).expect_err("no such event").to_string();
    assert!(error.starts_with("line 3: ") && error.contains("herd"), "{error}");
    let future = text.replacen("\"v\":1", "\"v\":2", 1);
    assert!(read(future.as_bytes()).expect_err("another version").to_string().contains("version 1"));
}

/// A long evening of a sender that keeps every rule, drawn from a seed: calls are refused with waits, fail, are cut
/// by kills and drains, and all are heeded.
fn clean_log(seed: u64, messages: u64) -> Log {
    let mut draw = SeededRng::new(seed);
    let mut log = Log::new();
    log.life(0, ProcessState::Ready);
    let (mut now, mut call) = (1, 0);
    let mut wait_until = 0;
    let mut drained = false;
    for n in 0..messages {
        let class = ["safe", "keyed", "unsafe", "ordered"][draw.integer(0, 4) as usize];
        let message_id = format!("m{n}");
        now += draw.integer(1, 400);
        if draw.chance(0.02) {
            log.life(now, ProcessState::Terminating)
                .life(now + 5, ProcessState::Exited)
                .life(now + 700, ProcessState::Ready);
            (now, wait_until) = (now + 710, 0);
        }
        if !drained && draw.chance(0.02) {
            let (sender, endpoint, phase) = ("n0".to_owned(), "b".to_owned(), "DRAINING".to_owned());
            log.at(now, Event::EndpointChanged { sender, endpoint, phase });
            drained = true;
        }
        if draw.chance(0.05) {
            log.hand_in(now, &message_id, class).heard(now + 2, &message_id, 503);
            continue;
        }
        log.take(now, &message_id, class);
        let started = now;
        let mut hall: Option<&str> = None;
        loop {
            now = (now + draw.integer(1, 200)).max(wait_until);
            let over = now - started > 9_000;
            let may_repeat = match class {
                "unsafe" => hall.is_none(),
                _ => true,
            };
            if over || !may_repeat || draw.chance(0.05) {
                let harmless = hall.is_none() || matches!(class, "safe" | "ordered");
                log.notice(
                    now.min(started + 10_200),
                    &message_id,
                    if harmless { "deferred" } else { "undeliverable" },
                );
                // A key rests after what may still run.
                now += 1_100;
                break;
            }
            let endpoint = match hall.filter(|_| class == "keyed") {
                Some(endpoint) if endpoint == "a" || !drained => endpoint,
                Some(_) => {
                    log.notice(now, &message_id, "undeliverable");
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
                    wait_until = now + wait;
                }
                1 => {
                    log.answer(now, call, 500, 0);
                    hall = hall.or(Some(endpoint));
                }
                2 => {
                    log.cut(now, call);
                    hall = hall.or(Some(endpoint));
                    now += if class == "ordered" { 1_100 } else { 0 };
                }
                _ => {
                    log.answer(now, call, 200, 0);
                    break;
                }
            }
        }
    }
    log.life(now + 20_000, ProcessState::Ready);
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
    fn nothing_is_found_in_long_clean_logs(seed in any::<u64>()) {
        let log = clean_log(seed, 400);
        let verdict = log.verdict();
        prop_assert!(verdict.is_clean(), "seed {seed}:\n{verdict}");
        let a = verdict.accounting;
        prop_assert_eq!(a.accepted, a.delivered + a.rejected + a.failed);
        prop_assert_eq!(a.submitted, 400);
    }

    /// One line of a clean log taken away, and the message that it ended is missed.
    #[test]
    fn an_end_that_is_taken_out_of_a_clean_log_is_missed(seed in any::<u64>()) {
        let mut log = clean_log(seed, 50);
        let last = log.0.iter().rposition(|line| matches!(line.event, Event::Notified { .. }));
        if let Some(last) = last {
            log.0.remove(last);
            prop_assert!(log.broken().contains(&Rule::Loss));
        }
    }
}

impl Log {
    fn link(&mut self, ms: u64, endpoint: &str, hides: bool, on: bool) -> &mut Self {
        let (sender, endpoint, kind) = ("n0".to_owned(), endpoint.to_owned(), "black_hole".to_owned());
        self.at(ms, Event::LinkFault { sender, endpoint, kind, hides_responses: hides, on })
    }

    fn agent(&mut self, ms: u64, kind: &str, on: bool) -> &mut Self {
        self.at(ms, Event::DiscoveryFault { sender: "n0".to_owned(), kind: kind.to_owned(), on })
    }

    fn outage(&mut self, ms: u64, endpoints: &[&str], on: bool) -> &mut Self {
        for endpoint in endpoints {
            let (endpoint, kind) = ((*endpoint).to_owned(), "shut".to_owned());
            self.at(ms, Event::Outage { endpoint, kind, on });
        }
        self
    }
}

#[test]
fn what_a_link_loses_is_neither_told_nor_seen_to_end() {
    for hides in [true, false] {
        let expected = |rule| if hides { BTreeSet::new() } else { only(rule) };
        // A wait whose answer never came back, and a call after the link is well again.
        let mut log = Log::new();
        log.take(0, "m", "safe").take(0, "n", "safe").link(5, "a", hides, true);
        log.call(10, 1, "m", "a").answer(20, 1, 429, 3_000).link(900, "a", hides, false);
        log.call(1_500, 2, "n", "a").answer(1_510, 2, 200, 0).notice(5_000, "m", "deferred");
        assert_eq!(log.broken(), expected(Rule::RetryAfter), "hides {hides}");
        // A call that was out when the link failed was given up; nobody could see that.
        let mut log = Log::new();
        log.take(0, "m", "safe").call(10, 1, "m", "a").link(50, "a", hides, true);
        log.call(2_000, 2, "m", "b").answer(2_010, 2, 200, 0).cut(4_000, 1);
        assert_eq!(log.broken(), expected(Rule::Duplication), "hides {hides}");
        // It may have run all the same: a keyed message stays in its hall.
        let mut log = Log::new();
        log.take(0, "k", "keyed").link(5, "a", hides, true).call(10, 1, "k", "a").cut(900, 1);
        log.call(2_000, 2, "k", "b").answer(2_010, 2, 200, 0);
        assert_eq!(log.broken(), only(Rule::Duplication), "hides {hides}");
    }
    // Only between this sender and this endpoint, and only until it is well again.
    let mut log = Log::new();
    log.take(0, "m", "safe").link(5, "a", true, true).link(8, "a", true, false);
    log.call(10, 1, "m", "a").call(2_000, 2, "m", "b").answer(2_010, 2, 200, 0);
    assert_eq!(log.broken(), only(Rule::Duplication));
}

#[test]
fn a_notice_that_was_not_taken_is_brought_again_soon_after_and_no_later() {
    let with = |kind: &str, end: Option<u64>| {
        let mut log = Log::new();
        log.take(0, "m", "safe").agent(9_000, kind, true).agent(13_000, kind, false);
        if let Some(end) = end {
            log.notice(end, "m", "undeliverable");
        }
        // Time goes on.
        log.agent(30_000, kind, true).broken()
    };
    assert_eq!(with("refuses_notices", Some(15_900)), BTreeSet::new());
    assert_eq!(with("refuses_notices", Some(16_200)), only(Rule::Loss));
    assert_eq!(with("ignores_notices", None), only(Rule::Loss));
    // Silence of the list is no excuse for a notice.
    assert_eq!(with("silent", Some(15_900)), only(Rule::Loss));
    // While nothing is taken nothing is lost.
    let mut log = Log::new();
    log.take(0, "m", "safe").agent(9_000, "ignores_notices", true).agent(20_000, "silent", true);
    assert_eq!((log.broken(), log.verdict().accounting.pending), (BTreeSet::new(), 1));
}

#[test]
fn of_each_return_it_is_said_how_hard_it_was_pushed() {
    // Ten calls a second when warm; 17% of it at first: 5.1 in 3 s.
    let mut log = Log::new();
    log.outage(0, &["a", "b"], true).outage(9_000, &["a", "b"], false);
    for n in 0..4u64 {
        let message_id = format!("m{n}");
        log.take(9_000 + n, &message_id, "safe").call(
            9_010 + n,
            n,
            &message_id,
            if n % 2 == 0 { "a" } else { "b" },
        );
        log.answer(9_020 + n, n, 200, 0);
    }
    let verdict = log.verdict();
    let [back] = &verdict.recoveries[..] else { panic!("{verdict}") };
    assert!(verdict.is_clean() && back.shared && back.kind == "shut" && back.peak_calls == 4, "{verdict}");
    assert!((back.peak_ratio - 4.0 / 5.1).abs() < 0.01, "{verdict}");
    assert_eq!(verdict.peak_recovery_ratio(), back.peak_ratio);
    // One of two endpoints is no return of what they share.
    let mut log = Log::new();
    log.outage(0, &["a"], true).outage(9_000, &["a"], false);
    assert_eq!(log.verdict().recoveries, []);
    // One that is apart comes back by itself.
    let mut log = Log::new();
    log.outage(0, &["r1"], true).outage(9_000, &["r1"], false);
    let verdict = log.verdict();
    assert!(matches!(&verdict.recoveries[..], [back] if !back.shared && back.limit == "r1"), "{verdict}");
}
