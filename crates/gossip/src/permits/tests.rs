mod tier;

use proptest::prelude::*;

use super::*;
use tier::{DAWN, Tier, Weather};

#[test]
fn all_that_there_is_is_used_by_many_that_each_want_little_now_and_then() {
    let mut tier = Tier::new(3, 300, 75.0, Weather { late: 30.0, ..Weather::default() });
    tier.run(5_000, 67.0);
    let before = tier.waiting.iter().sum::<u32>();
    let calls = tier.run(30_000, 67.0);
    let left = tier.waiting.iter().sum::<u32>();
    // As many go as come: nobody is left behind, and no more than half a second's worth waits for its turn.
    assert!(calls as f64 >= 0.97 * 67.0 * 30.0, "{calls} calls, {before} waited, {left} wait");
    assert!(left < 100, "{left} wait");
}

#[test]
fn one_that_wants_all_of_it_has_nearly_all_within_two_seconds() {
    let mut tier = Tier::new(5, 12, 60.0, Weather { late: 30.0, ..Weather::default() });
    tier.run(4_000, 0.0);
    tier.waiting[4] = 10_000;
    tier.run(2_000, 0.0);
    let calls = tier.run(10_000, 0.0);
    assert!(calls as f64 >= 0.9 * 57.0 * 10.0, "{calls} calls in ten seconds");
}

#[test]
fn parts_that_do_not_hear_one_another_keep_the_bound_and_find_one_another_again() {
    let mut tier = Tier::new(9, 12, 60.0, Weather { late: 30.0, ..Weather::default() });
    tier.run(4_000, 90.0);
    tier.part = (0..12).map(|n| if n < 6 { n + 1 } else { 0 }).collect();
    let cut = tier.run(12_000, 90.0);
    assert!(cut as f64 >= 0.9 * 57.0 * 12.0, "{cut} calls while half heard nothing");
    tier.part = vec![0; 12];
    tier.waiting = vec![0; 12];
    tier.run(3_000, 0.0);
    tier.waiting[2] = 10_000;
    tier.run(3_000, 0.0);
    let calls = tier.run(5_000, 0.0);
    assert!(calls as f64 >= 0.85 * 57.0 * 5.0, "{calls} calls of what all have, five seconds after the cut");
    assert!(tier.most(1_000) as f64 <= tier.bound(1_000, 0));
}

