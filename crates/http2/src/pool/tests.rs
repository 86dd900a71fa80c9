use std::collections::BTreeMap;

use proptest::prelude::{prop_assert, prop_assert_eq, proptest};

use super::{ConnectionAction, ConnectionId, ConnectionPool, Millis, OpenReason, Placement, PoolLimits};

/// Returns a pool with one connection, and the identifier of the connection.
fn pool_with_connection(max_streams: usize) -> (ConnectionPool, ConnectionId) {
    let mut pool = ConnectionPool::new(PoolLimits::default());
    assert_eq!(pool.place_call(), Placement::Open(OpenReason::NoConnection));
    pool.connect_started();
    assert_eq!(pool.place_call(), Placement::Wait);
    let id = pool.connect_succeeded(0, max_streams);
    (pool, id)
}

#[test]
fn a_second_connection_opens_only_if_the_first_is_full_or_draining() {
    let (mut pool, first) = pool_with_connection(3);
    for _ in 0..3 {
        assert_eq!(pool.place_call(), Placement::Existing(first));
        pool.stream_started(first, 0);
    }
    assert_eq!(pool.place_call(), Placement::Open(OpenReason::SlotsExhausted));
    pool.connect_started();
    let second = pool.connect_succeeded(0, 3);
    pool.stream_started(second, 0);
    // The connection with more active streams is preferred, so that the other becomes idle.
    pool.stream_finished(first, 1);
    assert_eq!(pool.place_call(), Placement::Existing(first));
    pool.start_draining(first);
    assert_eq!(pool.place_call(), Placement::Existing(second));
    pool.start_draining(second);
    assert_eq!(pool.place_call(), Placement::Wait, "at most two connections");
    pool.remove(first);
    assert_eq!(pool.place_call(), Placement::Open(OpenReason::Draining));
}

#[test]
fn a_stream_limit_of_zero_or_below_the_active_streams_is_respected() {
    let (mut pool, first) = pool_with_connection(100);
    for _ in 0..60 {
        pool.stream_started(first, 0);
    }
    pool.set_max_streams(first, 3);
    assert_eq!(pool.available_slots(), 100, "a further connection may be opened");
    pool.set_max_streams(first, 0);
    assert_eq!((pool.place_call(), pool.available_slots()), (Placement::Wait, 0));
    for _ in 0..58 {
        pool.stream_finished(first, 1);
    }
    assert_eq!(pool.place_call(), Placement::Wait);
    pool.set_max_streams(first, 3);
    assert_eq!((pool.place_call(), pool.available_slots()), (Placement::Existing(first), 1));
}

#[test]
fn a_connection_is_aborted_after_one_unanswered_ping() {
    let (mut pool, first) = pool_with_connection(100);
    // Without active streams no bytes are expected.
    assert_eq!(pool.poll_action(first, 5_000), ConnectionAction::WaitUntil(60_000));
    pool.stream_started(first, 5_000);
    assert_eq!(pool.poll_action(first, 5_999), ConnectionAction::WaitUntil(6_000));
    assert_eq!(pool.poll_action(first, 6_000), ConnectionAction::SendPing);
    assert_eq!(pool.poll_action(first, 6_500), ConnectionAction::WaitUntil(7_000));
    pool.data_received(first, 6_900);
    assert_eq!(pool.poll_action(first, 7_000), ConnectionAction::WaitUntil(7_900));
    assert_eq!(pool.poll_action(first, 7_900), ConnectionAction::SendPing);
    assert_eq!(pool.poll_action(first, 8_900), ConnectionAction::Abort);
}

/// A connection without active streams is closed immediately if it is draining, and otherwise after the idle timeout.
#[test]
fn a_connection_without_streams_is_closed_if_draining_or_idle() {
    let (mut pool, first) = pool_with_connection(100);
    pool.stream_started(first, 0);
    pool.start_draining(first);
    assert_eq!(pool.poll_action(first, 10), ConnectionAction::WaitUntil(1_000));
    pool.stream_finished(first, 20);
    assert_eq!(pool.poll_action(first, 20), ConnectionAction::Close);
    let (mut pool, first) = pool_with_connection(100);
    pool.stream_started(first, 0);
    pool.stream_finished(first, 20);
    assert_eq!(pool.poll_action(first, 60_019), ConnectionAction::WaitUntil(60_020));
    assert_eq!(pool.poll_action(first, 60_020), ConnectionAction::Close);
}

/// The expected state of one connection.
#[derive(Default)]
struct ExpectedConnection {
    active_streams: usize,
    max_streams: usize,
    draining: bool,
}

/// Applies events to a pool, and checks the placement of calls against the expected connections.
struct PoolChecker {
    limits: PoolLimits,
    pool: ConnectionPool,
    expected: BTreeMap<ConnectionId, ExpectedConnection>,
}

impl PoolChecker {
    fn new() -> Self {
        let limits =
            PoolLimits { max_connections: 3, max_streams_per_connection: 4, ..PoolLimits::default() };
        Self { limits, pool: ConnectionPool::new(limits), expected: BTreeMap::new() }
    }

    /// Starts a call if the pool places one; on a new connection the gateway allows `max_streams` concurrent streams.
    fn start_call(
        &mut self,
        now: Millis,
        max_streams: usize,
    ) -> Result<(), proptest::test_runner::TestCaseError> {
        match self.pool.place_call() {
            Placement::Existing(id) => {
                let connection = self.expected.get_mut(&id).expect("an existing connection");
                let slots = connection.max_streams.min(self.limits.max_streams_per_connection);
                prop_assert!(connection.active_streams < slots && !connection.draining);
                connection.active_streams += 1;
                self.pool.stream_started(id, now);
            }
            Placement::Open(_) => {
                prop_assert!(self.expected.len() < self.limits.max_connections);
                self.pool.connect_started();
                prop_assert_eq!(self.pool.place_call(), Placement::Wait);
                let id = self.pool.connect_succeeded(now, max_streams);
                self.expected.insert(id, ExpectedConnection { max_streams, ..Default::default() });
            }
            Placement::Wait => prop_assert!(self.pool.available_slots() == 0),
        }
        Ok(())
    }

    /// Applies an event to a connection: 3 finishes a stream, 4 sets the stream limit, 5 starts draining, 6 removes
    /// the connection, and any other number polls for an action.
    fn apply_event(&mut self, now: Millis, event: u8, id: ConnectionId, max_streams: usize) {
        let connection = self.expected.get_mut(&id).expect("an existing connection");
        match event {
            3 if connection.active_streams > 0 => {
                connection.active_streams -= 1;
                self.pool.stream_finished(id, now);
            }
            3 => {}
            4 => {
                connection.max_streams = max_streams;
                self.pool.set_max_streams(id, max_streams);
            }
            5 => {
                connection.draining = true;
                self.pool.start_draining(id);
            }
            6 => {
                self.expected.remove(&id);
                self.pool.remove(id);
            }
            _ => {
                self.pool.poll_action(id, now);
            }
        }
    }
}

proptest! {
    /// After any events, no call is placed without a free slot, and there are no more connections than allowed.
    #[test]
    fn no_call_is_placed_without_a_free_slot(
        steps in proptest::collection::vec((0u8..8, 0usize..6), 0..300),
    ) {
        let mut checker = PoolChecker::new();
        // Events below 3 start a call. `number` is both the position of a connection and a stream limit.
        for (now, (event, number)) in (0..).zip(steps) {
            if event < 3 {
                checker.start_call(now, number)?;
            } else if let Some(id) = checker.expected.keys().copied().nth(number) {
                checker.apply_event(now, event, id, number);
            }
        }
    }
}
