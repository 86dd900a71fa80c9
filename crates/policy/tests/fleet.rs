//! Many senders before one partner with a limit that refused calls use up, in simulated time: what is
//! harmless for one must not hurt when a hundred do it.

use rudderspindle_simulation::partner::*;

/// An evening of 24 s without an outage, at so many times what the partner takes.
fn evening(seed: u64, senders: usize, load: f64) -> Scene {
    let calm = Scene::draw(seed, |_| Outage::Refuse);
    Scene {
        senders,
        busy: senders,
        peers: senders,
        limit: Limit::Span { carried: 0.5 },
        told: 60.0,
        routes: 2,
        from: f64::INFINITY,
        until: f64::INFINITY,
        load,
        work: 150.0,
        ends: 24_000.0,
        ..calm
    }
}

/// Refusals a delivered message, and the share of what could be delivered that was.
fn figures(scene: &Scene) -> (f64, f64) {
    let seen = play(scene);
    let room = scene.told * scene.ends / 1_000.0;
    let delivered = seen.delivered as f64;
    (seen.refused as f64 / delivered, delivered / room.min(seen.asked as f64))
}

fn mean(figures: impl Iterator<Item = (f64, f64)>) -> (f64, f64) {
    let all: Vec<(f64, f64)> = figures.collect();
    let of = |f: &dyn Fn(&(f64, f64)) -> f64| all.iter().map(f).sum::<f64>() / all.len() as f64;
    (of(&|f| f.0), of(&|f| f.1))
}

#[test]
fn a_fleet_that_is_handed_more_than_the_limit_does_not_saturate_it_with_refused_calls() {
    for (senders, most) in [(1, 0.05), (3, 0.25), (30, 0.45), (100, 0.35)] {
        let (refused, used) = mean((0..4).map(|seed| figures(&evening(seed, senders, 1.2))));
        println!("{senders} senders: {refused:.2} refusals a delivered message, use {used:.2}");
        assert!(refused < most, "{senders} senders: {refused:.2} refusals a delivered message");
        assert!(used > 0.68, "{senders} senders: {used:.2} of the limit used");
    }
}

#[test]
fn a_lone_busy_sender_among_idle_ones_gets_nearly_the_whole_limit() {
    // What is shared at first is its own after a while.
    let lone = |seed| Scene { busy: 1, ends: 120_000.0, ..evening(seed, 100, 0.9) };
    let (refused, used) = mean((0..4).map(|seed| figures(&lone(seed))));
    println!("one of a hundred: {refused:.2} refusals a delivered message, use {used:.2}");
    assert!(used > 0.85 && refused < 0.1, "use {used:.2}, {refused:.2} refusals a delivered message");
}

/// Waits end for all who were told one alike. A hundred that come back at once keep a limit that refused
/// calls use up full for good, though each of them asks but once a wait.
#[test]
fn a_fleet_finds_its_way_back_to_a_limit_that_was_halved_for_nine_seconds() {
    let limit = Limit::Rate { halved: 8_000.0..17_000.0, wait: 750.0, owed: 1_500.0 };
    for (senders, least) in [(30, 0.7), (100, 0.6)] {
        let scene =
            |seed| Scene { limit: limit.clone(), told: 75.0, ends: 40_000.0, ..evening(seed, senders, 0.9) };
        let (refused, delivered) = mean((0..4).map(|seed| figures(&scene(seed))));
        println!(
            "{senders} senders, halved: {refused:.2} refusals a delivered message, delivered {delivered:.2}"
        );
        assert!(delivered > least, "{senders} senders: {delivered:.2} delivered, {refused:.2} refusals each");
    }
}

/// A hundred polite trials, each at its own part, are a push of their own on a partner that comes back cold.
#[test]
fn a_fleet_does_not_push_over_a_partner_that_returns_after_five_seconds() {
    for senders in [30, 100] {
        let scene =
            |seed| Scene { struck: 0..2, from: 8_000.0, until: 13_000.0, ..evening(seed, senders, 1.2) };
        let worst = (0..6).map(|seed| play(&scene(seed)).worst).fold(0.0, f64::max);
        println!("{senders} senders: pushed to {worst:.2} times what it could do");
        assert!(worst < 2.5, "{senders} senders: pushed to {worst:.2} times what it could do");
    }
}

/// Hardly one sender of hundreds sees enough of an outage to know of it, and what the others send at full
/// pace would push over whoever returns. Notes tell all of them what all saw fail.
#[test]
fn word_of_an_outage_reaches_senders_that_saw_little_of_it() {
    for outage in [Outage::Refuse, Outage::Silent, Outage::Errors { share: 1.0 }, Outage::Shut { tells: 0.3 }]
    {
        let scene = |seed| Scene {
            outage,
            struck: 0..2,
            from: 8_000.0,
            until: 13_000.0,
            told: 75.0,
            notes: Some(Notes { lost: 0.0, cut: 0.0..0.0 }),
            ..evening(seed, 300, 1.2)
        };
        let worst = (0..2).map(|seed| play(&scene(seed)).worst).fold(0.0, f64::max);
        println!("{outage:?}: pushed to {worst:.2} times what it could do");
        assert!(worst < 2.5, "{outage:?}: pushed to {worst:.2} times what it could do");
    }
}

