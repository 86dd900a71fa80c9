//! Senders that are unreachable, down or restarted, and heavy streams that no single sender detects.

mod simulation;

use rudderspindle_heavy_hitters::{Coverage, HeavyHitters, Key, SenderId, Settings, Slice, aggregators};
use simulation::traffic::{HEAVY_STREAM, Zipf, accept};
use simulation::{BEGIN_MS, Datagram, STEP_MS, Simulation};

fn settings() -> Settings {
    Settings { max_per_second: 40, ..Settings::default() }
}

#[test]
fn a_stream_that_is_hot_only_in_sum_is_found_by_all() {
    let mut simulation = Simulation::new(5, 300, settings(), BEGIN_MS);
    simulation.run(12_000, |simulation| accept(simulation, 1.2, 0.0, |_| true));
    assert_eq!(simulation.count_finding(HEAVY_STREAM), 0);
    // 0.3 messages a second at each sender: a fifth of all.
    simulation.run(12_000, |simulation| accept(simulation, 1.2, 0.3, |_| true));
    assert_eq!((simulation.count_finding(HEAVY_STREAM), simulation.check_views()), (300, 300));
}

#[test]
fn a_stream_that_is_hot_at_a_single_sender_is_found_by_all() {
    let settings = Settings { max_per_second: 200, ..settings() };
    let mut simulation = Simulation::new(6, 60, settings, BEGIN_MS);
    // Sender 7 accepts 90 messages a second of it, the others 5 a second of other streams.
    simulation.run(12_000, |simulation| accept(simulation, 5.0, 90.0, |sender| sender == 7));
    assert_eq!((simulation.count_finding(HEAVY_STREAM), simulation.check_views()), (60, 60));
}

#[test]
fn half_of_the_senders_silent_makes_no_stream_hot_and_none_cease_to_be() {
    let mut simulation = Simulation::new(7, 100, settings(), BEGIN_MS);
    // The heavy stream is a quarter of all messages.
    simulation.run(14_000, |simulation| accept(simulation, 9.0, 3.0, |_| true));
    let hot: Vec<Vec<Key>> = simulation.senders.iter().map(|sender| sender.hot_streams().collect()).collect();
    assert!(hot.iter().all(|hot| *hot == [HEAVY_STREAM]));
    simulation.isolated = (0..100).step_by(2).map(SenderId).collect();
    let quiet = Key::new(1 << 21);
    // Another stream is a fifth of the reported messages, and a fiftieth of the possible maximum.
    for _ in 0..30_000 / STEP_MS {
        simulation.step(|simulation| {
            accept(simulation, 9.0, 3.0, |_| true);
            if simulation.chance() < 0.2 {
                simulation.accept(1, quiet, None);
            }
        });
        assert_eq!((simulation.count_finding(HEAVY_STREAM), simulation.count_finding(quiet)), (100, 0));
    }
    simulation.check_views();
    // A sender that receives nothing decides by its last view, not by its own sketch.
    let oldest = Slice(simulation.current_slice().0 - 10);
    assert!(simulation.senders[0].view().is_some_and(|view| view.slices().end < oldest));
    // The senders are reachable again, and the heavy stream continues.
    simulation.isolated.clear();
    simulation.run(14_000, |simulation| accept(simulation, 9.0, 3.0, |_| true));
    assert_eq!((simulation.count_finding(HEAVY_STREAM), simulation.check_views()), (100, 100));
    // It ends; a window later it is hot at no sender.
    simulation.run(26_000, |simulation| accept(simulation, 9.0, 0.0, |_| true));
    assert_eq!(simulation.count_finding(HEAVY_STREAM), 0);
}

#[test]
fn a_sender_that_restarts_in_the_middle_of_a_slice_is_replaced_and_the_truth_stays_inside() {
    let zipf = Zipf::new(50, 1.1);
    let mut simulation = Simulation::new(8, 20, settings(), BEGIN_MS);
    simulation.loss = 0.2;
    let mut accept = |simulation: &mut Simulation| {
        for sender in 0..20 {
            if simulation.chance() < 0.2 {
                let point = simulation.chance();
                simulation.accept(sender, zipf.stream(point), None);
            }
        }
    };
    simulation.run(11_000, &mut accept);
    let mut incarnation = 1;
    for round in 0..30 {
        incarnation += 1;
        simulation.restart(round % 20, incarnation);
        simulation.run(1_300, &mut accept);
        // Views still include messages of the earlier process. A process that has just started may have no view.
        assert!(simulation.check_views() > 15);
    }
    // All datagrams are replayed, also to processes that had not received them: intervals contain the truth, and a second
    // replay makes no difference.
    let mut replayed = || {
        let now = simulation.now();
        for Datagram { from, to, body } in simulation.delivered.clone() {
            let _ = simulation.senders[to.0].receive(now, from, &body);
        }
        assert!(simulation.check_views() > 15);
        simulation.senders.iter().map(|sender| format!("{sender:?}")).collect::<Vec<_>>()
    };
    assert_eq!(replayed(), replayed());
    simulation.run(4_000, &mut accept);
    assert_eq!(simulation.check_views(), 20);
}

