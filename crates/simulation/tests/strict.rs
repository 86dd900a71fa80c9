//! Thirty senders before one limit, each of whose calls needs a permit.

use rudderspindle_simulation::partner::*;

const LIMIT: f64 = 60.0;

/// A scene of 16 s without an outage, at more than the receiver's limit.
fn overloaded(seed: u64, lost: f64) -> Scene {
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
        let (most, bound) = (seen.most_within(span), max_calls_by_permits(scene.told, span, scene.clocks));
        assert!(most as f64 <= bound, "{most} calls in {span} ms, {bound} may be");
    }
    assert!(seen.most_in_whole_second() <= seen.most_in_second());
}

#[test]
fn whatever_is_lost_no_span_has_more_calls_than_the_bound_and_few_are_rejected() {
    for lost in [0.0, 0.5, 1.0] {
        for seed in 0..2 {
            let scene = overloaded(seed, lost);
            let seen = play(&scene);
            let (refused, delivered) = (seen.refused as f64, seen.delivered as f64);
            println!(
                "{lost} lost: worst second {}, {delivered} delivered, {refused} refused",
                seen.most_in_second()
            );
            assert_bound(&scene, &seen);
            assert!(refused < 0.05 * delivered, "{lost} lost: {refused} refused, {delivered} delivered");
            // Less what the start costs, and the last seconds, in which no message is submitted.
            let least = if lost == 0.0 { 0.75 } else { 0.4 };
            assert!(delivered > least * LIMIT * 16.0, "{lost} lost: {delivered} delivered");
        }
    }
}

/// A control: the check detects senders without permits.
#[test]
fn without_permits_the_bound_is_broken_where_half_of_the_datagrams_are_lost() {
    let scene = Scene { bound: Bound::Use, ..overloaded(0, 0.5) };
    let most = play(&scene).most_in_second() as f64;
    assert!(most > max_calls_by_permits(LIMIT, 1_000.0, 0), "{most} calls in the worst second");
}

#[test]
fn the_bound_holds_where_a_sender_is_killed_after_it_used_its_permits_and_restarts_0_6_s_later() {
    for at in [6_100.0, 6_600.0, 7_350.0, 7_900.0] {
        // All messages come to one sender, so that it has used all of its permits.
        let scene = Scene { busy: 1, restart: Some((0..1, at)), gone: 600.0, ..overloaded(3, 0.0) };
        let seen = play(&scene);
        assert_bound(&scene, &seen);
        let before = seen.starts.iter().filter(|start| (at - 1_000.0..at).contains(*start)).count();
        assert!(before as f64 > 0.7 * LIMIT, "{before} calls in the second before its end");
        let back = seen.starts.iter().filter(|start| **start > at + 3_600.0).count();
        assert!(back as f64 > 0.6 * LIMIT, "{back} calls since three seconds after it was back");
    }
}

#[test]
fn clocks_200_ms_apart_widen_the_bound_by_no_more() {
    for lost in [0.0, 0.5, 1.0] {
        let scene = Scene { clocks: 200, ..overloaded(4, lost) };
        let seen = play(&scene);
        println!("{lost} lost: worst second {}", seen.most_in_second());
        assert_bound(&scene, &seen);
        assert!(seen.delivered > 300, "{} delivered", seen.delivered);
    }
}

/// Permits are allocated for the whole limit: during a recovery each sender leaves the same surplus ones unused, by the
/// fleet's reports.
#[test]
fn senders_with_permits_do_not_overload_a_receiver_that_returns_from_an_outage() {
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
            ..overloaded(5, lost)
        };
        let seen = play(&scene);
        println!("{lost} lost: pushed to {:.2} times what it could do", seen.worst);
        assert_bound(&scene, &seen);
        assert!(seen.worst < 2.5, "{lost} lost: pushed to {:.2} times what it could do", seen.worst);
    }
}

/// Where a receiver lowers its limit without announcing it, the surplus permits are left unused, by the fleet's reports.
#[test]
fn senders_with_permits_are_seldom_rejected_where_the_limit_is_halved() {
    let limit = Limit::Rate { halved: 8_000.0..17_000.0, wait: 750.0, owed: 1_500.0 };
    let scene = Scene { limit, ends: 24_000.0, ..overloaded(5, 0.0) };
    let seen = play(&scene);
    let refused = seen.refused as f64 / seen.delivered as f64;
    println!("{refused:.2} refusals a delivered message");
    assert_bound(&scene, &seen);
    assert!(refused < 0.25, "{refused:.2} refusals a delivered message");
}
