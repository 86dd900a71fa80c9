//! A simulated fleet of a few senders with one wall clock and persistent records, and a tracker of committed revisions.
//!
//! The tracker is independent of the senders' summaries and leases: it reads their stored records. The zones that it allows
//! are compared with the zones in which the senders would act.
#![allow(dead_code, reason = "each test file uses a part of the simulation")]
mod commit_tracker;
mod node;

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::test_runner::{Config, RngSeed};
use rudderspindle_clock::UnixMillis;
use rudderspindle_placement::{
    FleetKey, OutgoingDatagram, Placement, PlacementEvent, ROUND_MS, RuleSet, SenderId, Settings,
    StateRecord, TenantId, TenantRule, ZoneAccess, ZoneList, ZoneSet,
};

use commit_tracker::CommitTracker;
use node::Node;

/// Duration of a lease in the simulation, in milliseconds.
pub const LEASE_MS: u64 = 1_000;
/// When most tests begin, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 10_000;

/// The first byte of an encoded heartbeat.
pub const HEARTBEAT: u8 = 0;
/// The first byte of an encoded summary.
pub const SUMMARY: u8 = 1;
/// The first byte of an encoded part of a rule set.
pub const PART: u8 = 3;

/// A configuration with at least `cases` cases of a fixed seed; `PROPTEST_RNG_SEED` overrides the seed, and `PROPTEST_CASES` may
/// raise the number of cases.
pub fn fixed_seed_config(cases: u32) -> Config {
    let given = Config::default();
    let rng_seed = if given.rng_seed == RngSeed::Random { RngSeed::Fixed(35) } else { given.rng_seed };
    Config { rng_seed, cases: given.cases.max(cases), failure_persistence: None, ..given }
}

pub fn at(millis: u64) -> UnixMillis {
    UnixMillis(millis)
}

pub fn key() -> FleetKey {
    FleetKey::new([7; 16])
}

pub fn tenant() -> TenantId {
    key().tenant_id("narmada-sports")
}

pub fn rules(revision: u64, zones: &[&str]) -> RuleSet {
    let zone_list = ZoneList::new(&["hall-a", "hall-b"]).unwrap();
    let known_tenants = BTreeSet::from(["narmada-sports"]);
    let rule = TenantRule { tenant: "narmada-sports", zones };
    RuleSet::new(revision, &[rule], &zone_list, &known_tenants, &key()).unwrap()
}

pub fn settings(own_id: u16, sender_count: u16) -> Settings {
    Settings {
        own_id: SenderId(own_id),
        sender_count,
        aggregators_per_round: 1,
        zones: ZoneList::new(&["hall-a", "hall-b"]).unwrap(),
        own_zone: usize::from(own_id) % 2,
        lease_ms: LEASE_MS,
        clock_error_ms: 0,
        announce_ms: 0,
        max_call_ms: 500,
        erase_within_ms: 1_000,
        key: key(),
    }
}

/// The senders, their clock and the tracker of committed revisions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Simulation {
    pub now_ms: u64,
    /// `Settings::announce_ms` of senders that are restarted; set by tests once the first revision is committed.
    pub announce_ms: u64,
    /// When senders persist and send in each round, in milliseconds from the start of the round: the first must be 0 (for
    /// heartbeats), the last 400 (for summaries).
    pub ticks_ms: &'static [u64],
    pub nodes: Vec<Node>,
    commit_tracker: CommitTracker,
}

impl Simulation {
    /// Starts senders with records of the rule set `first` of revision 1, and runs them for two ticks, so that each has a lease.
    pub fn committed(sender_count: u16, first: &RuleSet) -> Simulation {
        let nodes = (0..sender_count).map(|own_id| Node::started_from_record(own_id, sender_count, first));
        let mut simulation = Simulation {
            now_ms: START_MS - 500,
            announce_ms: 0,
            ticks_ms: &[0, 400],
            nodes: nodes.collect(),
            commit_tracker: CommitTracker::default(),
        };
        simulation.check_records();
        for _ in 0..2 {
            simulation.tick_and_deliver();
            simulation.advance();
        }
        simulation
    }

    pub fn now(&self) -> UnixMillis {
        at(self.now_ms)
    }

    /// Advances the clock to the next tick of the round, or to the next round.
    pub fn advance(&mut self) {
        let start = self.now_ms - self.now_ms % ROUND_MS;
        let next = self.ticks_ms.iter().map(|tick| start + tick).find(|&tick| tick > self.now_ms);
        self.now_ms = next.unwrap_or(start + ROUND_MS);
        if next.is_none() {
            self.commit_tracker.begin_round();
        }
        self.check_records();
    }

