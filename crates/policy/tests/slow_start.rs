//! What a partner that returns cold gets from all senders together, in simulated time: N calls in the fall
//! time, and what chance may add to them, 2 root N + 2. Counted are calls of senders that had been told of
//! the outage, by a failure at the least: whoever was handed nothing in it cannot know. The whole table is
//! `rig fleet-limit --returns`.

use rudderspindle_simulation::partner::*;

const OUTAGES: [Outage; 5] = [
    Outage::Refuse,
    Outage::Silent,
    Outage::Errors { share: 0.9 },
    Outage::Shut { tells: 1.0 },
    Outage::Shut { tells: 0.0 },
];

/// An outage in which two messages at the least come to each sender; a tenth of these begin anew after the
/// return.
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

/// The hardest push of told senders over what may be, over all outages, and which scene it was.
fn hardest(senders: usize, told: f64, load: f64, notes: &Option<Notes>) -> (f64, String) {
    let mut hardest = (0.0, String::new());
    for seed in 0..3 {
        for outage in OUTAGES {
            let scene = Scene { notes: notes.clone(), ..scene(seed, senders, told, load, outage) };
            let push = play(&scene).push[1];
            if push.told_ratio() > hardest.0 {
                hardest = (push.told_ratio(), format!("seed {seed}, {outage:?}: {push:?}"));
            }
        }
    }
    hardest
}

fn assert_bound(senders: usize, told: f64, notes: &Option<Notes>) {
    // As much as it takes, and three times that: each sender holds more than its part could send.
    for load in [0.9, 3.0] {
        let (ratio, what) = hardest(senders, told, load, notes);
        println!("{senders} senders, {told} a second, load {load}: {ratio:.2}");
        assert!(ratio <= 1.0, "{senders} senders, {told} a second, load {load}: {ratio:.2}, {what}");
    }
}

#[test]
fn without_notes_a_cold_partner_gets_no_more_than_it_bears_from_2_to_30_senders_together() {
    for senders in [2, 10, 20, 30] {
        assert_bound(senders, 5.0, &None);
        assert_bound(senders, 75.0, &None);
    }
}

#[test]
fn with_notes_and_with_half_of_them_lost_it_gets_no_more_than_it_bears() {
    for lost in [0.0, 0.5] {
        let notes = Some(Notes { lost, cut: 0.0..0.0 });
        for senders in [20, 30] {
            assert_bound(senders, 5.0, &notes);
            assert_bound(senders, 75.0, &notes);
        }
    }
}

#[test]
fn parts_of_a_fleet_that_hear_only_themselves_do_not_each_take_the_whole_of_a_cold_partner() {
    let cut = Some(Notes { lost: 0.0, cut: 6_000.0..f64::INFINITY });
    for senders in [20, 30] {
        assert_bound(senders, 75.0, &cut);
    }
}

#[test]
fn three_hundred_senders_push_a_large_partner_no_further() {
    for notes in [None, Some(Notes { lost: 0.0, cut: 0.0..0.0 })] {
        let (ratio, what) = hardest(300, 75.0, 0.9, &notes);
        println!("300 senders: {ratio:.2}");
        assert!(ratio <= 1.0, "300 senders: {ratio:.2}, {what}");
    }
}

/// What notes are for: one busy sender among many may take more than an equal part, as the others want
/// nothing.
#[test]
fn notes_give_the_few_who_have_work_what_the_others_leave() {
    let served = |notes: Option<Notes>| -> f64 {
        let of = |seed| {
            let calm = scene(seed, 30, 75.0, 0.9, Outage::Refuse);
            let seen = play(&Scene { busy: 3, restart: None, notes: notes.clone(), ..calm });
            seen.served as f64 / while_warming(75.0)
        };
        (0..3).map(of).sum::<f64>() / 3.0
    };
    let (alone, told) = (served(None), served(Some(Notes { lost: 0.0, cut: 0.0..0.0 })));
    println!(
        "three of thirty busy: {alone:.2} of what a warming partner can do without notes, {told:.2} with them"
    );
    assert!(told > 0.6 && told > 2.0 * alone, "{told:.2} with notes, {alone:.2} without");
}
