//! The state of the model: three senders, their clocks, and all datagrams that were sent.

use std::collections::{BTreeMap, BTreeSet};

use rudderspindle_clock::UnixMillis;

use crate::demand_exchange::LocalDemand;
use crate::limit_id::LimitId;
use crate::membership::Incarnation;
use crate::outgoing_datagram::OutgoingDatagram;
use crate::permits::PermitLedger;
use crate::permits::rounds::{PERMIT_VALIDITY, ROUND, round_at, round_start};

pub(super) const SENDER_COUNT: usize = 3;
/// Limit of all senders together, in calls a second. With it each sender owns one or two permits in a term.
pub(super) const LIMIT: f64 = 9.0;
/// Step of time, in milliseconds. Grants are sent at the start of a round and offers in its middle; datagrams are received
/// at both times.
pub(super) const HALF_ROUND: u64 = ROUND / 2;
/// Interval at which a sender polls its permits, in milliseconds. It polls at least once while a permit is valid.
pub(super) const POLL_INTERVAL: u64 = PERMIT_VALIDITY / 2;
/// Number of rounds without faults before the check; after them the allocators are known to be alive.
pub(super) const WARM_UP_ROUNDS: u64 = 4;
pub(super) const LIMIT_ID: LimitId = LimitId(7);

/// One process of a sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process {
    pub(super) sender: usize,
    pub(super) incarnation: Incarnation,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Datagram {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) bytes: Vec<u8>,
}

/// A permit that two processes used.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct DoubleUse {
    pub(super) number: u64,
    pub(super) processes: [Process; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct State {
    pub(super) now: UnixMillis,
    /// The ledger of each sender's process; `None` while no process of the sender runs.
    pub(super) ledgers: Vec<Option<PermitLedger>>,
    /// The incarnation of each sender's last process.
    pub(super) incarnations: [u64; SENDER_COUNT],
    /// How far each sender's clock has been set back in total, in milliseconds.
    pub(super) clock_lag: [u64; SENDER_COUNT],
    /// Number of faults so far.
    pub(super) faults: u32,
    /// All sent datagrams; each may be received any number of times, in any order.
    pub(super) network: BTreeSet<Datagram>,
    /// The first process that used each permit.
    pub(super) used_permits: BTreeMap<u64, Process>,
    pub(super) double_use: Option<DoubleUse>,
}

impl State {
    /// The state at the start of `first_round`, after rounds in which all datagrams were received once.
    pub(super) fn new(first_round: u64) -> Self {
        let now = round_start(first_round - WARM_UP_ROUNDS);
        let ledger = |sender| Some(PermitLedger::new(sender, SENDER_COUNT, Incarnation(1), now));
        let mut state = Self {
            now,
            ledgers: (0..SENDER_COUNT).map(ledger).collect(),
            incarnations: [1; SENDER_COUNT],
            clock_lag: [0; SENDER_COUNT],
            faults: 0,
            network: BTreeSet::new(),
            used_permits: BTreeMap::new(),
            double_use: None,
        };
        while state.now < round_start(first_round) {
            (0..SENDER_COUNT).for_each(|sender| state.offer(sender));
            (0..SENDER_COUNT).for_each(|sender| state.allocate(sender));
            while let Some(datagram) = state.network.pop_first() {
                state.receive(&datagram);
            }
            state.pass_time();
        }
        state
    }

    pub(super) fn clock(&self, sender: usize) -> UnixMillis {
        self.now - self.clock_lag[sender]
    }

    /// Sends the offer of a sender. In each round one sender, in rotation, releases all its permits, and the other two
    /// request permits.
    pub(super) fn offer(&mut self, sender: usize) {
        let clock = self.clock(sender);
        // The demand depends on the true time, so a sender whose clock was set back has another demand in the same
        // round.
        let demand = if round_at(self.now) as usize % SENDER_COUNT == sender { 0.0 } else { 30.0 };
        let demand =
            LocalDemand { limit_id: LIMIT_ID, limit: LIMIT, demand, calls: 0, rejected: 0, failed: 0 };
        let offer = self.ledgers[sender].as_mut().and_then(|ledger| ledger.offer(clock, &[demand]));
        self.send(sender, offer);
    }

    pub(super) fn allocate(&mut self, sender: usize) {
        let clock = self.clock(sender);
        let grants = self.ledgers[sender].as_mut().map_or(Vec::new(), |ledger| ledger.allocate(clock));
        self.send(sender, grants);
    }

    fn send(&mut self, from: usize, datagrams: impl IntoIterator<Item = OutgoingDatagram>) {
        for OutgoingDatagram { to, bytes } in datagrams {
            self.network.insert(Datagram { from, to, bytes });
        }
    }

    pub(super) fn receive(&mut self, datagram: &Datagram) {
        let clock = self.clock(datagram.to);
        if let Some(ledger) = &mut self.ledgers[datagram.to] {
            // Late and duplicate messages are dropped.
            let _ = ledger.receive(clock, datagram.from, &datagram.bytes);
        }
    }

    /// Advances the time by [`HALF_ROUND`]; the senders use permits at each poll.
    pub(super) fn pass_time(&mut self) {
        for _ in 0..HALF_ROUND / POLL_INTERVAL {
            self.now += POLL_INTERVAL;
            self.use_permits();
        }
        for sender in 0..SENDER_COUNT {
            let clock = self.clock(sender);
            if let Some(ledger) = &mut self.ledgers[sender] {
                ledger.observe_clock(clock);
            }
        }
    }

    /// Lets every sender use all its valid permits.
    pub(super) fn use_permits(&mut self) {
        for sender in 0..SENDER_COUNT {
            let clock = self.clock(sender);
            let process = Process { sender, incarnation: Incarnation(self.incarnations[sender]) };
            let ledger = self.ledgers[sender].as_ref();
            let permits = ledger.map_or(Vec::new(), |ledger| ledger.permits(clock, LIMIT_ID, 1.0));
            for permit in permits.iter().filter(|permit| permit.from <= clock) {
                let first_process = *self.used_permits.entry(permit.number).or_insert(process);
                if first_process != process {
                    let processes = [first_process, process];
                    self.double_use = Some(DoubleUse { number: permit.number, processes });
                }
            }
        }
    }
}
