//! Thirty senders before one limit, each call of which needs a turn.

use rudderspindle_simulation::partner::*;

const LIMIT: f64 = 60.0;

/// An evening of 16 s at more than the partner takes.
fn evening(seed: u64, lost: f64) -> Scene {
    let calm = Scene::draw(seed, |_| Outage::Refuse);
    Scene {
        senders: 30,
        busy: 30,
        peers: 30,
        limit: Limit::Span { carried: 0.5 },
        told: LIMIT,
        routes: 2,
        from: f64::INFINITY,
        until: f64::INFINITY,
        load: 1.2,
        work: 150.0,
        notes: Some(Notes { lost, cut: 0.0..0.0 }),
        bound: Bound::Strict,
        ends: 16_000.0,
        ..calm
    }
}

fn assert_bound(scene: &Scene, seen: &Seen) {
    for span in [50.0, 250.0, 1_000.0, 4_000.0] {
        let (most, bound) = (seen.most_within(span), most_by_rights(scene.told, span, scene.clocks));
        assert!(most as f64 <= bound, "{most} calls in {span} ms, {bound} may be");
    }
    assert!(seen.most_in_whole_second() <= seen.most_in_second());
}

#[test]
fn whatever_is_lost_no_span_has_more_calls_than_the_bound_and_hardly_one_is_refused() {
    for lost in [0.0, 0.5, 1.0] {
        for seed in 0..2 {
            let scene = evening(seed, lost);
            let seen = play(&scene);
            let (refused, delivered) = (seen.refused as f64, seen.delivered as f64);
            println!(
                "{lost} lost: worst second {}, {delivered} delivered, {refused} refused",
                seen.most_in_second()
            );
            assert_bound(&scene, &seen);
            assert!(refused < 0.05 * delivered, "{lost} lost: {refused} refused, {delivered} delivered");
            // Less what a start costs, and the last seconds, in which nothing comes.
            let least = if lost == 0.0 { 0.75 } else { 0.4 };
            assert!(delivered > least * LIMIT * 16.0, "{lost} lost: {delivered} delivered");
        }
    }
}

/// What is not held by turns breaks the bound: the check sees it.
#[test]
fn without_turns_the_bound_is_broken_where_half_of_the_notes_are_lost() {
    let scene = Scene { bound: Bound::Use, ..evening(0, 0.5) };
    let most = play(&scene).most_in_second() as f64;
    assert!(most > most_by_rights(LIMIT, 1_000.0, 0), "{most} calls in the worst second");
}

#[test]
fn the_bound_holds_where_a_sender_is_killed_after_it_used_its_turns_and_is_back_0_6_s_later() {
    for at in [6_100.0, 6_600.0, 7_350.0, 7_900.0] {
        // All of it goes to one sender's messages, so that it has used all of what it has.
        let scene = Scene { busy: 1, restart: Some((0..1, at)), gone: 600.0, ..evening(3, 0.0) };
        let seen = play(&scene);
        assert_bound(&scene, &seen);
        let before = seen.starts.iter().filter(|start| (at - 1_000.0..at).contains(*start)).count();
        assert!(before as f64 > 0.7 * LIMIT, "{before} calls in the second before its end");
        let back = seen.starts.iter().filter(|start| **start > at + 3_600.0).count();
        assert!(back as f64 > 0.6 * LIMIT, "{back} calls since three seconds after it was back");
    }
}

#[test]
fn clocks_that_are_200_ms_apart_widen_the_bound_by_no_more() {
    for lost in [0.0, 0.5, 1.0] {
        let scene = Scene { clocks: 200, ..evening(4, lost) };
        let seen = play(&scene);
        println!("{lost} lost: worst second {}", seen.most_in_second());
        assert_bound(&scene, &seen);
        assert!(seen.delivered > 300, "{} delivered", seen.delivered);
    }
}

/// Turns know of no outage: where notes tell of one, those that are too many are left out, the same at every sender.
#[test]
fn strict_senders_do_not_push_over_a_partner_that_returns_from_an_outage() {
    for lost in [0.0, 0.5] {
        let down = (8_000.0, 13_000.0);
        let scene = Scene {
            senders: 300,
            busy: 300,
            peers: 300,
            told: 75.0,
            struck: 0..2,
            from: down.0,
            until: down.1,
            ends: 24_000.0,
            ..evening(5, lost)
        };
        let seen = play(&scene);
        println!("{lost} lost: pushed to {:.2} times what it could do", seen.worst);
        assert_bound(&scene, &seen);
        assert!(seen.worst < 2.5, "{lost} lost: pushed to {:.2} times what it could do", seen.worst);
    }
}

/// Of a partner that lowers its limit without a word, the turns it has none for are left out, as notes tell.
#[test]
fn strict_senders_are_seldom_refused_where_the_limit_is_halved() {
    let limit = Limit::Rate { halved: 8_000.0..17_000.0, wait: 750.0, owed: 1_500.0 };
    let scene = Scene { limit, ends: 24_000.0, ..evening(5, 0.0) };
    let seen = play(&scene);
    let refused = seen.refused as f64 / seen.delivered as f64;
    println!("{refused:.2} refusals a delivered message");
    assert_bound(&scene, &seen);
    assert!(refused < 0.25, "{refused:.2} refusals a delivered message");
}
