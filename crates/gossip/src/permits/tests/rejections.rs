//! Tests that released permits stay released and closed rounds stay closed, even if the clock is set back or peers send
//! invalid messages.

use crate::demand_exchange::LocalDemand;
use crate::limit_id::LimitId;
use crate::membership::Incarnation;
use crate::permits::allocator::PermitAllocator;
use crate::permits::allocator_selection::SelectedAllocator;
use crate::permits::message::{PermitGrant, PermitGrantEntry, PermitMessage, PermitOffer, PermitOfferEntry};
use crate::permits::rounds::{
    CLOCK_STEP_TOLERANCE, MAX_MESSAGE_AGE_ROUNDS, PERMIT_VALIDITY, ROUND, round_start, term,
};
use crate::permits::schedule::PermitSchedule;
use crate::permits::{Permit, PermitError, PermitLedger};

const LIMIT_ID: LimitId = LimitId(7);
const LIMIT: f64 = 190.0;
const FIRST_ROUND: u64 = 3_400_000_000;

fn demand(demand: f64) -> [LocalDemand; 1] {
    [LocalDemand { limit_id: LIMIT_ID, limit: LIMIT, demand, calls: 0, rejected: 0, failed: 0 }]
}

/// The ledger of sender 0 of two after several rounds, and a round in which the other sender, which is known to be
/// alive, is the allocator.
fn ledger_with_live_allocator() -> (PermitLedger, u64) {
    let mut ledger = PermitLedger::new(0, 2, Incarnation(7), round_start(FIRST_ROUND));
    let other_sender = SelectedAllocator { sender: 1, is_known_alive: true };
    for round in FIRST_ROUND + 1.. {
        ledger.allocator_selection.record_alive(round - 1, u64::MAX);
        if round > FIRST_ROUND + 4 && ledger.allocator_selection.clone().select(round) == Some(other_sender) {
            return (ledger, round);
        }
        // The sender needs all its own permits, so it releases none.
        ledger.offer(round_start(round) + 100, &demand(1_000.0));
    }
    unreachable!("the other sender is the allocator of some round")
}

/// Number of available permits that start in a round's term.
fn permits_in_term(ledger: &PermitLedger, round: u64) -> usize {
    let permits = ledger.permits(term(round).start, LIMIT_ID, 1.0);
    permits.iter().filter(|permit| term(round).contains(&permit.from)).count()
}

#[test]
fn released_permits_stay_released_if_the_clock_is_set_back() {
    let (mut ledger, round) = ledger_with_live_allocator();
    assert!(ledger.offer(round_start(round) + 100, &demand(0.0)).is_some());
    assert_eq!(permits_in_term(&ledger, round), 0);
    for offer_at in [round_start(round) - 100, round_start(round) + 100, round_start(round + 1) + 100] {
        ledger.offer(offer_at, &demand(1_000.0));
    }
    assert_eq!(ledger.last_offer_round, round + 1);
    assert_eq!(permits_in_term(&ledger, round), 0);
    // In the term of the next round the sender has its own permits again.
    assert!(permits_in_term(&ledger, round + 1) > 0);
}

/// The clock is set back by more than the maximum age of a message.
#[test]
fn a_clock_set_far_back_does_not_block_a_sender() {
    let (mut ledger, round) = ledger_with_live_allocator();
    let early_round = round - MAX_MESSAGE_AGE_ROUNDS - 3;
    for round in early_round..early_round + 3 {
        ledger.offer(round_start(round) + 100, &demand(1_000.0));
    }
    assert!(permits_in_term(&ledger, early_round + 2) > 0);
}