    /// Persists the state of each running process, and returns all datagrams, each with the index of its sender.
    pub fn tick(&mut self) -> Vec<(usize, OutgoingDatagram)> {
        let now = self.now();
        let mut datagrams = Vec::new();
        for (index, node) in self.nodes.iter_mut().enumerate().filter(|(_, node)| !node.paused) {
            let Some(process) = &mut node.process else { continue };
            let process = Arc::make_mut(process);
            if let Some(snapshot) = process.poll_snapshot(now) {
                let record = StateRecord::decode(&snapshot.bytes, &key()).unwrap();
                node.acknowledged = record.acknowledged().map(|id| id.revision).collect();
                node.stored_record = Some(snapshot.bytes);
                process.mark_persisted(snapshot.generation);
            }
            datagrams.extend(process.poll_datagrams(now).into_iter().map(|datagram| (index, datagram)));
            process.take_events();
        }
        self.check_records();
        datagrams
    }

    /// Runs a tick and delivers all its datagrams immediately.
    pub fn tick_and_deliver(&mut self) {
        for (from, datagram) in self.tick() {
            self.deliver(from, &datagram);
        }
    }

    /// Delivers a datagram if its recipient runs.
    pub fn deliver(&mut self, from: usize, datagram: &OutgoingDatagram) {
        self.deliver_and_observe(from, datagram, |_| {});
    }

    /// Delivers a datagram if its recipient runs, and passes the resulting events to `observe`.
    pub fn deliver_and_observe(
        &mut self,
        from: usize,
        datagram: &OutgoingDatagram,
        observe: impl FnMut(PlacementEvent),
    ) {
        let now = self.now();
        let node = &mut self.nodes[usize::from(datagram.to.0)];
        if let (Some(process), false) = (&mut node.process, node.paused) {
            let process = Arc::make_mut(process);
            // The result is ignored, because late datagrams and datagrams for an earlier process are rejected.
            let _ = process.receive(now, SenderId(from as u16), &datagram.body);
            process.take_events().into_iter().for_each(observe);
        }
    }

    /// The process of a sender, which must run.
    pub fn process(&self, index: usize) -> &Placement {
        self.nodes[index].process.as_ref().unwrap()
    }

    /// The process of a sender, which must run.
    pub fn process_mut(&mut self, index: usize) -> &mut Placement {
        Arc::make_mut(self.nodes[index].process.as_mut().unwrap())
    }

    pub fn reload(&mut self, index: usize, rules: RuleSet) {
        let now = self.now();
        if let Some(process) = &mut self.nodes[index].process {
            let _ = Arc::make_mut(process).reload(now, rules);
        }
    }

    pub fn kill(&mut self, index: usize, lose_record: bool) {
        let node = &mut self.nodes[index];
        (node.process, node.paused) = (None, false);
        if lose_record {
            node.stored_record = None;
            node.acknowledged.clear();
        }
    }

    pub fn restart(&mut self, index: usize, file: &RuleSet) {
        let settings =
            Settings { announce_ms: self.announce_ms, ..settings(index as u16, self.nodes.len() as u16) };
        let now = self.now();
        self.nodes[index].start(settings, Some(file.clone()), now);
    }

    fn check_records(&mut self) {
        let acknowledged = self.nodes.iter().map(|node| &node.acknowledged);
        self.commit_tracker.observe(self.now_ms, acknowledged);
    }

    /// The zones in which a sender would act for the tenant now; all zones if it holds no rule for the tenant.
    pub fn acting_zones(&self, index: usize) -> ZoneSet {
        let node = &self.nodes[index];
        match &node.process {
            Some(process) if !node.paused => match process.zone_access(self.now(), tenant()) {
                ZoneAccess::Zones(zones) => zones,
                ZoneAccess::Closed(_) => ZoneSet::EMPTY,
                ZoneAccess::Unrestricted => ZoneSet(u32::MAX),
            },
            _ => ZoneSet::EMPTY,
        }
    }

    /// Whether all senders act only within the zones that recently committed revisions allow; `zones_of` returns the zones of a
    /// revision.
    pub fn nobody_acts_outside(&self, zones_of: impl Fn(u64) -> ZoneSet) -> bool {
        let allowed = self.commit_tracker.allowed_zones(self.now_ms, zones_of);
        (0..self.nodes.len()).all(|index| self.acting_zones(index).0 & !allowed.0 == 0)
    }
}
