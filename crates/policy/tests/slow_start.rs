//! What a returning receiver gets from all senders together, in simulated time: N calls in the time that
//! overloads it, and what chance may add to them, 2 root N + 2. Only calls of senders that had seen a failure
//! in the outage are counted: others cannot know of it. `rudderspindle-bench fleet-limit --returns` prints
//! the whole table.

use rudderspindle_simulation::partner::*;

const OUTAGES: [Outage; 5] = [
    Outage::Refuse,
    Outage::Silent,
    Outage::Errors { share: 0.9 },
    Outage::Shut { tells: 1.0 },
    Outage::Shut { tells: 0.0 },
];

/// An outage in which at least two messages come to each sender; a tenth of them restart after the return.
fn scene(seed: u64, senders: usize, told: f64, load: f64, outage: Outage) -> Scene {
    let calm = Scene::draw(seed, |_| outage);
    let comes = (calm.until - calm.from) / 1_000.0 * load * told;
    Scene {
        senders,
        busy: senders,
        peers: senders,
        limit: Limit::Span { carried: 0.5 },
        told,
        load,
        swell: ((2.0 * senders as f64 / comes).max(1.0), calm.from..calm.until),
        restart: Some((0..senders.div_ceil(10), calm.until + 1_500.0)),
        gone: 600.0,
        ..calm
    }
}

/// The highest load from senders that know of the outage over the bound, over all outages, and its scene.
fn highest_load(senders: usize, told: f64, load: f64, notes: &Option<Notes>) -> (f64, String) {
    let mut highest = (0.0, String::new());
    for seed in 0..3 {
        for outage in OUTAGES {
            let scene = Scene { notes: notes.clone(), ..scene(seed, senders, told, load, outage) };
            let push = play(&scene).push[1];
            if push.told_ratio() > highest.0 {
                highest = (push.told_ratio(), format!("seed {seed}, {outage:?}: {push:?}"));
            }
        }
    }
    highest
}

fn assert_bound(senders: usize, told: f64, notes: &Option<Notes>) {
    // As much as it takes, and three times that: each sender has more messages than its share allows.
    for load in [0.9, 3.0] {
        let (ratio, what) = highest_load(senders, told, load, notes);
        println!("{senders} senders, {told} a second, load {load}: {ratio:.2}");
        assert!(ratio <= 1.0, "{senders} senders, {told} a second, load {load}: {ratio:.2}, {what}");
    }
}

#[test]
fn without_reports_2_to_30_senders_do_not_overload_a_returning_receiver() {
    for senders in [2, 10, 20, 30] {
        assert_bound(senders, 5.0, &None);
        assert_bound(senders, 75.0, &None);
    }
}

#[test]
fn with_reports_and_with_half_of_them_lost_they_do_not_overload_it() {
    for lost in [0.0, 0.5] {
        let notes = Some(Notes { lost, cut: 0.0..0.0 });
        for senders in [20, 30] {
            assert_bound(senders, 5.0, &notes);
            assert_bound(senders, 75.0, &notes);
        }
    }
}

#[test]
fn a_partitioned_fleet_does_not_overload_a_returning_receiver() {
    let cut = Some(Notes { lost: 0.0, cut: 6_000.0..f64::INFINITY });
    for senders in [20, 30] {
        assert_bound(senders, 75.0, &cut);
    }
}

#[test]
fn three_hundred_senders_do_not_overload_a_large_returning_receiver() {
    for notes in [None, Some(Notes { lost: 0.0, cut: 0.0..0.0 })] {
        let (ratio, what) = highest_load(300, 75.0, 0.9, &notes);
        println!("300 senders: {ratio:.2}");
        assert!(ratio <= 1.0, "300 senders: {ratio:.2}, {what}");
    }
}

/// With reports a busy sender among many may take more than an equal part, as the others want nothing.
#[test]
fn with_reports_busy_senders_get_what_idle_ones_leave() {
    let served = |notes: Option<Notes>| -> f64 {
        let of = |seed| {
            let calm = scene(seed, 30, 75.0, 0.9, Outage::Refuse);
            let seen = play(&Scene { busy: 3, restart: None, notes: notes.clone(), ..calm });
            seen.served as f64 / while_warming(75.0)
        };
        (0..3).map(of).sum::<f64>() / 3.0
    };
    let alone = served(None);
    let reported = served(Some(Notes { lost: 0.0, cut: 0.0..0.0 }));
    println!(
        "three of thirty busy: {alone:.2} of what a returning receiver can take without reports, {reported:.2} with them"
    );
    assert!(reported > 0.6 && reported > 2.0 * alone, "{reported:.2} with reports, {alone:.2} without");
}