#[test]
fn an_aggregator_that_is_down_costs_a_second_once() {
    let mut simulation = Simulation::new(9, 60, settings(), BEGIN_MS);
    simulation.run(11_000, |simulation| accept(simulation, 9.0, 0.0, |_| true));
    let down = aggregators(simulation.current_slice(), 60)[0];
    simulation.isolated.insert(down);
    // 1.4 s into the next slice: the second aggregator was contacted after a second, from then on immediately.
    for duration_ms in [2_400, 900 + 600, 2_000, 2_000] {
        simulation.run(duration_ms, |simulation| accept(simulation, 9.0, 0.0, |_| true));
        let current = simulation.current_slice();
        let is_current = |(index, sender): (usize, &HeavyHitters)| {
            SenderId(index) == down || sender.view().is_some_and(|view| view.slices().end == current)
        };
        assert!(simulation.senders.iter().enumerate().all(is_current), "{duration_ms}");
    }
    assert_eq!(simulation.check_views(), 60);
}

#[test]
fn a_sender_that_missed_the_summaries_of_a_slice_reads_in_the_next_what_all_have_published() {
    let mut simulation = Simulation::new(12, 60, settings(), BEGIN_MS);
    simulation.run(12_000, |simulation| accept(simulation, 9.0, 0.0, |_| true));
    let selected = aggregators(simulation.current_slice(), 60);
    let cut_off =
        (0..60).map(SenderId).find(|sender| !selected.contains(sender)).expect("three are selected");
    simulation.isolated.insert(cut_off);
    simulation.run(2_000, |simulation| accept(simulation, 9.0, 0.0, |_| true));
    simulation.isolated.clear();
    simulation.run(1_500, |simulation| accept(simulation, 9.0, 0.0, |_| true));
    let view = simulation.senders[cut_off.0].view().expect("summaries came");
    assert_eq!(view.slices().end, simulation.current_slice());
    assert!(view.coverage().received >= 298, "{:?}", view.coverage());
}

#[test]
fn an_aggregator_that_begins_its_term_is_sent_the_whole_window() {
    // The next term begins 20 slices later.
    let mut simulation = Simulation::new(11, 60, settings(), BEGIN_MS);
    simulation.loss = 0.2;
    simulation.run(40_000, |simulation| accept(simulation, 9.0, 0.0, |_| true));
    let after = simulation.current_slice();
    let before = Slice(after.0 - 1);
    assert_ne!(aggregators(before, 60)[0], aggregators(after, 60)[0]);
    // In its first slice at senders that published in time, a slice later at nearly all.
    for (slices_on, min_percent) in [(0, 90), (1, 99)] {
        simulation.run(1_900 + 100 * slices_on, |simulation| accept(simulation, 9.0, 0.0, |_| true));
        for sender in &simulation.senders {
            let view = sender.view().expect("summaries came");
            let Coverage { received, expected } = view.coverage();
            assert_eq!(view.slices().end, Slice(after.0 + slices_on));
            assert!(received * 100 >= expected * min_percent, "{received} of {expected}");
        }
    }
    assert_eq!(simulation.check_views(), 60);
}

#[test]
fn a_key_that_many_senders_accept_is_reported_by_all_until_a_window_later() {
    let mut simulation = Simulation::new(10, 40, settings(), BEGIN_MS);
    let (repeated, once) = (Key::new(1 << 30), Key::new(1 << 31));
    let mut next = 1 << 32;
    let mut accept = |simulation: &mut Simulation, repeats: bool| {
        for sender in 0..40 {
            if simulation.chance() < 0.03 {
                next += 1;
                simulation.accept(sender, Key::new(1), Some(Key::new(next)));
            }
            // A client that retries every two seconds, at any sender.
            if repeats && simulation.chance() < 0.005 {
                simulation.accept(sender, Key::new(2), Some(repeated));
            }
        }
    };
    simulation.run(2_000, |simulation| accept(simulation, false));
    simulation.accept(3, Key::new(2), Some(once));
    simulation.run(7_000, |simulation| accept(simulation, true));
    let now = simulation.now();
    let is_widely_repeated = |sender: &HeavyHitters| {
        sender.repeated_key(repeated, now).is_some_and(|found| found.min_senders > 10)
    };
    assert!(simulation.senders.iter().all(is_widely_repeated));
    assert!(simulation.senders.iter().all(|sender| sender.repeated_key(once, now).is_none()));
    simulation.run(14_000, |simulation| accept(simulation, false));
    let now = simulation.now();
    assert!(simulation.senders.iter().all(|sender| sender.repeated_key(repeated, now).is_none()));
}
