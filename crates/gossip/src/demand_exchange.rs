//! What one sender tells and hears, round by round.

mod aggregator_selection;
mod liveness;
mod local_demand;

use std::collections::BTreeMap;

use aggregator_selection::AggregatorSelection;
use liveness::LivenessEstimate;
pub use local_demand::LocalDemand;
use local_demand::Seen;

use crate::limit_id::LimitId;
use crate::message::{GossipError, GossipMessage, is_nothing};
use crate::outgoing_datagram::OutgoingDatagram;
use crate::sums::{Collected, Level, Ramp, Sum};

/// Length of a round, ms.
pub const ROUND: u64 = 250;
/// Reports are sent within this part of a round, each sender's at a moment of its own, ms: the rest of it is for the
/// way of the last ones.
const REPORTING: u64 = 200;
/// Sums are heeded for so many rounds.
const HEEDED: u64 = 4;
/// Sums tell of gates of whose limit more than this part is wanted or called, and of those that refuse or fail.
const NEAR: f64 = 0.5;

/// The sums that were heard last.
#[derive(Debug)]
struct Heard {
    round: u64,
    senders: usize,
    /// Whom of those drawn they are of.
    drawn: u64,
    sums: BTreeMap<LimitId, Sum>,
}

impl Heard {
    /// Whether sums of so many senders would say more: they are newer, or of more.
    fn is_less_than(&self, round: u64, senders: usize) -> bool {
        (self.round, self.senders) < (round, senders)
    }
}

/// One sender among its fellows.
#[derive(Debug)]
pub struct DemandExchange {
    me: usize,
    senders: usize,
    ramp: Ramp,
    own: BTreeMap<LimitId, Seen>,
    /// The round that was told last.
    told: Option<u64>,
    aggregators: AggregatorSelection,
    alive: LivenessEstimate,
    /// What others had us add up, by round: this one and its neighbours.
    collected: BTreeMap<u64, Collected>,
    heard: Option<Heard>,
    /// The round that the levels have taken in.
    taken_in: Option<u64>,
    levels: BTreeMap<LimitId, Level>,
    rooms: Vec<(LimitId, f64)>,
}

impl DemandExchange {
    /// Sender number `me` of `senders`, whose partners return from an outage like that.
    pub fn new(me: usize, senders: usize, ramp: Ramp) -> Self {
        Self {
            me,
            senders,
            ramp,
            own: BTreeMap::new(),
            told: None,
            aggregators: AggregatorSelection::new(senders),
            alive: LivenessEstimate::new(senders),
            collected: BTreeMap::new(),
            heard: None,
            taken_in: None,
            levels: BTreeMap::new(),
            rooms: Vec::new(),
        }
    }

    /// When this sender's next report is due, ms since 1970.
    pub fn next_report(&self, wall: u64) -> u64 {
        let moment = self.me as u64 * REPORTING / self.senders.max(1) as u64;
        let at = wall / ROUND * ROUND + moment;
        if at > wall { at } else { at + ROUND }
    }

    /// When sums that others wait for are due, ms since 1970.
    pub fn next_sums(&self) -> Option<u64> {
        self.collected.keys().next().map(|round| (round + 1) * ROUND)
    }

    /// Takes in what this sender does at each of its gates, and says what to tell whom in this round.
    pub fn report(&mut self, wall: u64, own: &[LocalDemand]) -> Vec<OutgoingDatagram> {
        for o in own {
            self.own.entry(o.limit_id).or_insert_with(|| Seen::new(wall / ROUND)).saw(wall, o);
        }
        let listed = |gate: &LimitId| own.iter().any(|o| o.limit_id == *gate);
        self.own.retain(|gate, _| listed(gate));
        self.levels.retain(|gate, _| listed(gate));
        let round = wall / ROUND;
        if self.told.replace(round) == Some(round) {
            return Vec::new();
        }
        let gates: Vec<(LimitId, Sum)> = self.own.iter().map(|(gate, seen)| (*gate, seen.sum())).collect();
        let gates: Vec<(LimitId, Sum)> = gates.into_iter().filter(|(_, sum)| !is_nothing(sum)).collect();
        let fresh = self.heard.as_ref().is_some_and(|heard| heard.round + 2 >= round);
        let mut datagrams = Vec::new();
        for n in self.aggregators.select(round, self.me, fresh) {
            if n == self.me {
                self.collected.entry(round).or_default().add(self.me, &gates);
            } else {
                let note =
                    GossipMessage { drawn: None, round: round as u32, senders: 1, gates: gates.clone() };
                datagrams.push(OutgoingDatagram { to: n, bytes: note.encode() });
            }
        }
        datagrams
    }