/// The limit falls, waits of 3 s are told, and then nobody gets through for two seconds: the cut is over
/// while most of the waits are not. And as many messages as three senders in ten more would bring come at
/// once when it is over.
#[test]
fn a_cut_that_ends_inside_told_waits_while_the_limit_is_lowered_ends_in_no_push_and_no_lock() {
    for senders in [30, 300] {
        let scene = |seed| Scene {
            limit: Limit::Rate { halved: 5_000.0..20_000.0, wait: 3_000.0, owed: 1_500.0 },
            outage: Outage::Silent,
            struck: 0..2,
            from: 8_000.0,
            until: 10_000.0,
            told: 75.0,
            swell: (3.0, 10_000.0..11_000.0),
            ends: 40_000.0,
            notes: Some(Notes { lost: 0.0, cut: 0.0..0.0 }),
            ..evening(seed, senders, 0.8)
        };
        for seed in 0..2 {
            let seen = play(&scene(seed));
            let (worst, delivered) = (seen.worst, seen.delivered as f64 / seen.asked as f64);
            println!(
                "{senders} senders: pushed to {worst:.2}, delivered {delivered:.2}, {} refused",
                seen.refused
            );
            assert!(worst < 2.5, "{senders} senders: pushed to {worst:.2} times what it could do");
            assert!(delivered > 0.4, "{senders} senders: {delivered:.2} delivered");
            // Where the waits are not kept it is 335 to 550.
            assert!(seen.refused < 300, "{senders} senders: {} refused", seen.refused);
        }
    }
}

/// The limits of the full fleet: a plain rate, of which refused calls use up as much as others.
fn by_rate(seed: u64, senders: usize, notes: Option<Notes>) -> Scene {
    let limit = Limit::Rate { halved: 0.0..0.0, wait: 750.0, owed: f64::INFINITY };
    Scene {
        limit,
        told: 75.0,
        ends: 40_000.0,
        notes,
        swell: (2.5, 8_000.0..10_000.0),
        ..evening(seed, senders, 0.85)
    }
}

/// What each of hundreds does at its own fair part locks a limit for good once a swell has overrun it:
/// refused calls use it up, and hardly one sender sees more than one of them. Told what all want, they share
/// it.
#[test]
fn senders_that_tell_one_another_what_they_want_find_out_of_a_limit_that_refuses_all() {
    for (senders, least, gain) in [(30, 0.9, 0.0), (300, 0.7, 0.05)] {
        let of =
            |notes: Option<Notes>| mean((0..2).map(|seed| figures(&by_rate(seed, senders, notes.clone()))));
        let (alone_refused, alone) = of(None);
        let none = Notes { lost: 0.0, cut: 0.0..0.0 };
        let (refused, delivered) = of(Some(none.clone()));
        let (half_refused, half) = of(Some(Notes { lost: 0.5, ..none.clone() }));
        let (cut_refused, cut) = of(Some(Notes { cut: 6_000.0..16_000.0, ..none }));
        println!(
            "{senders} senders, delivered and refusals each: {alone:.2} {alone_refused:.2} without notes, \
            {delivered:.2} {refused:.2} with them, {half:.2} {half_refused:.2} with half of them lost, \
            {cut:.2} {cut_refused:.2} with none for 10 s"
        );
        assert!(delivered > least && delivered > alone + gain, "{senders} senders: {delivered:.2} delivered");
        assert!(refused < 0.5 * alone_refused, "{senders} senders: {refused:.2} refusals each");
        // Half of the notes are better than none, where those that are lost are reckoned with; that none come
        // for a time costs little.
        assert!(half > alone - 0.05 + gain, "{senders} senders: {half:.2} delivered, half of the notes lost");
        assert!(cut > alone - 0.15, "{senders} senders: {cut:.2} delivered with none for 10 s");
        assert!(half_refused < 0.9 * alone_refused, "{senders} senders: {half_refused:.2} refusals each");
        assert!(cut_refused < 1.5 * alone_refused, "{senders} senders: {cut_refused:.2} refusals each");
    }
}

/// Hundreds that begin together, as after a failure, have all heard of nothing yet, and each has work for the
/// same partner: what each lets go at once is more than it takes in seconds.
#[test]
fn senders_that_begin_together_do_not_all_call_at_once() {
    let scene = |seed| Scene {
        notes: Some(Notes { lost: 0.0, cut: 0.0..0.0 }),
        swell: (15.0, 0.0..400.0),
        ends: 12_000.0,
        ..evening(seed, 300, 0.8)
    };
    let (refused, _) = mean((0..3).map(|seed| figures(&scene(seed))));
    println!("300 senders that begin together: {refused:.2} refusals a delivered message");
    assert!(refused < 0.1, "{refused:.2} refusals a delivered message");
}
