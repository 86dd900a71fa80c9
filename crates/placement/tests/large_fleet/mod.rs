//! A simulated fleet of hundreds of senders whose datagrams are lost at random.
use rudderspindle_clock::UnixMillis;
use rudderspindle_placement::{Incarnation, MAX_BODY_LEN, Placement, SenderId, Settings, ZoneAccess};

use crate::simulation::{START_MS, at, rules, settings, tenant};

/// A fleet of running senders that were all started without a record.
pub struct Fleet {
    pub senders: Vec<Placement>,
    pub now_ms: u64,
    lost_percent: u64,
    seed: u64,
    /// Number of datagrams that all senders have sent, including lost ones.
    pub sent_count: usize,
}

impl Fleet {
    /// Starts `sender_count` senders whose files have revision 1, without records.
    pub fn new(sender_count: u16, aggregators_per_round: u8, lost_percent: u64, announce_ms: u64) -> Fleet {
        let start = |own_id| {
            let settings = Settings {
                aggregators_per_round,
                lease_ms: 3_000,
                clock_error_ms: 50,
                announce_ms,
                ..settings(own_id, sender_count)
            };
            let file = Some(rules(1, &["hall-a", "hall-b"]));
            Placement::new(settings, file, None, Incarnation(1), at(START_MS)).unwrap()
        };
        Fleet {
            senders: (0..sender_count).map(start).collect(),
            now_ms: START_MS,
            lost_percent,
            seed: 1,
            sent_count: 0,
        }
    }

    pub fn now(&self) -> UnixMillis {
        at(self.now_ms)
    }

    /// Polls all senders, delivers their datagrams immediately or loses them, and advances the clock by 100 ms.
    pub fn step(&mut self) {
        let now = self.now();
        let mut datagrams = Vec::new();
        for (index, sender) in self.senders.iter_mut().enumerate() {
            let generation = sender.poll_snapshot(now).map_or(0, |snapshot| snapshot.generation);
            sender.mark_persisted(generation);
            datagrams.extend(sender.poll_datagrams(now).into_iter().map(|datagram| (index, datagram)));
        }
        self.sent_count += datagrams.len();
        for (from, datagram) in datagrams {
            assert!(datagram.body.len() <= MAX_BODY_LEN);
            self.seed =
                self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            if (self.seed >> 33) % 100 >= self.lost_percent {
                let receiver = &mut self.senders[usize::from(datagram.to.0)];
                let _ = receiver.receive(now, SenderId(from as u16), &datagram.body);
            }
        }
        self.now_ms += 100;
    }

    /// Number of senders that may act for the tenant now.
    pub fn acting_count(&self) -> usize {
        let is_acting =
            |sender: &&Placement| matches!(sender.zone_access(self.now(), tenant()), ZoneAccess::Zones(_));
        self.senders.iter().filter(is_acting).count()
    }

    /// Steps until `done` is true for all senders, for 120 s at most. Returns the duration in milliseconds.
    pub fn step_until_all(&mut self, done: impl Fn(&Placement) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !self.senders.iter().all(&done) && self.now_ms < start_ms + 120_000 {
            self.step();
        }
        self.now_ms - start_ms
    }
}
