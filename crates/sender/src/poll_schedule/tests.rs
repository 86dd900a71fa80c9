//! Bounds of the delays, and their effect on a simulated discovery service with many senders.

use std::time::Duration;

use rudderspindle_policy::interface::{Discovery, Millis};
use rudderspindle_simulation::list_polling::{
    DiscoveryService, OverloadBehaviour, PollDelays, PollingResult, simulate_polling,
};

use super::{
    CHANGE_IN_EFFECT_AFTER, MAX_POLL_GAP, MAX_RESPONSE_TIME, MIN_BACKOFF, PollSchedule,
    QUEUED_REJECTION_AFTER, REQUEST_OVERHEAD,
};

const POLL_DEADLINE: Millis = 10_000.0;
const ON_REQUEST: Discovery = Discovery::OnRequest { ask_within: POLL_DEADLINE };
/// Numbers of senders, from one to the largest value, for which requests are staggered or not.
const SENDER_COUNTS: [usize; 5] = [1, 30, 100, 300, usize::MAX];

fn schedules(senders: usize, seed: u64) -> Vec<PollDelays> {
    let delays = |n| PollSchedule::new(ON_REQUEST, senders, seed * 1_000 + n as u64).delays();
    (0..senders).map(|n| Box::new(delays(n)) as PollDelays).collect()
}

/// The time at which the last sender receives its list, in seconds since discovery became reachable.
fn time_of_last_list(discovery: DiscoveryService, result: &PollingResult) -> f64 {
    let received = result.list_received_at.iter().map(|at| at.unwrap_or(f64::INFINITY));
    received.fold(0.0, f64::max) - discovery.reachable_at
}

// ---- Bounds ----------------------------------------------------------------------------------------------

/// Discovery has a change just after a request that failed; the sender receives the change with the next request.
#[test]
fn changes_arrive_before_they_are_in_effect_despite_failures() {
    for ask_within in [POLL_DEADLINE, 2_000.0, 0.0] {
        for senders in SENDER_COUNTS {
            let mut schedule = PollSchedule::new(Discovery::OnRequest { ask_within }, senders, 1);
            let timeout = schedule.response_timeout();
            // The timeout must not expire before the latest possible response.
            assert!(timeout > MAX_RESPONSE_TIME);
            for n in 0..1_000 {
                // The request timed out, was rejected at once, or was rejected late but not from a queue.
                let (elapsed, delay) = match n % 3 {
                    0 => (timeout, schedule.delay_after_failure(timeout)),
                    1 => (Duration::ZERO, schedule.delay_after_rejection(Duration::ZERO)),
                    _ => (
                        QUEUED_REJECTION_AFTER * 9 / 10,
                        schedule.delay_after_rejection(QUEUED_REJECTION_AFTER * 9 / 10),
                    ),
                };
                let list_received_after = elapsed + delay + MAX_RESPONSE_TIME;
                assert!(
                    list_received_after + REQUEST_OVERHEAD <= CHANGE_IN_EFFECT_AFTER,
                    "{senders}, {ask_within}: {elapsed:?} and {delay:?}"
                );
            }
            let latest = (0..1_000).map(|_| schedule.initial_delay()).max();
            assert!(
                latest <= Some(CHANGE_IN_EFFECT_AFTER - MAX_RESPONSE_TIME - REQUEST_OVERHEAD),
                "{senders}, {ask_within}: {latest:?}"
            );
        }
    }
}

#[test]
fn the_initial_delay_is_within_the_polling_deadline() {
    for (ask_within, max_delay_ms) in [(POLL_DEADLINE, 3_750), (2_000.0, 1_800), (0.0, 3_750)] {
        for senders in [100, 300, usize::MAX] {
            let mut schedule = PollSchedule::new(Discovery::OnRequest { ask_within }, senders, 1);
            let latest = (0..1_000).map(|_| schedule.initial_delay()).max();
            assert!(
                latest <= Some(Duration::from_millis(max_delay_ms)),
                "{senders}, {ask_within}: {latest:?}"
            );
        }
    }
}