/// After the term has ended, the clock is set back within or beyond the tolerance of clock steps.
#[test]
fn released_permits_stay_released_after_their_term() {
    let (mut ledger, round) = ledger_with_live_allocator();
    ledger.offer(round_start(round) + 100, &demand(0.0));
    let term_over_at = term(round).end + PERMIT_VALIDITY;
    ledger.offer(term_over_at - ROUND, &demand(1_000.0));
    ledger.offer(term_over_at, &demand(1_000.0));
    let is_released = |permit: &Permit| term(round).contains(&permit.from);
    for set_back_by in [0, 10, CLOCK_STEP_TOLERANCE, CLOCK_STEP_TOLERANCE + 1, 200, 400] {
        assert!(
            !ledger.permits(term_over_at - set_back_by, LIMIT_ID, 1.0).iter().any(is_released),
            "clock set back by {set_back_by} ms"
        );
    }
    ledger.offer(term_over_at + ROUND, &demand(1_000.0));
    for set_back_by in (0..2 * ROUND).step_by(10) {
        assert!(
            !ledger.permits(term_over_at + ROUND - set_back_by, LIMIT_ID, 1.0).iter().any(is_released),
            "clock set back by {set_back_by} ms"
        );
    }
}

#[test]
fn a_round_is_allocated_once_if_the_clock_is_set_back() {
    for set_back_by in [20, 300] {
        let (mut ledger, round) = ledger_with_live_allocator();
        let offer = |incarnation: u64| {
            let incarnation = Incarnation(incarnation);
            let offer = PermitOffer { round, incarnation, entries: Vec::new() };
            PermitMessage::PermitOffer(offer).encode().expect("the message fits")
        };
        assert_eq!(ledger.receive(round_start(round) + 400, 1, &offer(1)), Ok(false));
        let round_over_at = round_start(round + 1) + 10;
        assert_eq!(ledger.allocate(round_over_at).len(), 1);
        assert_eq!(ledger.receive(round_over_at - set_back_by, 1, &offer(2)), Err(PermitError::Unexpected));
        assert_eq!(ledger.allocate(round_over_at), []);
    }
}

#[test]
fn a_granted_permit_outside_the_term_of_the_round_is_ignored() {
    let (mut ledger, round) = ledger_with_live_allocator();
    ledger.offer(round_start(round) + 100, &demand(1_000.0));
    let schedule = PermitSchedule::new(LIMIT_ID, LIMIT, 2);
    let term_numbers = schedule.starting_in(term(round));
    let two_terms = term(round).start..term(round).end + ROUND;
    for delta in schedule.owned_by(1, two_terms).map(|number| number - term_numbers.start) {
        let entries = vec![PermitGrantEntry {
            limit_id: LIMIT_ID.0,
            schedule_checksum: schedule.checksum(),
            number_deltas: vec![delta as u16],
        }];
        let grant = PermitGrant { round, incarnation: Incarnation(7), candidates_alive: 3, entries };
        let datagram = PermitMessage::PermitGrant(grant).encode().expect("the message fits");
        assert_eq!(ledger.receive(round_start(round) + 300, 1, &datagram), Ok(true));
    }
    // After the offer of the next round, permits of two terms may be used.
    ledger.offer(round_start(round + 1) + 100, &demand(1_000.0));
    let permits = ledger.permits(term(round).start, LIMIT_ID, 1.0);
    let (within, beyond): (Vec<Permit>, Vec<Permit>) =
        permits.into_iter().partition(|permit| term_numbers.contains(&permit.number));
    assert_eq!(within.len() as u64, term_numbers.end - term_numbers.start);
    assert!(!beyond.is_empty());
    assert!(beyond.iter().all(|permit| schedule.owner(permit.number) == 0));
}

#[test]
fn an_allocator_counts_only_the_first_offer_of_each_sender() {
    let mut allocator = PermitAllocator::new(3);
    let schedule_checksum = PermitSchedule::new(LIMIT_ID, LIMIT, 3).checksum();
    let offer = |released, requested| {
        let entry = PermitOfferEntry { limit_id: LIMIT_ID.0, schedule_checksum, released, requested };
        PermitOffer { round: 4, incarnation: Incarnation(1), entries: vec![entry] }
    };
    assert!(allocator.add_offer(4, 1, offer(1, 0)));
    assert!(!allocator.add_offer(4, 1, offer(9, 0)));
    assert!(allocator.add_offer(4, 2, offer(0, 9)));
    let grants = allocator.allocate(5, |_| 0, |limit_id| Some(PermitSchedule::new(limit_id, LIMIT, 3)));
    let granted: usize = grants
        .iter()
        .flat_map(|addressed| &addressed.grant.entries)
        .map(|entry| entry.number_deltas.len())
        .sum();
    assert_eq!(granted, 1);
}
