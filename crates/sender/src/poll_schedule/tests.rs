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
/// Numbers of senders from one to the largest, with and without staggering.
const FLEETS: [usize; 5] = [1, 30, 100, 300, usize::MAX];

fn schedules(senders: usize, seed: u64) -> Vec<PollDelays> {
    let delays = |n| PollSchedule::new(ON_REQUEST, senders, seed * 1_000 + n as u64).delays();
    (0..senders).map(|n| Box::new(delays(n)) as PollDelays).collect()
}

/// When the last sender gets its list, in seconds since discovery became reachable.
fn time_of_last_list(discovery: DiscoveryService, result: &PollingResult) -> f64 {
    let received = result.list_received_at.iter().map(|at| at.unwrap_or(f64::INFINITY));
    received.fold(0.0, f64::max) - discovery.reachable_at
}

// ---- Bounds ----------------------------------------------------------------------------------------------

/// A change that discovery receives just after a failed request is received here before it is in effect.
#[test]
fn however_often_requests_fail_changes_are_received_before_they_are_in_effect() {
    for ask_within in [POLL_DEADLINE, 2_000.0, 0.0] {
        for peers in FLEETS {
            let mut schedule = PollSchedule::new(Discovery::OnRequest { ask_within }, peers, 1);
            let timeout = schedule.response_timeout();
            // The latest possible response is still received.
            assert!(timeout > MAX_RESPONSE_TIME);
            for n in 0..1_000 {
                // Timed out, rejected at once, rejected late but not from a queue.
                let (elapsed, delay) = match n % 3 {
                    0 => (timeout, schedule.delay_after_failure(timeout)),
                    1 => (Duration::ZERO, schedule.delay_after_rejection(Duration::ZERO)),
                    _ => (
                        QUEUED_REJECTION_AFTER * 9 / 10,
                        schedule.delay_after_rejection(QUEUED_REJECTION_AFTER * 9 / 10),
                    ),
                };
                let reported = elapsed + delay + MAX_RESPONSE_TIME;
                assert!(
                    reported + REQUEST_OVERHEAD <= CHANGE_IN_EFFECT_AFTER,
                    "{peers}, {ask_within}: {elapsed:?} and {delay:?}"
                );
            }
            let latest = (0..1_000).map(|_| schedule.initial_delay()).max();
            assert!(
                latest <= Some(CHANGE_IN_EFFECT_AFTER - MAX_RESPONSE_TIME - REQUEST_OVERHEAD),
                "{peers}, {ask_within}: {latest:?}"
            );
        }
    }
}

#[test]
fn the_initial_delay_is_within_the_polling_deadline() {
    for (ask_within, at_start) in [(POLL_DEADLINE, 3_750), (2_000.0, 1_800), (0.0, 3_750)] {
        for peers in [100, 300, usize::MAX] {
            let mut schedule = PollSchedule::new(Discovery::OnRequest { ask_within }, peers, 1);
            let latest = (0..1_000).map(|_| schedule.initial_delay()).max();
            assert!(latest <= Some(Duration::from_millis(at_start)), "{peers}, {ask_within}: {latest:?}");
        }
    }
}

/// Half of the time has passed when a dead watch is detected.
#[test]
fn changes_missed_by_a_dead_watch_are_received_before_they_are_in_effect() {
    let idle = Duration::from_secs(3);
    for peers in FLEETS {
        let mut schedule = PollSchedule::new(ON_REQUEST, peers, 1);
        let latest = (0..1_000).map(|_| schedule.delay_after_failure(idle)).max().expect("a delay");
        assert!(
            idle + latest + MAX_RESPONSE_TIME + REQUEST_OVERHEAD <= CHANGE_IN_EFFECT_AFTER,
            "{peers}: {latest:?}"
        );
    }
}

