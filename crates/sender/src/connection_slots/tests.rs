use std::net::IpAddr;
use std::time::Duration;

use proptest::prelude::{ProptestConfig, prop, prop_assert, prop_assert_eq, proptest};

use super::{ConnectionId, ConnectionSlots, SlotState};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn loopback(host: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, host])
}

fn never(_: ConnectionId) -> bool {
    false
}

/// Idle connections take at most a quarter of the slots.
#[test]
fn the_longest_idle_connection_is_closed_when_too_many_are_idle() {
    let mut slots = ConnectionSlots::new(16);
    for id in 0..4 {
        slots.opened(ConnectionId(id), loopback(1), at(id));
        assert_eq!(slots.request_finished(ConnectionId(id), at(10 + id), never), None);
    }
    slots.opened(ConnectionId(4), loopback(1), at(20));
    assert_eq!(slots.request_finished(ConnectionId(4), at(20), never), Some(ConnectionId(0)));
    // A connection with several requests is closed after those with one, regardless of its idle time.
    slots.request_started(ConnectionId(1), at(30));
    assert_eq!(slots.request_finished(ConnectionId(1), at(31), never), None);
    for id in 5..9 {
        slots.opened(ConnectionId(id), loopback(1), at(40));
        assert!(
            slots
                .request_finished(ConnectionId(id), at(40 + id), never)
                .is_some_and(|surplus| surplus != ConnectionId(1) && surplus != ConnectionId(id))
        );
    }
    // A connection whose next request is arriving is not closed.
    slots.opened(ConnectionId(9), loopback(1), at(60));
    assert_eq!(
        slots.request_finished(ConnectionId(9), at(60), |id| id == ConnectionId(6)),
        Some(ConnectionId(7))
    );
}

#[test]
fn a_response_never_closes_its_own_connection() {
    let mut slots = ConnectionSlots::new(4);
    slots.opened(ConnectionId(0), loopback(1), at(0));
    slots.request_finished(ConnectionId(0), at(1), never);
    slots.request_started(ConnectionId(0), at(2));
    slots.request_finished(ConnectionId(0), at(3), never);
    slots.opened(ConnectionId(1), loopback(1), at(4));
    assert_eq!(slots.request_finished(ConnectionId(1), at(5), never), Some(ConnectionId(0)));
}

/// All slots are taken, and most of the connections without a request are from one address.
#[test]
fn the_address_with_most_new_connections_loses_the_oldest() {
    let mut slots = ConnectionSlots::new(16);
    slots.opened(ConnectionId(0), loopback(1), at(0));
    slots.opened(ConnectionId(1), loopback(2), at(1));
    slots.opened(ConnectionId(2), loopback(2), at(2));
    slots.opened(ConnectionId(3), loopback(3), at(3));
    slots.request_finished(ConnectionId(3), at(4), never);
    assert_eq!(slots.evict(at(400), never, never), Some(ConnectionId(1)));
    // One connection remains from each address, so the oldest of them is evicted.
    assert_eq!(slots.evict(at(400), never, never), Some(ConnectionId(0)));
    assert_eq!(slots.evict(at(400), |id| id == ConnectionId(2), never), Some(ConnectionId(3)));
    assert_eq!(slots.evict(at(400), |id| id == ConnectionId(2), never), Some(ConnectionId(2)));
    assert_eq!(slots.evict(at(400), never, never), None);
}

/// A connection with an open request is never evicted.
#[test]
fn new_connections_are_evicted_after_idle_connections() {
    let mut slots = ConnectionSlots::new(16);
    slots.opened(ConnectionId(0), loopback(1), at(0));
    slots.request_started(ConnectionId(0), at(1));
    slots.opened(ConnectionId(1), loopback(1), at(100));
    slots.opened(ConnectionId(2), loopback(1), at(50));
    slots.request_finished(ConnectionId(2), at(60), never);
    let evicted = [0; 3].map(|_| slots.evict(at(101), never, never));
    assert_eq!(evicted, [Some(ConnectionId(2)), Some(ConnectionId(1)), None]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any sequence of calls, also for connections that are not open, each open connection is in the queue of its
    /// state and in no other.
    #[test]
    fn each_connection_is_in_the_one_queue_of_its_state(
        steps in prop::collection::vec((0..5u8, 0..12u64, 0..200u64), 1..200),
    ) {
        let mut slots = ConnectionSlots::new(12);
        let mut now = Duration::ZERO;
        for (operation, id, elapsed_ms) in steps {
            now += at(elapsed_ms);
            match operation {
                0 => slots.opened(ConnectionId(id), loopback(id as u8 % 3), now),
                1 => slots.request_started(ConnectionId(id), now),
                2 => drop(slots.request_finished(ConnectionId(id), now, never)),
                3 => slots.closed(ConnectionId(id)),
                _ => drop(slots.evict(now, |id| id.0 % 4 == 0, |id| id.0 % 5 == 0)),
            }
            let count = |state| slots.slots.values().filter(|slot| slot.state == state).count();
            prop_assert_eq!(slots.new.len(), count(SlotState::New));
            prop_assert_eq!(slots.idle_after_first.len(), count(SlotState::IdleAfterFirst));
            prop_assert_eq!(slots.idle_after_several.len(), count(SlotState::IdleAfterSeveral));
            prop_assert!(slots.idle_after_first.len() + slots.idle_after_several.len() <= slots.max_idle);
            for entry in slots.new.iter().chain(&slots.idle_after_first).chain(&slots.idle_after_several) {
                prop_assert_eq!(slots.slots[&entry.id].entered_at, entry.entered_at);
            }
        }
    }
}