/// When a sender detects that a watch is dead, half of the time until a missed change is in effect has passed.
#[test]
fn changes_missed_by_a_dead_watch_arrive_before_taking_effect() {
    let idle = Duration::from_secs(3);
    for senders in SENDER_COUNTS {
        let mut schedule = PollSchedule::new(ON_REQUEST, senders, 1);
        let latest = (0..1_000).map(|_| schedule.delay_after_failure(idle)).max().expect("a delay");
        assert!(
            idle + latest + MAX_RESPONSE_TIME + REQUEST_OVERHEAD <= CHANGE_IN_EFFECT_AFTER,
            "{senders}: {latest:?}"
        );
    }
}

/// Delays are short because the list of a local agent is in effect as soon as the agent has it.
#[test]
fn a_local_agent_is_polled_at_once_and_with_constant_delays() {
    for senders in SENDER_COUNTS {
        let mut schedule = PollSchedule::new(Discovery::Pushed, senders, 1);
        assert!(!schedule.is_staggered());
        assert_eq!(schedule.initial_delay(), Duration::ZERO);
        for _ in 0..100 {
            let timeout = schedule.response_timeout();
            for delay in [
                schedule.delay_after_failure(timeout),
                schedule.delay_after_rejection(timeout),
                schedule.delay_after_rejection(Duration::ZERO),
            ] {
                assert!(timeout + delay <= Duration::from_millis(400), "{timeout:?} and {delay:?}");
            }
        }
    }
}

#[test]
fn a_few_senders_poll_at_once_and_with_exponential_backoff() {
    let mut schedule = PollSchedule::new(ON_REQUEST, 3, 1);
    assert_eq!(schedule.initial_delay(), Duration::ZERO);
    let delays: Vec<u128> =
        (0..6).map(|_| schedule.delay_after_failure(Duration::ZERO).as_millis()).collect();
    assert_eq!(delays, [50, 100, 200, 400, 800, 1_000]);
    schedule.record_success();
    assert_eq!(schedule.delay_after_failure(Duration::ZERO), MIN_BACKOFF);
}

/// The maximum is four polling deadlines. Only a discovery service that queues requests is polled with these delays.
#[test]
fn delays_after_a_rejection_from_a_queue_are_longer_but_bounded() {
    for (ask_within, max_delay_s) in [(POLL_DEADLINE, 20), (2_000.0, 8), (0.0, 20)] {
        for senders in [100, 300, usize::MAX] {
            let mut schedule = PollSchedule::new(Discovery::OnRequest { ask_within }, senders, 1);
            let latest = (0..100).map(|_| schedule.delay_after_rejection(QUEUED_REJECTION_AFTER)).max();
            assert!(latest <= Some(Duration::from_secs(max_delay_s)), "{senders}, {ask_within}: {latest:?}");
            assert!(latest > Some(MAX_POLL_GAP), "{senders}, {ask_within}: {latest:?}");
        }
    }
}

// ---- Load on discovery -----------------------------------------------------------------------------------

/// Service time of a request, in seconds, if one request of each sender takes `total` seconds together.
fn request_time(total: f64, senders: usize) -> f64 {
    // The limit lets each of a few senders receive a response in time.
    (total / senders as f64).min(0.25)
}

/// The service needs two to eight seconds for one request of every sender, and immediately rejects requests that it
/// cannot serve in time.
#[test]
fn no_sender_of_a_fleet_that_starts_together_starves() {
    for (seed, senders) in (0..20).flat_map(|seed| [1, 30, 100, 300].map(|senders| (seed, senders))) {
        for total in [2.0, 8.0] {
            let request_time_s = request_time(total, senders);
            let discovery = DiscoveryService {
                request_time: request_time_s,
                overload: OverloadBehaviour::Reject,
                reachable_at: 0.0,
            };
            let last = time_of_last_list(discovery, &simulate_polling(discovery, schedules(senders, seed)));
            // The last rejected request is retried after the longest delay.
            let max_time = total + MAX_POLL_GAP.as_secs_f64() + request_time_s;
            assert!(
                last <= max_time,
                "seed {seed}, {senders} senders, {total} s: the last list after {last} s"
            );
        }
    }
}

