//! Tests the detection of hot streams while senders are unreachable, down or restarted, and the detection of streams
//! that are heavy only in total.

mod simulation;

use rudderspindle_heavy_hitters::{Coverage, HeavyHitters, Key, SenderId, Settings, Slice, aggregators};
use simulation::traffic::{HEAVY_STREAM, Zipf, accept_messages};
use simulation::{BEGIN_MS, Datagram, STEP_MS, Simulation};

fn settings() -> Settings {
    Settings { max_per_second: 40, ..Settings::default() }
}

#[test]
fn a_stream_that_is_hot_only_in_total_is_detected_by_all() {
    let mut simulation = Simulation::new(5, 300, settings(), BEGIN_MS);
    simulation.run(12_000, |simulation| accept_messages(simulation, 1.2, 0.0, |_| true));
    assert_eq!(simulation.count_detecting_senders(HEAVY_STREAM), 0);
    // Each sender accepts 0.3 messages of the heavy stream a second: a fifth of all messages.
    simulation.run(12_000, |simulation| accept_messages(simulation, 1.2, 0.3, |_| true));
    assert_eq!((simulation.count_detecting_senders(HEAVY_STREAM), simulation.check_views()), (300, 300));
}

#[test]
fn a_stream_that_is_hot_at_a_single_sender_is_detected_by_all() {
    let settings = Settings { max_per_second: 200, ..settings() };
    let mut simulation = Simulation::new(6, 60, settings, BEGIN_MS);
    // Sender 7 accepts 90 messages of the heavy stream a second; each sender accepts 5 messages of other
    // streams a second.
    simulation.run(12_000, |simulation| accept_messages(simulation, 5.0, 90.0, |sender| sender == 7));
    assert_eq!((simulation.count_detecting_senders(HEAVY_STREAM), simulation.check_views()), (60, 60));
}

/// If half of the senders do not report, no stream becomes hot and a hot stream stays hot.
#[test]
fn missing_reports_change_no_hot_stream() {
    let mut simulation = Simulation::new(7, 100, settings(), BEGIN_MS);
    // The heavy stream is a quarter of all messages.
    simulation.run(14_000, |simulation| accept_messages(simulation, 9.0, 3.0, |_| true));
    let hot_by_sender: Vec<Vec<Key>> =
        simulation.senders.iter().map(|sender| sender.hot_streams().collect()).collect();
    assert!(hot_by_sender.iter().all(|streams| *streams == [HEAVY_STREAM]));
    simulation.isolated_senders = (0..100).step_by(2).map(SenderId).collect();
    let light_stream = Key::new(1 << 21);
    // The light stream is a fifth of the reported messages, but a fiftieth of the upper bound of all messages.
    for _ in 0..30_000 / STEP_MS {
        simulation.step(|simulation| {
            accept_messages(simulation, 9.0, 3.0, |_| true);
            if simulation.random_fraction() < 0.2 {
                simulation.accept(1, light_stream, None);
            }
        });
        assert_eq!(
            (
                simulation.count_detecting_senders(HEAVY_STREAM),
                simulation.count_detecting_senders(light_stream)
            ),
            (100, 0)
        );
    }
    simulation.check_views();
    // A sender that receives no datagrams decides by its last view, not by its own sketch.
    let stale_before = Slice(simulation.current_slice().0 - 10);
    assert!(simulation.senders[0].view().is_some_and(|view| view.slices().end < stale_before));
    // The senders are reachable again, and the heavy stream continues.
    simulation.isolated_senders.clear();
    simulation.run(14_000, |simulation| accept_messages(simulation, 9.0, 3.0, |_| true));
    assert_eq!((simulation.count_detecting_senders(HEAVY_STREAM), simulation.check_views()), (100, 100));
    // The heavy stream ends; a window later it is hot at no sender.
    simulation.run(26_000, |simulation| accept_messages(simulation, 9.0, 0.0, |_| true));
    assert_eq!(simulation.count_detecting_senders(HEAVY_STREAM), 0);
}

/// Senders restart in the middle of a slice; later, all datagrams are replayed.
#[test]
fn intervals_contain_the_true_counts_after_restarts() {
    let zipf = Zipf::new(50, 1.1);
    let mut simulation = Simulation::new(8, 20, settings(), BEGIN_MS);
    simulation.loss_probability = 0.2;
    let mut accept_zipf = |simulation: &mut Simulation| {
        for sender in 0..20 {
            if simulation.random_fraction() < 0.2 {
                let quantile = simulation.random_fraction();
                simulation.accept(sender, zipf.stream(quantile), None);
            }
        }
    };
    simulation.run(11_000, &mut accept_zipf);
    let mut incarnation = 1;
    for restart in 0..30 {
        incarnation += 1;
        simulation.restart(restart % 20, incarnation);
        simulation.run(1_300, &mut accept_zipf);
        // Views still include messages of the earlier process. A process that has just started may not have a
        // view yet.
        assert!(simulation.check_views() > 15);
    }
    // All datagrams are replayed, also to processes that had not received them: intervals contain the true counts,
    // and a second replay changes no state.
    let mut states_after_replay = || {
        let now = simulation.now();
        for Datagram { from, to, body } in simulation.delivered.clone() {
            let _ = simulation.senders[to.0].receive(now, from, &body);
        }
        assert!(simulation.check_views() > 15);
        simulation.senders.iter().map(|sender| format!("{sender:?}")).collect::<Vec<_>>()
    };
    assert_eq!(states_after_replay(), states_after_replay());
    simulation.run(4_000, &mut accept_zipf);
    assert_eq!(simulation.check_views(), 20);
}