    /// Takes in a datagram of another sender.
    ///
    /// # Errors
    ///
    /// [`GossipError`] says why it was dropped; nothing has changed then.
    pub fn hear(&mut self, wall: u64, from: usize, bytes: &[u8]) -> Result<(), GossipError> {
        if from == self.me || from >= self.senders {
            return Err(GossipError::UnknownSender);
        }
        let note = GossipMessage::decode(bytes)?;
        let now = wall / ROUND;
        // The round of those near this one that ends so.
        let Some(round) = now.checked_add_signed(i64::from(note.round.wrapping_sub(now as u32) as i32))
        else {
            return Err(GossipError::Round);
        };
        if let Some(drawn) = note.drawn {
            let senders = usize::from(note.senders);
            let better = self.heard.as_ref().is_none_or(|heard| heard.is_less_than(round, senders));
            if round > now || round + HEEDED < now {
                return Err(GossipError::Round);
            }
            self.aggregators.record_alive(from);
            let drawn = self.alive.observe(round, drawn);
            if !better {
                return Err(GossipError::Round);
            }
            self.heard = Some(Heard { round, senders, drawn, sums: note.gates.into_iter().collect() });
            return Ok(());
        }
        // Clocks differ by less than a round; what comes after its round's sums have gone is too late.
        let open = round == now || round == now + 1 || self.collected.contains_key(&round);
        if !open || !self.collected.entry(round).or_default().add(from, &note.gates) {
            return Err(GossipError::Round);
        }
        self.aggregators.record_alive(from);
        Ok(())
    }

    /// The sums that others wait for, once their round is over.
    pub fn sums(&mut self, wall: u64) -> Vec<OutgoingDatagram> {
        let mut datagrams = Vec::new();
        while let Some(entry) = self.collected.first_entry().filter(|entry| (entry.key() + 1) * ROUND <= wall)
        {
            let (round, Collected { from, sums }) = entry.remove_entry();
            let senders = from.len();
            // A gate that this sender does not know may be near its limit, too.
            let limit = |gate: &LimitId| self.own.get(gate).map_or(0.0, |seen| seen.limit);
            let near = |gate: &LimitId, sum: &Sum| {
                let well = sum.refused + sum.failed == 0.0;
                !well || sum.wanted.max(sum.called) > NEAR * limit(gate)
            };
            let gates = sums.into_iter().filter(|(gate, sum)| near(gate, sum)).collect();
            let told = u16::try_from(senders).unwrap_or(u16::MAX);
            let drawn = self.alive.sample_bits(&from);
            let bytes =
                GossipMessage { drawn: Some(drawn), round: round as u32, senders: told, gates }.encode();
            let better = self.heard.as_ref().is_none_or(|heard| heard.is_less_than(round, senders));
            if from.contains(&self.me)
                // We heed what the others read.
                && let Ok(note) = GossipMessage::decode(&bytes)
            {
                self.alive.observe(round, drawn);
                if better {
                    self.heard =
                        Some(Heard { round, senders, drawn, sums: note.gates.into_iter().collect() });
                }
            }
            datagrams.extend(
                from.into_iter()
                    .filter(|&n| n != self.me)
                    .map(|n| OutgoingDatagram { to: n, bytes: bytes.clone() }),
            );
        }
        datagrams
    }

    /// The part of a limit that the partner is believed to take now, from 0 to 1, by the sums that [`DemandExchange::rooms`] took in last.
    pub fn open(&self, gate: LimitId, limit: f64) -> f64 {
        self.levels.get(&gate).map_or(1.0, |level| level.open(limit))
    }

    /// Calls that all senders want of a gate, by the sums that came last; 0 where these do not tell of it. Those whom the sums are not of count as the others, also such as are gone: parts of the
    /// fleet that hear only themselves must not each take the whole.
    pub fn wanted(&self, gate: LimitId) -> f64 {
        let Some(heard) = &self.heard else { return 0.0 };
        let Some(sum) = heard.sums.get(&gate) else { return 0.0 };
        sum.wanted * self.senders as f64 / heard.senders.max(1) as f64
    }

    /// How many calls a second there are for each that is wanted: of each gate that is anywhere near its limit, by the
    /// sums that came last, and of each that is too new here for them to tell of. Nothing if none have come lately.
    pub fn rooms(&mut self, wall: u64) -> Option<Vec<(LimitId, f64)>> {
        let now = wall / ROUND;
        let first = self.own.values().map(|seen| seen.since).min()?;
        let round = match &self.heard {
            Some(heard) if heard.round + HEEDED >= now => heard.round,
            // At a start none can have come yet.
            None if first + HEEDED >= now => 0,
            _ => return None,
        };
        if self.taken_in != Some(round)
            && let Some(heard) = &self.heard
        {
            let rounds = self.taken_in.map_or(1, |before| round.saturating_sub(before)).clamp(1, HEEDED);
            let after = (rounds * ROUND) as f64 / 1_000.0;
            self.taken_in = Some(round);
            self.rooms.clear();
            let missing = self.alive.alive_per_included(heard.drawn);
            for (gate, seen) in &self.own {
                let quiet = Sum::default();
                let sum = heard.sums.get(gate).map(|sum| sum.times(missing));
                let level = self.levels.entry(*gate).or_default();
                let room = level.room(seen.limit, sum.as_ref().unwrap_or(&quiet), after, self.ramp);
                self.rooms.extend(sum.map(|_| (*gate, room)));
            }
        }
        // As if each of the others wanted one call there.
        let part = |seen: &Seen| seen.limit / self.senders.max(1) as f64;
        let unheard = self.own.iter().filter(|(_, seen)| seen.since > round);
        let unheard = unheard.map(|(gate, seen)| (*gate, part(seen)));
        Some(unheard.chain(self.rooms.iter().copied()).collect())
    }
}

#[cfg(test)]
mod tests;