/// The list of a local agent is in effect as soon as the agent has it.
#[test]
fn a_local_agent_is_polled_without_staggering_and_with_constant_delays() {
    for peers in FLEETS {
        let mut schedule = PollSchedule::new(Discovery::Pushed, peers, 1);
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

/// Only a discovery service that queues requests is polled with longer delays.
#[test]
fn delays_after_a_rejection_from_a_queue_are_longer_but_at_most_four_polling_deadlines() {
    for (ask_within, failed) in [(POLL_DEADLINE, 20), (2_000.0, 8), (0.0, 20)] {
        for peers in [100, 300, usize::MAX] {
            let mut schedule = PollSchedule::new(Discovery::OnRequest { ask_within }, peers, 1);
            let latest = (0..100).map(|_| schedule.delay_after_rejection(QUEUED_REJECTION_AFTER)).max();
            assert!(latest <= Some(Duration::from_secs(failed)), "{peers}, {ask_within}: {latest:?}");
            assert!(latest > Some(MAX_POLL_GAP), "{peers}, {ask_within}: {latest:?}");
        }
    }
}

// ---- Load on discovery -----------------------------------------------------------------------------------

/// The cost of a request, in seconds, where those of all senders together cost `all`.
fn cost(all: f64, senders: usize) -> f64 {
    // Limited so that each of a few senders receives a response in time.
    (all / senders as f64).min(0.25)
}

/// The service needs two to eight seconds for one request of every sender, and rejects at once what it cannot serve in
/// time.
#[test]
fn no_sender_of_a_fleet_that_starts_together_starves() {
    for (seed, senders) in (0..20).flat_map(|seed| [1, 30, 100, 300].map(|senders| (seed, senders))) {
        for all in [2.0, 8.0] {
            let cost = cost(all, senders);
            let discovery = DiscoveryService {
                request_time: cost,
                overload: OverloadBehaviour::Reject,
                reachable_at: 0.0,
            };
            let last = time_of_last_list(discovery, &simulate_polling(discovery, schedules(senders, seed)));
            // The last rejected request is retried after the longest delay.
            let within = all + MAX_POLL_GAP.as_secs_f64() + cost;
            assert!(last <= within, "seed {seed}, {senders} senders, {all} s: the last list after {last} s");
        }
    }
}

#[test]
fn a_recovering_discovery_is_not_polled_by_all_at_once_and_all_get_their_lists() {
    for (seed, senders) in (0..20).flat_map(|seed| [30, 100, 300].map(|senders| (seed, senders))) {
        for all in [2.0, 8.0] {
            let cost = cost(all, senders);
            let reachable_at = 8.0 + seed as f64 / 7.0;
            let discovery =
                DiscoveryService { request_time: cost, overload: OverloadBehaviour::Reject, reachable_at };
            let result = simulate_polling(discovery, schedules(senders, seed));
            let last = time_of_last_list(discovery, &result);
            let within = all + MAX_POLL_GAP.as_secs_f64() + cost;
            assert!(last <= within, "seed {seed}, {senders} senders, {all} s: the last list after {last} s");
            // In any tenth of a second after the recovery; a thirtieth of them if they were spread evenly.
            let requests_within = |from: f64| {
                result.requests_sent_at.iter().filter(|&&at| at >= from && at < from + 0.1).count()
            };
            let max =
                (0..40).map(|n| requests_within(reachable_at + f64::from(n) * 0.1)).max().expect("some");
            assert!(max * 5 <= senders, "seed {seed}: {max} of {senders} within a tenth of a second");
        }
    }
}

/// All watches become idle, and all senders detect it, at the same moment.
#[test]
fn senders_whose_watches_end_together_do_not_poll_together() {
    for elapsed in [Duration::from_secs(3), Duration::ZERO] {
        let senders = 300;
        let delay =
            |n| PollSchedule::new(ON_REQUEST, senders, n).delay_after_failure(elapsed).as_millis() / 100;
        let delays: Vec<u128> = (0..senders as u64).map(delay).collect();
        let max = (0..60).map(|at| delays.iter().filter(|&&delay| delay == at).count()).max().expect("some");
        assert!(max * 5 <= senders, "{max} of {senders} within a tenth of a second, {elapsed:?}");
    }
}

/// Longer delays let a service that queues requests catch up.
#[test]
fn many_senders_that_start_together_get_their_lists_from_a_queueing_discovery() {
    let cases = [(100, 0.02, 30.0), (100, 0.05, 30.0), (100, 0.1, 30.0), (300, 0.02, 30.0)];
    for (seed, (senders, cost, within)) in (0..20).flat_map(|seed| cases.map(|case| (seed, case))) {
        let discovery =
            DiscoveryService { request_time: cost, overload: OverloadBehaviour::Queue, reachable_at: 0.0 };
        let last = time_of_last_list(discovery, &simulate_polling(discovery, schedules(senders, seed)));
        assert!(
            last <= within,
            "seed {seed}, {senders} senders, {cost} s a request: the last list came after {last} s"
        );
    }
}

/// With the backoff of a single sender, many senders never receive a list from a queue.
#[test]
fn a_hundred_senders_without_staggering_starve_each_other() {
    let alone = |_| Box::new(PollSchedule::new(ON_REQUEST, 1, 0).delays()) as PollDelays;
    let discovery =
        DiscoveryService { request_time: 0.1, overload: OverloadBehaviour::Queue, reachable_at: 0.0 };
    let result = simulate_polling(discovery, (0..100).map(alone).collect());
    let starved = result.list_received_at.iter().filter(|at| at.is_none()).count();
    assert!(starved > 50, "only {starved} had no list after a minute");
}