/// If the first aggregator is down, views are late by a second in one slice and on time in the following slices.
#[test]
fn an_aggregator_that_is_down_delays_views_once() {
    let mut simulation = Simulation::new(9, 60, settings(), BEGIN_MS);
    simulation.run(11_000, |simulation| accept_messages(simulation, 9.0, 0.0, |_| true));
    let down_aggregator = aggregators(simulation.current_slice(), 60)[0];
    simulation.isolated_senders.insert(down_aggregator);
    // The first check is 1.4 s into the next slice: the second aggregator was contacted after a second. In
    // later slices it is contacted immediately.
    for duration_ms in [2_400, 900 + 600, 2_000, 2_000] {
        simulation.run(duration_ms, |simulation| accept_messages(simulation, 9.0, 0.0, |_| true));
        let current = simulation.current_slice();
        let is_current = |(index, sender): (usize, &HeavyHitters)| {
            SenderId(index) == down_aggregator
                || sender.view().is_some_and(|view| view.slices().end == current)
        };
        assert!(simulation.senders.iter().enumerate().all(is_current), "{duration_ms}");
    }
    assert_eq!(simulation.check_views(), 60);
}

/// A sender that received no summary for a slice has a nearly complete view in the next slice.
#[test]
fn a_sender_that_missed_summaries_recovers_in_the_next_slice() {
    let mut simulation = Simulation::new(12, 60, settings(), BEGIN_MS);
    simulation.run(12_000, |simulation| accept_messages(simulation, 9.0, 0.0, |_| true));
    let selected = aggregators(simulation.current_slice(), 60);
    let isolated_sender =
        (0..60).map(SenderId).find(|sender| !selected.contains(sender)).expect("three are selected");
    simulation.isolated_senders.insert(isolated_sender);
    simulation.run(2_000, |simulation| accept_messages(simulation, 9.0, 0.0, |_| true));
    simulation.isolated_senders.clear();
    simulation.run(1_500, |simulation| accept_messages(simulation, 9.0, 0.0, |_| true));
    let view = simulation.senders[isolated_sender.0].view().expect("the sender has received a summary");
    assert_eq!(view.slices().end, simulation.current_slice());
    assert!(view.coverage().received >= 298, "{:?}", view.coverage());
}

#[test]
fn an_aggregator_that_begins_its_term_is_sent_the_whole_window() {
    // The next term begins 20 slices later.
    let mut simulation = Simulation::new(11, 60, settings(), BEGIN_MS);
    simulation.loss_probability = 0.2;
    simulation.run(40_000, |simulation| accept_messages(simulation, 9.0, 0.0, |_| true));
    let new_term_slice = simulation.current_slice();
    let old_term_slice = Slice(new_term_slice.0 - 1);
    assert_ne!(aggregators(old_term_slice, 60)[0], aggregators(new_term_slice, 60)[0]);
    // Minimum coverage: 90 % in the first slice, when some senders published late, and 99 % in the second.
    for (slices_later, min_percent) in [(0, 90), (1, 99)] {
        simulation
            .run(1_900 + 100 * slices_later, |simulation| accept_messages(simulation, 9.0, 0.0, |_| true));
        for sender in &simulation.senders {
            let view = sender.view().expect("the sender has received a summary");
            let Coverage { received, expected } = view.coverage();
            assert_eq!(view.slices().end, Slice(new_term_slice.0 + slices_later));
            assert!(received * 100 >= expected * min_percent, "{received} of {expected}");
        }
    }
    assert_eq!(simulation.check_views(), 60);
}

/// All senders report an idempotency key that many of them accept, until a window after the last copy.
#[test]
fn a_repeated_key_is_reported_by_all_senders() {
    let mut simulation = Simulation::new(10, 40, settings(), BEGIN_MS);
    let (repeated_key, single_key) = (Key::new(1 << 30), Key::new(1 << 31));
    let mut next_key = 1 << 32;
    let mut accept = |simulation: &mut Simulation, client_retries: bool| {
        for sender in 0..40 {
            if simulation.random_fraction() < 0.03 {
                next_key += 1;
                simulation.accept(sender, Key::new(1), Some(Key::new(next_key)));
            }
            // A client retries at each sender once every two seconds on average.
            if client_retries && simulation.random_fraction() < 0.005 {
                simulation.accept(sender, Key::new(2), Some(repeated_key));
            }
        }
    };
    simulation.run(2_000, |simulation| accept(simulation, false));
    simulation.accept(3, Key::new(2), Some(single_key));
    simulation.run(7_000, |simulation| accept(simulation, true));
    let now = simulation.now();
    let is_widely_repeated = |sender: &HeavyHitters| {
        sender.repeated_key(repeated_key, now).is_some_and(|found| found.min_senders > 10)
    };
    assert!(simulation.senders.iter().all(is_widely_repeated));
    assert!(simulation.senders.iter().all(|sender| sender.repeated_key(single_key, now).is_none()));
    simulation.run(14_000, |simulation| accept(simulation, false));
    let now = simulation.now();
    assert!(simulation.senders.iter().all(|sender| sender.repeated_key(repeated_key, now).is_none()));
}