/// The requests are staggered, and all senders still receive their lists in time.
#[test]
fn a_recovering_discovery_is_not_polled_by_all_senders_at_once() {
    for (seed, senders) in (0..20).flat_map(|seed| [30, 100, 300].map(|senders| (seed, senders))) {
        for total in [2.0, 8.0] {
            let request_time_s = request_time(total, senders);
            let reachable_at = 8.0 + seed as f64 / 7.0;
            let discovery = DiscoveryService {
                request_time: request_time_s,
                overload: OverloadBehaviour::Reject,
                reachable_at,
            };
            let result = simulate_polling(discovery, schedules(senders, seed));
            let last = time_of_last_list(discovery, &result);
            let max_time = total + MAX_POLL_GAP.as_secs_f64() + request_time_s;
            assert!(
                last <= max_time,
                "seed {seed}, {senders} senders, {total} s: the last list after {last} s"
            );
            // At most a fifth of the senders send a request in any tenth of a second after the recovery. If the
            // requests were spread evenly, it would be a thirtieth.
            let requests_from = |from: f64| {
                result.requests_sent_at.iter().filter(|&&at| at >= from && at < from + 0.1).count()
            };
            let max =
                (0..40).map(|n| requests_from(reachable_at + f64::from(n) * 0.1)).max().expect("a maximum");
            assert!(
                max * 5 <= senders,
                "seed {seed}: {max} of {senders} senders sent a request within a tenth of a second"
            );
        }
    }
}

/// All watches become idle at the same moment, and all senders detect that at the same moment.
#[test]
fn senders_whose_watches_end_together_do_not_poll_together() {
    for elapsed in [Duration::from_secs(3), Duration::ZERO] {
        let senders = 300;
        let delay =
            |n| PollSchedule::new(ON_REQUEST, senders, n).delay_after_failure(elapsed).as_millis() / 100;
        let delays: Vec<u128> = (0..senders as u64).map(delay).collect();
        let max =
            (0..60).map(|at| delays.iter().filter(|&&delay| delay == at).count()).max().expect("a maximum");
        assert!(
            max * 5 <= senders,
            "{max} of {senders} senders poll within a tenth of a second, {elapsed:?}"
        );
    }
}

/// The senders start together. Longer delays let a service that queues requests serve all of them.
#[test]
fn many_senders_receive_their_lists_from_a_queueing_discovery() {
    let cases = [(100, 0.02, 30.0), (100, 0.05, 30.0), (100, 0.1, 30.0), (300, 0.02, 30.0)];
    for (seed, (senders, request_time_s, max_time)) in (0..20).flat_map(|seed| cases.map(|case| (seed, case)))
    {
        let discovery = DiscoveryService {
            request_time: request_time_s,
            overload: OverloadBehaviour::Queue,
            reachable_at: 0.0,
        };
        let last = time_of_last_list(discovery, &simulate_polling(discovery, schedules(senders, seed)));
        assert!(
            last <= max_time,
            "seed {seed}, {senders} senders, {request_time_s} s a request: the last list came after {last} s"
        );
    }
}

/// With the exponential backoff of a single sender, many senders never receive a list from a service that queues
/// requests.
#[test]
fn a_hundred_senders_without_staggering_starve_each_other() {
    let unstaggered = |_| Box::new(PollSchedule::new(ON_REQUEST, 1, 0).delays()) as PollDelays;
    let discovery =
        DiscoveryService { request_time: 0.1, overload: OverloadBehaviour::Queue, reachable_at: 0.0 };
    let result = simulate_polling(discovery, (0..100).map(unstaggered).collect());
    let starved = result.list_received_at.iter().filter(|at| at.is_none()).count();
    assert!(starved > 50, "only {starved} senders had no list after a minute");
}
