//! What rights refuse to be told, or to bring back.

use super::message::PermitGrantEntry;
use super::rounds::VALID;
use super::*;

const GATE: LimitId = LimitId(7);
const LIMIT: f64 = 190.0;
const ROUNDS: u64 = 3_400_000_000;

fn own(wanted: f64) -> [Own; 1] {
    [Own { gate: GATE, limit: LIMIT, wanted, called: 0, refused: 0, failed: 0 }]
}

/// One of two that asks the other in a round, by whom it is known; and that round. It has had turns for long.
fn settled() -> (PermitLedger, u64) {
    let mut permits = PermitLedger::new(0, 2, Incarnation(7), ROUNDS * ROUND);
    for round in ROUNDS + 1.. {
        permits.dealers.heard(round - 1, u64::MAX);
        if round > ROUNDS + 4 && permits.dealers.clone().of(round) == Some((1, true)) {
            return (permits, round);
        }
        // It wants all of its own.
        permits.offer(round * ROUND + 100, &own(1_000.0));
    }
    unreachable!("some round is the other's")
}

/// Its own turns in a round's term, were it to look in the middle of it.
fn in_term(permits: &PermitLedger, round: u64) -> usize {
    let turns = permits.turns(term(round).start, GATE, 1.0);
    turns.iter().filter(|turn| term(round).contains(&turn.from)).count()
}

#[test]
fn what_was_given_up_stays_so_when_the_clock_is_set_back_before_the_offer() {
    let (mut permits, round) = settled();
    assert!(permits.offer(round * ROUND + 100, &own(0.0)).is_some());
    assert_eq!(in_term(&permits, round), 0);
    for at in [round * ROUND - 100, round * ROUND + 100, (round + 1) * ROUND + 100] {
        permits.offer(at, &own(1_000.0));
    }
    assert_eq!(permits.offered, round + 1);
    assert_eq!(in_term(&permits, round), 0);
    // And what lies after it is its own again.
    assert!(in_term(&permits, round + 1) > 0);
}

#[test]
fn a_clock_that_was_set_back_by_more_than_a_note_lives_does_not_keep_a_sender_waiting() {
    let (mut permits, round) = settled();
    let early = round - NOTE_LIVES - 3;
    for round in early..early + 3 {
        permits.offer(round * ROUND + 100, &own(1_000.0));
    }
    assert!(in_term(&permits, early + 2) > 0);
}

#[test]
fn what_was_given_up_does_not_come_back_when_the_clock_goes_back_a_little_or_before_anything_is_heard() {
    let (mut permits, round) = settled();
    permits.offer(round * ROUND + 100, &own(0.0));
    let over = term(round).end + VALID;
    permits.offer(over - ROUND, &own(1_000.0));
    permits.offer(over, &own(1_000.0));
    let given_up = |turn: &Permit| term(round).contains(&turn.from);
    for back in [0, 10, BACK, BACK + 1, 200, 400] {
        assert!(!permits.turns(over - back, GATE, 1.0).iter().any(given_up), "{back}");
    }
    permits.offer(over + ROUND, &own(1_000.0));
    for back in (0..2 * ROUND).step_by(10) {
        assert!(!permits.turns(over + ROUND - back, GATE, 1.0).iter().any(given_up), "{back}");
    }
}

#[test]
fn a_dealer_deals_no_round_again_whose_clock_goes_back_a_little_or_is_set_back() {
    for back in [20, 300] {
        let (mut permits, round) = settled();
        let offer = |from: u64| {
            let offer = PermitOffer { round, incarnation: Incarnation(from), entries: Vec::new() };
            PermitMessage::PermitOffer(offer).encode().expect("short")
        };
        assert_eq!(permits.hear(round * ROUND + 400, 1, &offer(1)), Ok(false));
        let over = (round + 1) * ROUND + 10;
        assert_eq!(permits.deal(over).len(), 1);
        assert_eq!(permits.hear(over - back, 1, &offer(2)), Err(PermitError::Round));
        assert_eq!(permits.deal(over), []);
    }
}

#[test]
fn a_turn_that_is_granted_outside_the_rounds_term_is_none() {
    let (mut permits, round) = settled();
    permits.offer(round * ROUND + 100, &own(1_000.0));
    let schedule = Schedule::new(GATE, LIMIT, 2);
    let all = schedule.within(term(round));
    let others = schedule.of(1, term(round).start..term(round).end + ROUND).map(|turn| turn - all.start);
    for gap in others {
        let entries = vec![PermitGrantEntry { gate: GATE.0, mark: schedule.mark(), gaps: vec![gap as u16] }];
        let grant = PermitGrant { round, incarnation: Incarnation(7), heard: 3, entries };
        let note = PermitMessage::PermitGrant(grant).encode().expect("short");
        assert_eq!(permits.hear(round * ROUND + 300, 1, &note), Ok(true));
    }
    // In the next round turns of two terms may be used.
    permits.offer((round + 1) * ROUND + 100, &own(1_000.0));
    let turns = permits.turns(term(round).start, GATE, 1.0);
    let (within, beyond): (Vec<Permit>, Vec<Permit>) =
        turns.into_iter().partition(|turn| all.contains(&turn.number));
    assert_eq!(within.len() as u64, all.end - all.start);
    assert!(!beyond.is_empty());
    assert!(beyond.iter().all(|turn| schedule.owner(turn.number) == 0));
}

#[test]
fn a_dealer_holds_to_the_first_offer_of_each() {
    let mut dealer = PermitAllocator::new(3);
    let offer = |lent| {
        let entry =
            PermitOfferEntry { gate: GATE.0, mark: Schedule::new(GATE, LIMIT, 3).mark(), lent, asked: 0 };
        PermitOffer { round: 4, incarnation: Incarnation(1), entries: vec![entry] }
    };
    assert!(dealer.take(4, 1, offer(1)));
    assert!(!dealer.take(4, 1, offer(9)));
    let mut asks = offer(0);
    asks.entries[0].asked = 9;
    assert!(dealer.take(4, 2, asks));
    let grants = dealer.deal(5, |_| 0, |gate| Some(Schedule::new(gate, LIMIT, 3)));
    let dealt: usize =
        grants.iter().flat_map(|(_, grant)| &grant.entries).map(|entry| entry.gaps.len()).sum();
    assert_eq!(dealt, 1);
}