#[test]
fn a_grant_of_another_or_for_an_earlier_process_is_none() {
    let mut permits = PermitLedger::new(0, 3, Incarnation(7), DAWN);
    let gate = LimitId::of(7, None);
    let own = [Own { gate, limit: 60.0, wanted: 30.0, called: 0, refused: 0, failed: 0 }];
    let (dealer, _) =
        (0..).map(|n| DAWN + n * ROUND).find_map(|at| permits.offer(at + 300, &own)).expect("asked");
    let round = permits.offered;
    let entry = message::PermitGrantEntry {
        gate: gate.0,
        mark: Schedule::new(gate, 60.0, 3).mark(),
        gaps: vec![1, 1, 1],
    };
    let grant = |incarnation, round| {
        let grant = PermitGrant {
            round,
            incarnation: Incarnation(incarnation),
            heard: 7,
            entries: vec![entry.clone()],
        };
        PermitMessage::PermitGrant(grant).encode().expect("short enough")
    };
    let (wall, turns) =
        (round * ROUND + 450, |permits: &PermitLedger| permits.turns(round * ROUND + 450, gate, 1.0).len());
    let none = turns(&permits);
    assert_eq!(permits.hear(wall, 3 - dealer, &grant(7, round)), Err(PermitError::Round));
    assert_eq!(permits.hear(wall, dealer, &grant(6, round)), Err(PermitError::Round));
    assert_eq!(permits.hear(wall, dealer, &grant(7, round - 1)), Err(PermitError::Round));
    assert_eq!(turns(&permits), none);
    assert_eq!(permits.hear(wall, dealer, &grant(7, round)), Ok(true));
    // One of three in a row is its own.
    assert_eq!(turns(&permits), none + 2);
    // Doubled, it says nothing new.
    assert_eq!(permits.hear(wall, dealer, &grant(7, round)), Ok(true));
    assert_eq!(turns(&permits), none + 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever becomes of notes, processes and clocks: [`Tier::act`] asserts that no turn is used twice.
    #[test]
    fn no_turn_is_used_by_two_processes_and_the_bound_holds(
        seed: u64, senders in 2usize..14, limit in 0.5f64..200.0, lost in 0.0f64..1.0, late in 0.0f64..900.0, clocks in 0i64..200,
    ) {
        let mut tier = Tier::new(seed, senders, limit, Weather { lost, doubled: 0.3, late });
        for n in 0..senders {
            tier.off[n] = (tier.draw.unit() * clocks as f64) as i64;
            tier.begin(n);
        }
        let mut old = Vec::new();
        for _ in 0..60 {
            tier.run(200, limit * 1.4);
            let n = tier.draw.below(senders);
            match tier.draw.below(6) {
                0 => tier.begin(n),
                1 => tier.up[n] = false,
                2 => tier.up[n] = true,
                3 => tier.part[n] = tier.draw.below(2),
                4 => old.extend(tier.post.iter().cloned()),
                _ => tier.post.extend(old.drain(..).map(|(_, from, to, body)| (tier.wall + 1, from, to, body))),
            }
        }
        let (most, bound) = (tier.most(1_000), tier.bound(1_000, clocks as u64));
        prop_assert!(most as f64 <= bound, "{most} calls in a second, {bound} may be");
    }

    #[test]
    fn what_is_no_note_changes_nothing(bytes: Vec<u8>) {
        let mut permits = PermitLedger::new(0, 3, Incarnation(7), DAWN);
        if let Err(error) = PermitMessage::decode(&bytes) {
            prop_assert_eq!(permits.hear(DAWN + 700, 1, &bytes), Err(PermitError::Envelope(error)));
        }
        // Also in an envelope that fits.
        let _ = permits.hear(DAWN + 700, 1, &crate::envelope::seal(crate::envelope::Kind::PermitGrant, &bytes).unwrap_or_default());
        prop_assert!(permits.dealer.len() <= 1);
    }
}

/// Gates come and go, and liars name what there is not, for half an hour.
#[test]
fn over_a_long_run_no_table_grows_beyond_its_bound() {
    let mut permits = PermitLedger::new(0, 9, Incarnation(7), DAWN);
    for round in 1..3_600u64 {
        let wall = DAWN + round * ROUND + 200;
        let own = (0..20).map(|n| Own {
            gate: LimitId::of((round / 40 * 3 + n) as u16, None),
            limit: 30.0,
            wanted: 20.0,
            called: 0,
            refused: 0,
            failed: 0,
        });
        let own: Vec<Own> = own.collect();
        let asked = permits.offer(wall, &own);
        for from in 1..9 {
            let entry = |n: u32| PermitOfferEntry { gate: n, mark: 3, lent: u16::MAX, asked: u8::MAX };
            let entries = (0..MOST_GATES as u32).map(entry).collect();
            let round = (wall / ROUND).wrapping_add(from as u64 % 3);
            let offer =
                PermitMessage::PermitOffer(PermitOffer { round, incarnation: Incarnation(1), entries });
            let _ = permits.hear(wall, from, &offer.encode().expect("short enough"));
        }
        if let Some((dealer, _)) = asked {
            let entry = |o: &Own| message::PermitGrantEntry {
                gate: o.gate.0,
                mark: Schedule::new(o.gate, 30.0, 9).mark(),
                gaps: vec![0, 1, 2, u16::MAX, 1],
            };
            let entries = own.iter().take(12).map(entry).collect();
            let grant =
                PermitGrant { round: wall / ROUND, incarnation: Incarnation(7), heard: u64::MAX, entries };
            permits
                .hear(wall, dealer, &PermitMessage::PermitGrant(grant).encode().expect("short"))
                .expect("it was asked");
        }
        assert!(permits.gates.len() <= 20 && permits.asked.len() <= 4 && permits.dealer.len() <= 16);
        assert!(
            permits.gates.values().all(|held| held.len() <= 30),
            "{:?}",
            permits.gates.values().map(Held::len)
        );
        permits.deal(wall + ROUND);
    }
}
