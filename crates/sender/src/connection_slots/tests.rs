use super::*;

use proptest::prelude::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn from(host: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, host])
}

fn nobody(_: ClientId) -> bool {
    false
}

#[test]
fn resting_connections_hold_a_quarter_and_the_longest_at_rest_goes_first() {
    let mut places = ConnectionSlots::new(16);
    for id in 0..4 {
        places.connected(id, from(1), at(id));
        assert_eq!(places.answered(id, at(10 + id), nobody), None);
    }
    places.connected(4, from(1), at(20));
    assert_eq!(places.answered(4, at(20), nobody), Some(0));
    // One that comes back is worth more than those that have asked once, however long it rests.
    places.asks(1, at(30));
    assert_eq!(places.answered(1, at(31), nobody), None);
    for id in 5..9 {
        places.connected(id, from(1), at(40));
        assert!(places.answered(id, at(40 + id), nobody).is_some_and(|gone| gone != 1 && gone != id));
    }
    // Its next request is on its way: not this one.
    places.connected(9, from(1), at(60));
    assert_eq!(places.answered(9, at(60), |id| id == 6), Some(7));
}

#[test]
fn an_answer_never_ends_its_own_connection() {
    let mut places = ConnectionSlots::new(4);
    places.connected(0, from(1), at(0));
    places.answered(0, at(1), nobody);
    places.asks(0, at(2));
    places.answered(0, at(3), nobody);
    places.connected(1, from(1), at(4));
    assert_eq!(places.answered(1, at(5), nobody), Some(0));
}

#[test]
fn the_address_with_most_silent_newcomers_gives_up_its_longest_silent_one() {
    let mut places = ConnectionSlots::new(16);
    places.connected(0, from(1), at(0));
    places.connected(1, from(2), at(1));
    places.connected(2, from(2), at(2));
    places.connected(3, from(3), at(3));
    places.answered(3, at(4), nobody);
    assert_eq!(places.make_room(at(400), nobody, nobody), Some(1));
    // One from each: the longest silent.
    assert_eq!(places.make_room(at(400), nobody, nobody), Some(0));
    assert_eq!(places.make_room(at(400), |id| id == 2, nobody), Some(3));
    assert_eq!(places.make_room(at(400), |id| id == 2, nobody), Some(2));
    assert_eq!(places.make_room(at(400), nobody, nobody), None);
}

#[test]
fn young_newcomers_go_after_those_that_rest_and_open_requests_never() {
    let mut places = ConnectionSlots::new(16);
    places.connected(0, from(1), at(0));
    places.asks(0, at(1));
    places.connected(1, from(1), at(100));
    places.connected(2, from(1), at(50));
    places.answered(2, at(60), nobody);
    let victims = [0; 3].map(|_| places.make_room(at(101), nobody, nobody));
    assert_eq!(victims, [Some(2), Some(1), None]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever comes in whatever order, also for connections that are not there: what is kept is bounded by
    /// those that are, and each stands in the one set that its state says.
    #[test]
    fn the_sets_hold_each_connection_once(
        steps in prop::collection::vec((0..5u8, 0..12u64, 0..200u64), 1..200),
    ) {
        let (mut places, mut now) = (ConnectionSlots::new(12), Duration::ZERO);
        for (what, id, later) in steps {
            now += at(later);
            match what {
                0 => places.connected(id, from(id as u8 % 3), now),
                1 => places.asks(id, now),
                2 => drop(places.answered(id, now, nobody)),
                3 => places.left(id),
                _ => drop(places.make_room(now, |id| id % 4 == 0, |id| id % 5 == 0)),
            }
            let count = |state| places.clients.values().filter(|c| c.state == state).count();
            prop_assert_eq!(places.new.len(), count(State::New));
            prop_assert_eq!(places.once.len(), count(State::Once));
            prop_assert_eq!(places.again.len(), count(State::Again));
            prop_assert!(places.once.len() + places.again.len() <= places.resting_most);
            for (since, id) in places.new.iter().chain(&places.once).chain(&places.again) {
                prop_assert_eq!(places.clients[id].since, *since);
            }
        }
    }
}
